//! The fleet size search (section 3.3 of the paper): trial sizes rise from a minimum, each going half of the
//! remaining way to a limit, until the replayed slowdown is acceptable.

/// The average bounded slowdown above which a fleet at its limit counts as overloaded: jobs then wait on
/// average for two fifths of their run time.
const OVERLOAD_SLOWDOWN: f64 = 1.4;
/// The factor by which a trial must be larger than the previous one for a lack of improvement to end the
/// search.
const MIN_GROWTH_FACTOR: f64 = 1.1;
/// The largest ratio of a trial's slowdown to the previous one's that counts as an improvement.
const MAX_SLOWDOWN_RATIO: f64 = 0.98;

/// A fleet size that was replayed.
#[derive(Debug, Clone, Copy)]
struct Trial {
    size: u32,
    /// The average bounded slowdown on a fleet of this size.
    slowdown: f64,
}

/// A search from a minimum size towards a limit, in machines of one type. It ends at the first trial whose
/// slowdown is acceptable, at the limit, or when a larger fleet brings no improvement.
#[derive(Debug, Clone, Copy)]
pub struct FleetSizeSearch {
    /// The size of the current trial or, once the search has ended, its result.
    trial_size: u32,
    limit: u32,
    /// The limit that takes effect if a fleet of the size `limit` is overloaded.
    overload_limit: u32,
    /// The largest acceptable average bounded slowdown.
    threshold: f64,
    decided: bool,
    /// The previous trial.
    previous: Option<Trial>,
}

impl FleetSizeSearch {
    /// Creates a search from `min_size` to `limit`, or to `overload_limit` if a fleet of the size `limit` is
    /// overloaded. `threshold` is the largest acceptable average bounded slowdown.
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

    /// Returns the size that was found, once the search has ended.
    pub fn size(&self) -> Option<u32> {
        self.decided.then_some(self.trial_size)
    }

    /// Returns the size of the trial to be replayed.
    pub fn trial(&self) -> u32 {
        self.trial_size
    }

    /// Records the average bounded slowdown of the current trial. This ends the search or sets the next
    /// trial size, halfway to the limit.
    pub fn record_slowdown(&mut self, slowdown: f64) {
        // More machines bring no improvement for jobs that wait because of their team's limit.
        let lacks_improvement = |previous: &Trial| {
            f64::from(self.trial_size) >= f64::from(previous.size) * MIN_GROWTH_FACTOR
                && slowdown > previous.slowdown * MAX_SLOWDOWN_RATIO
        };
        if let Some(previous) = self.previous.filter(lacks_improvement) {
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
