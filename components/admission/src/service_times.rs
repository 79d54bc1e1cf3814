//! How long tasks of one kind take at their targets.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time told apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// Times after which the older half is forgotten.
const WINDOW: u64 = 2_000;
/// Times needed before they are trusted over the setting.
const ENOUGH: u64 = 20;

/// Service times of the last few thousand tasks of one kind, within a few kilobytes.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    expected: Duration,
    recent: Window,
    older: Window,
}

/// Some times, with their sum, so that the mean costs nothing.
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
    /// No times yet; `expected` stands in until there are enough.
    pub fn new(expected: Duration) -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MS, 1).expect("constant bounds");
        let empty = Window { histogram, sum: Duration::ZERO };
        Self { expected, recent: empty.clone(), older: empty }
    }

    /// Adds the time of one task.
    pub fn record(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(LONGEST_MS);
        self.recent.histogram.saturating_record(millis.clamp(1, LONGEST_MS));
        self.recent.sum += time;
        if self.recent.histogram.len() >= WINDOW {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.histogram.reset();
            self.recent.sum = Duration::ZERO;
        }
    }

    fn known(&self) -> &Window {
        let older = self.older.histogram.len() > self.recent.histogram.len();
        if older { &self.older } else { &self.recent }
    }

    /// The mean time.
    pub fn mean(&self) -> Duration {
        let known = self.known();
        if known.histogram.len() < ENOUGH {
            return self.expected;
        }
        known.mean()
    }

    /// The time within which the slowest of so many tasks ends, more likely than not.
    pub fn slowest_of(&self, tasks: usize) -> Duration {
        let known = self.known();
        if known.histogram.len() < ENOUGH {
            return self.expected;
        }
        let quantile = 0.5_f64.powf(1.0 / tasks.max(1) as f64);
        Duration::from_millis(known.histogram.value_at_quantile(quantile))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_setting_stands_in_until_enough_is_known() {
        let mut times = ServiceTimes::new(Duration::from_millis(200));
        (0..19).for_each(|_| times.record(Duration::from_millis(50)));
        assert_eq!(times.mean(), Duration::from_millis(200));
        times.record(Duration::from_millis(50));
        assert!(times.mean() < Duration::from_millis(55));
    }

    #[test]
    fn many_tasks_wait_for_a_slower_one() {
        let mut times = ServiceTimes::new(Duration::from_millis(200));
        (1..=500).for_each(|n| times.record(Duration::from_millis(n)));
        assert!(times.slowest_of(1) < times.slowest_of(10));
        assert!(times.slowest_of(10) < times.slowest_of(100));
    }

    #[test]
    fn old_times_are_forgotten() {
        let mut times = ServiceTimes::new(Duration::from_millis(200));
        (0..5_000).for_each(|_| times.record(Duration::from_millis(400)));
        (0..5_000).for_each(|_| times.record(Duration::from_millis(60)));
        assert!(times.mean() < Duration::from_millis(70));
    }
}
