//! Tests of encoding and parsing messages, and of rejecting malformed ones.

use crate::peer_messages::heartbeat::{decode, encode};
use crate::wire::cloud::{parse_instances, parse_machine_types, parse_rented};
use crate::wire::state_service::encode_txn;
use crate::wire::workers::{parse_heartbeat, HeartbeatReader};
use bytes::Bytes;
use plankhead_core::protocol::{ExitReason, JobProgress, KvChange, PeerHeartbeat, TaskStatus};
use serde_json::{json, Value};

#[test]
fn malformed_peer_heartbeats_are_rejected() {
    let progress = vec![JobProgress { id: "job-1".into(), done: 3, running: 4 }];
    let heartbeat = PeerHeartbeat { host: "plank-1".into(), kv_available: true, token: 7, progress };
    let bytes = encode(&heartbeat).unwrap();
    assert_eq!(decode(&bytes), Some(heartbeat));
    assert_eq!(decode(&bytes[..bytes.len() - 3]), None);
    assert_eq!(decode(&[0xff; 64]), None);
}

#[test]
fn malformed_heartbeats_are_rejected() {
    let good = json!({"host": "i-1", "address": "10.1.0.2:9000", "rig": "g8", "yard": "a", "loaners": true,
        "shift": 1, "tick": 88, "baton": 41, "warningS": null, "tomorrow": 1,
        "pieces": [{"piece": "job-1/3", "try": 2, "status": "running"},
                   {"piece": "job-2/0", "try": 1, "status": "ended", "cause": "done"}]});
    let parse = |v: &Value| parse_heartbeat(v.to_string().as_bytes());
    let heartbeat = parse(&good).unwrap();
    assert_eq!(
        (heartbeat.tasks[0].task.index, heartbeat.tasks[1].status),
        (3, TaskStatus::Exited(ExitReason::Completed))
    );
    for (pointer, bad) in [
        ("/pieces/0/piece", json!("job-1")),
        ("/pieces/0/piece", json!("job-1/-1")),
        ("/pieces/0/status", json!(7)),
        ("/pieces/1/cause", json!(null)),
        ("/shift", json!(-1)),
        ("/host", json!("two words")),
        ("/warningS", json!(1e300)),
    ] {
        let mut heartbeat = good.clone();
        *heartbeat.pointer_mut(pointer).unwrap() = bad;
        assert!(parse(&heartbeat).is_err(), "{pointer}");
    }
}

/// A status or exit reason of a later protocol version must neither make the heartbeat unreadable nor be
/// mistaken for a known one.
#[test]
fn gang_statuses_and_unknown_statuses_are_parsed() {
    let task_status = |status: &str, cause: Value| {
        let piece = json!({"piece": "job-1/3", "try": 2, "status": status, "cause": cause});
        let heartbeat = json!({"host": "i-1", "address": "10.1.0.2:9000", "rig": "g8", "yard": "a",
            "loaners": true, "shift": 1, "tick": 88, "baton": 41, "warningS": null, "pieces": [piece]});
        parse_heartbeat(heartbeat.to_string().as_bytes()).unwrap().tasks[0].status
    };
    assert_eq!(task_status("waiting", Value::Null), TaskStatus::WaitingForGang);
    assert_eq!(task_status("asleep", Value::Null), TaskStatus::Unrecognized);
    assert_eq!(task_status("ended", json!("mates_gone")), TaskStatus::Exited(ExitReason::GangMemberLost));
    assert_eq!(task_status("ended", json!("incomplete")), TaskStatus::Exited(ExitReason::GangIncomplete));
    assert_eq!(task_status("ended", json!("bored")), TaskStatus::Exited(ExitReason::Unrecognized));
}

#[test]
fn malformed_replies_of_the_cloud_are_rejected() {
    assert_eq!(parse_machine_types(br#"{"rigs":[{"label":"r"}]}"#), None);
    assert_eq!(parse_instances(br#"{"hosts":[{"nameId":"i-1"}],"truncated":false}"#), None);
    assert_eq!(parse_rented(br#"{"hosts":"i-1"}"#), None);
}

#[test]
fn transactions_are_encoded_as_published() {
    let changes = [
        KvChange::Put { key: "a/b".into(), value: r#"{"x":1}"#.into(), lease: Some(7) },
        KvChange::Delete { key: "c/d".into() },
    ];
    let body: Value = serde_json::from_slice(&encode_txn(&[], &changes).unwrap()).unwrap();
    let expected =
        json!({"if": [], "apply": [{"write": "a/b", "value": {"x": 1}, "hold": 7}, {"drop": "c/d"}]});
    assert_eq!(body, expected);
}

/// `HeartbeatReader` skips most of the parsing if only the sequence number has changed. It must return the
/// same result as `parse_heartbeat`. The test compares them after one heartbeat, for variants with other
/// sequence numbers and with each single byte replaced, inserted or removed.
#[test]
fn heartbeat_reader_agrees_with_the_parser() {
    let text = |tick: &str| {
        format!(
            r#"{{"host":"i-1","address":"10.1.0.2:9000","rig":"g8","yard":"a","loaners":true,"shift":1,"tick":{tick},"baton":41,"warningS":null,"later":[1,{{"tick":7}}],"pieces":[{{"piece":"job-1/3","try":2,"status":"running"}},{{"piece":"job-2/0","try":1,"status":"ended","cause":"done"}}]}}"#
        )
    };
    let first = text("88");
    let mut variants: Vec<Vec<u8>> =
        ["89", "7", "100", "-1", "1.", "01", "1e1", r#""""#, "{}", "8 ", " 8", "18446744073709551616"]
            .into_iter()
            .map(|tick| text(tick).into_bytes())
            .collect();
    for at in 0..first.len() {
        for byte in [b'0', b'9', b'"', b' ', b'}', b'x', 0xff] {
            let mut changed = first.clone().into_bytes();
            changed[at] = byte;
            variants.push(changed.clone());
            changed.insert(at, byte);
            variants.push(changed);
        }
        let mut shorter = first.clone().into_bytes();
        shorter.remove(at);
        variants.push(shorter);
    }
    let mut accepted = 0;
    for variant in variants {
        let mut reader = HeartbeatReader::default();
        assert!(reader.read(&Bytes::from(first.clone())).is_ok());
        let (cached, parsed) = (reader.read(&Bytes::from(variant.clone())), parse_heartbeat(&variant));
        accepted += usize::from(parsed.is_ok());
        assert_eq!(cached.ok(), parsed.ok(), "{}", String::from_utf8_lossy(&variant));
    }
    assert!(accepted > 100, "{accepted}");
}
