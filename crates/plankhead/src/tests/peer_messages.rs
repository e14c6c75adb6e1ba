//! Compares peer heartbeats and relay messages with bytes recorded from version 9ca3cb3, the version in
//! production before gangs. These messages are not extensible: that version could not decode a message with
//! an added field, so new data needs a new message.

use crate::http::Reply;
use crate::peer_messages::heartbeat::{decode, encode};
use crate::peer_messages::relay::{decode_reply, decode_request, encode_reply, encode_request};
use plankhead_core::protocol::{JobProgress, PeerHeartbeat};
use std::time::Duration;

const HEARTBEAT: &str = "6a6f622d30303034313200008a000000f4ffffff030000000d0000006a6f622d37ffffff000000000100000000000000706c616e6b2d31ff01000000000000002900000000000000c4ffffff02000000";
const RELAY_REQUEST: &str = "7b22686f7374223a22692d31227d0000f0ffffff0e000000";
const RELAY_REPLY: &str = "7b226261746f6e223a34312c226f7264657273223a5b5d7dc8000000e4ffffff18000000000000000100000000000000dc05000000000000";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn encodings_match_the_recorded_version() {
    let progress = |id: &str, done, running| JobProgress { id: id.into(), done, running };
    let heartbeat = PeerHeartbeat {
        host: "plank-1".into(),
        kv_available: true,
        token: 41,
        progress: vec![progress("job-000412", 3, 13), progress("job-7", 0, 1)],
    };
    let bytes = encode(&heartbeat).unwrap();
    assert_eq!(hex(&bytes), HEARTBEAT);
    assert_eq!(decode(&bytes), Some(heartbeat));
    let worker_heartbeat = br#"{"host":"i-1"}"#;
    let request = encode_request(worker_heartbeat).unwrap();
    assert_eq!(hex(&request), RELAY_REQUEST);
    assert_eq!(decode_request(&request).as_deref(), Some(worker_heartbeat.as_slice()));
    let body = br#"{"baton":41,"orders":[]}"#.to_vec();
    let reply = Reply { status: 200, body: body.clone(), retry_after: Some(Duration::from_millis(1500)) };
    let bytes = encode_reply(&reply).unwrap();
    assert_eq!(hex(&bytes), RELAY_REPLY);
    let decoded = decode_reply(&bytes).unwrap();
    assert_eq!((decoded.status, decoded.body, decoded.retry_after), (200, body, reply.retry_after));
}
