//! Tests of state transitions, keys, records, message sequences, bitmaps, lease bounds and balance.

#![allow(clippy::unwrap_used)]

use plankhead_reachability::bitmap::{self, BitmapError};
use plankhead_sharding::balance::{choose_holder, find_rebalance, Candidate, ShardLoad, ShardLoads};
use plankhead_sharding::machine_numbers::{self, MachineNumbers, NumberedMachines};
use plankhead_sharding::read_times::ReadTimes;
use plankhead_sharding::record::{PendingMove, RecordError, ShardRecord};
use plankhead_sharding::sequence::{Admission, MessageStamp, SequenceGuard, StaleMessage};
use plankhead_sharding::shard::ShardId;
use plankhead_sharding::state::{ShardState, Transition};
use plankhead_sharding::table::ShardTable;
use roaring::RoaringBitmap;
use std::sync::Arc;
use std::time::Duration;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Checks every state with every kind of transition. All transitions that are not listed are
/// forbidden.
#[test]
fn only_listed_transitions_are_allowed() {
    let (a, b) = ("a".to_owned(), "b".to_owned());
    let held = ShardState::Held { holder: a.clone(), epoch: 5 };
    let releasing = ShardState::Releasing { holder: a.clone(), epoch: 5, to: b.clone() };
    let released = ShardState::Released { holder: a.clone(), epoch: 5, to: b.clone() };
    let states = [ShardState::Vacant, held.clone(), releasing.clone(), released.clone()];
    let name = |holder: &String, epoch| Transition::Name { holder: holder.clone(), epoch };
    for state in &states {
        let named = ShardState::Held { holder: b.clone(), epoch: 9 };
        assert_eq!(state.after(name(&b, 9)), Ok(named), "{state}");
        let current = state.epoch();
        assert!(state.after(name(&b, current)).is_err(), "{state}: an epoch was reused");
        let begins = state.after(Transition::BeginRelease { to: b.clone() });
        assert_eq!(begins.ok(), (*state == held).then(|| releasing.clone()), "{state}");
        let confirmed = state.after(Transition::ConfirmRelease { epoch: 5 });
        assert_eq!(confirmed.ok(), (*state == releasing).then(|| released.clone()), "{state}");
        assert!(state.after(Transition::ConfirmRelease { epoch: 4 }).is_err(), "{state}");
    }
    assert!(held.after(Transition::BeginRelease { to: a }).is_err(), "a move to the present holder");
}

/// Nodes of all versions must agree on the shard of a machine.
#[test]
fn machine_shards_are_the_same_in_all_versions() {
    let indexes: Vec<u32> = (0..8).map(|n| ShardId::of("x", &format!("i-{n:06}"), 4).index).collect();
    assert_eq!(indexes, EXPECTED_INDEXES);
    let mut counts = [0u32; 8];
    for n in 0..4_000 {
        counts[ShardId::of("x", &format!("i-{n:06}"), 8).index as usize] += 1;
    }
    assert!(counts.iter().all(|count| (420..=580).contains(count)), "{counts:?}");
}

/// The indexes that the first version computed.
const EXPECTED_INDEXES: [u32; 8] = [0, 0, 0, 2, 3, 1, 0, 2];

#[test]
fn keys_and_records_round_trip_and_invalid_ones_are_refused() {
    let shard = ShardId { zone: "ringtee-dc".into(), index: 3 };
    assert_eq!(ShardId::from_key(&shard.key()), Ok(shard));
    for key in ["shard/", "shard/x", "shard//1", "shard/x/64", "shard/x/-1", "job/x/1", "shard/x/1a"] {
        assert!(ShardId::from_key(key).is_err(), "{key}");
    }
    let moving = Some(PendingMove { epoch: 7, to: "b".into() });
    let record = ShardRecord { moving, ..ShardRecord::held("a", 3, 5, 2) };
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(ShardRecord::decode(&text).unwrap(), record);
    assert_eq!((record.epoch(9), ShardRecord::held("a", 3, 5, 2).epoch(9)), (7, 9));
    assert!(matches!(
        ShardRecord::decode(&text.replace("\"format\":1", "\"format\":2")),
        Err(RecordError::Format(2))
    ));
    assert!(matches!(
        ShardRecord::decode(&text.replace("\"shards\":2", "\"shards\":0")),
        Err(RecordError::Range)
    ));
    assert!(matches!(ShardRecord::decode("[]"), Err(RecordError::Json(_))));
}

#[test]
fn the_table_keeps_the_newest_record_and_drops_unreadable_ones() {
    let text = |holder| serde_json::to_string(&ShardRecord::held(holder, 3, 5, 2)).unwrap();
    let mut table = ShardTable::default();
    let shard = ShardId { zone: "x".into(), index: 0 };
    table.insert("shard/x/0", &text("b"), 9).unwrap();
    table.insert("shard/x/0", &text("a"), 8).unwrap();
    assert_eq!(table.get(&shard).unwrap().record.holder, "b", "an older record replaced a newer one");
    assert!(table.shard_of("y", "i-1").is_none(), "a zone without records");
    table.remove("shard/x/0", 9);
    assert!(table.get(&shard).is_some(), "removed by a deletion at the revision of the record");
    assert!(table.insert("shard/x/0", "{}", 10).is_err());
    assert!(table.get(&shard).is_none(), "an unreadable record left the former one in the table");
}

#[test]
fn late_copies_are_refused_but_no_boot_id_permanently() {
    let mut guard = SequenceGuard::default();
    let stamp = |boot, sequence| MessageStamp { boot, sequence };
    assert_eq!(guard.admit("a", stamp(1, 5)), Ok(Admission::OtherBoot));
    assert_eq!(guard.admit("a", stamp(1, 5)), Err(StaleMessage));
    assert_eq!(guard.admit("a", stamp(1, 4)), Err(StaleMessage));
    assert_eq!(guard.admit("a", stamp(1, 9)), Ok(Admission::Next));
    assert_eq!(guard.admit("a", stamp(2, 1)), Ok(Admission::OtherBoot));
    assert_eq!(guard.admit("a", stamp(2, 2)), Ok(Admission::Next));
    assert_eq!(guard.admit("a", stamp(1, 10)), Ok(Admission::OtherBoot), "a late message");
    assert_eq!(
        guard.admit("a", stamp(2, 3)),
        Ok(Admission::OtherBoot),
        "the next message of the current process"
    );
    assert_eq!(guard.admit("b", stamp(1, 1)), Ok(Admission::OtherBoot));
}

#[test]
fn bitmaps_round_trip_and_invalid_ones_are_refused() {
    let mut numbers = MachineNumbers::default();
    let machines: Vec<Arc<str>> = (0..4_000).map(|n| format!("i-{n:06}").as_str().into()).collect();
    let mut names = NumberedMachines::default();
    let mut alive = RoaringBitmap::new();
    for machine in &machines {
        let number = numbers.assign(machine).unwrap();
        names.insert(number, machine.clone());
        alive.insert(number);
    }
    alive.insert(9_999);
    let bytes = bitmap::encode(&alive);
    assert!(bytes.len() < 1_024, "{} bytes for 4,000 machines", bytes.len());
    let read = machine_numbers::decode(&bytes).unwrap();
    assert_eq!(names.machines(&read).count(), 4_000, "an unknown number was not skipped");
    assert_eq!(numbers.assign(&machines[7]), numbers.get(&machines[7]), "the number of a machine changed");
    assert!(matches!(machine_numbers::decode(&[0; 3]), Err(BitmapError::Malformed(_))));
    assert_eq!(machine_numbers::decode(&vec![0; 17 * 1024]), Err(BitmapError::TooLarge));
    let many = bitmap::encode(&(0..20_000).collect());
    assert_eq!(machine_numbers::decode(&many), Err(BitmapError::TooLarge));
}

/// Checks `a + lease (1 + d) + e <= v + cancel (1 - d)` for the holder's own reads of jobs and records.
/// See `ReadTimes::may_renew_leases`.
#[test]
fn leases_end_before_an_unread_cancellation_is_due() {
    let (lease, cancel) = (secs(11), secs(36));
    let read_at = |jobs, records| ReadTimes { jobs: Some(secs(jobs)), records: Some(secs(records)) };
    assert!(read_at(100, 100).may_renew_leases(secs(122), lease, cancel));
    assert!(!read_at(100, 100).may_renew_leases(secs(123), lease, cancel));
    assert!(
        !read_at(100, 110).may_renew_leases(secs(123), lease, cancel),
        "renewed despite an outdated read of the jobs"
    );
    assert!(!read_at(110, 100).may_renew_leases(secs(123), lease, cancel));
    assert!(
        !ReadTimes { jobs: Some(secs(1)), records: None }.may_renew_leases(secs(1), lease, cancel),
        "renewed without a read of the records"
    );
    assert!(read_at(100, 0).may_relay_starts(secs(102)) && !read_at(100, 0).may_relay_starts(secs(103)));
    let latest = secs(123) + lease.mul_f64(1.0005) + Duration::from_millis(100);
    assert!(latest <= secs(100) + cancel.mul_f64(0.9995), "the bound does not hold at the latest renewal");
}

#[test]
fn load_is_balanced_by_zone_and_moves_do_not_continue() {
    let candidate =
        |host: &str, zone: &str, capacity| Candidate { host: host.into(), zone: zone.into(), capacity };
    let candidates = [candidate("a", "x", 0.3), candidate("b", "x", 1.0), candidate("c", "y", 1.0)];
    let mut loads = ShardLoads::new();
    for (zone, index) in [("x", 0), ("x", 1), ("y", 0), ("y", 1)] {
        loads.insert(ShardId { zone: zone.into(), index }, ShardLoad { machines: 40, holder: None });
    }
    for shard in loads.keys().cloned().collect::<Vec<_>>() {
        let chosen = choose_holder(&shard, &candidates, &loads).unwrap().host.clone();
        assert_eq!(chosen, if shard.zone == "x" { "b" } else { "c" }, "{shard}");
        loads.get_mut(&shard).unwrap().holder = Some(chosen);
    }
    assert_eq!(find_rebalance(&candidates, &loads, 0.25), None, "a balanced distribution was changed");
    for load in loads.values_mut() {
        load.holder = Some("c".into());
    }
    let mut moves = 0;
    while let Some(best) = find_rebalance(&candidates, &loads, 0.25) {
        loads.get_mut(&best.shard).unwrap().holder = Some(best.to);
        moves += 1;
        assert!(moves <= 3, "the moves do not end: {loads:?}");
    }
    assert!(moves >= 1);
    assert_eq!(choose_holder(&ShardId::of("x", "m", 1), &[], &loads), None);
}
