//! Predicted run times of the tasks of a queue.
//!
//! Clients estimate run times, and their estimates are off by a factor of 1.5 and more; targets
//! take from half to several times the usual time. Both factors are learned separately: this module
//! learns the ratio of run time to estimate by queue, with each run divided by the slowdown of its
//! target relative to the median target. The division keeps the two factors from drifting: if all
//! targets look slower because estimates are too low, their median does too.

use std::sync::Arc;
use std::time::Duration;

use crate::queue_map::QueueMap;
use crate::windows::{SampleWindows, largest_of_quantile};

/// Range of the factor that corrects an estimate. Estimates that are off by more are as likely a
/// fault of the runs, such as tasks that return at once.
const MIN_CORRECTION: f64 = 0.25;
const MAX_CORRECTION: f64 = 8.0;
/// Range of the relative slowdown by which a run time is divided.
const MAX_RELATIVE_SLOWDOWN: f64 = 16.0;
/// Ratios are recorded by their logarithm, in steps of 2 %.
const STEPS_PER_LOG: f64 = 50.0;
/// Precision of the recorded steps: two digits are exact up to 255 steps.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Number of the step of the ratio 1 and of the highest step. They hold ratios above 0.03, and
/// those up to 5 exactly.
const RATIO_ORIGIN: f64 = 175.0;
const RATIO_STEPS: u64 = 511;
/// The same for the run time of a task relative to the mean of its job. They hold ratios from 0.08
/// to 12.
const SPREAD_ORIGIN: f64 = 128.0;
const SPREAD_STEPS: u64 = 255;
/// While a queue has fewer runs, its correction is updated with each of them, then with each
/// `CORRECTION_UPDATE_RUNS`. An update costs about as much as the rest of a record.
const FEW_RUNS: u64 = 100;
const CORRECTION_UPDATE_RUNS: u64 = 16;

/// Predicts how long tasks run on a target of median speed.
#[derive(Debug, Default)]
pub struct RunTimes {
    queues: QueueMap<QueueRunTimes>,
}

/// Run times of the tasks of one queue.
#[derive(Debug)]
struct QueueRunTimes {
    /// Ratio of the run time of a task to its estimate.
    ratios: SampleWindows,
    /// Ratio of the run time of a task to the geometric mean of its job.
    spread: SampleWindows,
    runs: u64,
    /// Median ratio within its bounds, or 1 while it is unknown.
    correction: f64,
}

impl Default for QueueRunTimes {
    fn default() -> Self {
        Self {
            ratios: SampleWindows::new(RATIO_STEPS, SIGNIFICANT_DIGITS),
            spread: SampleWindows::new(SPREAD_STEPS, SIGNIFICANT_DIGITS),
            runs: 0,
            correction: 1.0,
        }
    }
}

impl RunTimes {
    /// Records a completed run. `relative_slowdown` is the slowdown of the target that ran it,
    /// divided by the median slowdown of the known targets.
    pub fn record(
        &mut self,
        queue: &Arc<str>,
        estimate: Duration,
        ran: Duration,
        relative_slowdown: f64,
    ) {
        if estimate.is_zero() || ran.is_zero() {
            return;
        }
        let relative = bounded_slowdown(relative_slowdown);
        let log = (ran.as_secs_f64() / (estimate.as_secs_f64() * relative)).ln();
        let times = self.queues.change(queue);
        times.ratios.record(to_step(log, RATIO_ORIGIN), log);
        times.runs += 1;
        if times.runs < FEW_RUNS || times.runs.is_multiple_of(CORRECTION_UPDATE_RUNS) {
            times.correction = times.ratios.known().map_or(1.0, |window| {
                let median = from_step(window.value_at_quantile(0.5), RATIO_ORIGIN);
                median.clamp(MIN_CORRECTION, MAX_CORRECTION)
            });
        }
    }

    /// Records the spread of a completed job: the run times of its tasks, each with the relative
    /// slowdown of its target.
    pub fn record_job(&mut self, queue: &Arc<str>, runs: &[(Duration, f64)]) {
        let logs = || {
            let measured = runs.iter().filter(|(ran, _)| !ran.is_zero());
            measured.map(|(ran, slowdown)| (ran.as_secs_f64() / bounded_slowdown(*slowdown)).ln())
        };
        let count = logs().count() as f64;
        if count < 2.0 {
            return;
        }
        let mean = logs().sum::<f64>() / count;
        // The mean of a few tasks follows each of them, which makes deviations from it too small.
        let unbiased = (count / (count - 1.0)).sqrt();
        let times = self.queues.change(queue);
        logs().for_each(|log| {
            let deviation = (log - mean) * unbiased;
            times.spread.record(to_step(deviation, SPREAD_ORIGIN), deviation);
        });
    }

    /// Returns the median run time of a task on a target of median speed. It is the estimate until
    /// enough runs of the queue are known.
    pub fn expected(&self, queue: &str, estimate: Duration) -> Duration {
        match self.queues.get(queue) {
            Some(times) => estimate.mul_f64(times.correction),
            None => estimate,
        }
    }

    /// Returns the median of the longest run time among `tasks` tasks of one job on targets of
    /// median speed. The tasks share the error of their job's estimate, so it depends only on how
    /// much the tasks of a job differ.
    pub fn longest_of(&self, queue: &str, estimate: Duration, tasks: u32) -> Duration {
        let expected = self.expected(queue, estimate);
        let spread = self.queues.get(queue).and_then(|times| times.spread.known());
        let Some(spread) = spread.filter(|_| tasks > 1) else { return expected };
        let step = spread.value_at_quantile(largest_of_quantile(tasks as usize));
        expected.mul_f64(from_step(step, SPREAD_ORIGIN).max(1.0))
    }
}

fn bounded_slowdown(relative: f64) -> f64 {
    relative.clamp(1.0 / MAX_RELATIVE_SLOWDOWN, MAX_RELATIVE_SLOWDOWN)
}

fn to_step(log: f64, origin: f64) -> u64 {
    (log * STEPS_PER_LOG + origin).round().max(1.0) as u64
}

fn from_step(step: u64, origin: f64) -> f64 {
    ((step as f64 - origin) / STEPS_PER_LOG).exp()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::queue_map::MAX_QUEUES;

    /// Guards against statistics that take up an entry's memory: all state of a node for hard load
    /// stays under 1 MB.
    #[test]
    fn statistics_of_all_queues_stay_small() {
        let times = QueueRunTimes::default();
        let counts = times.ratios.count_bytes() + times.spread.count_bytes();
        let bytes = (counts + size_of::<QueueRunTimes>()) * MAX_QUEUES;
        assert!(bytes < 800_000, "{bytes}");
    }
}
