//! A token bucket for rate limits, driven by the caller's clock.

use std::time::Duration;

/// The tolerance for rounding errors of refills.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket that gains `rate` tokens per second and holds at most `burst` tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    /// When `tokens` was last updated.
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second and holds at most `burst` tokens.
    /// A `burst` below 1 is raised to 1.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self { rate, burst, tokens: burst, refilled_at: Duration::ZERO }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the number of whole tokens that the bucket can hold.
    pub fn burst(&self) -> usize {
        self.burst as usize
    }

    /// Returns the number of whole tokens that can be taken now.
    pub fn available(&mut self, now: Duration) -> usize {
        self.refill(now);
        self.tokens.max(0.0) as usize
    }

    /// Takes `count` tokens and returns `true`, or takes none and returns `false` if there are fewer.
    pub fn take(&mut self, now: Duration, count: usize) -> bool {
        self.refill(now);
        if self.tokens + ROUNDING_TOLERANCE < count as f64 {
            return false;
        }
        self.tokens -= count as f64;
        true
    }
}
