//! Random run times like those of real callers.

// No test file uses all of it.
#![allow(dead_code)]

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Standard deviation of the logarithm of a job's estimate error: a factor of 1.5.
pub const ESTIMATE_ERROR: f64 = 0.4;
/// Standard deviation of the logarithm of the run times within a job.
pub const SPREAD_IN_JOB: f64 = 0.1;

pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Returns a random factor around 1 whose logarithm has about a normal distribution.
pub fn factor(rng: &mut ChaCha8Rng, deviation: f64) -> f64 {
    // The variance of each number is a third.
    let sum: f64 = (0..4).map(|_| rng.random_range(-1.0..1.0)).sum();
    (sum * 0.75_f64.sqrt() * deviation).exp()
}

pub fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1e3)
}

pub fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
