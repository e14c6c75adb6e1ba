//! A link that carries calls, judged by their answers.

use super::{LinkCondition, LinkStatus, IDLE_TIMEOUT};
use crate::latency::Latency;
use std::collections::BTreeMap;
use std::time::Duration;

/// The most calls under way whose start is remembered; the oldest ones suffice to judge by.
const MAX_OUTSTANDING: usize = 512;
/// An answer that takes this many times the high quantile is overdue.
const OVERDUE_FACTOR: u32 = 4;
/// The bounds of that time, whatever the quantile.
const MIN_OVERDUE: Duration = Duration::from_millis(200);
const MAX_OVERDUE: Duration = Duration::from_secs(1);
/// The length of one window of round trips.
const ROUND_TRIP_WINDOW: Duration = Duration::from_secs(60);
/// The least failures in a row by which a link is down: a single one may have any cause.
const MIN_FAILURES: u32 = 2;
/// The most calls under way on a link that is down, beyond which it is not probed.
const MAX_PROBES: usize = 8;
/// A link that may have failed is probed once nothing was sent over it for so long.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Failures since the last confirmation.
#[derive(Debug, Clone, Copy)]
struct Failures {
    since: Duration,
    count: u32,
}

impl Failures {
    /// One more failure, as of then.
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
    /// Failures since the last confirmation.
    failures: Option<Failures>,
    /// When each call under way was sent, by its number.
    outstanding: BTreeMap<u64, Duration>,
    /// When the latest call was sent.
    sent_at: Option<Duration>,
    round_trips: Latency,
    status: LinkStatus,
}

impl CallLink {
    /// A link that is down once it has failed for `down_after`.
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

    /// A call was sent, whose answer will confirm the link.
    pub fn sent(&mut self, call: u64, now: Duration) {
        self.sent_at = Some(now);
        if self.outstanding.len() < MAX_OUTSTANDING {
            self.outstanding.insert(call, now);
        }
    }

    /// The answer to a call came.
    pub fn answered(&mut self, call: u64, now: Duration) {
        if let Some(sent) = self.outstanding.remove(&call) {
            self.round_trips.add(now.saturating_sub(sent), now);
        }
        self.confirmed(now);
    }

    /// A call was refused, or given up.
    pub fn unanswered(&mut self, call: u64, now: Duration) {
        let sent = self.outstanding.remove(&call);
        // A call that took its whole time to fail has failed since it was overdue.
        let since = sent.map_or(now, |sent| (sent + self.overdue_after()).min(now));
        self.failed(since);
    }

    /// A call ended without showing anything about the link.
    pub fn dropped(&mut self, call: u64) {
        self.outstanding.remove(&call);
    }

    /// The link was confirmed, by an answer or otherwise.
    pub fn confirmed(&mut self, now: Duration) {
        self.status.counts.confirmed += 1;
        self.confirmed_at = Some(now);
        self.failures = None;
    }

    /// The link failed, as of then.
    pub fn failed(&mut self, since: Duration) {
        self.status.counts.failed += 1;
        // What was sent before the last confirmation shows nothing about the time after it.
        let since = since.max(self.confirmed_at.unwrap_or_default());
        self.failures = Some(Failures::add(self.failures, since));
    }

    /// Forgets calls under way and failures, since this process did not run meanwhile.
    pub fn reset(&mut self) {
        self.outstanding.clear();
        self.failures = None;
        self.confirmed_at = None;
    }

    /// After which time an answer is overdue, by the distribution of the link's round trips.
    pub fn overdue_after(&self) -> Duration {
        let high = self.round_trips.high().unwrap_or(MAX_OVERDUE / OVERDUE_FACTOR);
        (high * OVERDUE_FACTOR).clamp(MIN_OVERDUE, MAX_OVERDUE)
    }

    /// The calls that are overdue with no confirmation since.
    fn overdue(&self, now: Duration) -> Option<Failures> {
        let limit = self.overdue_after();
        let confirmed = self.confirmed_at.unwrap_or_default();
        // Answers to later calls show that the link works: only that one call was lost.
        let due = |sent: &Duration| (*sent).max(confirmed) + limit;
        let overdue = self.outstanding.values().map(due).filter(|due| *due <= now);
        overdue.fold(None, |found, due| Some(Failures::add(found, due)))
    }

    /// Judges the link; returns whether its condition has changed.
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
            // A link that was down stays so until something is confirmed.
            Some(_) if self.status.condition == LinkCondition::Down => LinkCondition::Down,
            Some(_) => LinkCondition::Suspect,
            None if is_fresh => LinkCondition::Up,
            None => LinkCondition::Unknown,
        };
        self.status.update(condition, now)
    }

    /// The link's status as of the latest judgement.
    pub fn status(&self) -> LinkStatus {
        self.status
    }

    /// The 99th percentile of recent round trips, once enough are known.
    pub fn high_round_trip(&self) -> Option<Duration> {
        self.round_trips.high()
    }

    /// Whether the link may have failed and has too few calls under way to show whether it has.
    pub fn wants_probe(&self, now: Duration) -> bool {
        let is_doubtful = self.failures.is_some() || self.overdue(now).is_some();
        // While it is down its recovery should show soon, whatever is stuck in connections.
        if self.status.condition == LinkCondition::Down {
            return is_doubtful && self.outstanding.len() < MAX_PROBES;
        }
        let is_quiet = self.sent_at.is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL);
        is_doubtful && is_quiet && self.outstanding.len() < MIN_FAILURES as usize
    }
}
