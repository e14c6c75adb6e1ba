//! Peer heartbeats, which the nodes send to each other every second.

use super::{decode_archive, encode_archive, MAX_NAME};
use plankhead_core::node::MAX_ACCEPTED_PROGRESS_ENTRIES;
use plankhead_core::protocol::{JobProgress, PeerHeartbeat};
use rkyv::{Archive, Deserialize, Serialize};

/// The path of peer heartbeats on the controller port.
pub const PATH: &str = "/pulse";
/// The largest message, in bytes.
pub const MAX_MESSAGE: usize = 1024 * 1024;

#[derive(Archive, Serialize, Deserialize)]
struct HeartbeatMessage {
    host: String,
    kv_available: bool,
    token: u64,
    /// The job id, and the numbers of completed and running tasks, of each job.
    progress: Vec<(String, u32, u32)>,
}

/// Encodes a heartbeat. Returns `None` if it can't be encoded.
pub fn encode(heartbeat: &PeerHeartbeat) -> Option<Vec<u8>> {
    let progress = heartbeat.progress.iter();
    encode_archive(&HeartbeatMessage {
        host: heartbeat.host.clone(),
        kv_available: heartbeat.kv_available,
        token: heartbeat.token,
        progress: progress.map(|job| (job.id.clone(), job.done, job.running)).collect(),
    })
}

/// Decodes a heartbeat. Returns `None` if it is malformed or too long.
pub fn decode(bytes: &[u8]) -> Option<PeerHeartbeat> {
    let message: HeartbeatMessage = decode_archive(bytes).ok()?;
    if message.progress.len() > MAX_ACCEPTED_PROGRESS_ENTRIES || message.host.len() > MAX_NAME {
        return None;
    }
    let progress = message.progress.into_iter();
    Some(PeerHeartbeat {
        host: message.host,
        kv_available: message.kv_available,
        token: message.token,
        progress: progress.map(|(id, done, running)| JobProgress { id, done, running }).collect(),
    })
}
