//! Predicted against actual run times by queue, for metrics.

use std::sync::Arc;
use std::time::Duration;

use crate::queue_map::QueueMap;

/// Errors of the predicted run times, by queue.
#[derive(Debug, Default)]
pub struct PredictionErrors {
    queues: QueueMap<PredictionError>,
}

/// A histogram of the ratio of actual to predicted run time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PredictionError {
    /// Number of runs by bucket; the last bucket has the runs above all bounds.
    counts: [u64; PredictionError::BOUNDS.len() + 1],
    /// Sum of the ratios.
    sum: f64,
}

impl PredictionError {
    /// Upper bounds of the buckets, narrower around the exact prediction.
    pub const BOUNDS: [f64; 12] = [0.25, 0.5, 0.65, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0];

    fn record(&mut self, ratio: f64) {
        let bucket = Self::BOUNDS.iter().position(|bound| ratio <= *bound);
        self.counts[bucket.unwrap_or(Self::BOUNDS.len())] += 1;
        self.sum += ratio;
    }

    /// The buckets with a bound: the bound and the number of runs up to it.
    pub fn cumulative(&self) -> impl Iterator<Item = (f64, u64)> {
        let add = |total: &mut u64, (bound, count): (&f64, &u64)| {
            *total += count;
            Some((*bound, *total))
        };
        Self::BOUNDS.iter().zip(&self.counts).scan(0, add)
    }

    /// Number of runs.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Sum of the ratios of all runs.
    pub fn sum(&self) -> f64 {
        self.sum
    }
}

impl PredictionErrors {
    /// Records a completed run of a task whose run time was predicted.
    pub fn record(&mut self, queue: &Arc<str>, predicted: Duration, ran: Duration) {
        if !predicted.is_zero() {
            let ratio = ran.as_secs_f64() / predicted.as_secs_f64();
            self.queues.change(queue).record(ratio);
        }
    }

    /// The errors of each queue, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &PredictionError)> {
        self.queues.iter().map(|(queue, error)| (&**queue, error))
    }
}
