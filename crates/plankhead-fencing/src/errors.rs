//! Errors of the intent log.

use crate::intent::{IdempotencyKey, InvalidTransition, MAX_OPEN_INTENTS};
use thiserror::Error;

/// Why an intent is not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IntentError {
    /// The key stands for another action already.
    #[error("the key {key} was used for another action")]
    KeyReused {
        /// The idempotency key.
        key: IdempotencyKey,
    },
    /// The intent does not fit into one value of the state service.
    #[error("the record of {key} takes {bytes} bytes, more than a value holds")]
    TooLarge {
        /// The idempotency key.
        key: IdempotencyKey,
        /// The size of the intent's record.
        bytes: usize,
    },
    /// [`MAX_OPEN_INTENTS`] are open.
    #[error("{MAX_OPEN_INTENTS} intents are open")]
    TooMany,
}

/// Why an intent may not be issued.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IssueError {
    /// No open intent has this key.
    #[error("there is no open intent {0}")]
    Unknown(IdempotencyKey),
    /// The intent's record is not durable, and nothing compels the action without it.
    #[error("the record of {0} is not durable")]
    NotDurable(IdempotencyKey),
    /// The intent's state does not allow it.
    #[error(transparent)]
    State(#[from] InvalidTransition),
}
