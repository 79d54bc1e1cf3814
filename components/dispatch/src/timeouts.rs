//! Ends jobs that have waited too long and removes jobs that have ended.

use std::time::Duration;

use model::Time;

use crate::admission::not_run_outcome;
use crate::dispatcher::{Dispatcher, queued_task};
use crate::event::{Action, JobRequest, Outcome, Reason};
use crate::job::{Job, TaskState};
use crate::timing::Timing;

/// Minimum interval between scans of all jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Dispatcher {
    /// Queues lost tasks whose lease has ended, answers jobs that have waited too long, and removes
    /// answered jobs once their tasks have stopped.
    pub(crate) fn check_timeouts(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.timeouts_checked) < CHECK_INTERVAL {
            return;
        }
        self.timeouts_checked = now;
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
            let service = &job.request.service;
            let max_load_age = self.timing.max_load_age;
            let capacity_is_known = || {
                self.policy.early_refusal
                    && self.agents.values().any(|agent| agent.serves(service, now, max_load_age))
            };
            if let Some(outcome) = timeout_outcome(job, now, &self.timing, capacity_is_known) {
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

/// Returns the outcome of a job that has waited too long, if it has. While no load is known, as
/// after a restart, capacity is not known to be short either, so a job waits for as long as it can
/// still end in time.
fn timeout_outcome(
    job: &Job,
    now: Time,
    timing: &Timing,
    capacity_is_known: impl FnOnce() -> bool,
) -> Option<Outcome> {
    let age = now.since(job.submitted);
    let not_run = job.is_provably_not_run();
    if not_run
        && age >= max_placement_wait(&job.request, timing)
        && (age >= slack(&job.request, timing) || capacity_is_known())
    {
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

/// How long a job waits for its first start while targets accept work: its slack, but at most a
/// fraction of its objective.
fn max_placement_wait(request: &JobRequest, timing: &Timing) -> Duration {
    let upper_bound = request.objective.mul_f64(timing.max_wait_fraction);
    slack(request, timing).min(upper_bound)
}

/// How long a job can wait and still meet its objective, but at least a fraction of the objective.
fn slack(request: &JobRequest, timing: &Timing) -> Duration {
    let work = Duration::from_millis(u64::from(request.shape.estimated_ms));
    let slack = request.objective.saturating_sub(work + timing.start_overhead);
    slack.max(request.objective.mul_f64(timing.min_wait_fraction))
}
