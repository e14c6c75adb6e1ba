//! Whether the state service answers this node.

use std::time::Duration;

/// Since when every call to the state service has failed.
#[derive(Debug, Default)]
pub(super) struct KvHealth {
    failing_since: Option<Duration>,
}

impl KvHealth {
    /// Whether no call has failed since the last one that succeeded.
    pub fn is_available(&self) -> bool {
        self.failing_since.is_none()
    }

    /// Whether every call has failed for longer than `time`.
    pub fn is_failing_for_longer_than(&self, time: Duration, now: Duration) -> bool {
        self.failing_since.is_some_and(|since| now.saturating_sub(since) > time)
    }

    /// Records a success; returns how long the outage lasted that it ends, if it ends one.
    pub fn record_success(&mut self, now: Duration) -> Option<Duration> {
        self.failing_since.take().map(|since| now.saturating_sub(since))
    }

    pub fn record_failure(&mut self, now: Duration) {
        self.failing_since.get_or_insert(now);
    }
}
