//! Cancels, of jobs that are here and of jobs that another entry has.

use model::{JobId, Time};
use wire::ToAgent;

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Outcome};

impl Dispatcher {
    /// A client cancels a job. One that is here ends here: by the time that its client may send it to a
    /// second entry, nothing of the first try runs any more, so that nobody else has to be told. One that
    /// is not here may be any other entry's, and all of them are told. Agents are told as well: they may
    /// be reached where its entry is not, and tell the entries that they serve. Told to everyone for each
    /// job, cancels would grow with entries times agents.
    pub(crate) fn cancel(&mut self, now: Time, id: &JobId, out: &mut Vec<Action>) {
        if !self.jobs.contains_key(id) {
            out.push(Action::NotifyEntries(id.clone()));
            let cancel = |agent| Action::Send(agent, ToAgent::Cancel(id.clone()));
            out.extend(self.agents.keys().copied().map(cancel));
        }
        self.cancel_own(now, id, out);
    }

    /// Cancels a job as far as it is here, and whatever comes of it later.
    pub(crate) fn cancel_own(&mut self, now: Time, id: &JobId, out: &mut Vec<Action>) {
        self.cancelled.add(now, id);
        let again = self.jobs.get_mut(id).and_then(|job| job.again.take());
        if let Some((call, _)) = again {
            self.calls.remove(&call);
            out.push(Action::Answer(call, Outcome::Cancelled));
        }
        if self.has_job(id) {
            self.finish(now, id, Outcome::Cancelled, out);
        }
    }
}
