//! Compatibility with stored data. `fixtures/stored.jsonl` holds values of every kind of key, as
//! version 749ebcd wrote them in histories of the model. This version must read all of them, and write
//! the same bytes for what it has read.

#![allow(clippy::unwrap_used)]

use plankhead_core::jobs::job::{JobId, JobRecord};
use plankhead_core::jobs::job_table::{tasks_per_chunk, JobTable, StoredJob};
use plankhead_core::leader::Target;
use plankhead_core::leadership::election::LeaderRecord;
use plankhead_fencing::record;
use plankhead_reachability::numbering::{self, MachineNumbering};
use plankhead_sharding::record::ShardRecord;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STORED: &str = include_str!("fixtures/stored.jsonl");
const NOW: Duration = Duration::from_secs(1_000);
/// The size limit of a value in the model after the state service lowers its limits.
const LOWERED_VALUE_BYTES: usize = 1024;

/// A key of one history, as the state service stored it.
#[derive(Debug, Deserialize)]
struct StoredRow {
    history: String,
    key: String,
    value: String,
    revision: u64,
}

/// Returns the rows whose keys have the prefix, and fails if there are none.
fn rows(prefix: &str) -> Vec<StoredRow> {
    let row = |line: &str| serde_json::from_str::<StoredRow>(line).unwrap();
    let rows: Vec<StoredRow> = STORED.lines().map(row).filter(|row| row.key.starts_with(prefix)).collect();
    assert!(!rows.is_empty(), "the fixtures have no key with the prefix {prefix}");
    rows
}

/// Asserts that the rows' values are the same bytes after they were decoded and encoded again.
fn assert_round_trip<T: DeserializeOwned + Serialize>(prefix: &str) {
    for row in rows(prefix) {
        let value: T = serde_json::from_str(&row.value).unwrap();
        assert_eq!(serde_json::to_string(&value).unwrap(), row.value, "{}", row.key);
    }
}

#[test]
fn job_records_round_trip() {
    assert_round_trip::<JobRecord>("job/");
    assert_round_trip::<JobRecord>("over/");
}

#[test]
fn leader_and_target_records_round_trip() {
    assert_round_trip::<LeaderRecord>("lead");
    assert_round_trip::<Target>("target");
}

#[test]
fn shard_records_round_trip() {
    assert_round_trip::<ShardRecord>("shard/");
}

#[test]
fn version_records_are_unchanged() {
    for row in rows("node/") {
        assert_eq!(row.value, r#"{"format":1}"#);
    }
}

#[test]
fn intent_pages_round_trip() {
    let mut intents = 0;
    for row in rows("duty/") {
        let (read, faults) = record::decode(&row.key, &row.value);
        assert!(faults.is_empty(), "{faults:?}");
        assert_eq!(record::encode(read.iter()), row.value);
        intents += read.len();
    }
    assert!(intents > 0);
}

/// The test covers both layouts: the chunks of a job as it was accepted, and the smaller ones that
/// replace them when the state service has lowered its limits.
#[test]
fn chunks_round_trip() {
    let mut jobs: BTreeMap<(String, String), JobRecord> = BTreeMap::new();
    for row in rows("job/") {
        jobs.insert((row.history, row.key), serde_json::from_str(&row.value).unwrap());
    }
    let (mut original, mut rechunked) = (0, 0);
    for row in rows("run/") {
        let mut parts = row.key.splitn(3, '/').skip(1);
        let (id, number) = (parts.next().unwrap(), parts.next().unwrap());
        let record = jobs[&(row.history, format!("job/{id}"))].clone();
        let id = JobId::parse(id).unwrap();
        let mut job_table = JobTable::default();
        let per_chunk = record.per_chunk;
        let job = StoredJob {
            record,
            mod_revision: 5,
            accepted_at: NOW,
            cancelled_at: None,
            tasks_per_chunk: per_chunk,
        };
        job_table.upsert(&id, job);
        if number.starts_with('s') {
            job_table.rechunk(tasks_per_chunk(LOWERED_VALUE_BYTES));
            rechunked += 1;
        } else {
            original += 1;
        }
        let number = number.trim_start_matches('s').parse().unwrap();
        job_table.load_chunk(&id, number, &row.value, row.revision, NOW).unwrap();
        assert_eq!(job_table.encode_chunk(&id, number).unwrap().value, row.value, "{}", row.key);
    }
    assert!(original > 0 && rechunked > 0, "{original} original chunks, {rechunked} smaller ones");
}

#[test]
fn machine_numbers_are_read() {
    #[derive(Deserialize)]
    struct StoredPage {
        names: Vec<Option<String>>,
    }
    for row in rows(numbering::PREFIX) {
        let page: StoredPage = serde_json::from_str(&row.value).unwrap();
        let mut numbering = MachineNumbering::default();
        numbering.apply_page(&row.key, &row.value, row.revision).unwrap();
        for (number, name) in (0..).zip(page.names) {
            assert_eq!(numbering.name(number).map(|name| name.to_string()), name);
        }
    }
}

/// A page of machine numbers is written byte for byte as before for the same names.
#[test]
fn machine_number_pages_are_unchanged() {
    let machines = BTreeSet::from(["i-000001".into(), "i-000002".into(), "i-000007".into()]);
    let write = MachineNumbering::default().next_write(&machines, LOWERED_VALUE_BYTES).unwrap();
    assert_eq!(write.key, "machines/0000");
    assert_eq!(write.value, r#"{"format":1,"names":["i-000001","i-000002","i-000007"]}"#);
}
