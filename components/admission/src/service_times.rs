//! Service time statistics of tasks of one kind.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest recorded service time, in milliseconds; longer times are clamped to it.
const MAX_RECORDED_MS: u64 = 600_000;
/// Number of samples after which the older window is discarded.
const WINDOW_SAMPLES: u64 = 2_000;
/// Minimum number of samples before they replace the configured expected time.
const MIN_SAMPLES: u64 = 20;

/// Distribution of recent service times of one kind of task, kept in two windows of bounded size.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    expected: Duration,
    recent: Window,
    older: Window,
}

/// A window of samples, with their sum so that the mean takes constant time.
#[derive(Clone, Debug)]
struct Window {
    histogram: Histogram<u32>,
    sum: Duration,
}

impl Window {
    fn mean(&self) -> Duration {
        let count = u32::try_from(self.histogram.len()).unwrap_or(u32::MAX);
        self.sum / count.max(1)
    }
}

impl ServiceTimes {
    /// Creates empty statistics; `expected` is used until there are enough samples.
    pub fn new(expected: Duration) -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_MS, 1).expect("constant bounds");
        let empty = Window { histogram, sum: Duration::ZERO };
        Self { expected, recent: empty.clone(), older: empty }
    }

    /// Records the service time of one task.
    pub fn record(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(MAX_RECORDED_MS);
        self.recent.histogram.saturating_record(millis.clamp(1, MAX_RECORDED_MS));
        self.recent.sum += time;
        if self.recent.histogram.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.histogram.reset();
            self.recent.sum = Duration::ZERO;
        }
    }

    /// The window with more samples.
    fn larger_window(&self) -> &Window {
        let older = self.older.histogram.len() > self.recent.histogram.len();
        if older { &self.older } else { &self.recent }
    }

    /// Returns the mean service time, or the expected time while there are too few samples.
    pub fn mean(&self) -> Duration {
        let window = self.larger_window();
        if window.histogram.len() < MIN_SAMPLES {
            return self.expected;
        }
        window.mean()
    }

    /// Returns the median of the longest service time among `tasks` tasks, or the expected time
    /// while there are too few samples.
    pub fn slowest_of(&self, tasks: usize) -> Duration {
        let window = self.larger_window();
        if window.histogram.len() < MIN_SAMPLES {
            return self.expected;
        }
        let quantile = 0.5_f64.powf(1.0 / tasks.max(1) as f64);
        Duration::from_millis(window.histogram.value_at_quantile(quantile))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn expected_time_is_used_until_enough_samples() {
        let mut times = ServiceTimes::new(Duration::from_millis(200));
        (0..19).for_each(|_| times.record(Duration::from_millis(50)));
        assert_eq!(times.mean(), Duration::from_millis(200));
        times.record(Duration::from_millis(50));
        assert!(times.mean() < Duration::from_millis(55));
    }

    #[test]
    fn slowest_task_time_grows_with_task_count() {
        let mut times = ServiceTimes::new(Duration::from_millis(200));
        (1..=500).for_each(|n| times.record(Duration::from_millis(n)));
        assert!(times.slowest_of(1) < times.slowest_of(10));
        assert!(times.slowest_of(10) < times.slowest_of(100));
    }

    #[test]
    fn old_samples_are_discarded() {
        let mut times = ServiceTimes::new(Duration::from_millis(200));
        (0..5_000).for_each(|_| times.record(Duration::from_millis(400)));
        (0..5_000).for_each(|_| times.record(Duration::from_millis(60)));
        assert!(times.mean() < Duration::from_millis(70));
    }
}
