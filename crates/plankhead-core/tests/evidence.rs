//! What counts as proof that an attempt is gone, and what does not.

#![allow(clippy::unwrap_used)]

mod common;

use common::spec;
use plankhead_core::fleet::{Fleet, HeartbeatChange, RemovalReason};
use plankhead_core::jobs::job::{JobId, JobPhase, JobRecord};
use plankhead_core::jobs::job_table::{JobTable, StoredJob};
use plankhead_core::jobs::reconcile::HeartbeatOutcome;
use plankhead_core::protocol::Pool;
use plankhead_core::protocol::*;
use plankhead_core::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);

fn id() -> JobId {
    JobId::parse("job-000001").unwrap()
}

fn record(phase: JobPhase, tasks: u32) -> JobRecord {
    JobRecord {
        phase,
        spec: Some(spec("t", tasks, 10.0)),
        tasks,
        per_chunk: 4,
        accepted_ms: 0,
        cancelled_ms: None,
    }
}

/// A job's row, accepted at the beginning.
fn stored_job(
    record: JobRecord,
    mod_revision: u64,
    cancelled_at: Option<Duration>,
    tasks_per_chunk: u32,
) -> StoredJob {
    StoredJob { record, mod_revision, accepted_at: NOW, cancelled_at, tasks_per_chunk }
}

/// A ledger with `placed` of ten tasks on one machine, all durable.
fn ledger(placed: usize) -> JobTable {
    let mut job_table = JobTable::default();
    job_table.upsert(&id(), stored_job(record(JobPhase::Active, 10), 5, None, 4));
    for _ in 0..placed {
        job_table.place(&id(), &"i-1".into(), 3, &"z".into(), NOW).unwrap();
    }
    commit(&mut job_table);
    job_table
}

fn commit(job_table: &mut JobTable) {
    for (id, chunk) in job_table.dirty_chunks.clone() {
        let version = job_table.encode_chunk(&id, chunk).unwrap().version;
        job_table.chunk_committed(&id, chunk, version, 7);
    }
}

fn report(incarnation: u64, sequence: u64, tasks: &[(u32, u64, TaskStatus)]) -> Heartbeat {
    Heartbeat {
        machine: "i-1".into(),
        address: "10.0.0.9:1".into(),
        machine_type: "r".into(),
        zone: "z".into(),
        spot: true,
        incarnation,
        sequence,
        token: 0,
        preemption_notice: None,
        tasks: tasks
            .iter()
            .map(|(index, attempt, seen)| ReportedTask {
                task: TaskId { job: id(), index: *index },
                attempt: *attempt,
                status: *seen,
            })
            .collect(),
    }
}

/// A deployment whose workers report that often.
fn settings(heartbeat_interval_s: u64, worker_lease_s: u64) -> Settings {
    Settings {
        nodes: 3,
        peers: Vec::new(),
        teams: BTreeMap::new(),
        heartbeat_interval: Duration::from_secs(heartbeat_interval_s),
        worker_lease: Duration::from_secs(worker_lease_s),
        cancel_within: Duration::from_secs(worker_lease_s + 30),
        ..common::settings()
    }
}

fn placed(job_table: &JobTable) -> u32 {
    job_table.jobs[&id()].placed
}

#[test]
fn absence_from_a_report_is_no_evidence() {
    let mut job_table = ledger(2);
    assert_eq!(
        job_table.observe_heartbeat(&report(3, 1, &[(0, 1, TaskStatus::Running)]), false, NOW),
        HeartbeatOutcome { ended: vec![], missing: 0 }
    );
    // What was there and is missing is neither running nor proven gone.
    assert_eq!(
        job_table.observe_heartbeat(&report(3, 2, &[]), false, NOW),
        HeartbeatOutcome { ended: vec![], missing: 1 }
    );
    assert_eq!(placed(&job_table), 2);
}

#[test]
fn a_later_shift_an_end_and_a_release_are_evidence() {
    let mut job_table = ledger(3);
    job_table.observe_heartbeat(
        &report(3, 1, &[(0, 1, TaskStatus::Exited(ExitReason::Completed))]),
        false,
        NOW,
    );
    assert_eq!((placed(&job_table), job_table.jobs[&id()].done), (2, 1));
    // The end of another attempt of the same task says nothing of this one.
    job_table.observe_heartbeat(
        &report(3, 2, &[(1, 9, TaskStatus::Exited(ExitReason::Completed))]),
        false,
        NOW,
    );
    assert_eq!(placed(&job_table), 2);
    job_table.observe_heartbeat(&report(4, 3, &[]), false, NOW);
    assert_eq!((placed(&job_table), job_table.jobs[&id()].to_restart.len()), (0, 2));
    job_table.place(&id(), &"i-2".into(), 1, &"z".into(), NOW).unwrap();
    assert_eq!(job_table.handle_machine_removal("i-2", NOW), 1);
    assert_eq!(placed(&job_table), 0);
}

/// A worker may forget an end only once it is durable, since a later leader
/// would take the attempt for a live one.
#[test]
fn reap_waits_for_the_write() {
    let mut job_table = ledger(1);
    let task = TaskId { job: id(), index: 0 };
    job_table.observe_heartbeat(
        &report(3, 1, &[(0, 1, TaskStatus::Exited(ExitReason::Completed))]),
        false,
        NOW,
    );
    assert!(!job_table.may_acknowledge(&task, 1));
    commit(&mut job_table);
    assert!(job_table.may_acknowledge(&task, 1));
}

/// A placement that no worker was told of goes with the cancellation; a durable
/// one, whose `run` may be under way, stays until there is proof.
#[test]
fn cancelling_drops_only_what_nobody_was_told() {
    let mut job_table = ledger(1);
    job_table.place(&id(), &"i-1".into(), 3, &"z".into(), NOW).unwrap();
    job_table.upsert(&id(), stored_job(record(JobPhase::Cancelled, 10), 9, Some(NOW), 4));
    assert_eq!(placed(&job_table), 1);
    assert!(job_table.ended_jobs.is_empty());
    job_table.observe_heartbeat(
        &report(3, 1, &[(0, 1, TaskStatus::Exited(ExitReason::Stopped))]),
        false,
        NOW,
    );
    assert!(job_table.ended_jobs.contains(&id()));
}

/// After a takeover, attempts of a job cancelled long ago stood in its chunks;
/// machines were returned for them with all that ran there. A report that
/// carries the new leader's token shows that they are not there and can't come,
/// unless this leader itself has sent them.
#[test]
fn the_own_token_fences_cancelled_attempts_of_earlier_leaders() {
    let cancel = |job_table: &mut JobTable| {
        job_table.upsert(&id(), stored_job(record(JobPhase::Cancelled, 10), 9, Some(NOW), 4));
    };
    let mut live = ledger(2);
    assert!(
        live.observe_heartbeat(&report(3, 1, &[]), true, NOW).ended.is_empty(),
        "a live job's attempt may come"
    );
    let mut old = ledger(2);
    cancel(&mut old);
    assert!(old.observe_heartbeat(&report(3, 1, &[]), false, NOW).ended.is_empty(), "no token, no proof");
    assert!(old.observe_heartbeat(&report(2, 2, &[]), true, NOW).ended.is_empty(), "of an earlier shift");
    assert_eq!(
        old.observe_heartbeat(&report(3, 3, &[(0, 1, TaskStatus::Running)]), true, NOW).ended.len(),
        1
    );
    assert_eq!(placed(&old), 1);
    let mut sent = ledger(2);
    sent.attempt_mut(&TaskId { job: id(), index: 1 }).unwrap().offered_under_token = Some(0);
    cancel(&mut sent);
    assert_eq!(sent.observe_heartbeat(&report(3, 1, &[]), true, NOW).ended.len(), 1);
}

/// What the leader had a holder tell is refused once the worker knows the next holder's
/// token: a report with that one that does not list a cancelled attempt shows it gone.
#[test]
fn a_later_epoch_fences_what_a_former_holder_was_ordered() {
    let under = |token, sequence| Heartbeat { token, ..report(3, sequence, &[]) };
    let mut offered = ledger(2);
    for index in 0..2 {
        offered.attempt_mut(&TaskId { job: id(), index }).unwrap().offered_under_token =
            Some(40 + u64::from(index));
    }
    assert!(
        offered.observe_heartbeat(&under(50, 1), true, NOW).ended.is_empty(),
        "a live job's attempt may come"
    );
    offered.upsert(&id(), stored_job(record(JobPhase::Cancelled, 10), 9, Some(NOW), 4));
    assert!(
        offered.observe_heartbeat(&under(40, 2), true, NOW).ended.is_empty(),
        "its own holder may tell it yet"
    );
    assert_eq!(
        offered.observe_heartbeat(&under(41, 3), true, NOW).ended.len(),
        1,
        "of a former holder's epoch"
    );
    assert_eq!(placed(&offered), 1);
    assert!(offered.observe_heartbeat(&under(42, 4), false, NOW).ended.is_empty(), "not of this term");
    assert_eq!(offered.observe_heartbeat(&under(42, 5), true, NOW).ended.len(), 1);
}

/// What one leader writes, the next one reads: placements, ends and gaps.
#[test]
fn chunks_survive_a_takeover() {
    let mut old = ledger(6);
    old.observe_heartbeat(
        &report(
            3,
            1,
            &[
                (1, 1, TaskStatus::Exited(ExitReason::Completed)),
                (2, 1, TaskStatus::Exited(ExitReason::Failed)),
            ],
        ),
        false,
        NOW,
    );
    let mut new = JobTable::default();
    new.upsert(&id(), stored_job(record(JobPhase::Active, 10), 5, None, 4));
    for chunk in 0..2 {
        let text = old.encode_chunk(&id(), chunk).unwrap().value;
        new.load_chunk(&id(), chunk, &text, 7, NOW).unwrap();
    }
    new.finish_loading();
    let (a, b) = (&old.jobs[&id()], &new.jobs[&id()]);
    assert_eq!(
        (b.done, b.placed, b.first_unplaced, b.pending()),
        (a.done, a.placed, a.first_unplaced, a.pending())
    );
    assert_eq!(new.by_machine("i-1").count(), 4);
    let again = new.place(&id(), &"i-2".into(), 1, &"z".into(), NOW).unwrap();
    assert_eq!((again.index, new.attempt(&again).unwrap().number), (2, 2));
    for bad in [r#"{"h":[],"t":[[0,1,0]],"d":[]}"#, r#"{"h":[],"t":[],"d":[[0,99]]}"#, "[]"] {
        assert!(new.load_chunk(&id(), 0, bad, 1, NOW).is_err(), "{bad}");
    }
}

/// The largest chunk fits into a value.
#[test]
fn a_full_chunk_fits() {
    use plankhead_core::jobs::job_table::tasks_per_chunk;
    let per_chunk = tasks_per_chunk(8 * 1024);
    let mut job_table = JobTable::default();
    job_table.upsert(&id(), stored_job(record(JobPhase::Active, 100_000), 5, None, per_chunk));
    for n in 0..per_chunk {
        let machine: MachineName = format!("i-{n:012}").into();
        job_table.place(&id(), &machine, 123_456, &"a-zone-with-a-name".into(), NOW).unwrap();
    }
    let text = job_table.encode_chunk(&id(), 0).unwrap().value;
    assert!(text.len() <= 8 * 1024, "{}", text.len());
}

/// Reports that were overtaken change nothing, nor do those of machines gone.
#[test]
fn late_reports_are_ignored() {
    let mut fleet = Fleet::default();
    let mut heard =
        |incarnation, sequence| fleet.observe_heartbeat(&report(incarnation, sequence, &[]), 0, NOW);
    assert_eq!(heard(3, 5), HeartbeatChange::Changed);
    assert_eq!(heard(3, 6), HeartbeatChange::Unchanged);
    assert_eq!(heard(3, 4), HeartbeatChange::Stale);
    assert_eq!(heard(2, 9), HeartbeatChange::Stale);
    assert_eq!(heard(4, 1), HeartbeatChange::Changed);
    fleet.remove_released(&"i-1".into());
    assert_eq!(fleet.observe_heartbeat(&report(5, 1, &[]), 0, NOW), HeartbeatChange::Stale);
    assert!(fleet.machines.is_empty());
}

/// A machine known only from placements was up once: after a takeover its
/// silence counts, not the patience for a boot (tasks stood still for 156 s).
#[test]
fn machines_known_from_placements_are_judged_by_silence() {
    let settings = settings(1, 11);
    let mut fleet = Fleet::default();
    fleet.add_placed_machine(&"i-1".into(), NOW);
    assert_eq!(fleet.mark_for_removal(NOW + settings.failover_heartbeat_timeout(), &settings), 0);
    assert_eq!(
        fleet.mark_for_removal(
            NOW + settings.failover_heartbeat_timeout() + Duration::from_millis(1),
            &settings
        ),
        1
    );
    assert_eq!(fleet.machines["i-1"].removal, Some(RemovalReason::HeartbeatTimeout));
}

/// With a report every 5 s, a worker that got no answer to one is back after 11.8 s
/// at the latest; it was given back after 10.5 s. One that does not answer when
/// asked why its report is late is lost sooner.
#[test]
fn who_reports_seldom_is_not_silent() {
    let settings = settings(5, 26);
    let well = Duration::from_millis(6250 + 4000 + 1000 + 500);
    assert!(
        well < settings.failover_heartbeat_timeout()
            && settings.failover_heartbeat_timeout() < settings.worker_lease
    );
    let heard = |unanswered: u32, quiet: Duration| {
        let mut fleet = Fleet::default();
        let mut up = report(1, 1, &[]);
        up.token = 7;
        fleet.observe_heartbeat(&up, 7, NOW);
        // One of many: more at once may be out of reach only.
        for n in 2..=50 {
            up.machine = format!("i-{n}").into();
            fleet.observe_heartbeat(&up, 7, NOW + quiet);
        }
        fleet.machines.get_mut("i-1").unwrap().commands.unanswered = unanswered;
        // What went unanswered while the leader itself was cut off says nothing.
        let mut forgiven = fleet.clone();
        forgiven.reset_silence(NOW);
        assert_eq!(forgiven.mark_for_removal(NOW + quiet, &settings), 0);
        let late = !fleet.machines_to_probe(NOW + quiet, settings.heartbeat_timeout(), |_| true).is_empty();
        (late, fleet.mark_for_removal(NOW + quiet, &settings))
    };
    assert_eq!(heard(0, well), (true, 0));
    assert_eq!(heard(1, well), (true, 0));
    assert_eq!(heard(2, well), (false, 1), "nothing more to ask it");
    assert_eq!(heard(2, Duration::from_millis(6250)), (false, 0), "its report is not late");
}

/// A zone cut off from the leader fell silent as a whole, and all its machines
/// were returned although they came back with the network.
#[test]
fn a_silent_zone_is_waited_for() {
    let (second, settings) = (Duration::from_secs(1), settings(1, 11));
    let mut fleet = Fleet::default();
    for n in 0..6 {
        let mut up = report(1, 1, &[]);
        up.machine = format!("i-{n}").into();
        up.zone = if n < 4 { "x".into() } else { "y".into() };
        up.token = 7;
        fleet.observe_heartbeat(&up, 7, NOW);
    }
    let later = NOW + second * 8;
    // One of two in `y` is lost; all of `x` are, which is the network's doing.
    let well = fleet.machines.get_mut("i-4").unwrap();
    (well.heartbeat_times.last_heard_at, well.heartbeat_times.last_direct_at) = (later, later);
    assert_eq!(fleet.mark_for_removal(later, &settings), 1);
    assert_eq!(fleet.machines["i-5"].removal, Some(RemovalReason::HeartbeatTimeout));
    fleet.machines.get_mut("i-4").unwrap().heartbeat_times.last_heard_at = NOW + second * 60;
    assert_eq!(fleet.mark_for_removal(NOW + second * 60, &settings), 4);
}

/// A machine whose reports arrive while it hears nothing looked alive as its lease
/// ran out again and again, and tasks were placed on it.
#[test]
fn deaf_machines_go_back() {
    let second = Duration::from_secs(1);
    let heard = |incarnation, answered: u64| {
        let mut fleet = Fleet::default();
        fleet.observe_heartbeat(&report(3, 1, &[]), 0, NOW);
        fleet.machines.get_mut("i-1").unwrap().responses.answered_at = Some(NOW + second * answered as u32);
        fleet.observe_heartbeat(&report(incarnation, 2, &[]), 0, NOW + second * 11);
        fleet.machines["i-1"].removal
    };
    assert_eq!(heard(4, 9), Some(RemovalReason::IgnoresCommands));
    assert_eq!(heard(4, 0), None, "it was silent, or hung");
    assert_eq!(heard(3, 9), None);
    // Three answers in a row asked for a task that the reports do not show.
    let question = |shown: &[(u32, u64, TaskStatus)]| {
        let mut fleet = Fleet::default();
        for sequence in 1..=5 {
            fleet.observe_heartbeat(&report(3, sequence, shown), 0, NOW);
            let machine = fleet.machines.get_mut("i-1").unwrap();
            let task = TaskId { job: id(), index: 0 };
            let effect = ExpectedEffect { task, attempt: 1, kind: EffectKind::Started };
            machine.responses.expected_effects = vec![effect];
        }
        let machine = &fleet.machines["i-1"];
        (machine.removal, machine.is_start_doubtful(NOW, second))
    };
    assert_eq!(question(&[]), (Some(RemovalReason::IgnoresCommands), true));
    assert_eq!(question(&[(0, 1, TaskStatus::FetchingImage)]), (None, false));
}

/// Only when every pool has refused is the type's size known.
#[test]
fn refusals_teach_capacity() {
    let mut fleet = Fleet::default();
    fleet.machine_types.insert(
        "r".into(),
        MachineType {
            name: "r".into(),
            cpus: 16.0,
            gpus: 0.0,
            ram: 64.0,
            image_cache_gb: 10.0,
            image_fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.3,
            boot_time: Duration::from_secs(30),
            zones: vec!["z".into()],
        },
    );
    let pool = |spot| Pool { machine_type: "r".into(), zone: "z".into(), spot };
    fleet.record_rental(&["i-1".into(), "i-2".into()], &pool(true), 5, NOW);
    assert_eq!(fleet.known_capacity("r", NOW), None);
    assert!(!fleet.may_rent_from(&pool(true), NOW) && fleet.may_rent_from(&pool(false), NOW));
    fleet.record_capacity_refusal(&pool(false), NOW);
    assert_eq!(fleet.known_capacity("r", NOW), Some(2));
}

/// A gang of three on machines i-1, i-2 and i-3, durable and offered.
fn gang() -> JobTable {
    let mut job_table = JobTable::default();
    let mut record = record(JobPhase::Active, 3);
    if let Some(spec) = &mut record.spec {
        (spec.gang, spec.tasks) = (true, 3);
    }
    job_table.upsert(&id(), stored_job(record, 5, None, 4));
    place_gang(&mut job_table);
    job_table
}

fn place_gang(job_table: &mut JobTable) {
    for machine in ["i-1", "i-2", "i-3"] {
        let task = job_table.place(&id(), &machine.into(), 3, &"z".into(), NOW).unwrap();
        assert!(!job_table.may_start(&task), "not all are placed and durable");
    }
    commit(job_table);
    for index in 0..3 {
        let task = TaskId { job: id(), index };
        assert!(job_table.may_start(&task));
        job_table.attempt_mut(&task).unwrap().offered_under_token = Some(0);
    }
}

fn from(machine: &str, sequence: u64, tasks: &[(u32, u64, TaskStatus)]) -> Heartbeat {
    Heartbeat { machine: machine.into(), ..report(3, sequence, tasks) }
}

/// Once a task is gone the others are told to end at once, and none is placed again
/// before all are proven gone; then all have the next number.
#[test]
fn a_gang_that_lost_a_task_ends_as_a_whole() {
    let mut job_table = gang();
    for (index, machine) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        job_table.observe_heartbeat(
            &from(machine, 1, &[(index as u32, 1, TaskStatus::WaitingForGang)]),
            true,
            NOW,
        );
    }
    assert!(job_table.machines_to_stop.is_empty());
    job_table.handle_machine_removal("i-2", NOW);
    let told: Vec<&str> = job_table.machines_to_stop.iter().map(|h| h.as_ref()).collect();
    assert_eq!(told, ["i-1", "i-3"]);
    let stopped = |l: &JobTable, index| l.attempt(&TaskId { job: id(), index }).map(|a| a.stop_requested);
    assert_eq!(
        (stopped(&job_table, 0), stopped(&job_table, 1), stopped(&job_table, 2)),
        (Some(true), None, Some(true))
    );
    job_table.observe_heartbeat(
        &from("i-1", 2, &[(0, 1, TaskStatus::Exited(ExitReason::Stopped))]),
        true,
        NOW,
    );
    assert!(!job_table.jobs[&id()].is_placeable());
    assert_eq!(job_table.place(&id(), &"i-4".into(), 1, &"z".into(), NOW), None, "one is left on i-3");
    // What the task says by itself is no worse than what it was told.
    job_table.observe_heartbeat(
        &from("i-3", 2, &[(2, 1, TaskStatus::Exited(ExitReason::GangMemberLost))]),
        true,
        NOW,
    );
    assert!(job_table.jobs[&id()].is_placeable());
    place_gang(&mut job_table);
    let number = |index| job_table.attempt(&TaskId { job: id(), index }).unwrap().number;
    assert_eq!([number(0), number(1), number(2)], [2, 2, 2]);
}

/// One task that is done is all of them; but none is gone before it has said so.
#[test]
fn one_done_task_of_a_gang_is_all() {
    let mut job_table = gang();
    job_table.observe_heartbeat(
        &from("i-2", 1, &[(1, 1, TaskStatus::Exited(ExitReason::Completed))]),
        true,
        NOW,
    );
    assert!(job_table.ended_jobs.contains(&id()));
    assert_eq!((job_table.jobs[&id()].done, placed(&job_table)), (3, 2));
    assert!(job_table.job_finished(&id()) && !job_table.job_finished(&id()));
    assert_eq!((job_table.jobs[&id()].phase, placed(&job_table)), (JobPhase::Done, 2));
    job_table.handle_machine_removal("i-1", NOW);
    job_table.observe_heartbeat(
        &from("i-3", 1, &[(2, 1, TaskStatus::Exited(ExitReason::Completed))]),
        true,
        NOW,
    );
    assert_eq!((job_table.jobs[&id()].done, placed(&job_table)), (3, 0));
}

/// A new leader finds one task of the attempt ended: the rest is not to go on. What
/// the earlier one placed and a report with the own token does not list is gone.
#[test]
fn a_new_leader_ends_a_torn_gang() {
    let mut job_table = gang();
    job_table.observe_heartbeat(
        &from("i-1", 1, &[(0, 1, TaskStatus::Exited(ExitReason::Failed))]),
        true,
        NOW,
    );
    let text = job_table.encode_chunk(&id(), 0).unwrap().value;
    let mut next = gang();
    next.remove(&id());
    let mut record = record(JobPhase::Active, 3);
    if let Some(spec) = &mut record.spec {
        (spec.gang, spec.tasks) = (true, 3);
    }
    next.upsert(&id(), stored_job(record, 5, None, 4));
    next.load_chunk(&id(), 0, &text, 7, NOW).unwrap();
    next.finish_loading();
    assert!(next.jobs[&id()].is_gang_broken());
    next.observe_heartbeat(&from("i-2", 2, &[]), false, NOW);
    assert_eq!(placed(&next), 2, "without the own token it may come yet");
    next.observe_heartbeat(&from("i-2", 3, &[]), true, NOW);
    next.observe_heartbeat(
        &from("i-3", 2, &[(2, 1, TaskStatus::Exited(ExitReason::GangMemberLost))]),
        true,
        NOW,
    );
    assert!(next.jobs[&id()].is_placeable());
}

/// Whoever saves under a new leader has the others told with time to save, too.
#[test]
fn a_new_leader_finishes_an_orderly_stop() {
    let mut job_table = gang();
    job_table.observe_heartbeat(&from("i-2", 1, &[(1, 1, TaskStatus::Checkpointing)]), true, NOW);
    assert!(job_table.jobs[&id()].is_gang_ending() && !job_table.jobs[&id()].is_gang_broken());
    assert_eq!(job_table.machines_to_stop.len(), 3);
    job_table.observe_heartbeat(
        &from("i-2", 2, &[(1, 1, TaskStatus::Exited(ExitReason::Stopped))]),
        true,
        NOW,
    );
    assert!(!job_table.jobs[&id()].is_gang_broken(), "the others keep their time to save");
}
