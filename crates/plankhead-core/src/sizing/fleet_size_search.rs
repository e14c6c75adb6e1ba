//! The fleet size search: the halving climb over trial sizes (the paper, section 3.3).

/// A slowdown above this at the limit is overload: on average jobs wait for two
/// fifths of their time to run.
const OVERLOAD_SLOWDOWN: f64 = 1.4;
/// A trial larger by this factor than the one before must bring a gain.
const MIN_GROWTH: f64 = 1.1;
/// The share of the slowdown before that such a trial may leave at the most.
const MAX_SLOWDOWN_LEFT: f64 = 0.98;

/// A trial size that was replayed.
#[derive(Debug, Clone, Copy)]
struct Trial {
    size: u32,
    /// The average bounded slowdown on a fleet of this size.
    slowdown: f64,
}

/// A climb from the least size towards the limit, in machines of one type: the first trial whose
/// slowdown is at most `threshold` decides.
#[derive(Debug, Clone, Copy)]
pub struct FleetSizeSearch {
    trial_size: u32,
    limit: u32,
    /// How far the limit moves if it leaves an overload.
    overload_limit: u32,
    threshold: f64,
    decided: bool,
    previous: Option<Trial>,
}

impl FleetSizeSearch {
    /// A climb from `min_size` to `limit`, or to `overload_limit` if the former leaves an overload.
    /// `threshold`: the largest acceptable average bounded slowdown.
    pub fn new(min_size: u32, limit: u32, overload_limit: u32, threshold: f64) -> Self {
        let overload_limit = overload_limit.max(limit);
        Self {
            trial_size: min_size,
            limit,
            overload_limit,
            threshold,
            decided: min_size >= overload_limit,
            previous: None,
        }
    }

    /// The size, once it is decided.
    pub fn size(&self) -> Option<u32> {
        self.decided.then_some(self.trial_size)
    }

    /// The size to replay on next.
    pub fn trial(&self) -> u32 {
        self.trial_size
    }

    /// Takes in the average bounded slowdown on the trial size; the next trial lies halfway to
    /// the limit.
    pub fn record_slowdown(&mut self, slowdown: f64) {
        // Jobs that wait for their team's limit gain nothing from more machines.
        let is_no_gain = |previous: &Trial| {
            f64::from(self.trial_size) >= f64::from(previous.size) * MIN_GROWTH
                && slowdown > previous.slowdown * MAX_SLOWDOWN_LEFT
        };
        if let Some(previous) = self.previous.filter(is_no_gain) {
            self.trial_size = previous.size;
            self.decided = true;
            return;
        }
        self.previous = Some(Trial { size: self.trial_size, slowdown });
        if self.trial_size >= self.limit && slowdown > OVERLOAD_SLOWDOWN {
            self.limit = self.overload_limit;
        }
        if slowdown <= self.threshold || self.trial_size >= self.limit {
            self.decided = true;
            return;
        }
        self.trial_size = (self.trial_size + self.limit).div_ceil(2);
        self.decided = self.trial_size >= self.overload_limit;
    }
}
