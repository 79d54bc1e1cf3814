//! Answers jobs: every job gets exactly one answer, and its remaining tasks are stopped.

use std::collections::BTreeMap;

use model::{JobId, TaskId, Time};
use telemetry::Breach;
use wire::ToAgent;

use crate::dispatcher::Dispatcher;
use crate::event::{Action, LogEvent, Outcome, Reason, SessionId, TargetSummary};
use crate::job::{Job, TaskState};

impl Dispatcher {
    pub(crate) fn now(&self) -> Time {
        self.last_event
    }

    /// Answers a job's callers and stops the tasks that are still placed. A job that is already
    /// answered is left alone.
    pub(crate) fn finish_job(
        &mut self,
        now: Time,
        id: &JobId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let targets = self.summarize_targets(now);
        self.remove_from_queue(id);
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.outcome.is_none()) else { return };
        let breach = invariant_violation(job, outcome);
        let outcome = match breach {
            Some(_) => Outcome::MayHaveRun(Reason::Breach),
            None => self.retries.record_outcome(now, &job.request, outcome),
        };
        if let Some(breach) = breach {
            self.counters.breaches += 1;
            actions.push(Action::Log(LogEvent::Breach(breach)));
        }
        job.outcome = Some(outcome);
        let calls = std::mem::take(&mut job.calls);
        actions.push(Action::Log(LogEvent::Answered {
            job: id.clone(),
            queue: job.request.queue.clone(),
            outcome,
            took_ms: now.since(job.submitted).as_secs_f64() * 1e3,
            objective_ms: job.request.objective.as_millis() as u64,
            tasks: job.request.shape.count,
            starts: job.starts,
            waited_ms: job.longest_wait.as_secs_f64() * 1e3,
            targets,
        }));
        let mut to_stop: BTreeMap<SessionId, Vec<TaskId>> = BTreeMap::new();
        for (index, task) in job.tasks.iter().enumerate() {
            if let TaskState::Placed { session, .. } = task.state {
                let task = TaskId { job: id.clone(), index: index as u32 };
                to_stop.entry(session).or_default().push(task);
            }
        }
        for (session, tasks) in to_stop {
            actions.push(Action::Send(session, ToAgent::Stop(tasks)));
        }
        for call in calls {
            self.calls.remove(&call);
            actions.push(Action::Answer(call, outcome));
        }
        self.count_outcome(outcome);
    }

    /// Summarizes the state of the targets as this entry knows it.
    fn summarize_targets(&self, now: Time) -> TargetSummary {
        let mut targets = TargetSummary { waiting: self.queue.len(), ..TargetSummary::default() };
        for agent in self.agents.values().filter(|agent| agent.load.open) {
            let free = agent.free(now);
            targets.open += 1;
            if free.cpu_milli >= targets.most_free.cpu_milli {
                targets.most_free = free;
            }
            targets.oldest_ms =
                targets.oldest_ms.max(now.since(agent.last_contact).as_millis() as u64);
        }
        targets
    }

    fn count_outcome(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Completed => &mut self.counters.completed,
            Outcome::Failed(crate::event::Reason::ClientGone) | Outcome::Cancelled => {
                &mut self.counters.cancelled
            }
            Outcome::Failed(_) => &mut self.counters.failed,
            Outcome::NotRun { .. } => &mut self.counters.not_run,
            Outcome::MayHaveRun(_) => &mut self.counters.may_have_run,
        };
        *counter += 1;
    }
}

/// Returns the invariant that an outcome would violate, if any.
fn invariant_violation(job: &Job, outcome: Outcome) -> Option<Breach> {
    let id = || job.request.id.clone();
    match outcome {
        Outcome::NotRun { .. } if !job.is_provably_not_run() => Some(Breach::FalseNotRunJob(id())),
        Outcome::Completed if job.open_tasks > 0 => Some(Breach::PartialJob(id())),
        _ => None,
    }
}
