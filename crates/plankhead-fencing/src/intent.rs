//! Intents: each is one action of a leader on the cloud, with its idempotency key and its state.

use crate::action::{ActionDigest, CloudAction};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The maximum number of open intents. The cloud's rate limit allows only a few actions per second.
pub const MAX_OPEN_INTENTS: usize = 1_000;

/// The idempotency key of an intent. A key is never reused for another action.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The state of an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IntentState {
    /// The action was decided. Its record is not known to be durable.
    Intended,
    /// The record is durable, and the action has not been sent.
    Recorded,
    /// The intent was read from a former leader's record. That leader may have sent the action, or
    /// may still send it.
    Adopted,
    /// The action was sent at least once, and its outcome is not known.
    Issued,
    /// The outcome is certain: the action took effect or never will.
    Confirmed,
    /// The intent was given up, although its outcome is not certain.
    Abandoned,
}

impl IntentState {
    /// Returns whether the transition to `next` is allowed. This is the only list of allowed
    /// transitions.
    pub fn can_transition_to(self, next: IntentState) -> bool {
        use IntentState::*;
        match self {
            // A forced return goes directly to `Issued` while the state service fails.
            Intended => matches!(next, Recorded | Issued | Abandoned),
            Recorded => matches!(next, Issued | Abandoned),
            Adopted => matches!(next, Issued | Abandoned),
            Issued => matches!(next, Issued | Confirmed | Abandoned),
            Confirmed | Abandoned => false,
        }
    }

    /// Returns whether the intent has not ended.
    pub fn is_open(self) -> bool {
        !matches!(self, IntentState::Confirmed | IntentState::Abandoned)
    }

    /// Returns the name of the state, for display.
    pub fn name(self) -> &'static str {
        match self {
            IntentState::Intended => "intended",
            IntentState::Recorded => "recorded",
            IntentState::Adopted => "adopted",
            IntentState::Issued => "issued",
            IntentState::Confirmed => "confirmed",
            IntentState::Abandoned => "abandoned",
        }
    }
}

/// The error for a state transition that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("intent {key} can't go from {} to {}", from.name(), to.name())]
pub struct InvalidTransition {
    /// The intent's key.
    pub key: IdempotencyKey,
    /// The current state.
    pub from: IntentState,
    /// The requested state.
    pub to: IntentState,
}

/// An action with its idempotency key, the token of its leader and its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Intent {
    /// The key under which this action, and no other, is sent and repeated.
    pub key: IdempotencyKey,
    /// The fencing token of the leader that created the intent.
    pub token: u64,
    /// The action to carry out.
    pub action: CloudAction,
    /// The digest of the action.
    pub digest: ActionDigest,
    /// The time at which the intent was created, in milliseconds since 1970 by the leader's wall
    /// clock. It is displayed only; no decision depends on it.
    pub intended_ms: u64,
    /// The number of times that this leader has issued the intent.
    pub attempts: u32,
    state: IntentState,
}

impl Intent {
    /// Creates a new intent of the current leader.
    pub fn intended(key: IdempotencyKey, token: u64, action: CloudAction, intended_ms: u64) -> Self {
        let digest = action.digest();
        Self { key, token, action, digest, intended_ms, attempts: 0, state: IntentState::Intended }
    }

    /// Creates an intent from a former leader's record.
    pub fn adopted(key: IdempotencyKey, token: u64, action: CloudAction, intended_ms: u64) -> Self {
        Self { state: IntentState::Adopted, ..Self::intended(key, token, action, intended_ms) }
    }

    /// Returns the current state.
    pub fn state(&self) -> IntentState {
        self.state
    }

    /// Changes the state to `next`. Entering `Issued` counts an attempt.
    pub fn transition_to(&mut self, next: IntentState) -> Result<(), InvalidTransition> {
        if !self.state.can_transition_to(next) {
            return Err(InvalidTransition { key: self.key.clone(), from: self.state, to: next });
        }
        if next == IntentState::Issued {
            self.attempts = self.attempts.saturating_add(1);
        }
        self.state = next;
        Ok(())
    }
}
