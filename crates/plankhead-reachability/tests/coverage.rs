//! The numbering, messages of coverage with all that can be wrong with them, and who
//! should lead.

#![allow(clippy::unwrap_used)]

use plankhead_reachability::bitmap;
use plankhead_reachability::coverage::*;
use plankhead_reachability::handover::*;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::numbering::{
    MachineNumbering, Name, NumberingPageError, PageWrite, MAX_NUMBER, PREFIX,
};
use plankhead_reachability::settings::Settings;
use roaring::RoaringBitmap;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn machines(numbers: std::ops::Range<u32>) -> BTreeSet<Name> {
    numbers.map(|n| Name::from(format!("machine-{n:05}"))).collect()
}

/// Writes pages until all have a number, as the state service would take them.
fn write_all(
    numbering: &mut MachineNumbering,
    names: &BTreeSet<Name>,
    bytes: usize,
    revision: &mut u64,
) -> Vec<PageWrite> {
    let mut writes = Vec::new();
    while let Some(write) = numbering.next_write(names, bytes) {
        assert!(write.value.len() <= bytes, "{} bytes", write.value.len());
        *revision += 1;
        numbering.read(&write.key, &write.value, *revision).unwrap();
        writes.push(write);
        assert!(writes.len() < 1_000, "it never ends");
    }
    writes
}

#[test]
fn four_thousand_machines_have_a_number_each() {
    for bytes in [1_024, 8_192] {
        let (mut numbering, mut revision) = (MachineNumbering::default(), 10);
        let names = machines(0..4_000);
        let writes = write_all(&mut numbering, &names, bytes, &mut revision);
        let numbers: BTreeSet<u32> = names.iter().filter_map(|name| numbering.number(name)).collect();
        assert_eq!(numbers.len(), 4_000);
        assert!(numbers.iter().all(|number| *number < MAX_NUMBER));
        // Another node that reads the same pages agrees.
        let mut other = MachineNumbering::default();
        for (write, revision) in writes.iter().zip(11..) {
            other.read(&write.key, &write.value, revision).unwrap();
        }
        assert!(names.iter().all(|name| other.number(name) == numbering.number(name)));
        let all: RoaringBitmap = numbers.iter().copied().collect();
        assert!(bitmap::encode(&all).len() < 16_384);
        assert_eq!(decode_bitmap(&bitmap::encode(&all)).unwrap(), all);
    }
}

#[test]
fn a_number_that_is_used_again_is_not_misread() {
    let (mut numbering, mut revision) = (MachineNumbering::default(), 10);
    write_all(&mut numbering, &machines(0..20), 1_024, &mut revision);
    let (before, number) = (numbering.revision(), numbering.number("machine-00003").unwrap());
    let mut names = machines(0..20);
    names.remove("machine-00003");
    names.insert("another".into());
    write_all(&mut numbering, &names, 1_024, &mut revision);
    assert_eq!(numbering.number("another"), Some(number));
    assert_eq!(numbering.number("machine-00003"), None);
    assert!(!numbering.meant(number, before), "a bitmap from before means the machine that is gone");
    assert!(numbering.meant(number, numbering.revision()));
    let other = numbering.number("machine-00004").unwrap();
    assert!(numbering.meant(other, before));
}

#[test]
fn pages_that_cannot_be_read_are_left_alone() {
    let mut numbering = MachineNumbering::default();
    let key = format!("{PREFIX}0000");
    let long = format!("{{\"format\":1,\"names\":[\"{}\"]}}", "x".repeat(300));
    for value in ["", "{}", "[]", "{\"format\":1,\"names\":[7]}", long.as_str()] {
        assert!(matches!(numbering.read(&key, value, 5), Err(NumberingPageError::Value { .. })), "{value}");
    }
    let later = numbering.read(&key, "{\"format\":9,\"names\":[]}", 5);
    assert_eq!(later, Err(NumberingPageError::Format { key: key.clone(), format: 9 }));
    for key in ["machines/", "machines/x", "machines/99999", "job/1"] {
        assert_eq!(
            numbering.read(key, "{\"format\":1,\"names\":[]}", 5),
            Err(NumberingPageError::Key(key.into()))
        );
    }
    let write = numbering.next_write(&machines(0..3), 1_024).unwrap();
    assert_ne!(write.key, key, "the page of a later version is not overwritten");
    // An older state of a page, read late, changes nothing.
    numbering.read(&write.key, &write.value, 9).unwrap();
    numbering.read(&write.key, "{\"format\":1,\"names\":[]}", 8).unwrap();
    assert_eq!(numbering.len(), 3);
}

fn numbering() -> MachineNumbering {
    let (mut numbering, mut revision) = (MachineNumbering::default(), 10);
    write_all(&mut numbering, &machines(0..10), 8_192, &mut revision);
    numbering
}

fn table() -> CoverageTable {
    CoverageTable::new("plank-0", &["plank-1".into(), "plank-2".into()])
}

fn from(host: &str, sequence: u64) -> Coverage {
    let numbering = numbering().revision();
    Coverage { host: host.into(), boot: 7, sequence, numbering, ..Coverage::default() }
}

#[test]
fn bad_messages_are_refused_and_change_nothing() {
    let numbering = numbering();
    let mut table = table();
    let holder = Some(KnownLeader { host: "plank-2", token: 41 });
    let good = Coverage { reporting: [1, 2].into_iter().collect(), ..from("plank-1", 5) };
    table.receive(good.clone(), NOW, &numbering, holder).unwrap();
    let later_boot = Coverage { boot: 8, sequence: 1, ..good.clone() };
    let cases = [
        (from("plank-0", 9), CoverageError::OwnName),
        (from("plank-9", 9), CoverageError::UnknownPeer("plank-9".into())),
        (from("plank-1", 5), CoverageError::Outdated("plank-1".into())),
        (from("plank-1", 4), CoverageError::Outdated("plank-1".into())),
        (
            Coverage { token: 41, ..from("plank-1", 9) },
            CoverageError::NotTheHolder { host: "plank-1".into(), token: 41, holder: "plank-2".into() },
        ),
        (Coverage { numbering: 99, ..from("plank-1", 9) }, CoverageError::NumberingAhead),
        (
            Coverage { reporting: [3, 500, 501].into_iter().collect(), ..from("plank-1", 9) },
            CoverageError::UnknownMachines(2),
        ),
        (
            Coverage { peers: vec!["x".into(); 65], ..from("plank-1", 9) },
            CoverageError::Malformed("it names too many peers".into()),
        ),
    ];
    for (count, (message, fault)) in (1..).zip(cases) {
        assert_eq!(table.receive(message, NOW, &numbering, holder), Err(fault));
        assert_eq!(table.refused(), count);
        assert_eq!(table.fresh(NOW).collect::<Vec<_>>(), [&good]);
    }
    // After a restart the sequence begins anew, and what the former start sent is over:
    // nor can somebody else use the name in turn with its owner.
    table.receive(later_boot, NOW, &numbering, holder).unwrap();
    let former = Coverage { sequence: 99, ..good };
    assert_eq!(
        table.receive(former, NOW, &numbering, holder),
        Err(CoverageError::Outdated("plank-1".into()))
    );
}

#[test]
fn malformed_and_oversized_bitmaps_are_refused() {
    assert_eq!(decode_bitmap(&vec![0; MAX_BITMAP_BYTES + 1]), Err(CoverageError::TooLarge));
    assert!(matches!(decode_bitmap(b"no bitmap"), Err(CoverageError::Malformed(_))));
    let whole = bitmap::encode(&(0..5_000).step_by(3).collect());
    for length in 0..whole.len() {
        assert!(matches!(decode_bitmap(&whole[..length]), Err(CoverageError::Malformed(_))), "{length}");
    }
    let far: RoaringBitmap = [MAX_NUMBER].into_iter().collect();
    assert!(matches!(decode_bitmap(&bitmap::encode(&far)), Err(CoverageError::Malformed(_))));
}

#[test]
fn coverage_tells_whose_silence_it_is() {
    let (numbering, mut table) = (numbering(), table());
    let number = numbering.number("machine-00004").unwrap();
    let reports = Coverage { reporting: [number].into_iter().collect(), ..from("plank-1", 1) };
    table.receive(reports, NOW, &numbering, None).unwrap();
    assert!(table.reports_to_a_peer("machine-00004", &numbering, NOW));
    assert!(!table.reports_to_a_peer("machine-00005", &numbering, NOW));
    assert!(!table.reports_to_a_peer("machine-00004", &numbering, NOW + COVERAGE_TIMEOUT), "it is too old");
    assert!(!table.no_peer_receives_heartbeats(NOW));
    table.receive(from("plank-1", 2), NOW, &numbering, None).unwrap();
    assert!(!table.no_peer_receives_heartbeats(NOW), "one peer has said nothing");
    table.receive(from("plank-2", 1), NOW, &numbering, None).unwrap();
    assert!(table.no_peer_receives_heartbeats(NOW));
    assert!(!table.no_peer_receives_heartbeats(NOW + COVERAGE_TIMEOUT));
}

fn own(mode: Mode, reporting: u64) -> LeaderView {
    LeaderView { mode, reporting, expected: 100, state_suppressed: false }
}

fn candidate(host: &str, mode: Mode, reporting: u64) -> Candidate {
    Candidate { host: host.into(), mode, reporting }
}

#[test]
fn a_blind_leader_hands_over_to_who_hears_most() {
    let candidates = [
        candidate("plank-1", Mode::Whole, 30),
        candidate("plank-2", Mode::Whole, 70),
        candidate("plank-3", Mode::WorkersOnly, 100),
    ];
    let best = better_placed(&own(Mode::StateOnly, 0), &candidates);
    assert_eq!(best.map(|c| c.host.as_str()), Some("plank-2"));
    let best = better_placed(&own(Mode::Whole, 20), &candidates);
    assert_eq!(best.map(|c| c.host.as_str()), Some("plank-2"));
    assert_eq!(better_placed(&own(Mode::Whole, 40), &candidates), None);
    assert_eq!(better_placed(&own(Mode::StateOnly, 0), &[candidate("plank-1", Mode::Whole, 0)]), None);
    assert_eq!(better_placed(&own(Mode::StateOnly, 0), &candidates[2..]), None);
    let flapping = LeaderView { state_suppressed: true, ..own(Mode::WorkersOnly, 100) };
    assert!(better_placed(&flapping, &[candidate("plank-1", Mode::Whole, 0)]).is_some());
}

/// Two nodes with different halves of the workers: neither hands over.
#[test]
fn different_halves_do_not_play_ping_pong() {
    for reporting in 34..=100 {
        let other = candidate("plank-1", Mode::Whole, 100 - reporting);
        assert_eq!(better_placed(&own(Mode::Whole, reporting), &[other]), None, "{reporting}");
    }
}

/// Whoever is better placed now one, now the other: each hand-over makes the next one
/// wait longer.
#[test]
fn hand_overs_become_rarer() {
    let mut handover = Handover::new(&Settings::default());
    let candidates = [candidate("plank-1", Mode::Whole, 90)];
    let (mut now, mut times) = (NOW, Vec::new());
    // It leads again a second after each.
    let mut leads_since = NOW;
    while now < NOW + secs(120) {
        now += Duration::from_millis(100);
        if handover.decide(&own(Mode::Whole, 10), &candidates, leads_since, now).is_some() {
            times.push(now);
            leads_since = now + secs(1);
        }
    }
    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.windows(2).all(|pair| pair[0] < pair[1]), "{gaps:?}");
    assert!(times.len() <= 4, "{times:?}");
}

/// A better place must last: a moment's difference hands nothing over.
#[test]
fn a_moment_hands_nothing_over() {
    let mut handover = Handover::new(&Settings::default());
    let candidates = [candidate("plank-1", Mode::Whole, 90)];
    let mut now = NOW;
    for n in 0..300 {
        now += Duration::from_millis(100);
        let reporting = if n % 10 == 0 { 90 } else { 10 };
        assert_eq!(handover.decide(&own(Mode::Whole, reporting), &candidates, NOW, now), None);
    }
}
