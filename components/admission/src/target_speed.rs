//! How much longer a target takes for tasks than estimated.
//!
//! Targets of one deployment take from half to 1.25 times the usual time, constant for the life of
//! a target, and a faulty one takes several times as long. A single run says little, because
//! estimates are off by a factor of 1.5. So the slowdown is a mean over many runs that idleness
//! does not change, next to a test for a lasting change, which is accepted after a few runs.

use std::time::Duration;

/// Number of runs that the mean covers. Busy targets complete about 50 runs per second, and the
/// mean of 50 runs whose ratios spread by a factor of 1.5 is accurate to 6 %.
const MEAN_RUNS: f64 = 50.0;
/// Weight of the assumption that a new target is an ordinary one, in runs. The first run of a new
/// target then counts by a third, as single runs spread more widely than targets do.
const PRIOR_RUNS: f64 = 2.0;
/// Range of the ratio of run time to estimate that a single run counts with.
const MAX_RATIO: f64 = 16.0;
/// Part of a run's deviation from the mean, in logarithms, that the spread of single runs explains:
/// one standard deviation. Changes by a smaller factor are left to the mean.
const USUAL_DEVIATION: f64 = 0.4;
/// Largest deviation of a single run that counts as evidence of a change, so that three runs are
/// not enough.
const MAX_DEVIATION: f64 = 1.9;
/// Evidence at which a change is accepted. A target that becomes five times slower reaches it
/// within 4 to 6 runs. The eight tasks of a job whose estimate is off by twice the usual error, all
/// on one target, do not: they add up to 3.2.
const ACCEPTED_EVIDENCE: f64 = 4.8;

/// The slowdown of a target, learned from the runs that it completes.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpeed {
    /// Mean logarithm of the ratio of run time to estimate.
    mean: f64,
    /// Number of runs that the mean covers.
    runs: f64,
    /// Runs that suggest that the target has become slower.
    slower: Change,
    /// Runs that suggest that the target has become faster.
    faster: Change,
}

/// Evidence of a lasting change: a cumulative sum, and the runs since it was last zero.
#[derive(Clone, Copy, Debug, Default)]
struct Change {
    evidence: f64,
    runs: f64,
    sum: f64,
}

impl Change {
    /// Adds a run that deviates by so much in the direction of the change. Returns whether the
    /// change is accepted.
    fn add(&mut self, log_ratio: f64, deviation: f64) -> bool {
        self.evidence += deviation.min(MAX_DEVIATION) - USUAL_DEVIATION;
        if self.evidence <= 0.0 {
            *self = Self::default();
            return false;
        }
        self.runs += 1.0;
        self.sum += log_ratio;
        self.evidence > ACCEPTED_EVIDENCE
    }
}

impl Default for TargetSpeed {
    fn default() -> Self {
        let none = Change::default();
        Self { mean: 0.0, runs: PRIOR_RUNS, slower: none, faster: none }
    }
}

impl TargetSpeed {
    /// Records a completed run. Runs without an estimate say nothing about the target.
    pub fn record(&mut self, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
        let log_ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let deviation = log_ratio - self.mean;
        self.runs = (self.runs + 1.0).min(MEAN_RUNS);
        self.mean += deviation / self.runs;
        let slower = self.slower.add(log_ratio, deviation);
        let faster = self.faster.add(log_ratio, -deviation);
        if slower || faster {
            let change = if slower { self.slower } else { self.faster };
            *self = Self { mean: change.sum / change.runs, runs: change.runs, ..Self::default() };
        }
    }

    /// Returns the usual run time relative to the estimate.
    pub fn slowdown(&self) -> f64 {
        self.mean.exp()
    }

    /// Returns the usual run time in percent of the estimate; 100 without known runs.
    pub fn slowdown_percent(&self) -> u32 {
        (self.slowdown() * 100.0).round() as u32
    }
}
