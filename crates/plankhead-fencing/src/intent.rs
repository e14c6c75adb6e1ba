//! An intent: one action of a leader on the cloud, with its idempotency key and its state.

use crate::action::{ActionDigest, CloudAction};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The most open intents: the cloud's rate limit allows a few actions a second.
pub const MAX_OPEN_INTENTS: usize = 1_000;

/// The idempotency key of an intent. It is never used for another action.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// A key of this text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How far an intent has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IntentState {
    /// Decided; not known to be durable.
    Intended,
    /// Its record is durable, and nothing was sent.
    Recorded,
    /// Read from the record of a former leader, which may have sent it or may still.
    Adopted,
    /// Sent at least once; an answer is outstanding or was lost.
    Issued,
    /// Its effect, or that it has none, is certain.
    Confirmed,
    /// Abandoned without an effect that is known.
    Abandoned,
}

impl IntentState {
    /// Whether the transition to `next` is allowed: the one list of all of them.
    pub fn can_transition_to(self, next: IntentState) -> bool {
        use IntentState::*;
        match self {
            // Straight to `Issued`: a forced return while the state service fails.
            Intended => matches!(next, Recorded | Issued | Abandoned),
            Recorded => matches!(next, Issued | Abandoned),
            Adopted => matches!(next, Issued | Abandoned),
            Issued => matches!(next, Issued | Confirmed | Abandoned),
            Confirmed | Abandoned => false,
        }
    }

    /// Whether the intent is not over yet.
    pub fn is_open(self) -> bool {
        !matches!(self, IntentState::Confirmed | IntentState::Abandoned)
    }

    /// The state's name, for display.
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

/// A state transition that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("intent {key} can't go from {} to {}", from.name(), to.name())]
pub struct InvalidTransition {
    /// The intent's key.
    pub key: IdempotencyKey,
    /// Its present state.
    pub from: IntentState,
    /// The state that it was to enter.
    pub to: IntentState,
}

/// An action with its key, its leader's token and its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Intent {
    /// The key under which the action is repeated, and never another.
    pub key: IdempotencyKey,
    /// The fencing token of the leader that intended it.
    pub token: u64,
    /// What is to be done.
    pub action: CloudAction,
    /// The action's digest.
    pub digest: ActionDigest,
    /// When it was intended, in milliseconds since 1970 by the leader's wall clock: only
    /// displayed, no decision depends on it.
    pub intended_ms: u64,
    /// How often it was issued.
    pub attempts: u32,
    state: IntentState,
}

impl Intent {
    /// A new intent of the present leader.
    pub fn intended(key: IdempotencyKey, token: u64, action: CloudAction, intended_ms: u64) -> Self {
        let digest = action.digest();
        Self { key, token, action, digest, intended_ms, attempts: 0, state: IntentState::Intended }
    }

    /// An intent that a former leader left.
    pub fn adopted(key: IdempotencyKey, token: u64, action: CloudAction, intended_ms: u64) -> Self {
        Self { state: IntentState::Adopted, ..Self::intended(key, token, action, intended_ms) }
    }

    /// Its present state.
    pub fn state(&self) -> IntentState {
        self.state
    }

    /// Enters the next state; entering `Issued` counts an attempt.
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
