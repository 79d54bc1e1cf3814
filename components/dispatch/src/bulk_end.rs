//! Events that end all jobs at once.

use std::time::Duration;

use model::{JobId, Time};

use crate::admission::not_run_outcome;
use crate::dispatcher::Dispatcher;
use crate::event::{Action, LogEvent, Outcome, Reason, SessionId};
use crate::job::Job;

/// Period after a pause of the process in which incoming requests may be stale.
const STALE_INPUT_PERIOD: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Ends all jobs after a pause of the process: agents have stopped their tasks, and clients may
    /// have submitted them elsewhere.
    pub(crate) fn handle_pause(&mut self, gap: Duration, actions: &mut Vec<Action>) {
        actions.push(Action::Log(LogEvent::Paused { gap_ms: gap.as_millis() as u64 }));
        self.end_all(Reason::Paused, |_| Outcome::MayHaveRun(Reason::Paused), actions);
        self.stale_until = self.last_event + STALE_INPUT_PERIOD;
        let agents: Vec<SessionId> = self.agents.keys().copied().collect();
        agents.into_iter().for_each(|id| self.remove_agent(id, "stood still", actions));
    }

    /// Answers all jobs because the process is about to exit. Without an answer a client
    /// does not know whether its job ran. With one it can resubmit at once, and remaining tasks are
    /// stopped before it does.
    pub(crate) fn answer_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.stop_deadline = Some(now);
        let outcome = |job: &Job| match job.is_provably_not_run() {
            true => not_run_outcome(Reason::Draining, &job.request),
            false => Outcome::MayHaveRun(Reason::Draining),
        };
        self.end_all(Reason::Draining, outcome, actions);
    }

    /// Ends every job, and answers resubmissions that wait for their first run to end.
    pub(crate) fn end_all(
        &mut self,
        reason: Reason,
        outcome: impl Fn(&Job) -> Outcome,
        actions: &mut Vec<Action>,
    ) {
        let jobs = self.jobs.iter().map(|(id, job)| (id.clone(), outcome(job)));
        let ends: Vec<(JobId, Outcome)> = jobs.collect();
        for (id, outcome) in ends {
            self.finish_job(self.last_event, &id, outcome, actions);
            let resubmission = self.jobs.get_mut(&id).and_then(|job| job.resubmission.take());
            if let Some((call, _)) = resubmission {
                self.calls.remove(&call);
                // The first run may have executed tasks.
                actions.push(Action::Answer(call, Outcome::MayHaveRun(reason)));
            }
        }
    }
}
