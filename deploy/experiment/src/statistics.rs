//! Differences of paired samples with bootstrap confidence intervals.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Mean of paired differences with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Mean of the differences.
    pub mean: f64,
    /// Lower bound of the interval.
    pub low: f64,
    /// Upper bound of the interval.
    pub high: f64,
    /// Number of pairs.
    pub pairs: usize,
}

/// Number of bootstrap samples.
const RESAMPLES: usize = 2_000;
/// Fraction of the bootstrap means below the interval, and the same fraction above it.
const TAIL_FRACTION: f64 = 0.025;

/// Computes the mean of `other - baseline` over pairs of equal index and its percentile bootstrap interval:
/// pairs are drawn with replacement, and the interval covers 95 % of the means. Returns `None` if there
/// are no pairs.
pub fn paired_difference(baseline: &[f64], other: &[f64], seed: u64) -> Option<Difference> {
    let differences: Vec<f64> = baseline.iter().zip(other).map(|(a, b)| b - a).collect();
    let pairs = differences.len();
    if pairs == 0 {
        return None;
    }
    let mean = |sum: f64| sum / pairs as f64;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut resample = || {
        let draws = (0..pairs).map(|_| differences[rng.random_range(0..pairs)]);
        mean(draws.sum())
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resample()).collect();
    means.sort_by(f64::total_cmp);
    let tail = (RESAMPLES as f64 * TAIL_FRACTION) as usize;
    Some(Difference {
        mean: mean(differences.iter().sum()),
        low: means[tail],
        high: means[RESAMPLES - 1 - tail],
        pairs,
    })
}
