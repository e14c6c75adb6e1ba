//! One side of a node's reachability, the state service or the workers, with hysteresis and flap
//! damping.

use crate::damping::FlapDamping;
use crate::settings::Settings;
use std::time::Duration;

/// The status of one side.
#[derive(Debug)]
pub struct SideStatus {
    up_after: Duration,
    damping: FlapDamping,
    up: bool,
    /// The time from which the links have worked without interruption; `None` while a link is down.
    working_since: Option<Duration>,
}

impl SideStatus {
    /// Creates the status of a side. It counts as up until one of its links is down.
    pub fn new(settings: &Settings, now: Duration) -> Self {
        Self {
            up_after: settings.up_after,
            damping: FlapDamping::new(
                settings.half_life,
                settings.suppress_threshold,
                settings.reuse_threshold,
            ),
            up: true,
            working_since: Some(now),
        }
    }

    /// Evaluates the side. `links_work` is whether none of its links is down.
    pub fn evaluate(&mut self, links_work: bool, now: Duration) {
        if !links_work {
            if self.working_since.take().is_some() {
                self.damping.record_failure(now);
            }
            self.up = false;
        } else {
            let since = *self.working_since.get_or_insert(now);
            let is_steady = now.saturating_sub(since) >= self.up_after;
            // Called even if the result is not needed, because it also lets the penalty decay.
            let is_suppressed = self.damping.is_suppressed(now);
            self.up |= is_steady && !is_suppressed;
        }
    }

    /// Returns whether the side counts as up.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns whether no link of the side is down, even if the side does not count as up yet.
    pub fn links_work(&self) -> bool {
        self.working_since.is_some()
    }

    /// Returns whether flap damping suppresses the side.
    pub fn is_suppressed(&mut self, now: Duration) -> bool {
        self.damping.is_suppressed(now)
    }
}
