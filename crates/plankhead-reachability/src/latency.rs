//! The distribution of recent times, in bounded memory.

use sketches_ddsketch::{Config, DDSketch};
use std::time::Duration;

/// Relative error of a quantile.
const ACCURACY: f64 = 0.02;
/// Bins of one sketch at the most.
const MAX_BINS: u32 = 256;
/// Times below this, in seconds, are not told apart.
const LEAST: f64 = 1e-4;
/// Fewer times tell nothing of the distribution.
const MIN_COUNT: usize = 16;
const HIGH_QUANTILE: f64 = 0.99;

/// How many more times come before the high quantile is looked up again.
const REFRESH: usize = 16;

/// Two sketches in turn: the older one is dropped when the newer one's time is over, so
/// that what was long ago is forgotten.
pub struct Latency {
    window: Duration,
    /// When the current window began.
    began: Duration,
    current: DDSketch,
    previous: Option<DDSketch>,
    /// The high quantile as of the last look.
    high: Option<Duration>,
}

impl std::fmt::Debug for Latency {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = self.windows().map(DDSketch::count).sum::<usize>();
        formatter.debug_struct("Latency").field("count", &count).field("high", &self.high).finish()
    }
}

fn sketch() -> DDSketch {
    DDSketch::new(Config::new(ACCURACY, MAX_BINS, LEAST))
}

impl Latency {
    pub fn new(window: Duration) -> Self {
        Self { window, began: Duration::ZERO, current: sketch(), previous: None, high: None }
    }

    pub fn add(&mut self, time: Duration, now: Duration) {
        if now.saturating_sub(self.began) >= self.window {
            self.began = now;
            self.previous = Some(std::mem::replace(&mut self.current, sketch()));
        }
        self.current.add(time.as_secs_f64());
        if self.current.count().is_multiple_of(REFRESH) {
            self.high = self.quantile(HIGH_QUANTILE);
        }
    }

    fn windows(&self) -> impl Iterator<Item = &DDSketch> {
        [Some(&self.current), self.previous.as_ref()].into_iter().flatten()
    }

    fn full_windows(&self) -> impl Iterator<Item = &DDSketch> {
        self.windows().filter(|sketch| sketch.count() >= MIN_COUNT)
    }

    /// The 99th percentile, once enough is known.
    pub fn high(&self) -> Option<Duration> {
        self.high
    }

    /// The longest of the recent times, once enough is known.
    pub fn longest(&self) -> Option<Duration> {
        let longest = self.full_windows().filter_map(DDSketch::max).fold(f64::NAN, f64::max);
        Duration::try_from_secs_f64(longest).ok()
    }

    /// The larger of both windows' quantiles: a link that has just become slow is slow.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let quantiles = self.full_windows().filter_map(|sketch| sketch.quantile(share).ok().flatten());
        Duration::try_from_secs_f64(quantiles.fold(f64::NAN, f64::max)).ok()
    }
}
