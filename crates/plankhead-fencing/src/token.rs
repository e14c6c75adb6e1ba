//! The highest fencing token that a node has seen, and the refusal of lower ones.

use thiserror::Error;

/// The error for a message whose token is lower than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("token {given} is stale: the highest token seen is {highest}")]
pub struct StaleToken {
    /// The message's token.
    pub given: u64,
    /// The highest token seen.
    pub highest: u64,
}

/// Remembers the highest token and refuses messages with a lower one.
#[derive(Debug, Clone, Default)]
pub struct TokenGuard {
    highest: u64,
    /// The highest token that a worker has reported. It may be a later token of the current term.
    reported: u64,
    /// The highest revision at which the current term is known to have been in force.
    in_force_at: u64,
    refused: u64,
}

impl TokenGuard {
    /// Admits a message with the token `given`, or refuses it if a higher token was seen.
    pub fn admit(&mut self, given: u64) -> Result<(), StaleToken> {
        let highest = self.highest();
        if given < highest {
            self.refused += 1;
            return Err(StaleToken { given, highest });
        }
        self.highest = given;
        Ok(())
    }

    /// Records a token that a worker has reported. It counts unless the current term is known to have been
    /// in force at that revision.
    pub fn report(&mut self, token: u64) {
        self.reported = self.reported.max(token);
    }

    /// Records that the current term was in force at this revision.
    pub fn record_term(&mut self, in_force_at: u64) {
        self.in_force_at = self.in_force_at.max(in_force_at);
    }

    /// Raises the highest token to `token` if that is higher.
    pub fn observe(&mut self, token: u64) {
        self.highest = self.highest.max(token);
    }

    /// Returns the highest token seen, or 0 if there was none.
    pub fn highest(&self) -> u64 {
        if self.reported > self.in_force_at {
            self.highest.max(self.reported)
        } else {
            self.highest
        }
    }

    /// Returns the number of messages that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
