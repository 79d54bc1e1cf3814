//! Service time statistics of tasks of one kind.

use std::time::Duration;

use crate::windows::{SampleWindows, largest_of_quantile};

/// Longest recorded service time, in milliseconds; longer times are clamped to it.
const MAX_RECORDED_MS: u64 = 600_000;
/// Precision of the recorded service times, in significant digits.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Distribution of recent service times of one kind of task, kept in two windows of bounded size.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    expected: Duration,
    samples: SampleWindows,
}

impl ServiceTimes {
    /// Creates empty statistics; `expected` is used until there are enough samples.
    pub fn new(expected: Duration) -> Self {
        Self { expected, samples: SampleWindows::new(MAX_RECORDED_MS, SIGNIFICANT_DIGITS) }
    }

    /// Records the service time of one task.
    pub fn record(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(MAX_RECORDED_MS);
        self.samples.record(millis, time.as_secs_f64());
    }

    /// Returns the mean service time, or the expected time while there are too few samples.
    pub fn mean(&self) -> Duration {
        self.samples.known().map_or(self.expected, |window| Duration::from_secs_f64(window.mean()))
    }

    /// Returns the median of the longest service time among `tasks` tasks, or the expected time
    /// while there are too few samples.
    pub fn slowest_of(&self, tasks: usize) -> Duration {
        let quantile = largest_of_quantile(tasks);
        self.samples.known().map_or(self.expected, |window| {
            Duration::from_millis(window.value_at_quantile(quantile))
        })
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
