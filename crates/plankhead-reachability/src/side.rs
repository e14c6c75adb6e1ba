//! One side of a node's reachability, the state service or the workers, with hysteresis and
//! flap damping.

use crate::damping::FlapDamping;
use crate::settings::Settings;
use std::time::Duration;

/// Whether a side is up.
#[derive(Debug)]
pub struct SideStatus {
    up_after: Duration,
    damping: FlapDamping,
    up: bool,
    /// Since when its links have been good without interruption; `None`: one is down.
    good_since: Option<Duration>,
}

impl SideStatus {
    /// A side whose links are not known yet counts as up.
    pub fn new(settings: &Settings, now: Duration) -> Self {
        Self {
            up_after: settings.up_after,
            damping: FlapDamping::new(settings.half_life, settings.suppress, settings.reuse),
            up: true,
            good_since: Some(now),
        }
    }

    /// Takes in whether the side's links are good.
    pub fn evaluate(&mut self, good: bool, now: Duration) {
        if !good {
            if self.good_since.take().is_some() {
                self.damping.failed(now);
            }
            self.up = false;
        } else {
            let since = *self.good_since.get_or_insert(now);
            let is_steady = now.saturating_sub(since) >= self.up_after;
            // Called in any case, since the penalty decays by it.
            let is_suppressed = self.damping.is_suppressed(now);
            self.up |= is_steady && !is_suppressed;
        }
    }

    /// Whether the side counts as up.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether its links are good, even if it does not count as up yet.
    pub fn is_good(&self) -> bool {
        self.good_since.is_some()
    }

    /// Whether flap damping keeps it from counting as up.
    pub fn is_suppressed(&mut self, now: Duration) -> bool {
        self.damping.is_suppressed(now)
    }
}
