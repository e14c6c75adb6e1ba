//! Tests of the evidence that an attempt has ended, and of the removal of machines.

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

/// Returns a stored job that was accepted at `NOW`.
fn stored_job(
    record: JobRecord,
    mod_revision: u64,
    cancelled_at: Option<Duration>,
    tasks_per_chunk: u32,
) -> StoredJob {
    StoredJob { record, mod_revision, accepted_at: NOW, cancelled_at, tasks_per_chunk }
}

/// Returns a table with one job of ten tasks, of which `placed` are on one machine with their placements
/// written.
fn table_with_placed(placed: usize) -> JobTable {
    let mut job_table = JobTable::default();
    job_table.upsert(&id(), stored_job(record(JobPhase::Active, 10), 5, None, 4));
    for _ in 0..placed {
        job_table.place(&id(), &"i-1".into(), 3, &"z".into(), NOW).unwrap();
    }
    commit_chunks(&mut job_table);
    job_table
}

fn commit_chunks(job_table: &mut JobTable) {
    for (id, chunk) in job_table.dirty_chunks.clone() {
        let version = job_table.encode_chunk(&id, chunk).unwrap().version;
        job_table.chunk_committed(&id, chunk, version, 7);
    }
}

fn heartbeat(incarnation: u64, sequence: u64, tasks: &[(u32, u64, TaskStatus)]) -> Heartbeat {
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

/// Returns settings with this heartbeat interval and worker lease.
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
fn absence_from_a_heartbeat_is_no_evidence() {
    let mut job_table = table_with_placed(2);
    assert_eq!(
        job_table.observe_heartbeat(&heartbeat(3, 1, &[(0, 1, TaskStatus::Running)]), false, NOW),
        HeartbeatOutcome { ended: vec![], missing: 0 }
    );
    // An attempt that was listed before and is missing counts as neither running nor ended.
    assert_eq!(
        job_table.observe_heartbeat(&heartbeat(3, 2, &[]), false, NOW),
        HeartbeatOutcome { ended: vec![], missing: 1 }
    );
    assert_eq!(placed(&job_table), 2);
}

#[test]
fn a_later_incarnation_an_exit_and_a_release_are_evidence() {
    let mut job_table = table_with_placed(3);
    job_table.observe_heartbeat(
        &heartbeat(3, 1, &[(0, 1, TaskStatus::Exited(ExitReason::Completed))]),
        false,
        NOW,
    );
    assert_eq!((placed(&job_table), job_table.jobs[&id()].done), (2, 1));
    // The exit of another attempt of the same task is no evidence about this one.
    job_table.observe_heartbeat(
        &heartbeat(3, 2, &[(1, 9, TaskStatus::Exited(ExitReason::Completed))]),
        false,
        NOW,
    );
    assert_eq!(placed(&job_table), 2);
    job_table.observe_heartbeat(&heartbeat(4, 3, &[]), false, NOW);
    assert_eq!((placed(&job_table), job_table.jobs[&id()].to_restart.len()), (0, 2));
    job_table.place(&id(), &"i-2".into(), 1, &"z".into(), NOW).unwrap();
    assert_eq!(job_table.handle_machine_removal("i-2", NOW), 1);
    assert_eq!(placed(&job_table), 0);
}

/// An exit is acknowledged to the worker only once it is stored. Otherwise the worker would no longer
/// report it, and a later leader would take the attempt for a running one.
#[test]
fn exits_are_acknowledged_after_the_write() {
    let mut job_table = table_with_placed(1);
    let task = TaskId { job: id(), index: 0 };
    job_table.observe_heartbeat(
        &heartbeat(3, 1, &[(0, 1, TaskStatus::Exited(ExitReason::Completed))]),
        false,
        NOW,
    );
    assert!(!job_table.may_acknowledge(&task, 1));
    commit_chunks(&mut job_table);
    assert!(job_table.may_acknowledge(&task, 1));
}

/// A cancellation removes a placement that is not stored yet, since no worker was told of it. A stored
/// placement, whose `run` command may be in flight, stays until there is evidence of its end.
#[test]
fn cancellation_removes_only_unwritten_placements() {
    let mut job_table = table_with_placed(1);
    job_table.place(&id(), &"i-1".into(), 3, &"z".into(), NOW).unwrap();
    job_table.upsert(&id(), stored_job(record(JobPhase::Cancelled, 10), 9, Some(NOW), 4));
    assert_eq!(placed(&job_table), 1);
    assert!(job_table.ended_jobs.is_empty());
    job_table.observe_heartbeat(
        &heartbeat(3, 1, &[(0, 1, TaskStatus::Exited(ExitReason::Stopped))]),
        false,
        NOW,
    );
    assert!(job_table.ended_jobs.contains(&id()));
}

/// After a change of the leader, the stored chunks still listed attempts of a job cancelled long before, and
/// machines were returned because of them together with everything that ran there. A heartbeat with the
/// new leader's token that does not list such an attempt shows that it is not running and can't start,
/// unless this leader itself has sent it.
#[test]
fn the_own_token_ends_cancelled_attempts_of_earlier_leaders() {
    let cancel = |job_table: &mut JobTable| {
        job_table.upsert(&id(), stored_job(record(JobPhase::Cancelled, 10), 9, Some(NOW), 4));
    };
    let mut live = table_with_placed(2);
    assert!(
        live.observe_heartbeat(&heartbeat(3, 1, &[]), true, NOW).ended.is_empty(),
        "an attempt of an active job may still start"
    );
    let mut old = table_with_placed(2);
    cancel(&mut old);
    assert!(
        old.observe_heartbeat(&heartbeat(3, 1, &[]), false, NOW).ended.is_empty(),
        "no evidence without the own token"
    );
    assert!(
        old.observe_heartbeat(&heartbeat(2, 2, &[]), true, NOW).ended.is_empty(),
        "a heartbeat of an earlier incarnation"
    );
    assert_eq!(
        old.observe_heartbeat(&heartbeat(3, 3, &[(0, 1, TaskStatus::Running)]), true, NOW).ended.len(),
        1
    );
    assert_eq!(placed(&old), 1);
    let mut sent = table_with_placed(2);
    sent.attempt_mut(&TaskId { job: id(), index: 1 }).unwrap().offered_under_token = Some(0);
    cancel(&mut sent);
    assert_eq!(sent.observe_heartbeat(&heartbeat(3, 1, &[]), true, NOW).ended.len(), 1);
}

/// A worker rejects commands from a former holder of its shard once it knows the next holder's token. A
/// heartbeat with that token that does not list a cancelled attempt is therefore evidence of its end.
#[test]
fn a_later_epoch_ends_attempts_offered_by_a_former_holder() {
    let with_token = |token, sequence| Heartbeat { token, ..heartbeat(3, sequence, &[]) };
    let mut offered = table_with_placed(2);
    for index in 0..2 {
        offered.attempt_mut(&TaskId { job: id(), index }).unwrap().offered_under_token =
            Some(40 + u64::from(index));
    }
    assert!(
        offered.observe_heartbeat(&with_token(50, 1), true, NOW).ended.is_empty(),
        "an attempt of an active job may still start"
    );
    offered.upsert(&id(), stored_job(record(JobPhase::Cancelled, 10), 9, Some(NOW), 4));
    assert!(
        offered.observe_heartbeat(&with_token(40, 2), true, NOW).ended.is_empty(),
        "the holder that was to offer it may still do so"
    );
    assert_eq!(
        offered.observe_heartbeat(&with_token(41, 3), true, NOW).ended.len(),
        1,
        "the attempt was offered in the epoch of a former holder"
    );
    assert_eq!(placed(&offered), 1);
    assert!(
        offered.observe_heartbeat(&with_token(42, 4), false, NOW).ended.is_empty(),
        "the heartbeat is not of this term"
    );
    assert_eq!(offered.observe_heartbeat(&with_token(42, 5), true, NOW).ended.len(), 1);
}

/// A new leader reads the placements, exits and unplaced tasks that the previous one wrote.
#[test]
fn chunks_survive_a_change_of_leader() {
    let mut old = table_with_placed(6);
    old.observe_heartbeat(
        &heartbeat(
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

/// The largest chunk is within the size limit of a value.
#[test]
fn a_full_chunk_fits_into_a_value() {
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

/// Heartbeats that arrive after newer ones, or after their machine was removed, have no effect.
#[test]
fn late_heartbeats_are_ignored() {
    let mut fleet = Fleet::default();
    let mut observe =
        |incarnation, sequence| fleet.observe_heartbeat(&heartbeat(incarnation, sequence, &[]), 0, NOW);
    assert_eq!(observe(3, 5), HeartbeatChange::Changed);
    assert_eq!(observe(3, 6), HeartbeatChange::Unchanged);
    assert_eq!(observe(3, 4), HeartbeatChange::Stale);
    assert_eq!(observe(2, 9), HeartbeatChange::Stale);
    assert_eq!(observe(4, 1), HeartbeatChange::Changed);
    fleet.remove_released(&"i-1".into());
    assert_eq!(fleet.observe_heartbeat(&heartbeat(5, 1, &[]), 0, NOW), HeartbeatChange::Stale);
    assert!(fleet.machines.is_empty());
}

/// A machine known only from placements has been up. After a change of the leader the heartbeat timeout
/// applies to it, not the boot timeout, with which its tasks did not run for 156 s.
#[test]
fn heartbeat_timeout_applies_to_machines_known_from_placements() {
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

/// At a heartbeat interval of 5 s, a worker that got no response to one heartbeat is heard again after
/// 11.8 s at most, but its machine was released after 10.5 s. A machine whose heartbeat is late and that
/// does not answer probes either is removed sooner.
#[test]
fn the_heartbeat_timeout_allows_for_one_lost_response() {
    let settings = settings(5, 26);
    let recovery_time = Duration::from_millis(6250 + 4000 + 1000 + 500);
    assert!(
        recovery_time < settings.failover_heartbeat_timeout()
            && settings.failover_heartbeat_timeout() < settings.worker_lease
    );
    let check = |unanswered: u32, silence: Duration| {
        let mut fleet = Fleet::default();
        let mut up = heartbeat(1, 1, &[]);
        up.token = 7;
        fleet.observe_heartbeat(&up, 7, NOW);
        // Only one of many machines is silent. If most were, the network might be the cause.
        for n in 2..=50 {
            up.machine = format!("i-{n}").into();
            fleet.observe_heartbeat(&up, 7, NOW + silence);
        }
        fleet.machines.get_mut("i-1").unwrap().commands.unanswered = unanswered;
        // Silence and unanswered commands while the leader itself was cut off do not count.
        let mut reset = fleet.clone();
        reset.reset_silence(NOW);
        assert_eq!(reset.mark_for_removal(NOW + silence, &settings), 0);
        let late = !fleet.machines_to_probe(NOW + silence, settings.heartbeat_timeout(), |_| true).is_empty();
        (late, fleet.mark_for_removal(NOW + silence, &settings))
    };
    assert_eq!(check(0, recovery_time), (true, 0));
    assert_eq!(check(1, recovery_time), (true, 0));
    assert_eq!(check(2, recovery_time), (false, 1), "no further probe is due");
    assert_eq!(check(2, Duration::from_millis(6250)), (false, 0), "the heartbeat is not late");
}

/// All machines of a zone fell silent while the zone was cut off from the leader, and all of them were
/// returned although they were reachable again once the network recovered.
#[test]
fn machines_of_a_silent_zone_are_kept_for_longer() {
    let (second, settings) = (Duration::from_secs(1), settings(1, 11));
    let mut fleet = Fleet::default();
    for n in 0..6 {
        let mut up = heartbeat(1, 1, &[]);
        up.machine = format!("i-{n}").into();
        up.zone = if n < 4 { "x".into() } else { "y".into() };
        up.token = 7;
        fleet.observe_heartbeat(&up, 7, NOW);
    }
    let later = NOW + second * 8;
    // One of two machines in `y` is silent and is lost. All machines in `x` are silent, which is attributed
    // to the network.
    let reporting = fleet.machines.get_mut("i-4").unwrap();
    (reporting.heartbeat_times.last_heard_at, reporting.heartbeat_times.last_direct_at) = (later, later);
    assert_eq!(fleet.mark_for_removal(later, &settings), 1);
    assert_eq!(fleet.machines["i-5"].removal, Some(RemovalReason::HeartbeatTimeout));
    fleet.machines.get_mut("i-4").unwrap().heartbeat_times.last_heard_at = NOW + second * 60;
    assert_eq!(fleet.mark_for_removal(NOW + second * 60, &settings), 4);
}

/// The heartbeats of a machine arrived, but the responses to it were lost. Its lease expired again and
/// again while it looked alive, and tasks were placed on it.
#[test]
fn machines_that_receive_no_responses_are_returned() {
    let second = Duration::from_secs(1);
    let removal = |incarnation, answered: u64| {
        let mut fleet = Fleet::default();
        fleet.observe_heartbeat(&heartbeat(3, 1, &[]), 0, NOW);
        fleet.machines.get_mut("i-1").unwrap().responses.answered_at = Some(NOW + second * answered as u32);
        fleet.observe_heartbeat(&heartbeat(incarnation, 2, &[]), 0, NOW + second * 11);
        fleet.machines["i-1"].removal
    };
    assert_eq!(removal(4, 9), Some(RemovalReason::IgnoresCommands));
    assert_eq!(removal(4, 0), None, "the machine was silent or hung");
    assert_eq!(removal(3, 9), None);
    // Three responses in a row request a task that the heartbeats do not list.
    let unstarted = |listed: &[(u32, u64, TaskStatus)]| {
        let mut fleet = Fleet::default();
        for sequence in 1..=5 {
            fleet.observe_heartbeat(&heartbeat(3, sequence, listed), 0, NOW);
            let machine = fleet.machines.get_mut("i-1").unwrap();
            let task = TaskId { job: id(), index: 0 };
            let effect = ExpectedEffect { task, attempt: 1, kind: EffectKind::Started };
            machine.responses.expected_effects = vec![effect];
        }
        let machine = &fleet.machines["i-1"];
        (machine.removal, machine.is_start_doubtful(NOW, second))
    };
    assert_eq!(unstarted(&[]), (Some(RemovalReason::IgnoresCommands), true));
    assert_eq!(unstarted(&[(0, 1, TaskStatus::FetchingImage)]), (None, false));
}

/// The capacity of a machine type is known only when every pool of the type has refused.
#[test]
fn capacity_is_known_after_refusals_of_all_pools() {
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

/// Returns a table with a gang of three tasks on the machines i-1, i-2 and i-3, whose placements are
/// written and offered to the workers.
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
        assert!(!job_table.may_start(&task), "not all placements are written");
    }
    commit_chunks(job_table);
    for index in 0..3 {
        let task = TaskId { job: id(), index };
        assert!(job_table.may_start(&task));
        job_table.attempt_mut(&task).unwrap().offered_under_token = Some(0);
    }
}

fn heartbeat_from(machine: &str, sequence: u64, tasks: &[(u32, u64, TaskStatus)]) -> Heartbeat {
    Heartbeat { machine: machine.into(), ..heartbeat(3, sequence, tasks) }
}

/// Once a task of a gang is lost, the others are told to stop at once. No task is placed again before all
/// are known to have ended; then all get the next attempt number.
#[test]
fn all_tasks_of_a_gang_stop_when_one_is_lost() {
    let mut job_table = gang();
    for (index, machine) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        job_table.observe_heartbeat(
            &heartbeat_from(machine, 1, &[(index as u32, 1, TaskStatus::WaitingForGang)]),
            true,
            NOW,
        );
    }
    assert!(job_table.machines_to_stop.is_empty());
    job_table.handle_machine_removal("i-2", NOW);
    let machines_to_stop: Vec<&str> = job_table.machines_to_stop.iter().map(|h| h.as_ref()).collect();
    assert_eq!(machines_to_stop, ["i-1", "i-3"]);
    let stop_requested =
        |table: &JobTable, index| table.attempt(&TaskId { job: id(), index }).map(|a| a.stop_requested);
    assert_eq!(
        (stop_requested(&job_table, 0), stop_requested(&job_table, 1), stop_requested(&job_table, 2)),
        (Some(true), None, Some(true))
    );
    job_table.observe_heartbeat(
        &heartbeat_from("i-1", 2, &[(0, 1, TaskStatus::Exited(ExitReason::Stopped))]),
        true,
        NOW,
    );
    assert!(!job_table.jobs[&id()].is_placeable());
    assert_eq!(job_table.place(&id(), &"i-4".into(), 1, &"z".into(), NOW), None, "a task is still on i-3");
    // An exit that the worker reports by itself counts like one that was requested.
    job_table.observe_heartbeat(
        &heartbeat_from("i-3", 2, &[(2, 1, TaskStatus::Exited(ExitReason::GangMemberLost))]),
        true,
        NOW,
    );
    assert!(job_table.jobs[&id()].is_placeable());
    place_gang(&mut job_table);
    let number = |index| job_table.attempt(&TaskId { job: id(), index }).unwrap().number;
    assert_eq!([number(0), number(1), number(2)], [2, 2, 2]);
}

/// The whole gang is done when one of its tasks is, but the other attempts stay placed until there is
/// evidence of their ends.
#[test]
fn a_gang_is_done_when_one_task_is() {
    let mut job_table = gang();
    job_table.observe_heartbeat(
        &heartbeat_from("i-2", 1, &[(1, 1, TaskStatus::Exited(ExitReason::Completed))]),
        true,
        NOW,
    );
    assert!(job_table.ended_jobs.contains(&id()));
    assert_eq!((job_table.jobs[&id()].done, placed(&job_table)), (3, 2));
    assert!(job_table.job_finished(&id()) && !job_table.job_finished(&id()));
    assert_eq!((job_table.jobs[&id()].phase, placed(&job_table)), (JobPhase::Done, 2));
    job_table.handle_machine_removal("i-1", NOW);
    job_table.observe_heartbeat(
        &heartbeat_from("i-3", 1, &[(2, 1, TaskStatus::Exited(ExitReason::Completed))]),
        true,
        NOW,
    );
    assert_eq!((job_table.jobs[&id()].done, placed(&job_table)), (3, 0));
}

/// A new leader finds that one task of a gang's attempt has ended, so the others must not go on. A
/// placement of the earlier leader that a heartbeat with the own token does not list has ended.
#[test]
fn a_new_leader_ends_a_broken_gang() {
    let mut job_table = gang();
    job_table.observe_heartbeat(
        &heartbeat_from("i-1", 1, &[(0, 1, TaskStatus::Exited(ExitReason::Failed))]),
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
    next.observe_heartbeat(&heartbeat_from("i-2", 2, &[]), false, NOW);
    assert_eq!(placed(&next), 2, "without the own token, the attempt may still start");
    next.observe_heartbeat(&heartbeat_from("i-2", 3, &[]), true, NOW);
    next.observe_heartbeat(
        &heartbeat_from("i-3", 2, &[(2, 1, TaskStatus::Exited(ExitReason::GangMemberLost))]),
        true,
        NOW,
    );
    assert!(next.jobs[&id()].is_placeable());
}

/// When one task of a gang checkpoints under a new leader, the other tasks are told to stop with time to
/// checkpoint as well.
#[test]
fn a_new_leader_completes_a_stop_with_checkpoints() {
    let mut job_table = gang();
    job_table.observe_heartbeat(&heartbeat_from("i-2", 1, &[(1, 1, TaskStatus::Checkpointing)]), true, NOW);
    assert!(job_table.jobs[&id()].is_gang_ending() && !job_table.jobs[&id()].is_gang_broken());
    assert_eq!(job_table.machines_to_stop.len(), 3);
    job_table.observe_heartbeat(
        &heartbeat_from("i-2", 2, &[(1, 1, TaskStatus::Exited(ExitReason::Stopped))]),
        true,
        NOW,
    );
    assert!(!job_table.jobs[&id()].is_gang_broken(), "the others keep their time to checkpoint");
}
