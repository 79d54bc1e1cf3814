//! Ends jobs that have waited too long and removes jobs that have ended.

use std::time::Duration;

use admission::StartVerdict;
use model::Time;

use crate::admission::not_run_outcome;
use crate::agents::Agent;
use crate::dispatcher::{Dispatcher, queued_task};
use crate::event::{Action, JobRequest, Outcome, Reason};
use crate::job::{Job, TaskState};
use crate::start_forecasts::{ForecastInputs, slack};
use crate::timing::Timing;

/// Minimum interval between scans of all jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum interval between checks of the forecasts of all waiting jobs. The measured rates change
/// once per 100 ms; with 500 waiting jobs, a check every 20 ms took 25 ms of CPU time a second.
const FORECAST_INTERVAL: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Queues lost tasks whose lease has ended, answers jobs that have waited too long, and removes
    /// answered jobs once their tasks have stopped.
    pub(crate) fn check_timeouts(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.timeouts_checked) < CHECK_INTERVAL {
            return;
        }
        self.timeouts_checked = now;
        let checks_forecasts =
            self.policy.start_forecast && now.since(self.forecasts_checked) >= FORECAST_INTERVAL;
        if checks_forecasts {
            self.forecasts_checked = now;
        }
        self.cancelled_jobs.remove_expired(now);
        self.crashes.expire(now);
        let mut timed_out = Vec::new();
        let mut quiescent = Vec::new();
        let mut lease_ended = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.outcome.is_some() {
                if job.is_quiescent(now) {
                    quiescent.push(id.clone());
                }
                continue;
            }
            for (index, task) in job.tasks.iter_mut().enumerate() {
                if matches!(task.state, TaskState::Lost { until } if until <= now) {
                    task.state = TaskState::Waiting;
                    task.waiting_since = now;
                    lease_ended.push(index as u32);
                }
            }
            for index in lease_ended.drain(..) {
                self.queue.insert(queued_task(job, index, self.policy));
            }
            let inputs = ForecastInputs {
                now,
                forecasts: &self.forecasts,
                queue: &self.queue,
                agents: &self.agents,
                run_times: &self.run_times,
                timing: &self.timing,
                policy: self.policy,
            };
            if let Some(outcome) = timeout_outcome(job, &inputs, checks_forecasts) {
                timed_out.push((id.clone(), outcome));
            }
        }
        for (id, outcome) in timed_out {
            self.finish_job(now, &id, outcome, actions);
        }
        for id in quiescent {
            let Some((call, request)) = self.jobs.remove(&id).and_then(|job| job.resubmission)
            else {
                continue;
            };
            match self.resubmission_refusal(now) {
                Some(reason) => {
                    self.calls.remove(&call);
                    actions.push(Action::Answer(call, Outcome::MayHaveRun(reason)));
                }
                None => self.submit(now, call, request, actions),
            }
        }
    }
}

/// Returns the outcome of a job that has waited too long or certainly ends too late, if any. While
/// no load is known, as after a restart, capacity is not known to be short either, so a job waits
/// for as long as it can still end in time.
fn timeout_outcome(
    job: &Job,
    inputs: &ForecastInputs<'_>,
    checks_forecast: bool,
) -> Option<Outcome> {
    let ForecastInputs { now, timing, .. } = *inputs;
    let age = now.since(job.submitted);
    let not_run = job.is_provably_not_run();
    if not_run && must_be_refused(job, age, inputs, checks_forecast) {
        return Some(not_run_outcome(Reason::NoCapacity, &job.request));
    }
    if age + timing.answer_margin >= job.request.deadline {
        return Some(match not_run {
            true => not_run_outcome(Reason::Deadline, &job.request),
            false => Outcome::MayHaveRun(Reason::Deadline),
        });
    }
    None
}

/// Whether a job of which nothing has run is refused for lack of capacity.
fn must_be_refused(
    job: &Job,
    age: Duration,
    inputs: &ForecastInputs<'_>,
    checks_forecast: bool,
) -> bool {
    let (request, policy) = (&job.request, inputs.policy);
    if age < max_placement_wait(request, inputs.timing) {
        let is_late = || {
            let (verdict, _) = inputs.predict(request, job.submitted);
            matches!(verdict, StartVerdict::TooLate { .. })
        };
        return checks_forecast && inputs.is_certain(request) && is_late();
    }
    if age >= estimated_slack(request, inputs.timing) {
        return true;
    }
    let serves =
        |agent: &Agent| agent.serves(&request.service, inputs.now, inputs.timing.max_load_age);
    if !policy.early_refusal || !inputs.agents.values().any(serves) {
        return false;
    }
    let may_wait_longer = || {
        let (verdict, _) = inputs.predict(request, job.submitted);
        verdict.allows_longer_wait(inputs.has_work_behind(request, job.submitted))
    };
    !(policy.start_forecast && may_wait_longer())
}

/// How long a job waits for its first start while targets accept work and no forecast says
/// otherwise: its slack, but at most a fraction of its objective.
fn max_placement_wait(request: &JobRequest, timing: &Timing) -> Duration {
    let upper_bound = request.objective.mul_f64(timing.max_wait_fraction);
    estimated_slack(request, timing).min(upper_bound)
}

/// How long a job can wait and still meet its objective by its estimate.
fn estimated_slack(request: &JobRequest, timing: &Timing) -> Duration {
    let estimate = Duration::from_millis(u64::from(request.shape.estimated_ms));
    slack(request, estimate, timing)
}
