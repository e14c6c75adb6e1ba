//! How late timers fire: what a process whose processor time is used up falls behind by.

use std::time::{Duration, Instant};

/// The share of the lag that each timer which fires in time leaves.
const DECAY: f64 = 0.2;

/// The lag of the latest timers. A peak counts at once, and is forgotten within some timers.
#[derive(Debug, Default)]
pub struct TimerLag(Duration);

impl TimerLag {
    /// Takes in that a timer which was due at `due` is handled now.
    pub fn measure(&mut self, due: Instant, now: Instant) {
        let late = now.saturating_duration_since(due);
        self.0 = late.max(self.0.mul_f64(DECAY));
    }

    /// The lag.
    pub fn get(&self) -> Duration {
        self.0
    }
}
