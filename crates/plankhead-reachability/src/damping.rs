//! Flap damping, as for routes in RFC 2439. Each failure adds a penalty, which decays exponentially. A
//! side is suppressed from when its penalty reaches one threshold until it has decayed to a lower one.

use std::time::Duration;

/// The penalty of one failure.
const FAILURE_PENALTY: f64 = 1.0;
/// The maximum penalty, which limits how long a side stays suppressed.
const MAX_PENALTY: f64 = 4.0;

/// The flap penalty of one side.
#[derive(Debug, Clone)]
pub struct FlapDamping {
    half_life: Duration,
    suppress_threshold: f64,
    reuse_threshold: f64,
    penalty: f64,
    /// The time as of which `penalty` was computed.
    as_of: Duration,
    suppressed: bool,
}

impl FlapDamping {
    /// Creates a damping without a penalty. The penalty halves in every `half_life`. The side is
    /// suppressed once the penalty reaches `suppress_threshold`, until it has decayed to
    /// `reuse_threshold`.
    pub fn new(half_life: Duration, suppress_threshold: f64, reuse_threshold: f64) -> Self {
        Self {
            half_life,
            suppress_threshold,
            reuse_threshold,
            penalty: 0.0,
            as_of: Duration::ZERO,
            suppressed: false,
        }
    }

    fn decay(&mut self, now: Duration) {
        let since = now.saturating_sub(self.as_of);
        let half_lives = since.as_secs_f64() / self.half_life.as_secs_f64().max(1e-3);
        self.penalty *= 0.5_f64.powf(half_lives);
        self.as_of = self.as_of.max(now);
    }

    /// Adds the penalty of a failure.
    pub fn record_failure(&mut self, now: Duration) {
        self.decay(now);
        self.penalty = (self.penalty + FAILURE_PENALTY).min(MAX_PENALTY.max(self.suppress_threshold));
        self.suppressed |= self.penalty >= self.suppress_threshold;
    }

    /// Returns whether the side is suppressed: it does not count as up even if its links work.
    pub fn is_suppressed(&mut self, now: Duration) -> bool {
        self.decay(now);
        if self.penalty <= self.reuse_threshold {
            self.suppressed = false;
        }
        self.suppressed
    }
}
