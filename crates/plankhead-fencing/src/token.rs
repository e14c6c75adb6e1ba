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
    refused: u64,
}

impl TokenGuard {
    /// Admits a message with the token `given`, or refuses it if a higher token was seen.
    pub fn admit(&mut self, given: u64) -> Result<(), StaleToken> {
        if given < self.highest {
            self.refused += 1;
            return Err(StaleToken { given, highest: self.highest });
        }
        self.highest = given;
        Ok(())
    }

    /// Raises the highest token to `token` if that is higher.
    pub fn observe(&mut self, token: u64) {
        self.highest = self.highest.max(token);
    }

    /// Returns the highest token seen, or 0 if there was none.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Returns the number of messages that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
