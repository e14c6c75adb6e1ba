//! Under which token the end of an attempt may be acknowledged, and what is known of a term's later tokens.

#![allow(clippy::unwrap_used)]

use plankhead_core::fleet::{AcknowledgementWait, Fleet, Machine};
use plankhead_core::jobs::job::JobId;
use plankhead_core::protocol::{CommandReply, Heartbeat, TaskId, WorkerCommand};
use plankhead_core::token_range::{ObservedTerm, TermEvidence, TokenRange, WorkerTokens};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);

/// Returns a fleet of one machine whose worker has seen no token.
fn fleet() -> Fleet {
    let heartbeat = Heartbeat {
        machine: "i-1".into(),
        address: "10.0.0.9:1".into(),
        machine_type: "r".into(),
        zone: "z".into(),
        spot: true,
        incarnation: 1,
        sequence: 1,
        token: 0,
        preemption_notice: None,
        tasks: [].into(),
    };
    let mut fleet = Fleet::default();
    fleet.observe_heartbeat(&heartbeat, 40, NOW);
    fleet
}

fn machine(fleet: &mut Fleet) -> &mut Machine {
    fleet.machines.get_mut("i-1").unwrap()
}

fn task() -> TaskId {
    TaskId { job: JobId::parse("job-000001").unwrap(), index: 0 }
}

fn acknowledgement() -> WorkerCommand {
    WorkerCommand::Acknowledge { task: task(), attempt: 1 }
}

/// Answers a heartbeat of a worker that has seen `seen`, under a base of 40 that was in force at `newest`.
/// Returns the token, and whether an acknowledgement was sent.
fn answer(machine: &mut Machine, newest: u64, seen: u64) -> (u64, bool) {
    let tokens = WorkerTokens { range: TokenRange::new(40, newest), seen_by_worker: seen };
    let mut commands = vec![acknowledgement()];
    let token = machine.choose_token(tokens, &mut commands);
    (token, !commands.is_empty())
}

#[test]
fn an_end_is_acknowledged_only_above_the_tokens_of_direct_starts() {
    let mut fleet = fleet();
    let machine = machine(&mut fleet);
    assert_eq!(answer(machine, 40, 0), (40, false), "starts may have been sent under the base");
    assert_eq!(machine.commands.acknowledgement_wait, Some(AcknowledgementWait::LaterToken));
    assert_eq!(answer(machine, 45, 40), (45, true));
    assert_eq!(machine.commands.acknowledgement_wait, None);
    assert_eq!(answer(machine, 50, 45), (45, true), "no start was sent under 45");
    let (_, token) = machine.begin_command(40, true);
    assert_eq!(token, 45, "a command is not sent under a lower token than an answer before it");
    machine.end_command(&CommandReply::Unanswered);
    assert_eq!(answer(machine, 45, 45), (45, false));
    assert_eq!(answer(machine, 46, 45), (46, true), "a start without an answer is refused under 46");
}

/// The worker would refuse the command in flight if the answer raised its token.
#[test]
fn no_answer_raises_the_token_while_a_command_is_in_flight() {
    let mut fleet = fleet();
    let machine = machine(&mut fleet);
    answer(machine, 40, 0);
    machine.begin_command(40, true);
    assert_eq!(answer(machine, 50, 40), (40, false));
    assert_eq!(machine.commands.acknowledgement_wait, Some(AcknowledgementWait::CommandInFlight));
    machine.end_command(&CommandReply::NotSent);
    assert_eq!(answer(machine, 50, 40), (50, true));
}

/// A command without starts, such as a probe or a kill, may be repeated without harm.
#[test]
fn commands_without_starts_do_not_delay_acknowledgements() {
    let mut fleet = fleet();
    let machine = machine(&mut fleet);
    answer(machine, 40, 0);
    assert_eq!(answer(machine, 45, 40), (45, true));
    machine.begin_command(40, false);
    machine.end_command(&CommandReply::Unanswered);
    assert_eq!(answer(machine, 45, 45), (45, true));
}

/// The other role of the node may have sent starts under any token known so far.
#[test]
fn a_change_of_role_forgets_what_is_known_of_direct_starts() {
    let mut fleet = fleet();
    let machine = machine(&mut fleet);
    answer(machine, 40, 0);
    assert_eq!(answer(machine, 45, 40), (45, true));
    machine.forget_direct_starts();
    assert_eq!(answer(machine, 50, 47), (47, false), "the worker's token is not undercut");
    assert_eq!(answer(machine, 51, 47), (51, true));
}

#[test]
fn other_commands_are_sent_while_an_acknowledgement_waits() {
    let mut fleet = fleet();
    let run = WorkerCommand::Run { task: task(), attempt: 2 };
    let mut commands = vec![acknowledgement(), run.clone()];
    let tokens = WorkerTokens { range: TokenRange::only(40), seen_by_worker: 0 };
    assert_eq!(machine(&mut fleet).choose_token(tokens, &mut commands), 40);
    assert_eq!(commands, [run]);
}

#[test]
fn later_tokens_belong_to_a_term_as_far_as_it_was_in_force() {
    let mut term = TermEvidence::default();
    term.record(40, 40);
    term.record(40, 55);
    term.record(40, 50);
    assert_eq!((term.in_force_at(40), term.in_force_at(30)), (55, 30));
    term.record(60, 61);
    term.record(40, 70);
    assert_eq!(term.latest(), ObservedTerm { token: 60, in_force_at: 61 }, "an earlier term is over");
    assert_eq!(term.in_force_at(40), 55, "what was known of the previous term remains true");
    assert_eq!([55, 60, 61, 62].map(|token| term.base_of(token)), [55, 60, 60, 62]);
    let range = TokenRange::new(40, 55);
    assert_eq!([39, 40, 47, 55, 56].map(|token| range.base_of(token)), [39, 40, 40, 40, 56]);
    assert_eq!(TokenRange::new(40, 30), TokenRange::only(40));
}
