//! The halving climb over trial sizes (the paper, section 3.3).

/// A climb from the least size towards the limit: the first trial whose
/// slowdown is at most `threshold` decides.
#[derive(Debug, Clone, Copy)]
pub struct Climb {
    trial: u32,
    most: u32,
    threshold: f64,
    decided: bool,
}

impl Climb {
    pub fn new(least: u32, most: u32, threshold: f64) -> Self {
        Self { trial: least, most, threshold, decided: least >= most }
    }

    /// The size, once it is decided.
    pub fn size(&self) -> Option<u32> {
        self.decided.then_some(self.trial)
    }

    /// The size to replay on next.
    pub fn trial(&self) -> u32 {
        self.trial
    }

    /// Takes in the slowdown on the trial size; the next trial lies halfway to
    /// the limit.
    pub fn measured(&mut self, slowdown: f64) {
        if slowdown <= self.threshold {
            self.decided = true;
            return;
        }
        self.trial = (self.trial + self.most).div_ceil(2);
        self.decided = self.trial >= self.most;
    }
}
