//! How long a holder may renew leases without seeing the state service.

use std::time::Duration;

/// What a holder's answers end sooner than leases and cancellations ask for: for the drift
/// of clocks and for what is under way.
const MARGIN: Duration = Duration::from_secs(2);
/// No starts once the jobs were not seen afresh for this long: a watch's second, and as much
/// again and a half for a slow answer. A holder has no renewals that would tell it sooner
/// that the state service fails it.
const START_WITHIN: Duration = Duration::from_millis(2500);

/// When a holder last saw the jobs and the records whole. Each time is when the read was
/// asked for, never when it was answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    pub jobs: Option<Duration>,
    pub records: Option<Duration>,
}

impl Freshness {
    /// Whether an answer decided now may renew a lease: it runs out before a cancellation
    /// that this holder could not see is due, `a + lease (1 + d) + e <= v + cancel (1 - d)`.
    /// The holder's own sight counts and nobody else's, so that however many holders and
    /// leaders follow each other, none adds to another's time.
    pub fn may_renew(&self, now: Duration, lease: Duration, cancel: Duration) -> bool {
        let bound = cancel.saturating_sub(lease + MARGIN);
        let seen = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < bound);
        seen(self.jobs) && seen(self.records)
    }

    /// Whether a start may be passed on: no cancellation is likely to have been confirmed
    /// unseen.
    pub fn may_start(&self, now: Duration) -> bool {
        self.jobs.is_some_and(|at| now.saturating_sub(at) < START_WITHIN)
    }
}
