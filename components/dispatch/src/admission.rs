//! Admission of submitted jobs: admitted, joined to an earlier submission, or refused. Also handles
//! clients that disconnect.

use std::time::Duration;

use model::Time;

use crate::dispatcher::{Dispatcher, queued_task};
use crate::event::{Action, CallId, JobRequest, LogEvent, Outcome, Reason};
use crate::job::Job;

/// Retry delay when this entry is stopping. Another entry could take the job at once, but if all
/// entries are stopping, clients would retry in a loop.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay when all suitable halls are emptied. Operators take minutes to refill a hall, so
/// clients get the longest delay.
const HALLS_EMPTIED_RETRY_AFTER: Duration = crate::retry_schedule::MAX_RETRY_AFTER;
/// Retry delay when no target can run the job: a new target takes seconds to start.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(3);

impl Dispatcher {
    pub(crate) fn submit(
        &mut self,
        now: Time,
        call: CallId,
        request: JobRequest,
        actions: &mut Vec<Action>,
    ) {
        self.counters.submitted += 1;
        if self.jobs.contains_key(&request.id) {
            return self.resubmit(now, call, request, actions);
        }
        if now < self.stale_until {
            // The client may have submitted the job elsewhere in the meantime.
            return self.refuse(call, &request, Reason::Paused, actions);
        }
        if self.cancelled_jobs.contains(&request.id) {
            actions.push(Action::Answer(call, Outcome::Cancelled));
            self.counters.cancelled += 1;
            return;
        }
        let outlasts_stop = |end: Time| !request.ends_within(end.since(now));
        if self.stop_deadline.is_some_and(outlasts_stop) {
            return self.refuse(call, &request, Reason::Draining, actions);
        }
        if self.only_emptied_halls_fit(now, &request) {
            return self.refuse(call, &request, Reason::HallsEmptied, actions);
        }
        if self.is_unservable(now, &request) {
            return self.refuse(call, &request, Reason::NoTarget, actions);
        }
        let id = request.id.clone();
        actions.push(Action::Log(LogEvent::Admitted {
            job: id.clone(),
            queue: request.queue.clone(),
            tasks: request.shape.count,
            objective_ms: request.objective.as_millis() as u64,
            waiting: self.queue.len(),
            requirement: request.shape.requirement.clone(),
            affinity: request.shape.affinity.clone(),
        }));
        self.reserve.record_job(now, &request);
        self.record_label_demand(now, &request);
        let job = Job::new(now, call, request);
        for index in 0..job.request.shape.count {
            self.queue.insert(queued_task(&job, index, self.policy));
        }
        self.calls.insert(call, id.clone());
        self.jobs.insert(id.clone(), job);
        // An earlier run of the job may have crashed too many targets already.
        self.end_crashing_job(now, &id, actions);
    }

    /// Handles a submission of a job that is already known here, usually because its client lost
    /// the connection.
    pub(crate) fn resubmit(
        &mut self,
        now: Time,
        call: CallId,
        request: JobRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id.clone();
        let resubmission_refusal = self.resubmission_refusal(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.outcome.is_none() {
            job.calls.push(call);
            self.calls.insert(call, id);
            return;
        }
        if let Some(reason) = resubmission_refusal {
            // The first run may have executed tasks, so "not run" could be false.
            actions.push(Action::Answer(call, Outcome::MayHaveRun(reason)));
            return;
        }
        // The tasks of the first run are being stopped. The job starts again after that.
        let previous = job.resubmission.replace((call, request));
        self.calls.insert(call, id);
        if let Some((previous, _)) = previous {
            // Only the latest resubmission of the client is kept.
            self.calls.remove(&previous);
            actions.push(Action::Answer(previous, Outcome::MayHaveRun(Reason::ClientGone)));
        }
    }

    /// Returns the reason why a known job can't be started again, or `None` if it can: the entry is
    /// stopping, or the submission may be stale after a pause.
    pub(crate) fn resubmission_refusal(&self, now: Time) -> Option<Reason> {
        if self.stop_deadline.is_some() {
            return Some(Reason::Draining);
        }
        (now < self.stale_until).then_some(Reason::Paused)
    }

    /// Answers a job that is not admitted as not run.
    pub(crate) fn refuse(
        &mut self,
        call: CallId,
        request: &JobRequest,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let outcome = not_run_outcome(reason, request);
        self.counters.not_run += 1;
        actions.push(Action::Log(LogEvent::Refused { job: request.id.clone(), reason }));
        actions.push(Action::Answer(call, outcome));
    }

    pub(crate) fn handle_client_disconnect(
        &mut self,
        now: Time,
        call: CallId,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.calls.remove(&call) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.calls.retain(|other| *other != call);
        if job.resubmission.as_ref().is_some_and(|(other, _)| *other == call) {
            job.resubmission = None;
        }
        if job.calls.is_empty() && job.outcome.is_none() {
            self.finish_job(now, &id, Outcome::Failed(Reason::ClientGone), actions);
        }
    }
}

pub(crate) fn not_run_outcome(reason: Reason, request: &JobRequest) -> Outcome {
    let retry_after = match reason {
        Reason::Draining => DRAINING_RETRY_AFTER,
        Reason::NoTarget => NO_TARGET_RETRY_AFTER,
        Reason::HallsEmptied => HALLS_EMPTIED_RETRY_AFTER,
        _ => request.objective,
    };
    Outcome::NotRun { reason, retry_after }
}
