//! LatencyHistogram histograms in microseconds.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time told apart, in microseconds: ten minutes.
const LONGEST: u64 = 600_000_000;

/// A histogram of times with three significant digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST, 3).expect("constant bounds");
        Self { histogram }
    }
}

impl LatencyHistogram {
    /// Adds a time; longer ones count as the longest.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST);
        self.histogram.saturating_record(micros.clamp(1, LONGEST));
    }

    /// The time below which a share of `quantile` (0 to 1) lies.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(quantile))
    }

    /// The mean.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.histogram.mean() / 1_000_000.0)
    }

    /// How many times were added.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether none was added.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }

    /// Adds all times of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.histogram.add(&other.histogram).expect("same bounds");
    }
}
