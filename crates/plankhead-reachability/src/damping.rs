//! Flap damping, as routers damp routes (RFC 2439): each failure adds a penalty, which decays
//! exponentially; a side is suppressed from one limit until the penalty falls to another.

use std::time::Duration;

/// The penalty of one failure.
const FAILURE_PENALTY: f64 = 1.0;
/// The highest penalty, which bounds how long a side stays suppressed.
const MAX_PENALTY: f64 = 4.0;

/// The penalty of one side.
#[derive(Debug, Clone)]
pub struct FlapDamping {
    half_life: Duration,
    suppress: f64,
    reuse: f64,
    penalty: f64,
    /// As of when the penalty was computed.
    as_of: Duration,
    suppressed: bool,
}

impl FlapDamping {
    /// No penalty yet. It halves in every `half_life`; a side is suppressed once it reaches
    /// `suppress`, until it has fallen to `reuse`.
    pub fn new(half_life: Duration, suppress: f64, reuse: f64) -> Self {
        Self { half_life, suppress, reuse, penalty: 0.0, as_of: Duration::ZERO, suppressed: false }
    }

    fn decay(&mut self, now: Duration) {
        let since = now.saturating_sub(self.as_of);
        let half_lives = since.as_secs_f64() / self.half_life.as_secs_f64().max(1e-3);
        self.penalty *= 0.5_f64.powf(half_lives);
        self.as_of = self.as_of.max(now);
    }

    /// Adds the penalty of a failure.
    pub fn failed(&mut self, now: Duration) {
        self.decay(now);
        self.penalty = (self.penalty + FAILURE_PENALTY).min(MAX_PENALTY.max(self.suppress));
        self.suppressed |= self.penalty >= self.suppress;
    }

    /// Whether the side must not count as up yet, whatever its links show.
    pub fn is_suppressed(&mut self, now: Duration) -> bool {
        self.decay(now);
        if self.penalty <= self.reuse {
            self.suppressed = false;
        }
        self.suppressed
    }
}
