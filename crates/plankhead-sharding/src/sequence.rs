//! Which messages of a controller are news: each stream is numbered, and late copies,
//! repeats and messages of an earlier start of the sender are refused.

use std::collections::HashMap;
use thiserror::Error;

/// What a message says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Tells one start of the sending process from another.
    pub boot: u64,
    /// Grows with every message of one start.
    pub sequence: u64,
}

#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum StaleMessage {
    #[error("a late copy or a repeat")]
    Sequence,
    #[error("of an earlier start of its sender")]
    Boot,
}

/// Starts of a sender that are remembered as over.
const MAX_FORMER_BOOTS: usize = 8;

#[derive(Debug, Default)]
struct Stream {
    latest: Option<Stamp>,
    former_boots: Vec<u64>,
}

/// The newest message of each sender.
#[derive(Debug, Default)]
pub struct SequenceGuard {
    streams: HashMap<String, Stream>,
}

impl SequenceGuard {
    /// Admits a message, and tells whether its sender has started anew since the last one.
    pub fn admit(&mut self, sender: &str, stamp: Stamp) -> Result<bool, StaleMessage> {
        let stream = self.streams.entry(sender.into()).or_default();
        if stream.former_boots.contains(&stamp.boot) {
            return Err(StaleMessage::Boot);
        }
        let restarted = match stream.latest {
            Some(latest) if latest.boot == stamp.boot => {
                if stamp.sequence <= latest.sequence {
                    return Err(StaleMessage::Sequence);
                }
                false
            }
            Some(latest) => {
                stream.former_boots.push(latest.boot);
                if stream.former_boots.len() > MAX_FORMER_BOOTS {
                    stream.former_boots.remove(0);
                }
                true
            }
            None => true,
        };
        stream.latest = Some(stamp);
        Ok(restarted)
    }
}
