//! A link that carries calls, evaluated by their answers.

use super::{LinkCondition, LinkStatus, IDLE_TIMEOUT};
use crate::latency::Latency;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of calls in flight that are tracked. The oldest ones are sufficient to evaluate the
/// link.
const MAX_OUTSTANDING: usize = 512;
/// The multiple of the 99th percentile of round-trip times after which an answer is overdue.
const OVERDUE_FACTOR: u32 = 4;
/// The minimum time after which an answer is overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(200);
/// The maximum time after which an answer is overdue.
const MAX_OVERDUE: Duration = Duration::from_secs(1);
/// The length of a window of round-trip times.
const ROUND_TRIP_WINDOW: Duration = Duration::from_secs(60);
/// The minimum number of consecutive failures for a link to be down. A single failure may have other causes.
const MIN_FAILURES: u32 = 2;
/// The number of calls in flight at which a link that is down is not probed further.
const MAX_PROBES: usize = 8;
/// The time without a call after which a link that may have failed is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A number of consecutive failures.
#[derive(Debug, Clone, Copy)]
struct Failures {
    /// The time from which the link has been failing.
    since: Duration,
    count: u32,
}

impl Failures {
    /// Adds a failure as of `at`.
    fn add(former: Option<Self>, at: Duration) -> Self {
        let former = former.unwrap_or(Self { since: at, count: 0 });
        Self { since: former.since.min(at), count: former.count.saturating_add(1) }
    }
}

/// A connection that carries calls.
#[derive(Debug)]
pub struct CallLink {
    down_after: Duration,
    confirmed_at: Option<Duration>,
    /// The failures since the latest confirmation.
    failures: Option<Failures>,
    /// The send time of each tracked call in flight, by the call's id.
    outstanding: BTreeMap<u64, Duration>,
    /// The send time of the latest call.
    sent_at: Option<Duration>,
    round_trips: Latency,
    status: LinkStatus,
}

impl CallLink {
    /// Creates a link that is down once it has failed for `down_after`.
    pub fn new(down_after: Duration, now: Duration) -> Self {
        Self {
            down_after,
            confirmed_at: None,
            failures: None,
            outstanding: BTreeMap::new(),
            sent_at: None,
            round_trips: Latency::new(ROUND_TRIP_WINDOW),
            status: LinkStatus::new(now),
        }
    }

    /// Records that a call was sent. Its answer will confirm the link.
    pub fn call_sent(&mut self, call: u64, now: Duration) {
        self.sent_at = Some(now);
        if self.outstanding.len() < MAX_OUTSTANDING {
            self.outstanding.insert(call, now);
        }
    }

    /// Records that a call was answered.
    pub fn call_answered(&mut self, call: u64, now: Duration) {
        if let Some(sent) = self.outstanding.remove(&call) {
            self.round_trips.add(now.saturating_sub(sent), now);
        }
        self.record_confirmation(now);
    }

    /// Records that a call was refused or not answered.
    pub fn call_failed(&mut self, call: u64, now: Duration) {
        let sent = self.outstanding.remove(&call);
        // A call that failed by a time-out counts as failed from when its answer was overdue.
        let since = sent.map_or(now, |sent| (sent + self.overdue_after()).min(now));
        self.record_failure(since);
    }

    /// Records that a call ended without evidence about the link.
    pub fn call_dropped(&mut self, call: u64) {
        self.outstanding.remove(&call);
    }

    /// Records that the link was confirmed, by an answer or by other evidence.
    pub fn record_confirmation(&mut self, now: Duration) {
        self.status.counts.confirmed += 1;
        self.confirmed_at = Some(now);
        self.failures = None;
    }

    /// Records that the link failed as of `since`.
    pub fn record_failure(&mut self, since: Duration) {
        self.status.counts.failed += 1;
        // The link worked at the latest confirmation, so the failure can't have begun before it.
        let since = since.max(self.confirmed_at.unwrap_or_default());
        self.failures = Some(Failures::add(self.failures, since));
    }

    /// Discards the calls in flight, the failures and the confirmation, which are no longer evidence.
    pub fn reset(&mut self) {
        self.outstanding.clear();
        self.failures = None;
        self.confirmed_at = None;
    }

    /// Returns the time after which an answer is overdue, according to the link's recent round-trip times.
    pub fn overdue_after(&self) -> Duration {
        let p99 = self.round_trips.p99().unwrap_or(MAX_OVERDUE / OVERDUE_FACTOR);
        (p99 * OVERDUE_FACTOR).clamp(MIN_OVERDUE, MAX_OVERDUE)
    }

    /// Returns the overdue calls as failures, or `None` if there are none. A call is overdue once the time
    /// since it was sent, and the time since the latest confirmation of the link, reach
    /// [`CallLink::overdue_after`].
    fn overdue(&self, now: Duration) -> Option<Failures> {
        let limit = self.overdue_after();
        let confirmed = self.confirmed_at.unwrap_or_default();
        // A confirmation after the call was sent shows that the link worked then and only this call was lost.
        let due = |sent: &Duration| (*sent).max(confirmed) + limit;
        let overdue = self.outstanding.values().map(due).filter(|due| *due <= now);
        overdue.fold(None, |found, due| Some(Failures::add(found, due)))
    }

    /// Evaluates the link, and returns whether its condition has changed.
    pub fn evaluate(&mut self, now: Duration) -> bool {
        let overdue = self.overdue(now);
        let failures = [self.failures, overdue].into_iter().flatten();
        let count = failures.clone().map(|failures| failures.count).sum::<u32>();
        let since = failures.map(|failures| failures.since).min();
        let is_lasting = since.is_some_and(|since| now.saturating_sub(since) >= self.down_after);
        let is_fresh = self.confirmed_at.is_some_and(|at| now.saturating_sub(at) < IDLE_TIMEOUT);
        let is_repeated = count >= MIN_FAILURES;
        let condition = match since {
            Some(_) if is_lasting && is_repeated => LinkCondition::Down,
            // A link that was down stays down until it is confirmed.
            Some(_) if self.status.condition == LinkCondition::Down => LinkCondition::Down,
            Some(_) => LinkCondition::Suspect,
            None if is_fresh => LinkCondition::Up,
            None => LinkCondition::Unknown,
        };
        self.status.update(condition, now)
    }

    /// Returns the link's status as of the latest evaluation.
    pub fn status(&self) -> LinkStatus {
        self.status
    }

    /// Returns the 99th percentile of recent round-trip times, or `None` if too few are known.
    pub fn p99_round_trip(&self) -> Option<Duration> {
        self.round_trips.p99()
    }

    /// Returns whether the link may have failed and has too few calls in flight to show whether it has.
    pub fn needs_probe(&self, now: Duration) -> bool {
        let is_doubtful = self.failures.is_some() || self.overdue(now).is_some();
        // While the link is down, its recovery should be noticed soon, even if earlier calls are stuck.
        if self.status.condition == LinkCondition::Down {
            return is_doubtful && self.outstanding.len() < MAX_PROBES;
        }
        let is_quiet = self.sent_at.is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL);
        is_doubtful && is_quiet && self.outstanding.len() < MIN_FAILURES as usize
    }
}
