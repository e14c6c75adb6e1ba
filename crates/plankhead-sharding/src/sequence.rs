//! Ordering of messages between nodes. Each process numbers the messages that it sends, and the
//! recipient refuses late copies and duplicates.

use std::collections::HashMap;
use thiserror::Error;

/// The origin of a message: the sending process and the number of the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageStamp {
    /// The boot id of the sending process, which is new at every start of it. Boot ids have no order.
    pub boot: u64,
    /// The number of the message, which increases with every message of the process.
    pub sequence: u64,
}

/// The error for a message that is a late copy or a duplicate of an admitted one.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("the message is a late copy or a duplicate")]
pub struct StaleMessage;

/// The relation of an admitted message to the previous message of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The message has the same boot id and a higher number.
    Next,
    /// The message is the first of its sender or has another boot id: the sender was restarted, or
    /// this is a late message from before its restart. No boot id is refused permanently, because
    /// boot ids have no order. After a late message, the next one of the current process is admitted
    /// as `OtherBoot` again.
    OtherBoot,
}

/// The stamps of the latest admitted messages, by sender.
#[derive(Debug, Default)]
pub struct SequenceGuard {
    latest: HashMap<String, MessageStamp>,
}

impl SequenceGuard {
    /// Admits a message or refuses it as stale.
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
