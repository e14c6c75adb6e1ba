//! A token bucket on the caller's clock, for limits on requests per second.

use std::time::Duration;

/// Room for the rounding errors of refills.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Grants `rate` tokens a second and saves at most `burst` of them.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    /// When the level was last brought up to date.
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens a second and holds at most `burst`, at least 1.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self { rate, burst, level: burst, refilled_at: Duration::ZERO }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed_s * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whole tokens that can be saved at the most.
    pub fn burst(&self) -> usize {
        self.burst as usize
    }

    /// Whole tokens that could be taken now.
    pub fn available(&mut self, now: Duration) -> usize {
        self.refill(now);
        self.level.max(0.0) as usize
    }

    /// Takes `count` tokens, or none if there are not that many.
    pub fn take(&mut self, now: Duration, count: usize) -> bool {
        self.refill(now);
        if self.level + ROUNDING_TOLERANCE < count as f64 {
            return false;
        }
        self.level -= count as f64;
        true
    }
}
