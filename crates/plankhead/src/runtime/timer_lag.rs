//! Measures how late timers fire. Timers fire late when the process does not get enough CPU time.

use std::time::{Duration, Instant};

/// The factor by which each timer that fires on time reduces the lag.
const DECAY: f64 = 0.2;

/// The lag of recent timers. It rises at once when a timer is late and decays over the next timers.
#[derive(Debug, Default)]
pub struct TimerLag(Duration);

impl TimerLag {
    /// Records that a timer due at `due` fires at `now`.
    pub fn record(&mut self, due: Instant, now: Instant) {
        let late = now.saturating_duration_since(due);
        self.0 = late.max(self.0.mul_f64(DECAY));
    }

    /// Returns the current lag.
    pub fn get(&self) -> Duration {
        self.0
    }
}
