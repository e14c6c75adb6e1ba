//! How long a holder may renew workers' leases without reading the state service.

use std::time::Duration;

/// By how much sooner a holder stops renewing than leases and cancellations demand: for clock
/// drift and for messages under way.
const SAFETY_MARGIN: Duration = Duration::from_secs(2);
/// The age of a holder's view of the jobs beyond which it relays no starts: one second of a
/// watch, and one and a half for a slow answer. A holder renews no lease of its own, by which it
/// would learn sooner that the state service does not answer it.
const MAX_AGE_FOR_STARTS: Duration = Duration::from_millis(2500);

/// When a holder last read all jobs and all records. Each time is when the read was sent, never
/// when it was answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadTimes {
    /// As of when the jobs are known; `None`: not at all.
    pub jobs: Option<Duration>,
    /// As of when the shards' records are known; `None`: not at all.
    pub records: Option<Duration>,
}

impl ReadTimes {
    /// Whether a reply decided now may renew a lease: the lease must expire before a cancellation
    /// that this holder has not read is due, `a + lease (1 + d) + e <= v + cancel (1 - d)`, with
    /// `a` the time of the reply, `v` that of the read, `d` the clock drift and `e` the delay of
    /// messages. Only the holder's own reads count, so that however many holders and leaders
    /// follow each other, none extends another's time.
    pub fn may_renew_leases(&self, now: Duration, lease: Duration, cancel: Duration) -> bool {
        let bound = cancel.saturating_sub(lease + SAFETY_MARGIN);
        let is_fresh = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < bound);
        is_fresh(self.jobs) && is_fresh(self.records)
    }

    /// Whether a start may be relayed: no cancellation is likely to have been confirmed that this
    /// holder has not read.
    pub fn may_relay_starts(&self, now: Duration) -> bool {
        self.jobs.is_some_and(|at| now.saturating_sub(at) < MAX_AGE_FOR_STARTS)
    }
}
