//! The distribution of recent durations, in bounded memory.

use sketches_ddsketch::{Config, DDSketch};
use std::time::Duration;

/// The relative error of a quantile.
const ACCURACY: f64 = 0.02;
/// The maximum number of bins of a sketch.
const MAX_BINS: u32 = 256;
/// The duration in seconds below which durations are not distinguished.
const MIN_SECONDS: f64 = 1e-4;
/// The minimum number of durations that a window must have for its quantiles to be used.
const MIN_COUNT: usize = 16;
/// The quantile that [`Latency::p99`] returns.
const P99: f64 = 0.99;
/// The number of added durations after which the 99th percentile is computed again.
const REFRESH_COUNT: usize = 16;

/// The distribution of durations in the current and the previous time window. Older durations are
/// dropped.
pub struct Latency {
    window: Duration,
    /// The start of the current window.
    began_at: Duration,
    current: DDSketch,
    previous: Option<DDSketch>,
    /// The 99th percentile as last computed.
    p99: Option<Duration>,
}

impl std::fmt::Debug for Latency {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = self.windows().map(DDSketch::count).sum::<usize>();
        formatter.debug_struct("Latency").field("count", &count).field("p99", &self.p99).finish()
    }
}

fn sketch() -> DDSketch {
    DDSketch::new(Config::new(ACCURACY, MAX_BINS, MIN_SECONDS))
}

impl Latency {
    /// Creates a distribution without durations. `window` is the length of a time window.
    pub fn new(window: Duration) -> Self {
        Self { window, began_at: Duration::ZERO, current: sketch(), previous: None, p99: None }
    }

    /// Adds a duration.
    pub fn add(&mut self, duration: Duration, now: Duration) {
        if now.saturating_sub(self.began_at) >= self.window {
            self.began_at = now;
            self.previous = Some(std::mem::replace(&mut self.current, sketch()));
        }
        self.current.add(duration.as_secs_f64());
        if self.current.count().is_multiple_of(REFRESH_COUNT) {
            self.p99 = self.quantile(P99);
        }
    }

    fn windows(&self) -> impl Iterator<Item = &DDSketch> {
        [Some(&self.current), self.previous.as_ref()].into_iter().flatten()
    }

    fn sufficient_windows(&self) -> impl Iterator<Item = &DDSketch> {
        self.windows().filter(|sketch| sketch.count() >= MIN_COUNT)
    }

    /// Returns the 99th percentile, or `None` until there are enough durations.
    pub fn p99(&self) -> Option<Duration> {
        self.p99
    }

    /// Returns the longest recent duration, or `None` if there are too few durations.
    pub fn longest(&self) -> Option<Duration> {
        let longest = self.sufficient_windows().filter_map(DDSketch::max).fold(f64::NAN, f64::max);
        Duration::try_from_secs_f64(longest).ok()
    }

    /// Returns the quantile `share`, from 0 to 1. It is the larger of both windows' quantiles, so that a
    /// recent slowdown is not hidden by the durations before it. Returns `None` if there are too few
    /// durations.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let quantiles = self.sufficient_windows().filter_map(|sketch| sketch.quantile(share).ok().flatten());
        Duration::try_from_secs_f64(quantiles.fold(f64::NAN, f64::max)).ok()
    }
}
