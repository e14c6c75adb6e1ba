//! Tests of the numbering of machines, of valid and invalid coverage messages, and of the choice of the
//! node that should lead.

#![allow(clippy::unwrap_used)]

use plankhead_reachability::bitmap;
use plankhead_reachability::coverage::*;
use plankhead_reachability::handover::*;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::numbering::{
    MachineName, MachineNumbering, NumberingPageError, PageWrite, MAX_NUMBER, PREFIX,
};
use plankhead_reachability::settings::Settings;
use roaring::RoaringBitmap;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn machines(numbers: std::ops::Range<u32>) -> BTreeSet<MachineName> {
    numbers.map(|n| MachineName::from(format!("machine-{n:05}"))).collect()
}

/// Writes pages until all machines have a number, and applies each as if the state service had stored it.
fn write_all(
    numbering: &mut MachineNumbering,
    names: &BTreeSet<MachineName>,
    bytes: usize,
    revision: &mut u64,
) -> Vec<PageWrite> {
    let mut writes = Vec::new();
    while let Some(write) = numbering.next_write(names, bytes) {
        assert!(write.value.len() <= bytes, "{} bytes", write.value.len());
        *revision += 1;
        numbering.apply_page(&write.key, &write.value, *revision).unwrap();
        writes.push(write);
        assert!(writes.len() < 1_000, "next_write does not stop after 1000 pages");
    }
    writes
}

#[test]
fn each_of_4000_machines_gets_its_own_number() {
    for bytes in [1_024, 8_192] {
        let (mut numbering, mut revision) = (MachineNumbering::default(), 10);
        let names = machines(0..4_000);
        let writes = write_all(&mut numbering, &names, bytes, &mut revision);
        let numbers: BTreeSet<u32> = names.iter().filter_map(|name| numbering.number(name)).collect();
        assert_eq!(numbers.len(), 4_000);
        assert!(numbers.iter().all(|number| *number < MAX_NUMBER));
        // Another node that reads the same pages has the same numbering.
        let mut other = MachineNumbering::default();
        for (write, revision) in writes.iter().zip(11..) {
            other.apply_page(&write.key, &write.value, revision).unwrap();
        }
        assert!(names.iter().all(|name| other.number(name) == numbering.number(name)));
        let all: RoaringBitmap = numbers.iter().copied().collect();
        assert!(bitmap::encode(&all).len() < 16_384);
        assert_eq!(decode_bitmap(&bitmap::encode(&all)).unwrap(), all);
    }
}

#[test]
fn a_reassigned_number_in_an_old_bitmap_does_not_match_the_new_machine() {
    let (mut numbering, mut revision) = (MachineNumbering::default(), 10);
    write_all(&mut numbering, &machines(0..20), 1_024, &mut revision);
    let (before, number) = (numbering.revision(), numbering.number("machine-00003").unwrap());
    let mut names = machines(0..20);
    names.remove("machine-00003");
    names.insert("another".into());
    write_all(&mut numbering, &names, 1_024, &mut revision);
    assert_eq!(numbering.number("another"), Some(number));
    assert_eq!(numbering.number("machine-00003"), None);
    assert!(
        !numbering.was_assigned_at(number, before),
        "in an earlier bitmap, the number refers to the removed machine"
    );
    assert!(numbering.was_assigned_at(number, numbering.revision()));
    let other = numbering.number("machine-00004").unwrap();
    assert!(numbering.was_assigned_at(other, before));
}

#[test]
fn unreadable_pages_are_rejected_and_not_overwritten() {
    let mut numbering = MachineNumbering::default();
    let key = format!("{PREFIX}0000");
    let long = format!("{{\"format\":1,\"names\":[\"{}\"]}}", "x".repeat(300));
    for value in ["", "{}", "[]", "{\"format\":1,\"names\":[7]}", long.as_str()] {
        assert!(
            matches!(numbering.apply_page(&key, value, 5), Err(NumberingPageError::Value { .. })),
            "{value}"
        );
    }
    let later = numbering.apply_page(&key, "{\"format\":9,\"names\":[]}", 5);
    assert_eq!(later, Err(NumberingPageError::Format { key: key.clone(), format: 9 }));
    for key in ["machines/", "machines/x", "machines/99999", "job/1"] {
        assert_eq!(
            numbering.apply_page(key, "{\"format\":1,\"names\":[]}", 5),
            Err(NumberingPageError::Key(key.into()))
        );
    }
    let write = numbering.next_write(&machines(0..3), 1_024).unwrap();
    assert_ne!(write.key, key, "the page of a later version is not overwritten");
    // An older revision of a page that is read late has no effect.
    numbering.apply_page(&write.key, &write.value, 9).unwrap();
    numbering.apply_page(&write.key, "{\"format\":1,\"names\":[]}", 8).unwrap();
    assert_eq!(numbering.len(), 3);
}

fn numbering_of_ten_machines() -> MachineNumbering {
    let (mut numbering, mut revision) = (MachineNumbering::default(), 10);
    write_all(&mut numbering, &machines(0..10), 8_192, &mut revision);
    numbering
}

fn coverage_table() -> CoverageTable {
    CoverageTable::new("plank-0", &["plank-1".into(), "plank-2".into()])
}

fn coverage_from(host: &str, sequence: u64) -> Coverage {
    let numbering = numbering_of_ten_machines().revision();
    Coverage { host: host.into(), boot: 7, sequence, numbering, ..Coverage::default() }
}

#[test]
fn invalid_messages_are_rejected_and_change_nothing() {
    let numbering = numbering_of_ten_machines();
    let mut table = coverage_table();
    let holder = Some(KnownLeader { host: "plank-2", token: 41 });
    let good = Coverage { reporting: [1, 2].into_iter().collect(), ..coverage_from("plank-1", 5) };
    table.receive(good.clone(), NOW, &numbering, holder).unwrap();
    let later_boot = Coverage { boot: 8, sequence: 1, ..good.clone() };
    let cases = [
        (coverage_from("plank-0", 9), CoverageError::OwnName),
        (coverage_from("plank-9", 9), CoverageError::UnknownPeer("plank-9".into())),
        (coverage_from("plank-1", 5), CoverageError::Outdated("plank-1".into())),
        (coverage_from("plank-1", 4), CoverageError::Outdated("plank-1".into())),
        (
            Coverage { token: 41, ..coverage_from("plank-1", 9) },
            CoverageError::TokenHeldByOther { host: "plank-1".into(), token: 41, holder: "plank-2".into() },
        ),
        (Coverage { numbering: 99, ..coverage_from("plank-1", 9) }, CoverageError::NumberingAhead),
        (
            Coverage { reporting: [3, 500, 501].into_iter().collect(), ..coverage_from("plank-1", 9) },
            CoverageError::UnassignedNumbers(2),
        ),
        (
            Coverage { peers: vec!["x".into(); 65], ..coverage_from("plank-1", 9) },
            CoverageError::Malformed("too many peers or too long a name".into()),
        ),
    ];
    for (count, (message, error)) in (1..).zip(cases) {
        assert_eq!(table.receive(message, NOW, &numbering, holder), Err(error));
        assert_eq!(table.rejected_count(), count);
        assert_eq!(table.fresh(NOW).collect::<Vec<_>>(), [&good]);
    }
    // After a restart of the sender its sequence begins again, and messages of the former start are rejected.
    // This also prevents two processes with the same name from being accepted in turn.
    table.receive(later_boot, NOW, &numbering, holder).unwrap();
    let former = Coverage { sequence: 99, ..good };
    assert_eq!(
        table.receive(former, NOW, &numbering, holder),
        Err(CoverageError::Outdated("plank-1".into()))
    );
}

#[test]
fn malformed_and_oversized_bitmaps_are_rejected() {
    assert_eq!(decode_bitmap(&vec![0; MAX_BITMAP_BYTES + 1]), Err(CoverageError::TooLarge));
    assert!(matches!(decode_bitmap(b"no bitmap"), Err(CoverageError::Malformed(_))));
    let encoded = bitmap::encode(&(0..5_000).step_by(3).collect());
    for length in 0..encoded.len() {
        assert!(matches!(decode_bitmap(&encoded[..length]), Err(CoverageError::Malformed(_))), "{length}");
    }
    let too_high: RoaringBitmap = [MAX_NUMBER].into_iter().collect();
    assert!(matches!(decode_bitmap(&bitmap::encode(&too_high)), Err(CoverageError::Malformed(_))));
}

#[test]
fn recent_coverage_shows_which_machines_report_to_peers() {
    let (numbering, mut table) = (numbering_of_ten_machines(), coverage_table());
    let number = numbering.number("machine-00004").unwrap();
    let reports = Coverage { reporting: [number].into_iter().collect(), ..coverage_from("plank-1", 1) };
    table.receive(reports, NOW, &numbering, None).unwrap();
    assert!(table.reports_to_a_peer("machine-00004", &numbering, NOW));
    assert!(!table.reports_to_a_peer("machine-00005", &numbering, NOW));
    assert!(
        !table.reports_to_a_peer("machine-00004", &numbering, NOW + COVERAGE_TIMEOUT),
        "the coverage is too old"
    );
    assert!(!table.no_peer_receives_heartbeats(NOW));
    table.receive(coverage_from("plank-1", 2), NOW, &numbering, None).unwrap();
    assert!(!table.no_peer_receives_heartbeats(NOW), "one peer has sent no coverage");
    table.receive(coverage_from("plank-2", 1), NOW, &numbering, None).unwrap();
    assert!(table.no_peer_receives_heartbeats(NOW));
    assert!(!table.no_peer_receives_heartbeats(NOW + COVERAGE_TIMEOUT));
}

fn leader(mode: Mode, reporting: u64) -> LeaderView {
    LeaderView { mode, reporting, expected: 100, state_suppressed: false }
}

fn candidate(host: &str, mode: Mode, reporting: u64) -> Candidate {
    Candidate { host: host.into(), mode, reporting }
}

#[test]
fn a_better_connected_node_is_chosen_by_the_number_of_its_machines() {
    let candidates = [
        candidate("plank-1", Mode::Whole, 30),
        candidate("plank-2", Mode::Whole, 70),
        candidate("plank-3", Mode::WorkersOnly, 100),
    ];
    let best = better_candidate(&leader(Mode::StateOnly, 0), &candidates);
    assert_eq!(best.map(|c| c.host.as_str()), Some("plank-2"));
    let best = better_candidate(&leader(Mode::Whole, 20), &candidates);
    assert_eq!(best.map(|c| c.host.as_str()), Some("plank-2"));
    assert_eq!(better_candidate(&leader(Mode::Whole, 40), &candidates), None);
    assert_eq!(better_candidate(&leader(Mode::StateOnly, 0), &[candidate("plank-1", Mode::Whole, 0)]), None);
    assert_eq!(better_candidate(&leader(Mode::StateOnly, 0), &candidates[2..]), None);
    let flapping = LeaderView { state_suppressed: true, ..leader(Mode::WorkersOnly, 100) };
    assert!(better_candidate(&flapping, &[candidate("plank-1", Mode::Whole, 0)]).is_some());
}

/// If two nodes receive the heartbeats of different parts of the machines, neither hands over to the other.
#[test]
fn nodes_that_receive_different_halves_do_not_hand_over() {
    for reporting in 34..=100 {
        let other = candidate("plank-1", Mode::Whole, 100 - reporting);
        assert_eq!(better_candidate(&leader(Mode::Whole, reporting), &[other]), None, "{reporting}");
    }
}

/// Even if another node is always better connected, each hand-over increases the time until the next one.
#[test]
fn repeated_hand_overs_become_less_frequent() {
    let mut handover = Handover::new(&Settings::default());
    let candidates = [candidate("plank-1", Mode::Whole, 90)];
    let (mut now, mut times) = (NOW, Vec::new());
    // The node leads again one second after each hand-over.
    let mut leading_since = NOW;
    while now < NOW + secs(120) {
        now += Duration::from_millis(100);
        if handover.choose_successor(&leader(Mode::Whole, 10), &candidates, leading_since, now).is_some() {
            times.push(now);
            leading_since = now + secs(1);
        }
    }
    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.windows(2).all(|pair| pair[0] < pair[1]), "{gaps:?}");
    assert!(times.len() <= 4, "{times:?}");
}

/// Another node must be better connected for `handover_after` without interruption.
#[test]
fn an_interrupted_advantage_causes_no_hand_over() {
    let mut handover = Handover::new(&Settings::default());
    let candidates = [candidate("plank-1", Mode::Whole, 90)];
    let mut now = NOW;
    for n in 0..300 {
        now += Duration::from_millis(100);
        let reporting = if n % 10 == 0 { 90 } else { 10 };
        assert_eq!(handover.choose_successor(&leader(Mode::Whole, reporting), &candidates, NOW, now), None);
    }
}
