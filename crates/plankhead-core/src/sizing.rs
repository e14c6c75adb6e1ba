//! The halving climb over trial sizes (the paper, section 3.3).

/// The fleet's size: the first trial from `least` on whose slowdown is at most
/// `threshold`, where each next trial lies halfway to `most`.
pub fn climb(least: u32, most: u32, threshold: f64, mut slowdown: impl FnMut(u32) -> f64) -> u32 {
    let mut trial = least;
    while trial < most {
        if slowdown(trial) <= threshold {
            return trial;
        }
        trial = (trial + most).div_ceil(2);
    }
    trial
}
