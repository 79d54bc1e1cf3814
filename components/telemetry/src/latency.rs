//! Latency histograms with a resolution of one microsecond.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest recorded duration, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// A histogram of durations with three significant digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid");
        Self { histogram }
    }
}

impl LatencyHistogram {
    /// Records a duration, clamped to the range of the histogram.
    pub fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS);
        self.histogram.saturating_record(micros.clamp(1, MAX_MICROS));
    }

    /// The duration at a quantile between 0 and 1.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(quantile))
    }

    /// The mean of the recorded durations.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.histogram.mean() / 1_000_000.0)
    }

    /// The number of recorded durations.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether no duration was recorded.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.histogram.add(&other.histogram).expect("all histograms have the same bounds");
    }
}
