//! Tests of the table that `plankhead intents` prints.

use crate::subcommands::intents::{format_table, Leadership, Listing};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use plankhead_fencing::action::{CloudAction, InstanceReturn, Rental, ReturnReason};
use plankhead_fencing::intent::{IdempotencyKey, Intent};
use plankhead_fencing::record::RecordError;

const INTENDED_AT_MS: i64 = 1_796_202_000_000;

fn intent(key: &str, token: u64, action: CloudAction) -> Intent {
    Intent::adopted(IdempotencyKey::new(key), token, action, INTENDED_AT_MS as u64)
}

#[test]
fn table_shows_each_intent_and_what_it_waits_for() {
    let rental = Rental {
        name: "plank-0-41-3".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 7,
    };
    let machines = ["i-1", "i-2", "i-3", "i-4", "i-5"].map(Into::into).to_vec();
    let mut listing = Listing {
        leader: Some(Leadership { host: "plank-1".into(), token: 57 }),
        intents: vec![
            intent("plank-0-41-3", 41, CloudAction::Rent(rental)),
            intent(
                "57.1",
                57,
                CloudAction::Return(InstanceReturn { machines, reason: ReturnReason::Reclaim }),
            ),
        ],
        faults: vec![RecordError::Format { key: "duty/60/0".into(), format: 2 }],
    };
    let zone = TimeZone::get("Europe/Tallinn").unwrap();
    let now = Timestamp::from_millisecond(INTENDED_AT_MS + 90_000).unwrap();
    let text = format_table(&listing, now, &zone);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 5, "{text}");
    assert_eq!(lines[0], "plank-1 leads under token 57");
    let columns: Vec<&str> = lines[1].split_whitespace().collect();
    assert_eq!(columns, ["intent", "token", "kind", "subject", "since", "age", "waits", "for"]);
    for part in [
        "plank-0-41-3",
        "rent",
        "7 spot g8 in a",
        "2026-12-02 11:00:00",
        "90 s",
        "the leader, which has adopted it or will adopt it",
    ] {
        assert!(lines[2].contains(part), "{part} in {}", lines[2]);
    }
    for part in ["reclaim", "i-1, i-2, i-3 and 2 more", "the cloud's answer"] {
        assert!(lines[3].contains(part), "{part} in {}", lines[3]);
    }
    assert_eq!(lines[4], "record skipped: duty/60/0 has format 2");

    // The same time in another time zone, and no leader.
    listing.leader = None;
    let text = format_table(&listing, now, &TimeZone::get("America/Chicago").unwrap());
    assert!(text.starts_with("nobody leads\n") && text.contains("2026-12-02 03:00:00"), "{text}");
    assert!(text.contains("a new leader, which adopts it"), "{text}");
    let empty = format_table(&Listing::default(), now, &zone);
    assert_eq!(empty, "nobody leads\nno intent is open\n");
}
