//! Errors of the intent log.

use crate::intent::{IdempotencyKey, InvalidTransition, MAX_OPEN_INTENTS};
use thiserror::Error;

/// The reasons why the log does not admit an intent.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IntentError {
    /// The key already belongs to another action.
    #[error("idempotency key {key} was used for another action")]
    KeyReused {
        /// The idempotency key.
        key: IdempotencyKey,
    },
    /// The intent does not fit into one value of the state service.
    #[error("the record of intent {key} has {bytes} bytes and does not fit into one value")]
    TooLarge {
        /// The idempotency key.
        key: IdempotencyKey,
        /// The size of the intent's record, in bytes.
        bytes: usize,
    },
    /// The log already holds [`MAX_OPEN_INTENTS`] open intents.
    #[error("the limit of {MAX_OPEN_INTENTS} open intents is reached")]
    TooMany,
}

/// The reasons why an intent may not be issued.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IssueError {
    /// No open intent has this key.
    #[error("there is no open intent {0}")]
    Unknown(IdempotencyKey),
    /// The intent's record is not durable, and an issue without it has not been permitted.
    #[error("the record of intent {0} is not durable")]
    NotDurable(IdempotencyKey),
    /// The intent's state does not allow issuing it.
    #[error(transparent)]
    State(#[from] InvalidTransition),
}
