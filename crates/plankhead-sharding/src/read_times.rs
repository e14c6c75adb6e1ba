//! The limits on how long a holder may renew workers' leases and relay starts without reading the
//! state service.

use std::time::Duration;

/// The margin by which a renewed lease must expire before the deadline of a cancellation. It covers clock
/// drift and messages in flight.
const SAFETY_MARGIN: Duration = Duration::from_secs(2);
/// The age at which a holder's view of the jobs is too old for relaying starts: 1 s for a watch call
/// and 1.5 s for a slow reply. A leader notices sooner that the state service does not answer, because it
/// fails to renew its own lease. A holder has no such lease and needs this limit instead.
const MAX_AGE_FOR_STARTS: Duration = Duration::from_millis(2500);

/// The times of a holder's latest complete reads from the state service. Each is the time at which
/// the read was sent, not the time of the reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadTimes {
    /// The time of the latest read of the jobs, or `None` if there was none.
    pub jobs: Option<Duration>,
    /// The time of the latest read of the shard records, or `None` if there was none.
    pub records: Option<Duration>,
}

impl ReadTimes {
    /// Returns whether a reply sent at `now` may renew a worker's lease. The lease must expire before
    /// the deadline of any cancellation that this holder has not read:
    /// `a + lease (1 + d) + e <= v + cancel (1 - d)`, where `a` is the time of the reply, `v` the time
    /// of the read, `d` the clock drift and `e` the delay of messages. Only this holder's own reads
    /// count, so the time does not grow when data passes through several nodes.
    pub fn may_renew_leases(&self, now: Duration, lease: Duration, cancel: Duration) -> bool {
        let bound = cancel.saturating_sub(lease + SAFETY_MARGIN);
        let is_fresh = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < bound);
        is_fresh(self.jobs) && is_fresh(self.records)
    }

    /// Returns whether the holder may relay a start. A cancellation that this holder has not read is
    /// then unlikely to have been confirmed already.
    pub fn may_relay_starts(&self, now: Duration) -> bool {
        self.jobs.is_some_and(|at| now.saturating_sub(at) < MAX_AGE_FOR_STARTS)
    }
}
