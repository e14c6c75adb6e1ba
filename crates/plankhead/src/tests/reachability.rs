//! Tests of coverage messages, the reachability settings file, and the table of `plankhead reachability`.

use crate::peer_messages::coverage::{decode, encode, MAX_MESSAGE};
use crate::settings::reachability::ReachabilityFile;
use crate::subcommands::reachability::{disagreements, format_table, parse_view, NodeView, NodeViews};
use crate::tests::{assert_schema_is_current, compare_with_fixture, parse_file};
use plankhead_reachability::coverage::{Coverage, CoverageError};
use plankhead_reachability::mode::Mode;
use plankhead_reachability::settings::Settings;
use serde_json::{json, Value};

fn coverage() -> Coverage {
    Coverage {
        host: "plank-1".into(),
        boot: 7,
        sequence: 3,
        token: 41,
        mode: Mode::StateOnly,
        numbering: 99,
        reporting: (0..4_000).collect(),
        reached: (0..4_000).step_by(2).collect(),
        expected: 4_000,
        peers: vec!["plank-0".into()],
        successor: Some("plank-2".into()),
    }
}

#[test]
fn coverage_of_four_thousand_machines_is_small_and_survives_encoding() {
    let bytes = encode(&coverage()).unwrap();
    assert!(bytes.len() < 10_000, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes), Ok(coverage()));
}

/// The encoding must match the bytes recorded from version 749ebcd, since versions run side by side.
#[test]
fn coverage_encoding_is_unchanged() {
    let small = Coverage { reporting: (0..40).collect(), reached: (3..9).collect(), ..coverage() };
    compare_with_fixture("coverage.bin", &encode(&small).unwrap());
    assert_eq!(decode(include_bytes!("../../tests/fixtures/coverage.bin")), Ok(small));
}

#[test]
fn malformed_coverage_is_rejected() {
    let bytes = encode(&coverage()).unwrap();
    for length in (0..bytes.len()).step_by(7) {
        assert!(decode(&bytes[..length]).is_err(), "{length} bytes");
    }
    assert_eq!(decode(&vec![0; MAX_MESSAGE + 1]), Err(CoverageError::TooLarge));
    // A message with a changed byte is decoded or rejected, without a panic.
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x55;
        let _ = decode(&changed);
    }
}

#[test]
fn reachability_schema_is_current() {
    assert_schema_is_current::<ReachabilityFile>("reachability.schema.json");
}

#[test]
fn every_fault_of_the_reachability_file_is_reported() {
    let faults = |value: Value| {
        let (file, faults) = parse_file::<ReachabilityFile>(&value);
        (faults, Settings::from(file))
    };
    assert_eq!(faults(json!({})), (Vec::new(), Settings::default()));
    let deployed = include_str!("../../../../deploy/reachability.json");
    let (deployed_faults, settings) = faults(serde_json::from_str(deployed).unwrap());
    assert_eq!(deployed_faults, Vec::<String>::new());
    assert_eq!(settings, Settings { enabled: true, ..Settings::default() });
    let (bad, _) = faults(json!({"enabled": 1, "down_after_ms": 0, "reuse": 7, "flaps": true}));
    assert_eq!(bad.len(), 4, "{bad:?}");
    for part in ["/enabled", "/down_after_ms", "/reuse", "flaps"] {
        assert!(bad.iter().any(|fault| fault.contains(part)), "{part} in {bad:?}");
    }
}

fn view(leader: &str, hears: &[(&str, bool)]) -> Option<NodeView> {
    Some(NodeView {
        mode: "whole".into(),
        leader: Some(leader.into()),
        receives_from: hears.iter().map(|(host, hears)| ((*host).into(), *hears)).collect(),
        ..NodeView::default()
    })
}

#[test]
fn contradicting_views_are_reported() {
    let agree: NodeViews = [
        ("plank-0".into(), view("plank-0", &[("plank-1", true)])),
        ("plank-1".into(), view("plank-0", &[("plank-0", true)])),
    ]
    .into();
    assert_eq!(disagreements(&agree), Vec::<String>::new());
    assert!(format_table(&agree).ends_with("the views agree\n"));
    let differ: NodeViews = [
        ("plank-0".into(), view("plank-0", &[("plank-1", false), ("plank-2", true)])),
        ("plank-1".into(), view("plank-2", &[("plank-0", true)])),
        ("plank-2".into(), None),
    ]
    .into();
    assert_eq!(
        disagreements(&differ),
        [
            "plank-0 leads according to plank-0",
            "plank-2 leads according to plank-1",
            "plank-0 does not hear plank-1, which hears plank-0",
            "plank-0 hears plank-2, which did not answer",
        ]
    );
    assert!(format_table(&differ).contains("plank-2          does not answer"));
}

/// Covers the key names of the previous version, too, which has other names for the leader and the peers.
#[test]
fn views_are_parsed_with_and_without_reachability_checks() {
    for (leader_key, peers_key) in [("leaderHost", "peers"), ("foreman", "siblings")] {
        let with = json!({"host": "plank-0", "leader": null, leader_key: "plank-1", peers_key: [],
            "reachability": {"mode": "state-only", "sinceS": 4.5, "heard": 3, "links": [
                {"link": "reportsIn", "peer": null, "condition": "down"},
                {"link": "peerIn", "peer": "plank-1", "condition": "down"},
                {"link": "peerIn", "peer": "plank-2", "condition": "up"}]}});
        let parsed = parse_view(&with);
        assert_eq!((parsed.mode.as_str(), parsed.since_s, parsed.workers), ("state-only", 4.5, 3));
        assert_eq!(parsed.leader.as_deref(), Some("plank-1"));
        assert_eq!(parsed.down_links, ["reportsIn", "peerIn plank-1"]);
        assert_eq!(parsed.receives_from, [("plank-1".into(), false), ("plank-2".into(), true)].into());
        let without = json!({"host": "plank-0", "leader": {}, "reachability": null,
            peers_key: [{"host": "plank-1", "heardS": 0.4}, {"host": "plank-2", "heardS": 9.0}]});
        let parsed = parse_view(&without);
        assert_eq!(parsed.mode, "not judged");
        assert_eq!(parsed.leader.as_deref(), Some("plank-0"));
        assert_eq!(parsed.receives_from, [("plank-1".into(), true), ("plank-2".into(), false)].into());
    }
}
