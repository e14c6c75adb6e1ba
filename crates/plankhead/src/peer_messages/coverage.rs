//! Coverage messages, which tell the peers from which machines a node receives heartbeats. A peer whose
//! version does not support the path replies with 404, which still shows that it is reachable.

use super::{decode_archive, encode_archive};
use plankhead_reachability::bitmap;
use plankhead_reachability::coverage::{decode_bitmap, Coverage, CoverageError, MAX_BITMAP_BYTES};
use plankhead_reachability::mode::Mode;
use rkyv::{Archive, Deserialize, Serialize};

/// The path of coverage messages on the controller port.
pub const PATH: &str = "/coverage";
/// The largest message, in bytes: two bitmaps, the names, and the overhead of rkyv.
pub const MAX_MESSAGE: usize = 2 * MAX_BITMAP_BYTES + 32 * 1024;

#[derive(Archive, Serialize, Deserialize)]
struct CoverageMessage {
    host: String,
    boot: u64,
    sequence: u64,
    token: u64,
    mode: u8,
    numbering: u64,
    heard: Vec<u8>,
    reached: Vec<u8>,
    expected: u32,
    peers: Vec<String>,
    successor: Option<String>,
}

/// Encodes a node's coverage. Returns `None` if it can't be encoded.
pub fn encode(coverage: &Coverage) -> Option<Vec<u8>> {
    encode_archive(&CoverageMessage {
        host: coverage.host.clone(),
        boot: coverage.boot,
        sequence: coverage.sequence,
        token: coverage.token,
        mode: coverage.mode.code(),
        numbering: coverage.numbering,
        heard: bitmap::encode(&coverage.reporting),
        reached: bitmap::encode(&coverage.reached),
        expected: coverage.expected,
        peers: coverage.peers.clone(),
        successor: coverage.successor.clone(),
    })
}

/// Decodes and checks a message.
pub fn decode(bytes: &[u8]) -> Result<Coverage, CoverageError> {
    if bytes.len() > MAX_MESSAGE {
        return Err(CoverageError::TooLarge);
    }
    let message: CoverageMessage =
        decode_archive(bytes).map_err(|error| CoverageError::Malformed(error.to_string()))?;
    let mode = Mode::from_code(message.mode);
    Ok(Coverage {
        host: message.host,
        boot: message.boot,
        sequence: message.sequence,
        token: message.token,
        mode: mode.ok_or_else(|| CoverageError::Malformed("it has an unknown mode".into()))?,
        numbering: message.numbering,
        reporting: decode_bitmap(&message.heard)?,
        reached: decode_bitmap(&message.reached)?,
        expected: message.expected,
        peers: message.peers,
        successor: message.successor,
    })
}
