//! Ordering of messages between nodes: each start of a sender numbers its messages, and late
//! copies and repeats are refused.

use std::collections::HashMap;
use thiserror::Error;

/// The origin of a message: which start of its sender, and its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageStamp {
    /// The id of the start of the sending process; the ids have no order.
    pub boot: u64,
    /// Increases with every message of one start.
    pub sequence: u64,
}

/// The message is a late copy or a repeat of one that was admitted.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("a late copy or a repeat")]
pub struct StaleMessage;

/// How an admitted message relates to the ones before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It follows them.
    Next,
    /// Its sender was restarted, or this is a late message of an earlier start. No start is
    /// refused for good: the present one goes on sending, and is admitted again.
    OtherBoot,
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
        let admission = if latest.is_some() { Admission::Next } else { Admission::OtherBoot };
        self.latest.insert(sender.into(), stamp);
        Ok(admission)
    }
}
