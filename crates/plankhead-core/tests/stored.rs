//! What version 749ebcd stored, of every kind of key, as it wrote it in histories of the
//! model (`fixtures/stored.jsonl`): this version reads all of it, and writes the same bytes
//! for what it has read.

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
/// What a value may hold in the model once the limits are lowered.
const LOWERED_VALUE_BYTES: usize = 1024;

/// A key of one history, as the state service had it.
#[derive(Debug, Deserialize)]
struct StoredRow {
    history: String,
    key: String,
    value: String,
    revision: u64,
}

/// Rows of the keys that begin so; there are some of every kind.
fn rows(prefix: &str) -> Vec<StoredRow> {
    let row = |line: &str| serde_json::from_str::<StoredRow>(line).unwrap();
    let rows: Vec<StoredRow> = STORED.lines().map(row).filter(|row| row.key.starts_with(prefix)).collect();
    assert!(!rows.is_empty(), "no {prefix} among the fixtures");
    rows
}

/// The rows' values, read and written again, are the same bytes.
fn same_bytes<T: DeserializeOwned + Serialize>(prefix: &str) {
    for row in rows(prefix) {
        let value: T = serde_json::from_str(&row.value).unwrap();
        assert_eq!(serde_json::to_string(&value).unwrap(), row.value, "{}", row.key);
    }
}

#[test]
fn job_records_are_the_same_bytes() {
    same_bytes::<JobRecord>("job/");
    same_bytes::<JobRecord>("over/");
}

#[test]
fn the_leader_and_the_target_are_the_same_bytes() {
    same_bytes::<LeaderRecord>("lead");
    same_bytes::<Target>("target");
}

#[test]
fn shard_records_are_the_same_bytes() {
    same_bytes::<ShardRecord>("shard/");
}

#[test]
fn versions_are_the_same_bytes() {
    for row in rows("node/") {
        assert_eq!(row.value, r#"{"format":1}"#);
    }
}

#[test]
fn pages_of_duties_are_the_same_bytes() {
    let mut duties = 0;
    for row in rows("duty/") {
        let (read, faults) = record::decode(&row.key, &row.value);
        assert!(faults.is_empty(), "{faults:?}");
        assert_eq!(record::encode(read.iter()), row.value);
        duties += read.len();
    }
    assert!(duties > 0);
}

/// Both layouts: as a job was accepted, and in smaller chunks for lower limits.
#[test]
fn chunks_are_the_same_bytes() {
    let mut jobs: BTreeMap<(String, String), JobRecord> = BTreeMap::new();
    for row in rows("job/") {
        jobs.insert((row.history, row.key), serde_json::from_str(&row.value).unwrap());
    }
    let (mut plain, mut small) = (0, 0);
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
            small += 1;
        } else {
            plain += 1;
        }
        let number = number.trim_start_matches('s').parse().unwrap();
        job_table.load_chunk(&id, number, &row.value, row.revision, NOW).unwrap();
        assert_eq!(job_table.encode_chunk(&id, number).unwrap().value, row.value, "{}", row.key);
    }
    assert!(plain > 0 && small > 0, "{plain} as accepted, {small} laid out anew");
}

#[test]
fn numbers_of_machines_are_read() {
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

/// A page of numbers is written as it was: for the same names, byte for byte.
#[test]
fn numbers_of_machines_are_the_same_bytes() {
    let machines = BTreeSet::from(["i-000001".into(), "i-000002".into(), "i-000007".into()]);
    let write = MachineNumbering::default().next_write(&machines, LOWERED_VALUE_BYTES).unwrap();
    assert_eq!(write.key, "machines/0000");
    assert_eq!(write.value, r#"{"format":1,"names":["i-000001","i-000002","i-000007"]}"#);
}
