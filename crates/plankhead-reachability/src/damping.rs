//! Damping of what flaps, as routers damp routes: each failure adds a penalty, which
//! decays; above one limit the side is suppressed, until it falls below another.

use std::time::Duration;

/// What one failure adds.
const FAILURE: f64 = 1.0;
/// The penalty stops here, which bounds how long a side stays suppressed.
const MAX_PENALTY: f64 = 4.0;

#[derive(Debug, Clone)]
pub struct FlapDamping {
    half_life: Duration,
    suppress: f64,
    reuse: f64,
    penalty: f64,
    /// When the penalty was that.
    as_of: Duration,
    suppressed: bool,
}

impl FlapDamping {
    pub fn new(half_life: Duration, suppress: f64, reuse: f64) -> Self {
        Self { half_life, suppress, reuse, penalty: 0.0, as_of: Duration::ZERO, suppressed: false }
    }

    fn decay(&mut self, now: Duration) {
        let since = now.saturating_sub(self.as_of);
        let half_lives = since.as_secs_f64() / self.half_life.as_secs_f64().max(1e-3);
        self.penalty *= 0.5_f64.powf(half_lives);
        self.as_of = self.as_of.max(now);
    }

    /// The side has failed.
    pub fn failed(&mut self, now: Duration) {
        self.decay(now);
        self.penalty = (self.penalty + FAILURE).min(MAX_PENALTY.max(self.suppress));
        self.suppressed |= self.penalty >= self.suppress;
    }

    /// Whether the side is not to be trusted yet, whatever it shows.
    pub fn suppressed(&mut self, now: Duration) -> bool {
        self.decay(now);
        if self.penalty <= self.reuse {
            self.suppressed = false;
        }
        self.suppressed
    }

    pub fn penalty(&self) -> f64 {
        self.penalty
    }
}
