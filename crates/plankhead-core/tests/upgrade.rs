//! Compatibility between versions during an upgrade: this version reads bytes recorded from the last
//! production version without gangs (9ca3cb3), and copies of that version's decoders read what this one
//! writes.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod before;
#[allow(dead_code)]
mod common;

use plankhead_core::calls::VersionBarrierCall;
use plankhead_core::effects::EffectSink;
use plankhead_core::jobs::job::{JobId, JobPhase, JobRecord};
use plankhead_core::jobs::job_table::{tasks_per_chunk, EncodedChunk, JobTable, StoredJob, TaskState};
use plankhead_core::leader::{Size, Target};
use plankhead_core::leadership::election::LeaderRecord;
use plankhead_core::leadership::version_barrier::VersionBarrier;
use plankhead_core::protocol::*;
use plankhead_core::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);
const SPEC_JSON: &str = r#"{"class":"calib","team":"requests","urgency":"urgent","tasks":12,"each":{"cpus":4.0,"gpus":0.0,"ram":10.5},"image":"img-7","image_gb":0.7,"rigs":["r"],"zone":null,"one_zone":true,"scatter":false,"spot":true,"estimate":20.25,"checkpoint":0.0,"save":0.0,"due":90.0}"#;
const CHUNK_JSON: &str =
    r#"{"h":[["i-000001",3,"z"],["i-000002",3,"z"]],"t":[[0,1,0],[1,1,0],[2,1,1]],"d":[]}"#;

fn active_record() -> String {
    format!(r#"{{"phase":"live","spec":{SPEC_JSON},"tasks":12,"per_chunk":400,"accepted_ms":1790000000123}}"#)
}

fn id() -> JobId {
    JobId::parse("job-000412").unwrap()
}

/// Records of the previous version are decoded, and encoded again as the same bytes.
#[test]
fn records_of_the_previous_version_round_trip() {
    let cancelled = format!(
        r#"{{"phase":"cancelled","spec":{SPEC_JSON},"tasks":12,"per_chunk":400,"accepted_ms":1790000000123,"cancelled_ms":1790000004567}}"#
    );
    let done = r#"{"phase":"done","tasks":12,"per_chunk":0,"accepted_ms":0}"#;
    for (text, phase) in [
        (active_record(), JobPhase::Active),
        (cancelled, JobPhase::Cancelled),
        (done.to_string(), JobPhase::Done),
    ] {
        let record: JobRecord = serde_json::from_str(&text).unwrap();
        assert_eq!(record.phase, phase);
        assert!(!record.spec.as_ref().is_some_and(|s| s.gang));
        assert_eq!(serde_json::to_string(&record).unwrap(), text);
        assert!(before::reads("job/job-000412", &text));
    }
    let leader = r#"{"host":"plank-1","boot":7,"hold":9}"#;
    let read: LeaderRecord = serde_json::from_str(leader).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), leader);
    let target = r#"{"round":4,"at_ms":1790000000123,"rigs":{"r":{"machines":7,"ordinary":2}}}"#;
    let read: Target = serde_json::from_str(target).unwrap();
    assert_eq!(read.sizes["r"], Size { machines: 7, ordinary: 2 });
    assert_eq!(serde_json::to_string(&read).unwrap(), target);
}

/// Returns a table with the job of this record, without its placements.
fn table_with_job(record: &str) -> JobTable {
    let mut job_table = JobTable::default();
    let record: JobRecord = serde_json::from_str(record).unwrap();
    let per_chunk = record.per_chunk;
    let job = StoredJob {
        record,
        mod_revision: 5,
        accepted_at: NOW,
        cancelled_at: None,
        tasks_per_chunk: per_chunk,
    };
    job_table.upsert(&id(), job);
    job_table
}

/// Placements of the previous version are decoded, and encoded so that it can decode them.
#[test]
fn placements_of_the_previous_version_round_trip() {
    let mut job_table = table_with_job(&active_record());
    job_table.load_chunk(&id(), 0, CHUNK_JSON, 7, NOW).unwrap();
    job_table.finish_loading();
    let entry = &job_table.jobs[&id()];
    assert_eq!((entry.placed, entry.pending(), entry.first_unplaced), (3, 9, 3));
    let text = job_table.encode_chunk(&id(), 0).unwrap().value;
    assert_eq!(text, CHUNK_JSON);
    let read: before::ChunkText = serde_json::from_str(&text).unwrap();
    assert_eq!((read.h.len(), read.t.len()), (2, 3));
}

/// The previous version would run a gang as an array, so `before::reads` rejects the record of a gang.
#[test]
fn the_previous_version_does_not_support_gangs() {
    let mut record: JobRecord = serde_json::from_str(&active_record()).unwrap();
    if let Some(spec) = &mut record.spec {
        spec.gang = true;
    }
    let text = serde_json::to_string(&record).unwrap();
    assert!(!before::reads("job/job-000412", &text));
    assert!(
        serde_json::from_str::<before::JobRecord>(&text).is_ok(),
        "the previous version would run the gang as an array"
    );
    assert!(serde_json::from_str::<JobRecord>(&text).unwrap().spec.unwrap().gang);
}

/// Of the 120 tasks in one chunk of the previous version, 40 are done, 40 are on machines and 40 wait
/// for another attempt. After the limit of a value is lowered, no larger value is written, and a new
/// leader reads the same state whenever the old one stops between two writes.
#[test]
fn chunks_are_split_for_smaller_values() {
    let max_value_bytes = 1024;
    let per_chunk = tasks_per_chunk(max_value_bytes);
    let record = active_record().replace("\"tasks\":12", "\"tasks\":120");
    let machine = |i: u32| format!("[\"i-{i:06}\",1,\"raekoja-hall\"]");
    let hosts: Vec<String> = (0..40).map(machine).collect();
    let tasks: Vec<String> = (40..80).map(|i| format!("[{i},2,{}]", i - 40)).collect();
    let waiting: Vec<String> = (80..120).map(|i| format!("[{i},1,-1]")).collect();
    let old_chunk = format!(
        "{{\"h\":[{}],\"t\":[{},{}],\"d\":[[0,39]]}}",
        hosts.join(","),
        tasks.join(","),
        waiting.join(",")
    );
    assert!(old_chunk.len() > max_value_bytes);

    let mut job_table = table_with_job(&record);
    job_table.load_chunk(&id(), 0, &old_chunk, 7, NOW).unwrap();
    job_table.finish_loading();
    // The write of another placement is in flight, and its outcome must be awaited.
    let placed = job_table.place(&id(), &"i-000099".into(), 1, &"z".into(), NOW).unwrap();
    job_table.jobs.get_mut(&id()).unwrap().chunks.get_mut(&0).unwrap().write_in_flight = true;
    assert!(job_table.rechunk(per_chunk));
    job_table.chunk_write_failed(&id(), 0, false);
    assert!(!job_table.rechunk(per_chunk));
    assert!(!job_table.may_start(&placed), "a placement that is not stored counts as written");
    let state_of = |table: &JobTable| {
        let entry = &table.jobs[&id()];
        let tasks = entry.chunks.values().flat_map(|c| &c.tasks).map(|(i, t)| {
            let placement = match &t.state {
                TaskState::Placed(a) => Some((a.machine.clone(), a.incarnation, a.number)),
                _ => None,
            };
            (*i, placement)
        });
        (entry.done, entry.placed, entry.pending(), tasks.collect::<BTreeMap<_, _>>())
    };
    // Each round writes the changed chunks one by one, and then one more task ends.
    let mut stored: BTreeMap<u32, String> = BTreeMap::new();
    for round in 0..6 {
        for (job, number) in job_table.dirty_chunks.clone() {
            let EncodedChunk { value: text, version } = job_table.encode_chunk(&job, number).unwrap();
            assert!(text.len() <= max_value_bytes, "{} bytes", text.len());
            assert!(!before::reads(&job.chunk_key(number, true), &text));
            stored.insert(number, text);
            job_table.chunk_committed(&job, number, version, 20 + round);
            let mut next = table_with_job(&record);
            next.load_chunk(&id(), 0, &old_chunk, 7, NOW).unwrap();
            next.rechunk(per_chunk);
            for (number, text) in &stored {
                next.load_chunk(&id(), *number, text, 9, NOW).unwrap();
            }
            next.finish_loading();
            let (mut known, read) = (state_of(&job_table), state_of(&next));
            // The next leader does not know changes that are not written yet.
            if !job_table.dirty_chunks.is_empty() {
                known.1 = read.1;
            }
            assert_eq!(known.1, read.1);
            assert_eq!(known.3.len(), read.3.len());
            assert_eq!(next.jobs[&id()].attempts_by_zone.values().sum::<u32>(), read.1);
        }
        let task = TaskId { job: id(), index: 41 + round as u32 };
        let machine = job_table.attempt(&task).unwrap().machine.clone();
        let seen = TaskStatus::Exited(ExitReason::Completed);
        let heartbeat = Heartbeat {
            machine,
            address: "a".into(),
            machine_type: "r".into(),
            zone: "raekoja-hall".into(),
            spot: true,
            incarnation: 1,
            sequence: 5,
            token: 1,
            preemption_notice: None,
            tasks: [ReportedTask { task, attempt: 2, status: seen }].into(),
        };
        let ended = job_table.observe_heartbeat(&heartbeat, true, NOW).ended;
        assert_eq!(ended.len(), 1);
    }
    assert!(job_table.may_start(&placed));
    let keys: Vec<String> =
        job_table.jobs[&id()].stored_keys(&id()).into_iter().map(|stored| stored.key).collect();
    assert!(
        keys.contains(&"run/job-000412/0".to_string()),
        "the old chunk is deleted with the job: {keys:?}"
    );
    assert!(keys.contains(&id().chunk_key(placed.index / per_chunk, true)), "{keys:?}");
}

/// A job with the longest list of machine types that the previous version accepted can be cancelled under
/// the lower limits, although its full record is then too large to be written.
#[test]
fn a_job_with_a_large_record_can_be_cancelled() {
    let mut record: JobRecord = serde_json::from_str(&active_record()).unwrap();
    if let Some(spec) = &mut record.spec {
        spec.machine_types = Some((0..64).map(|i| format!("{i:0>100}")).collect());
        (spec.image, spec.class) = ("i".repeat(200), "c".repeat(200));
    }
    assert!(serde_json::to_string(&record).unwrap().len() > 6000);
    assert_eq!(record.encode(2048), None);
    record.phase = JobPhase::Cancelled;
    let text = record.encode(2048).unwrap();
    let read: JobRecord = serde_json::from_str(&text).unwrap();
    let spec = read.spec.unwrap();
    assert_eq!((spec.team.as_str(), spec.tasks, spec.demand.cpus), ("requests", 12, 4.0));
}

/// Returns settings with three nodes and limits of the state service that will be lowered.
fn settings() -> Settings {
    Settings {
        nodes: 3,
        peers: vec!["plank-1".into(), "plank-2".into()],
        next_kv_changes_per_s: 42.0,
        max_value_bytes: 2048,
        max_txn_changes: 4,
        ..common::settings()
    }
}

/// The version barrier opens once every node has written at least this version's format. A missing node or
/// an earlier format keeps it closed. Once open, it stays open.
#[test]
fn version_barrier_waits_for_every_node() {
    let row = |machine: &str, format: u32| KeyValue {
        key: format!("node/{machine}"),
        value: format!("{{\"format\":{format}}}"),
        mod_revision: 1,
    };
    let barrier_after_listing = |rows: Vec<KeyValue>| {
        let (mut version_barrier, mut out) = (VersionBarrier::new(&settings()), EffectSink::default());
        version_barrier.tick(NOW, &mut out);
        version_barrier.handle_reply(
            VersionBarrierCall::WriteVersion,
            Ok(KvReply::Conflict { failed: vec!["node/plank-0".into()] }),
            &mut out,
        );
        version_barrier.tick(NOW, &mut out);
        version_barrier.handle_reply(
            VersionBarrierCall::ListVersions,
            Ok(KvReply::Page { rows, truncated: false, revision: 9 }),
            &mut out,
        );
        version_barrier
    };
    assert!(!barrier_after_listing(vec![row("plank-0", 1), row("plank-1", 1)]).is_open());
    assert!(!barrier_after_listing(vec![row("plank-0", 1), row("plank-1", 1), row("plank-2", 0)]).is_open());
    let mut version_barrier = barrier_after_listing(vec![
        row("plank-0", 1),
        row("plank-1", 1),
        row("plank-2", 2),
        row("plank-9", 1),
    ]);
    assert!(version_barrier.is_open());
    let mut out = EffectSink::default();
    version_barrier.handle_reply(VersionBarrierCall::ListVersions, Err(CallError::OutcomeUnknown), &mut out);
    version_barrier.tick(NOW * 2, &mut out);
    assert!(version_barrier.is_open() && out.queued.is_empty());
}
