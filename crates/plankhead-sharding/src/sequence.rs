//! Which messages of a controller are news: each stream is numbered, and late copies and
//! repeats are refused.

use std::collections::HashMap;
use thiserror::Error;

/// What a message says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageStamp {
    /// Tells one start of the sending process from another; in no order.
    pub boot: u64,
    /// Grows with every message of one start.
    pub sequence: u64,
}

#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("a late copy or a repeat")]
pub struct StaleMessage;

/// What a message is to its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It follows the ones before.
    Next,
    /// Its sender has begun anew, or this is a late message of an earlier start. No start is
    /// refused for good: whichever is the present one goes on sending, and is admitted again.
    OtherStart,
}

/// The newest message of each sender.
#[derive(Debug, Default)]
pub struct SequenceGuard {
    latest: HashMap<String, MessageStamp>,
}

impl SequenceGuard {
    /// Admits a message, or refuses it.
    pub fn admit(&mut self, sender: &str, stamp: MessageStamp) -> Result<Admission, StaleMessage> {
        let latest = self.latest.get(sender).filter(|latest| latest.boot == stamp.boot);
        if latest.is_some_and(|latest| stamp.sequence <= latest.sequence) {
            return Err(StaleMessage);
        }
        let admission = if latest.is_some() { Admission::Next } else { Admission::OtherStart };
        self.latest.insert(sender.into(), stamp);
        Ok(admission)
    }
}
