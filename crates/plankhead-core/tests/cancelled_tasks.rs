//! Tests of what a node that does not lead knows of the tasks of cancelled jobs.

#![allow(clippy::unwrap_used)]

use plankhead_core::jobs::chunk::{stored_attempts, ChunkKey};
use plankhead_core::jobs::job::JobId;
use plankhead_core::protocol::{
    CloudReply, CloudRequest, CommandReply, ExitReason, Heartbeat, Instance, InstanceStatus, KeyValue,
    MachineName, ReportedTask, TaskId, TaskStatus,
};
use plankhead_core::reclaim::addresses::Addresses;
use plankhead_core::reclaim::inspections::Inspections;
use plankhead_core::reclaim::tasks::CancelledTasks;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

fn id() -> JobId {
    JobId::parse("job-000001").unwrap()
}

fn row(key: &str, value: &str) -> KeyValue {
    KeyValue { key: key.into(), value: value.into(), mod_revision: 5 }
}

/// Two tasks on i-1 in incarnation 3, one on i-2, one pending and two done.
fn chunk() -> KeyValue {
    let value = r#"{"h":[["i-1",3,"a"],["i-2",1,"b"]],"t":[[0,1,0],[1,2,0],[2,1,1],[3,4,-1]],"d":[[4,5]]}"#;
    row("run/job-000001/0", value)
}

fn tasks() -> CancelledTasks {
    let mut tasks = CancelledTasks::default();
    tasks.add_job(id(), NOW);
    assert_eq!(tasks.begin_read(), Some(id()));
    let rows = tasks.page_read(&id(), vec![chunk()], false).unwrap();
    tasks.add_attempts(&id(), stored_attempts(&rows).unwrap(), NOW);
    tasks
}

fn heartbeat(incarnation: u64, listed: &[(u32, u64, TaskStatus)]) -> Heartbeat {
    let listed = listed.iter().map(|(index, attempt, status)| ReportedTask {
        task: TaskId { job: id(), index: *index },
        attempt: *attempt,
        status: *status,
    });
    Heartbeat {
        machine: "i-1".into(),
        address: "10.0.0.1:9000".into(),
        machine_type: "r".into(),
        zone: "a".into(),
        spot: false,
        incarnation,
        sequence: 1,
        token: 4,
        preemption_notice: None,
        tasks: listed.collect(),
    }
}

fn machines(tasks: &CancelledTasks) -> Vec<&str> {
    tasks.machines().map(|(machine, _)| machine.as_ref()).collect()
}

/// A smaller chunk replaces what the original one says of its tasks, whatever the order of the rows.
#[test]
fn smaller_chunks_replace_the_original_ones() {
    let smaller = row("run/job-000001/s0", r#"{"h":[["i-3",1,"a"]],"t":[[1,3,0],[2,1,-1]],"d":[[0,0]]}"#);
    for rows in [[chunk(), smaller.clone()], [smaller, chunk()]] {
        let attempts = stored_attempts(&rows).unwrap();
        assert_eq!(attempts.keys().copied().collect::<Vec<_>>(), [1]);
        assert_eq!((attempts[&1].machine.as_ref(), attempts[&1].number), ("i-3", 3));
    }
    assert!(ChunkKey::parse("run/job-000001/s12").is_some_and(|key| key.rechunked && key.number == 12));
    assert_eq!(ChunkKey::parse("run/job-000001/x"), None);
    assert!(stored_attempts(&[row("run/job-000001/0", "[]")]).is_err());
    assert!(stored_attempts(&[row("run/job-000001/0", r#"{"h":[],"t":[[0,1,7]],"d":[]}"#)]).is_err());
}

/// Only evidence removes an attempt: not that a heartbeat does not list it, nor that it comes from an
/// earlier incarnation.
#[test]
fn attempts_are_dropped_on_evidence_only() {
    let mut tasks = tasks();
    assert_eq!((machines(&tasks), tasks.counts()), (vec!["i-1", "i-2"], (1, 3)));
    tasks.observe(&heartbeat(3, &[]));
    tasks.observe(&heartbeat(2, &[]));
    tasks.observe(&heartbeat(3, &[(0, 1, TaskStatus::Running)]));
    // Exits of other attempts of the same task prove nothing.
    tasks.observe(&heartbeat(3, &[(0, 9, TaskStatus::Exited(ExitReason::Stopped))]));
    assert_eq!(tasks.counts(), (1, 3));
    tasks.observe(&heartbeat(3, &[(0, 1, TaskStatus::Exited(ExitReason::Stopped))]));
    assert_eq!((machines(&tasks), tasks.counts()), (vec!["i-1", "i-2"], (1, 2)));
    tasks.observe(&heartbeat(4, &[]));
    assert_eq!((machines(&tasks), tasks.counts()), (vec!["i-2"], (1, 1)));
    tasks.machine_released(&"i-2".into());
    assert_eq!(tasks.counts(), (1, 0));
}

/// A machine that the inventory lacks is gone only if the read looked for it: it began after the attempt
/// became known, and when the list's lag since the cancellation had passed.
#[test]
fn machines_that_a_read_did_not_look_for_are_kept() {
    let lag = Duration::from_secs(7);
    let is_listed = |machine: &MachineName| machine.as_ref() == "i-2";
    let mut tasks = tasks();
    tasks.drop_unlisted(NOW + lag - Duration::from_millis(1), lag, is_listed);
    assert_eq!(machines(&tasks), ["i-1", "i-2"]);
    let later = JobId::parse("job-000002").unwrap();
    tasks.add_job(later.clone(), NOW);
    assert_eq!(tasks.begin_read(), Some(later.clone()));
    let row = row("run/job-000002/0", r#"{"h":[["i-0",1,"a"],["i-1",3,"a"]],"t":[[0,1,0],[1,1,1]],"d":[]}"#);
    let rows = tasks.page_read(&later, vec![row], false).unwrap();
    let known_at = NOW + lag + Duration::from_secs(5);
    tasks.add_attempts(&later, stored_attempts(&rows).unwrap(), known_at);
    tasks.drop_unlisted(known_at, lag, is_listed);
    assert_eq!(machines(&tasks), ["i-0", "i-1", "i-2"]);
    tasks.drop_unlisted(known_at + Duration::from_millis(1), lag, is_listed);
    assert_eq!(machines(&tasks), ["i-2"]);
}

/// A job that the leader has archived, or that was cancelled long ago, takes no memory.
#[test]
fn jobs_are_forgotten_when_nothing_is_left() {
    let mut archived = tasks();
    archived.remove_job(&id());
    assert_eq!(archived.counts(), (0, 0));
    let mut old = tasks();
    old.forget_before(NOW);
    assert_eq!(old.counts(), (1, 3));
    old.forget_before(NOW + Duration::from_millis(1));
    assert_eq!(old.counts(), (0, 0));
    let mut without_placements = CancelledTasks::default();
    without_placements.add_job(id(), NOW);
    assert_eq!(without_placements.begin_read(), Some(id()));
    let rows = without_placements.page_read(&id(), Vec::new(), false).unwrap();
    without_placements.add_attempts(&id(), stored_attempts(&rows).unwrap(), NOW);
    assert_eq!(without_placements.counts(), (0, 0));
}

/// A read that fails on a later page starts over, and the pages read before it are not counted twice.
#[test]
fn a_failed_read_starts_over() {
    let mut tasks = CancelledTasks::default();
    tasks.add_job(id(), NOW);
    assert_eq!(tasks.begin_read(), Some(id()));
    assert_eq!(tasks.begin_read(), None);
    assert_eq!(tasks.page_read(&id(), vec![chunk()], true), None);
    tasks.read_failed(&id());
    assert!(tasks.has_unread());
    assert_eq!(tasks.begin_read(), Some(id()));
    let rows = tasks.page_read(&id(), vec![chunk()], false).unwrap();
    assert_eq!(rows.len(), 1);
}

/// Two inspections in a row must be unanswered, and one answer is enough to start over.
#[test]
fn an_answer_resets_inspections() {
    let machine: MachineName = "i-1".into();
    let mut inspections = Inspections::default();
    let mut now = NOW;
    let mut inspect = |inspections: &mut Inspections, reply: CommandReply| {
        assert!(inspections.begin(&machine, now));
        assert!(!inspections.begin(&machine, now), "only one inspection is in flight");
        inspections.end(&machine, now, &reply, now + Duration::from_secs(1));
        now += Duration::from_secs(3);
        inspections.is_unresponsive(&machine)
    };
    assert!(!inspect(&mut inspections, CommandReply::Unanswered));
    assert!(inspect(&mut inspections, CommandReply::NotSent));
    assert!(!inspect(&mut inspections, CommandReply::Answered(heartbeat(3, &[]))));
    assert!(!inspect(&mut inspections, CommandReply::Unanswered));
}

/// Addresses come from as many pages of the inventory as are needed, and a read that is not complete
/// replaces nothing.
#[test]
fn addresses_are_read_page_by_page() {
    let (first, last): (MachineName, MachineName) = ("i-000105".into(), "i-000905".into());
    let instance = |name: &MachineName| Instance {
        name: name.clone(),
        address: format!("at-{name}").into(),
        machine_type: "r".into(),
        zone: "a".into(),
        spot: false,
        status: InstanceStatus::Running,
        age: Duration::from_secs(60),
    };
    let is_needed = |machine: &MachineName| *machine == first || *machine == last;
    let mut addresses = Addresses::default();
    let Some(CloudRequest::ListInstances { after }) = addresses.next_read(&first, NOW) else { panic!() };
    assert!(after.is_some_and(|after| after < first));
    assert_eq!(addresses.next_read(&first, NOW), None);
    let page = vec![instance(&first), instance(&"i-000106".into())];
    let reply = CloudReply::Instances { instances: page, truncated: true };
    addresses.page_read(NOW, Ok(reply), &last, is_needed);
    assert_eq!((addresses.get(&first), addresses.complete_read_at()), (None, None));
    let later = NOW + Duration::from_secs(1);
    let Some(CloudRequest::ListInstances { after }) = addresses.next_read(&first, later) else { panic!() };
    assert_eq!(after, Some("i-000106".into()));
    let reply = CloudReply::Instances { instances: vec![instance(&last)], truncated: true };
    addresses.page_read(later, Ok(reply), &last, is_needed);
    assert_eq!(addresses.get(&first), Some("at-i-000105".into()));
    assert_eq!(addresses.get(&"i-000106".into()), None);
    assert_eq!(addresses.complete_read_at(), Some(NOW));
}
