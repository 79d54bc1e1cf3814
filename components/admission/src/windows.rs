//! Recent samples in two windows of bounded size.

use hdrhistogram::Histogram;

/// Number of samples after which the older window is discarded.
const WINDOW_SAMPLES: u64 = 2_000;
/// Minimum number of samples before they replace what was configured.
const MIN_SAMPLES: u64 = 20;

/// Samples in two windows: when the recent one is full, it replaces the older one. A window has at
/// most `WINDOW_SAMPLES`, so that 16 bits hold any count.
#[derive(Clone, Debug)]
pub(crate) struct SampleWindows {
    max: u64,
    recent: Window,
    older: Window,
}

/// A window of samples, with their sum so that the mean takes constant time.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    histogram: Histogram<u16>,
    sum: f64,
}

impl Window {
    /// The mean of the exact samples.
    pub fn mean(&self) -> f64 {
        self.sum / self.histogram.len().max(1) as f64
    }

    /// The recorded value at a quantile between 0 and 1.
    pub fn value_at_quantile(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}

impl SampleWindows {
    /// Creates empty windows for values from 1 to `max`, with this number of significant digits.
    pub fn new(max: u64, significant_digits: u8) -> Self {
        let histogram =
            Histogram::new_with_bounds(1, max, significant_digits).expect("constant bounds");
        let empty = Window { histogram, sum: 0.0 };
        Self { max, recent: empty.clone(), older: empty }
    }

    /// Records a value, clamped to the range of the windows. `exact` is what the mean is taken of.
    pub fn record(&mut self, value: u64, exact: f64) {
        self.recent.histogram.saturating_record(value.clamp(1, self.max));
        self.recent.sum += exact;
        if self.recent.histogram.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.histogram.reset();
            self.recent.sum = 0.0;
        }
    }

    /// The window with more samples; `None` while it has too few.
    pub fn known(&self) -> Option<&Window> {
        let older = self.older.histogram.len() > self.recent.histogram.len();
        let window = if older { &self.older } else { &self.recent };
        (window.histogram.len() >= MIN_SAMPLES).then_some(window)
    }
}

/// Returns the quantile of one sample that equals the median of the largest of `count` samples.
pub(crate) fn largest_of_quantile(count: usize) -> f64 {
    0.5_f64.powf(1.0 / count.max(1) as f64)
}
