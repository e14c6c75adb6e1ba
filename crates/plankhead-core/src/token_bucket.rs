//! A token bucket on the caller's clock.

use std::time::Duration;

/// Grants `rate` tokens a second and saves at most `burst` of them.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl TokenBucket {
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self { rate, burst, level: burst, at: Duration::ZERO }
    }

    fn refill(&mut self, now: Duration) {
        let gone = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + gone * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Whole tokens that can be saved.
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
        if self.level + 1e-9 < count as f64 {
            return false;
        }
        self.level -= count as f64;
        true
    }
}
