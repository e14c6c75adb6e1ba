//! Tracks whether the state service answers this node.

use std::time::Duration;

/// The outage of the state service as seen by this node.
#[derive(Debug, Default)]
pub(super) struct KvHealth {
    /// When the first call failed after the last successful one; `None` if none has failed since.
    failing_since: Option<Duration>,
}

impl KvHealth {
    /// Whether no call has failed since the last successful one.
    pub fn is_available(&self) -> bool {
        self.failing_since.is_none()
    }

    /// Whether calls have been failing without a success for longer than `time`.
    pub fn is_failing_for_longer_than(&self, time: Duration, now: Duration) -> bool {
        self.failing_since.is_some_and(|since| now.saturating_sub(since) > time)
    }

    /// Records a successful call. Returns the length of the outage that it ends, if there was one.
    pub fn record_success(&mut self, now: Duration) -> Option<Duration> {
        self.failing_since.take().map(|since| now.saturating_sub(since))
    }

    pub fn record_failure(&mut self, now: Duration) {
        self.failing_since.get_or_insert(now);
    }
}
