//! A duty: one action of the lease holder, from its intention to its end.

use crate::action::{Action, ActionDigest};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The idempotency key of a duty. It is never used for another action.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How far a duty has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Decided; not known to be durable.
    Intended,
    /// Its record is durable, and nothing was sent.
    Recorded,
    /// Read from the record of a former holder, who may have sent it or may still.
    Adopted,
    /// Sent once at least; an answer is outstanding or was lost.
    Issued,
    /// Its effect, or that it has none, is certain.
    Confirmed,
    /// Given up.
    Abandoned,
}

impl State {
    /// All transitions that are allowed.
    pub fn may_become(self, next: State) -> bool {
        use State::*;
        match self {
            // Straight to `Issued`: compelled while the state service fails.
            Intended => matches!(next, Recorded | Issued | Abandoned),
            Recorded => matches!(next, Issued | Abandoned),
            Adopted => matches!(next, Issued | Abandoned),
            Issued => matches!(next, Issued | Confirmed | Abandoned),
            Confirmed | Abandoned => false,
        }
    }

    /// Whether something is still to be done about it.
    pub fn is_open(self) -> bool {
        !matches!(self, State::Confirmed | State::Abandoned)
    }

    pub fn name(self) -> &'static str {
        match self {
            State::Intended => "intended",
            State::Recorded => "recorded",
            State::Adopted => "adopted",
            State::Issued => "issued",
            State::Confirmed => "confirmed",
            State::Abandoned => "abandoned",
        }
    }
}

/// A transition that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("duty {key} can't go from {} to {}", from.name(), to.name())]
pub struct InvalidTransition {
    pub key: IdempotencyKey,
    pub from: State,
    pub to: State,
}

/// An action with its key, its holder and its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Intent {
    pub key: IdempotencyKey,
    /// The fencing token of the holder who intended it.
    pub holder: u64,
    pub action: Action,
    pub digest: ActionDigest,
    /// When it was intended, by the holder's time of day: shown, never decided by.
    pub intended_ms: u64,
    /// How often it was sent.
    pub attempts: u32,
    state: State,
}

impl Intent {
    /// A new duty of the holder.
    pub fn intended(key: IdempotencyKey, holder: u64, action: Action, intended_ms: u64) -> Self {
        let digest = action.digest();
        Self { key, holder, action, digest, intended_ms, attempts: 0, state: State::Intended }
    }

    /// A duty that a former holder left.
    pub fn adopted(key: IdempotencyKey, holder: u64, action: Action, intended_ms: u64) -> Self {
        Self { state: State::Adopted, ..Self::intended(key, holder, action, intended_ms) }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Goes on to the next state.
    pub fn transition_to(&mut self, next: State) -> Result<(), InvalidTransition> {
        if !self.state.may_become(next) {
            return Err(InvalidTransition { key: self.key.clone(), from: self.state, to: next });
        }
        if next == State::Issued {
            self.attempts = self.attempts.saturating_add(1);
        }
        self.state = next;
        Ok(())
    }
}
