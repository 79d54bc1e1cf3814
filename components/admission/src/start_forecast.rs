//! Forecast of when a waiting job starts, from the work queued ahead of it and the rate at which
//! the entry has placed work.
//!
//! Answers bursts of up to 2.4 times the usual jobs, in which jobs that could not end in time
//! waited a fifth of their objective before they were refused, and others were refused then that
//! could still have ended in time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use model::Time;

use crate::estimate::{WAIT_MARGIN, queueing_delay};

/// Placements older than this do not count, so that the forecast follows a loss of targets.
const WINDOW: Duration = Duration::from_millis(500);
/// The window is divided into intervals of this length.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of whole intervals that a window covers.
const WINDOW_INTERVALS: u64 = 5;
/// Minimum number of placements in the window for a certain forecast.
const MIN_PLACEMENTS: u32 = 20;
/// Minimum share of the work placed in the window that a queue must have for its jobs to be refused
/// by forecast, so that the forecast starves no queue.
const MIN_QUEUE_SHARE: f64 = 0.1;
/// Maximum number of queues whose share is tracked. Jobs of others are not refused by forecast.
const MAX_QUEUES: usize = 256;
/// Divisor of the slack of a job that waits beyond the usual bound. The objective and the run time
/// are computed from the estimate, and estimates are off by a factor of 1.5 (one standard
/// deviation).
const ESTIMATE_ERROR: f64 = 1.5;

/// Waiting tasks that are served before those of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkAhead {
    /// Number of tasks.
    pub tasks: usize,
    /// CPU of all of them, in thousandths of a core.
    pub cpu_milli: u64,
    /// CPU of those that belong to jobs which have started. The others may be refused before they
    /// are placed, so they do not make it certain that a job behind them is too late.
    pub started_cpu_milli: u64,
}

/// What a job needs in order to end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobNeed {
    /// CPU of all waiting tasks of the job, in thousandths of a core.
    pub cpu_milli: u64,
    /// Time since the submission.
    pub waited: Duration,
    /// How long after the submission the last task has to start, if the job runs for the longer one
    /// of the estimated and the predicted run time: a job that waits on a wrong guess ends late.
    pub min_slack: Duration,
    /// The same for the shorter one: a refusal on a wrong guess loses the job.
    pub max_slack: Duration,
}

impl JobNeed {
    /// Most time left until the last task has to start.
    fn max_time_left(&self) -> Duration {
        self.max_slack.saturating_sub(self.waited)
    }

    /// Time left until then that is likely even if the estimate is wrong.
    fn safe_time_left(&self) -> Duration {
        self.min_slack.div_f64(ESTIMATE_ERROR).saturating_sub(self.waited)
    }
}

/// The figures behind a verdict, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartReason {
    /// Number of tasks that are served before those of the job.
    pub tasks_ahead: usize,
    /// Time left until the last task of the job has to start, in milliseconds.
    pub slack_ms: u64,
    /// Predicted time until the last task of the job starts, in milliseconds; `None` if too little
    /// is known for a prediction.
    pub expected_wait_ms: Option<u64>,
}

/// Prediction of a job's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartVerdict {
    /// Capacity for a task of the job is free.
    StartsNow,
    /// The last task starts in time, with a margin for the errors of the forecast.
    InTime {
        /// Predicted time until the last task starts.
        wait: Duration,
    },
    /// Whether the job can be in time is not certain.
    Uncertain {
        /// Predicted time until the last task starts, if there is a prediction.
        wait: Option<Duration>,
    },
    /// The last task starts too late even at the highest rate in the window, and if all waiting
    /// jobs ahead that have not started are refused.
    TooLate {
        /// Predicted time until the last task starts.
        wait: Duration,
    },
}

impl StartVerdict {
    /// Whether a job may wait beyond the usual bound. While jobs wait behind it, a longer wait
    /// takes the capacity from them: in simulated bursts of 1.3 to 2.4 times the usual jobs, longer
    /// waits in front of others served no more jobs in time.
    pub fn allows_longer_wait(self, others_wait_behind: bool) -> bool {
        matches!(self, Self::InTime { .. } | Self::StartsNow) && !others_wait_behind
    }

    /// Returns the figures behind the verdict.
    pub fn reason(self, ahead: WorkAhead, need: JobNeed) -> StartReason {
        let wait = match self {
            Self::StartsNow => Some(Duration::ZERO),
            Self::InTime { wait } | Self::TooLate { wait } => Some(wait),
            Self::Uncertain { wait } => wait,
        };
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        StartReason {
            tasks_ahead: ahead.tasks,
            slack_ms: millis(need.max_time_left()),
            expected_wait_ms: wait.map(millis),
        }
    }
}

/// Placements within one interval.
#[derive(Clone, Debug, Default)]
struct Interval {
    /// Number of the interval since the epoch of the clock.
    number: u64,
    placements: u32,
    cpu_milli: u64,
    /// Placed work in core-microseconds, by queue.
    work_by_queue: BTreeMap<Arc<str>, f64>,
}

/// Predicts when jobs start that compete for the same targets.
#[derive(Debug, Default)]
pub struct StartForecast {
    /// The intervals with placements, oldest first.
    intervals: VecDeque<Interval>,
    /// Since when tasks have been waiting without interruption; `None` if none wait. Before that,
    /// placements show the demand and not the available capacity.
    backlog_since: Option<Time>,
    /// When capacity last grew. Placements before that show less than the available capacity.
    capacity_grew: Time,
}

/// The rates at which work was placed, in thousandths of a core per second.
struct Rates {
    mean: f64,
    /// The highest rate of a single interval.
    highest: f64,
}

impl StartForecast {
    /// Records the placement of a task that is expected to run for `run_time`.
    pub fn record_placement(
        &mut self,
        now: Time,
        queue: &Arc<str>,
        cpu_milli: u64,
        run_time: Duration,
    ) {
        let number = interval_number(now);
        while self.intervals.front().is_some_and(|interval| is_expired(interval, number)) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|interval| interval.number < number) {
            self.intervals.push_back(Interval { number, ..Interval::default() });
        }
        let Some(interval) = self.intervals.back_mut() else { return };
        interval.placements += 1;
        interval.cpu_milli += cpu_milli;
        let work = cpu_milli as f64 * run_time.as_secs_f64() * 1e3;
        if let Some(queue_work) = interval.work_by_queue.get_mut(queue) {
            *queue_work += work;
        } else if interval.work_by_queue.len() < MAX_QUEUES {
            interval.work_by_queue.insert(queue.clone(), work);
        }
    }

    /// Records whether tasks wait for capacity.
    pub fn update_backlog(&mut self, now: Time, has_backlog: bool) {
        self.backlog_since = has_backlog.then(|| self.backlog_since.unwrap_or(now));
    }

    /// Records that a target has started to accept work.
    pub fn record_capacity_growth(&mut self, now: Time) {
        self.capacity_grew = now;
    }

    /// Whether no task waits and no placement is in the window.
    pub fn is_idle(&self, now: Time) -> bool {
        let number = interval_number(now);
        self.backlog_since.is_none() && self.intervals.iter().all(|one| is_expired(one, number))
    }

    /// Whether a verdict can be certain.
    pub fn is_certain(&self, now: Time) -> bool {
        self.rates(now).is_some()
    }

    /// Predicts the start of the last task of a job.
    ///
    /// `fits_now` returns whether capacity for a task of the job is free. It is called only if the
    /// job would be too late otherwise, as the answer takes a pass over the targets.
    pub fn verdict(
        &self,
        now: Time,
        queue: &str,
        ahead: WorkAhead,
        need: JobNeed,
        fits_now: impl FnOnce() -> bool,
    ) -> StartVerdict {
        let Some(rates) = self.rates(now) else { return StartVerdict::Uncertain { wait: None } };
        let work = (ahead.cpu_milli + need.cpu_milli) as f64;
        let wait = queueing_delay(work, rates.mean);
        if queueing_delay(work * WAIT_MARGIN, rates.mean) <= need.safe_time_left() {
            return StartVerdict::InTime { wait };
        }
        let certain_work = (ahead.started_cpu_milli + need.cpu_milli) as f64;
        let too_late = queueing_delay(certain_work, rates.highest) > need.max_time_left();
        if !too_late || !self.has_minimum_share(now, queue) {
            return StartVerdict::Uncertain { wait: Some(wait) };
        }
        if fits_now() { StartVerdict::StartsNow } else { StartVerdict::TooLate { wait } }
    }

    /// The rates since work has been waiting. `None` if they are not certain: too few placements,
    /// no whole interval, or capacity that the window does not reflect.
    fn rates(&self, now: Time) -> Option<Rates> {
        let since = self.backlog_since?;
        if now.since(self.capacity_grew) < WINDOW {
            return None;
        }
        let current = interval_number(now);
        let first = interval_number(since.max(self.capacity_grew)) + 1;
        let first = first.max(current.saturating_sub(WINDOW_INTERVALS));
        // The current interval is not over yet, so it says nothing about the rate.
        let whole_intervals = current.checked_sub(first).filter(|count| *count > 0)?;
        let counted =
            || self.intervals.iter().filter(|one| one.number >= first && one.number < current);
        let placements: u32 = counted().map(|interval| interval.placements).sum();
        if placements < MIN_PLACEMENTS {
            return None;
        }
        let per_s = 1.0 / INTERVAL.as_secs_f64();
        let total: u64 = counted().map(|interval| interval.cpu_milli).sum();
        let highest = counted().map(|interval| interval.cpu_milli).max().unwrap_or_default();
        let mean = total as f64 * per_s / whole_intervals as f64;
        Some(Rates { mean, highest: highest as f64 * per_s })
    }

    /// Whether the queue has its minimum share of the work placed in the window.
    fn has_minimum_share(&self, now: Time, queue: &str) -> bool {
        let number = interval_number(now);
        let (mut own, mut all) = (0.0, 0.0);
        for interval in self.intervals.iter().filter(|one| !is_expired(one, number)) {
            own += interval.work_by_queue.get(queue).copied().unwrap_or_default();
            all += interval.work_by_queue.values().sum::<f64>();
        }
        own >= all * MIN_QUEUE_SHARE
    }
}

fn interval_number(now: Time) -> u64 {
    now.as_micros() / INTERVAL.as_micros() as u64
}

fn is_expired(interval: &Interval, current: u64) -> bool {
    interval.number + WINDOW_INTERVALS < current
}
