//! One connection in one direction, judged by what was confirmed over it.

use crate::latency::Latency;
use std::collections::BTreeMap;
use std::time::Duration;

/// Calls whose start is remembered on one link; of more the oldest tell enough.
const MAX_OUTSTANDING: usize = 512;
/// An answer that takes this many times the high quantile is overdue.
const OVERDUE_FACTOR: u32 = 4;
/// The bounds of that, whatever the quantile.
const MIN_OVERDUE: Duration = Duration::from_millis(200);
const MAX_OVERDUE: Duration = Duration::from_secs(1);
/// What one window of round trips spans.
const ROUND_TRIPS: Duration = Duration::from_secs(60);
/// What one window of gaps between arrivals spans, in longest silences: each window has
/// seen every sender.
const GAP_WINDOW: u32 = 2;
/// And how many of these must have passed before the gaps are believed.
const LEARNING: u32 = 3;
/// A silence this many times the longest recent gap is wrong.
const SILENCE_FACTOR: f64 = 1.5;
/// Failures in a row without which no link is down: one may be anybody's.
const MIN_FAILURES: u32 = 2;
/// Calls under way on a link that is down, beyond which it is not probed.
const MAX_PROBES: usize = 8;
/// A link that is in doubt is probed once nothing was sent over it for so long.
const QUIET: Duration = Duration::from_secs(1);
/// A link without any confirmation for so long is unknown again.
pub const IDLE: Duration = Duration::from_secs(10);

/// Which connection, and which way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkId {
    KvReads,
    KvWrites,
    KvWatch,
    /// Renewals of the leader's lease.
    KvLeaseRenewal,
    /// Reports of workers that reach this node.
    HeartbeatsIn,
    /// Answers to reports, which the next report confirms.
    HeartbeatReplies,
    /// Commands sent straight to workers.
    Commands,
    Cloud,
    /// Heartbeats of the peer with this number that arrive.
    PeerIn(usize),
    /// Messages to that peer, which it confirms.
    PeerOut(usize),
}

impl LinkId {
    /// A name for logs and views.
    pub fn name(self) -> &'static str {
        match self {
            Self::KvReads => "stateReads",
            Self::KvWrites => "stateWrites",
            Self::KvWatch => "stateWatch",
            Self::KvLeaseRenewal => "stateRenewal",
            Self::HeartbeatsIn => "reportsIn",
            Self::HeartbeatReplies => "answersAccepted",
            Self::Commands => "commandsOut",
            Self::Cloud => "cloud",
            Self::PeerIn(_) => "peerIn",
            Self::PeerOut(_) => "peerOut",
        }
    }
}

/// What is known of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCondition {
    /// Nothing went over it lately: neither up nor down.
    Unknown,
    Up,
    /// It has begun to fail.
    Suspect,
    Down,
}

impl LinkCondition {
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Up => "up",
            Self::Suspect => "suspect",
            Self::Down => "down",
        }
    }
}

/// What a link was last judged to be, and since when.
#[derive(Debug, Clone, Copy)]
struct LinkJudgement {
    condition: LinkCondition,
    since: Duration,
}

impl LinkJudgement {
    fn new(now: Duration) -> Self {
        Self { condition: LinkCondition::Unknown, since: now }
    }

    /// Takes in the present condition; true if it is another.
    fn set(&mut self, condition: LinkCondition, now: Duration) -> bool {
        let changed = condition != self.condition;
        if changed {
            *self = Self { condition, since: now };
        }
        changed
    }
}

/// Counts of one link since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    pub confirmed: u64,
    pub failed: u64,
}

#[derive(Debug)]
pub struct Link {
    down_after: Duration,
    confirmed_at: Option<Duration>,
    /// Since when nothing but failures came, and how many.
    failing: Option<(Duration, u32)>,
    /// Calls under way, by number, and when they were sent.
    outstanding: BTreeMap<u64, Duration>,
    /// When a call went out last.
    sent_at: Option<Duration>,
    round_trips: Latency,
    judgement: LinkJudgement,
    counts: LinkCounts,
}

impl Link {
    pub fn new(down_after: Duration, now: Duration) -> Self {
        Self {
            down_after,
            confirmed_at: None,
            failing: None,
            outstanding: BTreeMap::new(),
            sent_at: None,
            round_trips: Latency::new(ROUND_TRIPS),
            judgement: LinkJudgement::new(now),
            counts: LinkCounts::default(),
        }
    }

    /// A call went out, whose answer will confirm the link.
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

    /// A call ended without telling anything of the link.
    pub fn dropped(&mut self, call: u64) {
        self.outstanding.remove(&call);
    }

    /// Something else confirmed the link.
    pub fn confirmed(&mut self, now: Duration) {
        self.counts.confirmed += 1;
        self.confirmed_at = Some(now);
        self.failing = None;
    }

    /// The link failed, as of then.
    pub fn failed(&mut self, since: Duration) {
        self.counts.failed += 1;
        // What was sent before the last confirmation came says nothing of the time after.
        let since = since.max(self.confirmed_at.unwrap_or_default());
        let (first, count) = self.failing.unwrap_or((since, 0));
        self.failing = Some((first.min(since), count.saturating_add(1)));
    }

    /// All that was under way or failed is forgotten: this process did not run meanwhile.
    pub fn forget(&mut self) {
        self.outstanding.clear();
        self.failing = None;
        self.confirmed_at = None;
    }

    /// After which time an answer is overdue, by the link's own distribution.
    pub fn overdue_after(&self) -> Duration {
        let high = self.round_trips.high().unwrap_or(MAX_OVERDUE / OVERDUE_FACTOR);
        (high * OVERDUE_FACTOR).clamp(MIN_OVERDUE, MAX_OVERDUE)
    }

    /// Since when calls are overdue with no confirmation since, and how many are.
    fn overdue(&self, now: Duration) -> Option<(Duration, u32)> {
        let limit = self.overdue_after();
        let confirmed = self.confirmed_at.unwrap_or_default();
        // Answers to later calls show that the link carries: one call alone was lost.
        let due = |sent: &Duration| (*sent).max(confirmed) + limit;
        let overdue = self.outstanding.values().map(due).filter(|due| *due <= now);
        overdue.fold(None, |found: Option<(Duration, u32)>, due| {
            let (first, count) = found.unwrap_or((due, 0));
            Some((first.min(due), count + 1))
        })
    }

    /// Judges the link; true if its condition has changed.
    pub fn judge(&mut self, now: Duration) -> bool {
        let overdue = self.overdue(now);
        let signs = [self.failing, overdue].into_iter().flatten();
        let failures = signs.clone().map(|(_, count)| count).sum::<u32>();
        let since = signs.map(|(since, _)| since).min();
        let lasts = since.is_some_and(|since| now.saturating_sub(since) >= self.down_after);
        let fresh = self.confirmed_at.is_some_and(|at| now.saturating_sub(at) < IDLE);
        let enough = failures >= MIN_FAILURES;
        let condition = match since {
            Some(_) if lasts && enough => LinkCondition::Down,
            // A link that was down stays so until something is confirmed.
            Some(_) if self.judgement.condition == LinkCondition::Down => LinkCondition::Down,
            Some(_) => LinkCondition::Suspect,
            None if fresh => LinkCondition::Up,
            None => LinkCondition::Unknown,
        };
        self.judgement.set(condition, now)
    }

    pub fn condition(&self) -> LinkCondition {
        self.judgement.condition
    }

    pub fn since(&self) -> Duration {
        self.judgement.since
    }

    pub fn counts(&self) -> LinkCounts {
        self.counts
    }

    pub fn high_round_trip(&self) -> Option<Duration> {
        self.round_trips.high()
    }

    /// Whether a link that may have failed has too little under way to show whether it has.
    pub fn wants_probe(&self, now: Duration) -> bool {
        let doubtful = self.failing.is_some() || self.overdue(now).is_some();
        // While it is down the end should be seen soon, whatever is stuck in connections.
        if self.judgement.condition == LinkCondition::Down {
            return doubtful && self.outstanding.len() < MAX_PROBES;
        }
        let quiet = self.sent_at.is_none_or(|at| now.saturating_sub(at) >= QUIET);
        doubtful && quiet && self.outstanding.len() < MIN_FAILURES as usize
    }
}

/// A connection that only receives, and should do so: silence tells of it, measured by
/// the usual time between two arrivals.
#[derive(Debug)]
pub struct ArrivalMonitor {
    least_silence: Duration,
    most_silence: Duration,
    last: Option<Duration>,
    gaps: Latency,
    /// Since when something should arrive.
    expected_since: Option<Duration>,
    judgement: LinkJudgement,
    count: u64,
}

impl ArrivalMonitor {
    pub fn new(least_silence: Duration, most_silence: Duration, now: Duration) -> Self {
        Self {
            least_silence,
            most_silence,
            last: None,
            gaps: Latency::new(most_silence * GAP_WINDOW),
            expected_since: None,
            judgement: LinkJudgement::new(now),
            count: 0,
        }
    }

    pub fn arrived(&mut self, now: Duration) {
        if let Some(last) = self.last {
            self.gaps.add(now.saturating_sub(last), now);
        }
        self.last = Some(now);
        self.count += 1;
    }

    /// Whether something should arrive from now on; silence counts from then.
    pub fn expect(&mut self, expected: bool, now: Duration) {
        if !expected {
            self.expected_since = None;
        } else if self.expected_since.is_none() {
            self.expected_since = Some(now);
            self.last = Some(now);
        }
    }

    /// Silence counts from now on: this process did not run meanwhile.
    pub fn forget(&mut self, now: Duration) {
        self.last = self.last.map(|_| now);
    }

    /// After which silence something is wrong. The longest of the recent gaps counts and no
    /// lower quantile: senders that all report at the same time leave one long gap in
    /// hundreds of short ones.
    pub fn silence(&self, now: Duration) -> Duration {
        let expected = self.expected_since.map(|since| now.saturating_sub(since));
        if expected.is_none_or(|long| long < self.most_silence * LEARNING) {
            return self.most_silence;
        }
        let longest = self.gaps.longest().unwrap_or(self.most_silence);
        longest.mul_f64(SILENCE_FACTOR).clamp(self.least_silence, self.most_silence)
    }

    pub fn judge(&mut self, now: Duration) -> bool {
        let (expected, silence) = (self.expected_since.is_some(), self.silence(now));
        let quiet = self.last.map(|last| now.saturating_sub(last));
        let condition = match quiet {
            Some(quiet) if expected && quiet >= silence => LinkCondition::Down,
            Some(quiet) if expected && quiet >= silence / 2 => LinkCondition::Suspect,
            Some(quiet) if quiet < IDLE && self.count > 0 => LinkCondition::Up,
            _ => LinkCondition::Unknown,
        };
        self.judgement.set(condition, now)
    }

    pub fn condition(&self) -> LinkCondition {
        self.judgement.condition
    }

    pub fn since(&self) -> Duration {
        self.judgement.since
    }

    pub fn counts(&self) -> LinkCounts {
        LinkCounts { confirmed: self.count, failed: 0 }
    }
}
