//! The distribution of recent durations, in bounded memory.

use sketches_ddsketch::{Config, DDSketch};
use std::time::Duration;

/// The relative error of a quantile.
const ACCURACY: f64 = 0.02;
/// The most bins of one sketch.
const MAX_BINS: u32 = 256;
/// Durations below this, in seconds, are not distinguished.
const MIN_SECONDS: f64 = 1e-4;
/// The least number of durations from which quantiles are computed.
const MIN_COUNT: usize = 16;
/// The quantile that [`Latency::high`] returns.
const HIGH_QUANTILE: f64 = 0.99;
/// After how many more durations the high quantile is computed again.
const REFRESH_COUNT: usize = 16;

/// A sketch of the current window and one of the window before, so that older durations are
/// forgotten.
pub struct Latency {
    window: Duration,
    /// When the current window began.
    began_at: Duration,
    current: DDSketch,
    previous: Option<DDSketch>,
    /// The high quantile as it was last computed.
    high: Option<Duration>,
}

impl std::fmt::Debug for Latency {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = self.windows().map(DDSketch::count).sum::<usize>();
        formatter.debug_struct("Latency").field("count", &count).field("high", &self.high).finish()
    }
}

fn sketch() -> DDSketch {
    DDSketch::new(Config::new(ACCURACY, MAX_BINS, MIN_SECONDS))
}

impl Latency {
    /// No durations yet; `window`: the length of one window.
    pub fn new(window: Duration) -> Self {
        Self { window, began_at: Duration::ZERO, current: sketch(), previous: None, high: None }
    }

    /// Adds a duration.
    pub fn add(&mut self, duration: Duration, now: Duration) {
        if now.saturating_sub(self.began_at) >= self.window {
            self.began_at = now;
            self.previous = Some(std::mem::replace(&mut self.current, sketch()));
        }
        self.current.add(duration.as_secs_f64());
        if self.current.count().is_multiple_of(REFRESH_COUNT) {
            self.high = self.quantile(HIGH_QUANTILE);
        }
    }

    fn windows(&self) -> impl Iterator<Item = &DDSketch> {
        [Some(&self.current), self.previous.as_ref()].into_iter().flatten()
    }

    fn full_windows(&self) -> impl Iterator<Item = &DDSketch> {
        self.windows().filter(|sketch| sketch.count() >= MIN_COUNT)
    }

    /// The 99th percentile, once there are enough durations.
    pub fn high(&self) -> Option<Duration> {
        self.high
    }

    /// The longest recent duration, once there are enough.
    pub fn longest(&self) -> Option<Duration> {
        let longest = self.full_windows().filter_map(DDSketch::max).fold(f64::NAN, f64::max);
        Duration::try_from_secs_f64(longest).ok()
    }

    /// The larger of both windows' quantiles, so that a link that has just become slow shows.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let quantiles = self.full_windows().filter_map(|sketch| sketch.quantile(share).ok().flatten());
        Duration::try_from_secs_f64(quantiles.fold(f64::NAN, f64::max)).ok()
    }
}
