//! A link that only receives, judged by the silence since its latest message.

use super::{LinkCondition, LinkStatus, IDLE_TIMEOUT};
use crate::latency::Latency;
use std::time::Duration;

/// The length of one window of gaps between messages, in longest silences: each window has seen
/// every sender.
const GAP_WINDOW_FACTOR: u32 = 2;
/// How many longest silences must have passed before the gaps are relied on.
const LEARNING_FACTOR: u32 = 3;
/// A silence this many times the longest recent gap shows a failure.
const SILENCE_FACTOR: f64 = 1.5;

/// A connection on which messages are expected regularly; a silence that is long for the usual
/// gap between two messages shows a failure.
#[derive(Debug)]
pub struct ArrivalLink {
    min_silence: Duration,
    max_silence: Duration,
    arrived_at: Option<Duration>,
    gaps: Latency,
    /// Since when messages are expected; `None`: they are not.
    expected_since: Option<Duration>,
    status: LinkStatus,
}

impl ArrivalLink {
    /// A link that is down after a silence between these bounds, by the gaps that it has seen.
    pub fn new(min_silence: Duration, max_silence: Duration, now: Duration) -> Self {
        Self {
            min_silence,
            max_silence,
            arrived_at: None,
            gaps: Latency::new(max_silence * GAP_WINDOW_FACTOR),
            expected_since: None,
            status: LinkStatus::new(now),
        }
    }

    /// A message arrived.
    pub fn arrived(&mut self, now: Duration) {
        if let Some(former) = self.arrived_at.replace(now) {
            self.gaps.add(now.saturating_sub(former), now);
        }
        self.status.counts.confirmed += 1;
    }

    /// Whether messages are expected from now on; silence counts from then.
    pub fn expect(&mut self, expected: bool, now: Duration) {
        if !expected {
            self.expected_since = None;
        } else if self.expected_since.is_none() {
            self.expected_since = Some(now);
            self.arrived_at = Some(now);
        }
    }

    /// Lets silence count from now on, since this process did not run meanwhile.
    pub fn reset(&mut self, now: Duration) {
        self.arrived_at = self.arrived_at.map(|_| now);
    }

    /// The silence that shows a failure. It depends on the longest of the recent gaps and no
    /// lower quantile: senders that all send at the same time leave one long gap among
    /// hundreds of short ones.
    pub fn silence_timeout(&self, now: Duration) -> Duration {
        let expected_for = self.expected_since.map(|since| now.saturating_sub(since));
        if expected_for.is_none_or(|time| time < self.max_silence * LEARNING_FACTOR) {
            return self.max_silence;
        }
        let longest = self.gaps.longest().unwrap_or(self.max_silence);
        longest.mul_f64(SILENCE_FACTOR).clamp(self.min_silence, self.max_silence)
    }

    /// Judges the link; returns whether its condition has changed.
    pub fn evaluate(&mut self, now: Duration) -> bool {
        let is_expected = self.expected_since.is_some();
        let timeout = self.silence_timeout(now);
        let silence = self.arrived_at.map(|at| now.saturating_sub(at));
        let condition = match silence {
            Some(silence) if is_expected && silence >= timeout => LinkCondition::Down,
            Some(silence) if is_expected && silence >= timeout / 2 => LinkCondition::Suspect,
            Some(silence) if silence < IDLE_TIMEOUT && self.status.counts.confirmed > 0 => LinkCondition::Up,
            _ => LinkCondition::Unknown,
        };
        self.status.update(condition, now)
    }

    /// The link's status as of the latest judgement.
    pub fn status(&self) -> LinkStatus {
        self.status
    }
}
