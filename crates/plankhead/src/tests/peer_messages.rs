//! What the version in production before gangs (9ca3cb3) sent to its peers, recorded from it.
//! Messages of this kind don't extend: an added field would be unreadable to it, so that what
//! is new goes into messages of its own.

use crate::http::Reply;
use crate::peer_messages::heartbeat::{decode, encode};
use crate::peer_messages::relay::{decode_reply, decode_request, encode_reply, encode_request};
use plankhead_core::protocol::{JobProgress, PeerHeartbeat};
use std::time::Duration;

const PULSE: &str = "6a6f622d30303034313200008a000000f4ffffff030000000d0000006a6f622d37ffffff000000000100000000000000706c616e6b2d31ff01000000000000002900000000000000c4ffffff02000000";
const RELAY: &str = "7b22686f7374223a22692d31227d0000f0ffffff0e000000";
const REPLY: &str = "7b226261746f6e223a34312c226f7264657273223a5b5d7dc8000000e4ffffff18000000000000000100000000000000dc05000000000000";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn messages_are_those_of_the_version_before() {
    let progress = |id: &str, done, running| JobProgress { id: id.into(), done, running };
    let pulse = PeerHeartbeat {
        host: "plank-1".into(),
        kv_available: true,
        token: 41,
        progress: vec![progress("job-000412", 3, 13), progress("job-7", 0, 1)],
    };
    let bytes = encode(&pulse).unwrap();
    assert_eq!(hex(&bytes), PULSE);
    assert_eq!(decode(&bytes), Some(pulse));
    let heartbeat = br#"{"host":"i-1"}"#;
    let request = encode_request(heartbeat).unwrap();
    assert_eq!(hex(&request), RELAY);
    assert_eq!(decode_request(&request).as_deref(), Some(heartbeat.as_slice()));
    let body = br#"{"baton":41,"orders":[]}"#.to_vec();
    let reply = Reply { status: 200, body: body.clone(), retry: Some(Duration::from_millis(1500)) };
    let bytes = encode_reply(&reply).unwrap();
    assert_eq!(hex(&bytes), REPLY);
    let read = decode_reply(&bytes).unwrap();
    assert_eq!((read.status, read.body, read.retry), (200, body, reply.retry));
}
