//! Cancellation of jobs of this entry and of other entries.

use model::{JobId, Time};
use wire::ToAgent;

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Outcome};

impl Dispatcher {
    /// Handles a client's cancel request.
    ///
    /// A cancel of a job of this entry is not passed on: its tasks have stopped before the client
    /// may submit the job elsewhere. A cancel of an unknown job goes to every other entry, and to
    /// every agent in case an entry can be reached only through an agent. Passing on every cancel
    /// would cost messages in proportion to entries times agents.
    pub(crate) fn cancel(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        if !self.jobs.contains_key(id) {
            actions.push(Action::NotifyEntries(id.clone()));
            let cancel = |agent| Action::Send(agent, ToAgent::Cancel(id.clone()));
            actions.extend(self.agents.keys().copied().map(cancel));
        }
        self.cancel_local(now, id, actions);
    }

    /// Cancels the job if it is active at this entry, and remembers the cancel for a later
    /// submission.
    pub(crate) fn cancel_local(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        self.cancelled_jobs.insert(now, id);
        let resubmission = self.jobs.get_mut(id).and_then(|job| job.resubmission.take());
        if let Some((call, _)) = resubmission {
            self.calls.remove(&call);
            actions.push(Action::Answer(call, Outcome::Cancelled));
        }
        if self.has_job(id) {
            self.finish_job(now, id, Outcome::Cancelled, actions);
        }
    }
}
