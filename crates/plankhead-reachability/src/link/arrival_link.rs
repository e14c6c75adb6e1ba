//! A link that only receives messages, evaluated by the time since the latest one.

use super::{LinkCondition, LinkStatus, IDLE_TIMEOUT};
use crate::latency::Latency;
use std::time::Duration;

/// The length of a window in which gaps between messages are recorded, as a multiple of the maximum silence.
/// It is long enough for every sender to send a message in each window.
const GAP_WINDOW_FACTOR: u32 = 2;
/// The time for which messages must have been expected before the recorded gaps are used, as a multiple of
/// the maximum silence.
const LEARNING_FACTOR: u32 = 3;
/// The multiple of the longest recent gap after which silence shows a failure.
const SILENCE_FACTOR: f64 = 1.5;

/// A connection on which messages arrive regularly. A silence, which is a time without messages, shows a
/// failure if it is longer than usual.
#[derive(Debug)]
pub struct ArrivalLink {
    min_silence: Duration,
    max_silence: Duration,
    arrived_at: Option<Duration>,
    gaps: Latency,
    /// The time from which messages have been expected; `None` while they are not.
    expected_since: Option<Duration>,
    status: LinkStatus,
}

impl ArrivalLink {
    /// Creates a link that is down after a silence of between `min_silence` and `max_silence`, depending on
    /// the recent gaps between messages.
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

    /// Records that a message arrived.
    pub fn message_arrived(&mut self, now: Duration) {
        if let Some(former) = self.arrived_at.replace(now) {
            self.gaps.add(now.saturating_sub(former), now);
        }
        self.status.counts.confirmed += 1;
    }

    /// Sets whether messages are expected. When they begin to be expected, the silence starts at `now`.
    pub fn set_expected(&mut self, expected: bool, now: Duration) {
        if !expected {
            self.expected_since = None;
        } else if self.expected_since.is_none() {
            self.expected_since = Some(now);
            self.arrived_at = Some(now);
        }
    }

    /// Restarts the silence at `now`, after a pause of this process.
    pub fn reset(&mut self, now: Duration) {
        self.arrived_at = self.arrived_at.map(|_| now);
    }

    /// Returns the silence that shows a failure. It depends on the longest of the recent gaps, not on a
    /// quantile: if all senders send at the same time, there is one long gap among hundreds of short ones.
    pub fn silence_timeout(&self, now: Duration) -> Duration {
        let expected_for = self.expected_since.map(|since| now.saturating_sub(since));
        if expected_for.is_none_or(|time| time < self.max_silence * LEARNING_FACTOR) {
            return self.max_silence;
        }
        let longest = self.gaps.longest().unwrap_or(self.max_silence);
        longest.mul_f64(SILENCE_FACTOR).clamp(self.min_silence, self.max_silence)
    }

    /// Evaluates the link, and returns whether its condition has changed.
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

    /// Returns the link's status as of the latest evaluation.
    pub fn status(&self) -> LinkStatus {
        self.status
    }
}
