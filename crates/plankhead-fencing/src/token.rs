//! The highest fencing token seen, which guards resources that plankhead itself owns.

use thiserror::Error;

/// A message under a lower token than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("token {given} is over: {highest} was seen")]
pub struct StaleToken {
    /// The message's token.
    pub given: u64,
    /// The highest token seen.
    pub highest: u64,
}

/// Keeps the highest token and refuses messages under lower ones.
#[derive(Debug, Clone, Default)]
pub struct TokenGuard {
    highest: u64,
    refused: u64,
}

impl TokenGuard {
    /// Admits a message by its token, or refuses it.
    pub fn admit(&mut self, given: u64) -> Result<(), StaleToken> {
        if given < self.highest {
            self.refused += 1;
            return Err(StaleToken { given, highest: self.highest });
        }
        self.highest = given;
        Ok(())
    }

    /// Raises the highest token without a message to admit.
    pub fn observe(&mut self, token: u64) {
        self.highest = self.highest.max(token);
    }

    /// The highest token seen; 0: none yet.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// How many messages were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
