//! The start forecasts of an entry: one for each group of tasks that compete for the same targets.

use std::collections::BTreeMap;
use std::time::Duration;

use admission::{JobNeed, RunTimes, StartForecast, StartReason, StartVerdict};
use model::Time;

use crate::agents::Agent;
use crate::dispatcher::Dispatcher;
use crate::event::{JobRequest, SessionId};
use crate::policy::Policy;
use crate::task_queue::{TargetGroup, TaskQueue};
use crate::timing::Timing;

/// Maximum number of groups with a forecast. Jobs of other groups are not refused by forecast.
const MAX_GROUPS: usize = 256;

/// The forecasts by group.
#[derive(Debug, Default)]
pub(crate) struct StartForecasts {
    groups: BTreeMap<TargetGroup, StartForecast>,
    /// When a target last started to accept work.
    capacity_grew: Time,
}

impl StartForecasts {
    /// Records the placement of a task of a job that is expected to run for `run_ms`.
    pub fn record_placement(&mut self, now: Time, request: &JobRequest, run_ms: u32) {
        let run_time = Duration::from_millis(u64::from(run_ms));
        if let Some(forecast) = self.get_or_insert(TargetGroup::of(request)) {
            let cpu_milli = request.shape.resources.cpu_milli;
            forecast.record_placement(now, &request.queue, cpu_milli, run_time);
        }
    }

    /// Records that a target has started to accept work.
    pub fn record_capacity_growth(&mut self, now: Time) {
        self.capacity_grew = now;
        self.groups.values_mut().for_each(|forecast| forecast.record_capacity_growth(now));
    }

    /// Records which groups have waiting tasks, and removes idle groups.
    pub fn update_backlog(&mut self, now: Time, queue: &TaskQueue) {
        for group in queue.waiting_groups() {
            if !self.groups.contains_key(group) {
                self.get_or_insert(group.clone());
            }
        }
        self.groups.retain(|group, forecast| {
            forecast.update_backlog(now, queue.has_waiting(group));
            !forecast.is_idle(now)
        });
    }

    fn get_or_insert(&mut self, group: TargetGroup) -> Option<&mut StartForecast> {
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&group) {
            return None;
        }
        let capacity_grew = self.capacity_grew;
        Some(self.groups.entry(group).or_insert_with(|| {
            let mut forecast = StartForecast::default();
            forecast.record_capacity_growth(capacity_grew);
            forecast
        }))
    }
}

/// The state of the entry from which the start of a job is predicted.
pub(crate) struct ForecastInputs<'a> {
    pub now: Time,
    pub forecasts: &'a StartForecasts,
    pub queue: &'a TaskQueue,
    pub agents: &'a BTreeMap<SessionId, Agent>,
    pub run_times: &'a RunTimes,
    pub timing: &'a Timing,
    pub policy: Policy,
}

impl ForecastInputs<'_> {
    /// Predicts the start of a job of which no task has started.
    pub fn predict(&self, request: &JobRequest, submitted: Time) -> (StartVerdict, StartReason) {
        let unknown = StartVerdict::Uncertain { wait: None };
        let need = self.need(request, submitted);
        let group = TargetGroup::of(request);
        let due = submitted + request.objective;
        let unstarted = self.policy.started_first;
        let mut ahead = self.queue.work_ahead(&group, unstarted, request.priority, due);
        if !unstarted {
            // The queue does not tell which tasks belong to jobs that have started.
            ahead.started_cpu_milli = 0;
        }
        let verdict = self.forecasts.groups.get(&group).map_or(unknown, |forecast| {
            let fits_now = || self.has_free_capacity(request);
            forecast.verdict(self.now, &request.queue, ahead, need, fits_now)
        });
        (verdict, verdict.reason(ahead, need))
    }

    /// Whether other tasks wait for the same targets behind a job of which no task has started.
    pub fn has_work_behind(&self, request: &JobRequest, submitted: Time) -> bool {
        let group = TargetGroup::of(request);
        let due = submitted + request.objective;
        let unstarted = self.policy.started_first;
        self.queue.has_work_behind(&group, unstarted, request.priority, due)
    }

    /// Whether a forecast for the job can be certain.
    pub fn is_certain(&self, request: &JobRequest) -> bool {
        let forecast = self.forecasts.groups.get(&TargetGroup::of(request));
        forecast.is_some_and(|forecast| forecast.is_certain(self.now))
    }

    fn need(&self, request: &JobRequest, submitted: Time) -> JobNeed {
        let shape = &request.shape;
        let estimate = Duration::from_millis(u64::from(shape.estimated_ms));
        let predicted = match self.policy.run_times {
            true => self.run_times.longest_of(&request.queue, estimate, shape.count),
            false => estimate,
        };
        JobNeed {
            cpu_milli: shape.resources.cpu_milli * u64::from(shape.count),
            waited: self.now.since(submitted),
            min_slack: slack(request, predicted.max(estimate), self.timing),
            max_slack: slack(request, predicted.min(estimate), self.timing),
        }
    }

    /// Whether a target has free capacity for a task of the job, or none is known to accept work.
    fn has_free_capacity(&self, request: &JobRequest) -> bool {
        let serves = |agent: &&Agent| {
            agent.serves(&request.service, self.now, self.timing.max_load_age)
                && request.shape.requirement.as_ref().is_none_or(|label| agent.has_label(label))
        };
        let mut serving = self.agents.values().filter(serves).peekable();
        let fits = |agent: &Agent| request.shape.resources.fits(&agent.free(self.now));
        serving.peek().is_none() || serving.any(fits)
    }
}

/// How long a job that runs for `run_time` can wait and still meet its objective, but at least a
/// fraction of the objective.
pub(crate) fn slack(request: &JobRequest, run_time: Duration, timing: &Timing) -> Duration {
    let slack = request.objective.saturating_sub(run_time + timing.start_overhead);
    slack.max(request.objective.mul_f64(timing.min_wait_fraction))
}

impl Dispatcher {
    pub(crate) fn forecast_inputs(&self, now: Time) -> ForecastInputs<'_> {
        ForecastInputs {
            now,
            forecasts: &self.forecasts,
            queue: &self.queue,
            agents: &self.agents,
            run_times: &self.run_times,
            timing: &self.timing,
            policy: self.policy,
        }
    }

    /// Returns why an arriving job can't be in time; `None` if it can or that is not certain.
    pub(crate) fn too_late_on_arrival(
        &self,
        now: Time,
        request: &JobRequest,
    ) -> Option<StartReason> {
        if !self.policy.start_forecast {
            return None;
        }
        let (verdict, reason) = self.forecast_inputs(now).predict(request, now);
        matches!(verdict, StartVerdict::TooLate { .. }).then_some(reason)
    }
}
