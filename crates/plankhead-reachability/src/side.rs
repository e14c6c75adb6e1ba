//! One side of what a node sees, with hysteresis and flap damping.

use crate::damping::FlapDamping;
use crate::settings::Settings;
use std::time::Duration;

#[derive(Debug)]
pub struct SideStatus {
    up_after: Duration,
    damping: FlapDamping,
    up: bool,
    since: Duration,
    /// Since when its links have been good without a break.
    good_since: Option<Duration>,
}

impl SideStatus {
    /// What is not known yet is not broken.
    pub fn new(settings: &Settings, now: Duration) -> Self {
        Self {
            up_after: settings.up_after,
            damping: FlapDamping::new(settings.half_life, settings.suppress, settings.reuse),
            up: true,
            since: now,
            good_since: Some(now),
        }
    }

    /// Takes in whether the links are good; true if the side has changed.
    pub fn judge(&mut self, good: bool, now: Duration) -> bool {
        let before = self.up;
        if !good {
            if self.good_since.take().is_some() {
                self.damping.failed(now);
            }
            self.up = false;
        } else {
            let since = *self.good_since.get_or_insert(now);
            let held = now.saturating_sub(since) >= self.up_after;
            // Whether it is suppressed is asked first: the penalty decays by that.
            let suppressed = self.damping.suppressed(now);
            self.up |= held && !suppressed;
        }
        if self.up != before {
            self.since = now;
        }
        self.up != before
    }

    pub fn up(&self) -> bool {
        self.up
    }

    /// Whether its links are good, even if it is not trusted yet.
    pub fn good(&self) -> bool {
        self.good_since.is_some()
    }

    pub fn since(&self) -> Duration {
        self.since
    }

    pub fn penalty(&self) -> f64 {
        self.damping.penalty()
    }

    pub fn suppressed(&mut self, now: Duration) -> bool {
        self.damping.suppressed(now)
    }
}
