//! Ends jobs that have waited too long and removes jobs that have ended.

use std::time::Duration;

use model::Time;

use crate::admission::not_run;
use crate::dispatcher::{Dispatcher, Timing, queue_entry};
use crate::event::{Action, JobRequest, Outcome, Reason};
use crate::job::{Job, TaskState};

/// Minimum interval between scans of all jobs.
const WAITS_EVERY: Duration = Duration::from_millis(5);

impl Dispatcher {
    /// Queues lost tasks whose lease has ended, answers jobs that have waited too long, and removes
    /// answered jobs once their tasks have stopped.
    pub(crate) fn end_waits(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.waits_ended) < WAITS_EVERY {
            return;
        }
        self.waits_ended = now;
        self.cancelled.forget(now);
        self.crashes.forget(now);
        let mut over = Vec::new();
        let mut gone = Vec::new();
        let mut returned = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.outcome.is_some() {
                if job.is_gone(now) {
                    gone.push(id.clone());
                }
                continue;
            }
            for (index, task) in job.tasks.iter_mut().enumerate() {
                if matches!(task.state, TaskState::Lost { until } if until <= now) {
                    task.state = TaskState::Waiting;
                    task.waits_since = now;
                    returned.push(index as u32);
                }
            }
            for index in returned.drain(..) {
                self.queue.insert(queue_entry(job, index, self.policy));
            }
            let service = &job.request.service;
            let silence = self.timing.max_load_age;
            let room_is_known = || {
                self.policy.early_refusal
                    && self.agents.values().any(|agent| agent.serves(service, now, silence))
            };
            if let Some(outcome) = overdue(job, now, &self.timing, room_is_known) {
                over.push((id.clone(), outcome));
            }
        }
        for (id, outcome) in over {
            self.finish(now, &id, outcome, out);
        }
        for id in gone {
            let Some((call, request)) = self.jobs.remove(&id).and_then(|job| job.again) else {
                continue;
            };
            match self.no_second_try(now) {
                Some(reason) => {
                    self.calls.remove(&call);
                    out.push(Action::Answer(call, Outcome::MayHaveRun(reason)));
                }
                None => self.submit(now, call, request, out),
            }
        }
    }
}

/// Returns the outcome of a job that has waited too long, if it has. While no load is known, as
/// after a restart, capacity is not known to be short either, so a job waits for as long as it can
/// still end in time.
fn overdue(
    job: &Job,
    now: Time,
    timing: &Timing,
    room_is_known: impl FnOnce() -> bool,
) -> Option<Outcome> {
    let age = now.since(job.submitted);
    let untouched = job.is_untouched();
    if untouched
        && age >= refuse_after(&job.request, timing)
        && (age >= slack_of(&job.request, timing) || room_is_known())
    {
        return Some(not_run(Reason::NoCapacity, &job.request));
    }
    if age + timing.answer_margin >= job.request.deadline {
        return Some(match untouched {
            true => not_run(Reason::Deadline, &job.request),
            false => Outcome::MayHaveRun(Reason::Deadline),
        });
    }
    None
}

/// How long a job waits for its first start while targets accept work: the slack within bounds.
fn refuse_after(request: &JobRequest, timing: &Timing) -> Duration {
    let most = request.objective.mul_f64(timing.max_wait_fraction);
    slack_of(request, timing).min(most)
}

/// How long a job can wait and still meet its objective, but at least a fraction of it.
fn slack_of(request: &JobRequest, timing: &Timing) -> Duration {
    let work = Duration::from_millis(u64::from(request.shape.estimated_ms));
    let slack = request.objective.saturating_sub(work + timing.start_overhead);
    slack.max(request.objective.mul_f64(timing.min_wait_fraction))
}
