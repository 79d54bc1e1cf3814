//! Run times of tasks: what the entry predicts and sends with a start, and what it learns from
//! completed runs.
//!
//! Estimates of clients are off by a factor of 1.5 and targets differ in speed by more than two.
//! The agent of a target learns its speed from the tasks of all entries, so the estimates that it
//! is sent must not contain the error of a queue's estimates or the penalty of data that is
//! elsewhere.

use std::collections::BTreeMap;
use std::time::Duration;

use admission::{PredictionErrors, RunTimes};
use model::Time;

use crate::agents::Agent;
use crate::data_demand::data_location;
use crate::dispatcher::Dispatcher;
use crate::event::{DataLocation, JobRequest, SessionId};
use crate::job::{Job, Task};

/// Interval at which the median slowdown is computed again. The slowdown of a target lasts for its
/// life, and the median of many changes only as targets come and go.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(100);
/// Lower bound of the estimate that is sent with a start, as a fraction of the client's. An agent
/// may stop a run that takes three times the sent estimate, which must not happen before the
/// client's estimate.
const MIN_SENT_FRACTION: f64 = 1.0 / 3.0;

/// The prediction of a run at the time of its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    /// Run time at the chosen target.
    pub run_time: Duration,
    /// Slowdown of the target relative to the median.
    pub relative_slowdown: f64,
    /// Whether the target lacks the label that the job names.
    pub is_away: bool,
}

/// The median slowdown of the agents that accept work.
#[derive(Debug, Default)]
pub(crate) struct MedianSlowdown {
    /// In percent; 0 while no agent has reported one.
    percent: u32,
    computed: Option<Time>,
}

impl MedianSlowdown {
    /// Computes the median again if it is due.
    pub fn refresh(&mut self, now: Time, agents: &BTreeMap<SessionId, Agent>) {
        if self.computed.is_some_and(|at| now.since(at) < MEDIAN_INTERVAL) {
            return;
        }
        self.computed = Some(now);
        let open = agents.values().filter(|agent| agent.load.open);
        let known = open.map(|agent| agent.load.slowdown_percent).filter(|percent| *percent > 0);
        let mut all: Vec<u32> = known.collect();
        let middle = all.len() / 2;
        self.percent = if all.is_empty() { 0 } else { *all.select_nth_unstable(middle).1 };
    }

    /// Returns a slowdown relative to the median. An unknown one counts as the median.
    pub fn relative(&self, percent: u32) -> f64 {
        if percent == 0 || self.percent == 0 {
            return 1.0;
        }
        f64::from(percent) / f64::from(self.percent)
    }
}

/// What a prediction is made from.
pub(crate) struct Learned<'a> {
    /// `None` if estimates are used as they are.
    pub run_times: Option<&'a RunTimes>,
    pub median_slowdown: &'a MedianSlowdown,
    /// Factor on the run time at a target without the label that its job names.
    pub remote_penalty: f64,
}

impl Learned<'_> {
    /// Predicts a run at an agent. Returns the prediction and the estimate to send with its start,
    /// in milliseconds.
    pub fn predict(&self, request: &JobRequest, agent: &Agent) -> (Prediction, u32) {
        let estimated_ms = request.shape.estimated_ms;
        let estimate = Duration::from_millis(u64::from(estimated_ms));
        let is_away = data_location(request, agent) == Some(DataLocation::Away);
        let relative_slowdown = self.median_slowdown.relative(agent.load.slowdown_percent);
        let Some(run_times) = self.run_times else {
            return (Prediction { run_time: estimate, relative_slowdown, is_away }, estimated_ms);
        };
        let penalty = if is_away { self.remote_penalty } else { 1.0 };
        let expected = run_times.expected(&request.queue, estimate);
        let run_time = expected.mul_f64(relative_slowdown * penalty);
        // The agent doesn't know where the data is, so the penalty is not left to its figure.
        let sent = expected.max(estimate.mul_f64(MIN_SENT_FRACTION)).mul_f64(penalty);
        (Prediction { run_time, relative_slowdown, is_away }, to_millis(sent, estimated_ms))
    }
}

/// Returns a run time in whole milliseconds. It stays above 0, which stands for an unknown
/// estimate, unless the client's estimate is 0.
fn to_millis(run_time: Duration, estimated_ms: u32) -> u32 {
    let millis = (run_time.as_secs_f64() * 1e3).round() as u32;
    millis.max(estimated_ms.min(1))
}

/// Records the completed run of a task; without `run_times`, only how good its prediction was. Runs
/// away from the data that their job names say nothing about other runs of the queue.
pub(crate) fn record_completed_run(
    request: &JobRequest,
    task: &mut Task,
    ran: Duration,
    run_times: Option<&mut RunTimes>,
    errors: &mut PredictionErrors,
) {
    let Some(prediction) = task.prediction.filter(|_| !ran.is_zero()) else { return };
    errors.record(&request.queue, prediction.run_time, ran);
    let Some(run_times) = run_times.filter(|_| !prediction.is_away) else { return };
    task.completed_run = Some((ran, prediction.relative_slowdown));
    let estimate = Duration::from_millis(u64::from(request.shape.estimated_ms));
    run_times.record(&request.queue, estimate, ran, prediction.relative_slowdown);
}

/// Records how much the run times of a completed job's tasks differ.
pub(crate) fn record_completed_job(job: &Job, run_times: &mut RunTimes) {
    let runs: Vec<(Duration, f64)> =
        job.tasks.iter().filter_map(|task| task.completed_run).collect();
    run_times.record_job(&job.request.queue, &runs);
}

impl Dispatcher {
    /// Predicted against actual run times of completed runs, by queue.
    pub fn prediction_errors(&self) -> &PredictionErrors {
        &self.prediction_errors
    }
}
