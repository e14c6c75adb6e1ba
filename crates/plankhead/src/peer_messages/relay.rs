//! Relayed heartbeats: a node sends the unchanged heartbeat of a worker to the peer that should answer it.
//! The peer returns its reply, and the node passes it on to the worker.

use super::{decode_archive, encode_archive};
use crate::http::{Reply, MAX_REQUEST};
use rkyv::{Archive, Deserialize, Serialize};
use std::time::Duration;

/// The path of relayed heartbeats on the controller port.
pub const PATH: &str = "/relay";
/// The largest message, in bytes: a heartbeat and the overhead of rkyv.
pub const MAX_MESSAGE: usize = MAX_REQUEST + 1024;

#[derive(Archive, Serialize, Deserialize)]
struct RelayRequest {
    heartbeat: Vec<u8>,
}

#[derive(Archive, Serialize, Deserialize)]
struct RelayReply {
    status: u16,
    body: Vec<u8>,
    retry_ms: Option<u64>,
}

/// Encodes a worker's heartbeat. Returns `None` if it can't be encoded.
pub fn encode_request(heartbeat: &[u8]) -> Option<Vec<u8>> {
    encode_archive(&RelayRequest { heartbeat: heartbeat.to_vec() })
}

/// Decodes a worker's heartbeat from a message. Returns `None` if the message is malformed.
pub fn decode_request(bytes: &[u8]) -> Option<Vec<u8>> {
    decode_archive::<RelayRequest>(bytes).ok().map(|message| message.heartbeat)
}

/// Encodes the reply to a worker. Returns `None` if it can't be encoded.
pub fn encode_reply(reply: &Reply) -> Option<Vec<u8>> {
    let retry_ms = reply.retry_after.map(|delay| delay.as_millis() as u64);
    encode_archive(&RelayReply { status: reply.status, body: reply.body.clone(), retry_ms })
}

/// Decodes the reply to a worker. Returns `None` if it is malformed.
pub fn decode_reply(bytes: &[u8]) -> Option<Reply> {
    let message: RelayReply = decode_archive(bytes).ok()?;
    let retry_after = message.retry_ms.map(Duration::from_millis);
    Some(Reply { status: message.status, body: message.body, retry_after })
}
