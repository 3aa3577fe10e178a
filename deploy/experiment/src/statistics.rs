//! Differences of paired figures.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The mean of paired differences, with an interval that holds the true mean in 95 of 100 experiments.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// The mean.
    pub mean: f64,
    /// The lower end of the interval.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
    /// How many pairs there were.
    pub pairs: usize,
}

/// How often the pairs are drawn anew.
const RESAMPLES: usize = 2_000;
/// The part of the resamples that lies below the interval, and above it.
const TAIL: f64 = 0.025;

/// Compares figures with those of the same plays in another variant, by bootstrap: pairs are drawn
/// with replacement, and the interval is that of their means. None without pairs.
pub fn paired_difference(base: &[f64], other: &[f64], seed: u64) -> Option<Difference> {
    let differences: Vec<f64> = base.iter().zip(other).map(|(a, b)| b - a).collect();
    let pairs = differences.len();
    if pairs == 0 {
        return None;
    }
    let mean = |sum: f64| sum / pairs as f64;
    let mut random = StdRng::seed_from_u64(seed);
    let mut resample = || {
        let draws = (0..pairs).map(|_| differences[random.random_range(0..pairs)]);
        mean(draws.sum())
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resample()).collect();
    means.sort_by(f64::total_cmp);
    let tail = (RESAMPLES as f64 * TAIL) as usize;
    Some(Difference {
        mean: mean(differences.iter().sum()),
        low: means[tail],
        high: means[RESAMPLES - 1 - tail],
        pairs,
    })
}
