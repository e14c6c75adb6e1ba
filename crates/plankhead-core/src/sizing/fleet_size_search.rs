//! The halving climb over trial sizes (the paper, section 3.3).

/// A slowdown above this at the limit is overload: on average jobs wait for two
/// fifths of their time to run.
const OVERLOAD: f64 = 1.4;

/// A trial larger by this factor than the one before must bring the slowdown
/// down to this share.
const STRIDE: f64 = 1.1;
const GAIN: f64 = 0.98;

/// A climb from the least size towards the limit: the first trial whose
/// slowdown is at most `threshold` decides.
#[derive(Debug, Clone, Copy)]
pub struct FleetSizeSearch {
    trial_size: u32,
    limit: u32,
    /// How far the limit moves if it leaves an overload.
    overload_limit: u32,
    threshold: f64,
    decided: bool,
    /// The trial before, and its slowdown.
    previous: Option<(u32, f64)>,
}

impl FleetSizeSearch {
    pub fn new(least: u32, most: u32, beyond: u32, threshold: f64) -> Self {
        let beyond = beyond.max(most);
        Self {
            trial_size: least,
            limit: most,
            overload_limit: beyond,
            threshold,
            decided: least >= beyond,
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

    /// Takes in the slowdown on the trial size; the next trial lies halfway to
    /// the limit.
    pub fn record_slowdown(&mut self, slowdown: f64) {
        // Jobs that wait for their team's cap gain nothing from more machines.
        let vain = |(size, before): &(u32, f64)| {
            f64::from(self.trial_size) >= f64::from(*size) * STRIDE && slowdown > before * GAIN
        };
        if let Some((trial, _)) = self.previous.filter(vain) {
            self.trial_size = trial;
            self.decided = true;
            return;
        }
        self.previous = Some((self.trial_size, slowdown));
        if self.trial_size >= self.limit && slowdown > OVERLOAD {
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
