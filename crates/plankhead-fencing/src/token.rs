//! The highest fencing token seen, for resources that are our own.

use thiserror::Error;

/// A message under a token lower than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("token {given} is over: {highest} was seen")]
pub struct StaleToken {
    pub given: u64,
    pub highest: u64,
}

/// Keeps the highest token and refuses what comes under a lower one.
#[derive(Debug, Clone, Default)]
pub struct TokenGuard {
    highest: u64,
    refused: u64,
}

impl TokenGuard {
    /// Takes in a message's token.
    pub fn admit(&mut self, given: u64) -> Result<(), StaleToken> {
        if given < self.highest {
            self.refused += 1;
            return Err(StaleToken { given, highest: self.highest });
        }
        self.highest = given;
        Ok(())
    }

    /// A token became known without a message under it.
    pub fn observe(&mut self, token: u64) {
        self.highest = self.highest.max(token);
    }

    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// How many messages were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
