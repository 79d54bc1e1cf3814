//! Submission of jobs by clients, timeouts, and answers.

use std::time::Duration;

use dispatch::{CallId, Outcome};
use model::JobId;
use rand::Rng;

use super::client::{Client, RESEND_DELAY};
use super::event::SimEvent;
use super::simulation::Simulation;

impl Simulation {
    pub(super) fn submit_job(&mut self, id: &JobId) {
        let entry = self.entry_of(id);
        let Some(client) = self.clients.get_mut(id).filter(|client| !client.cancelled) else {
            return;
        };
        client.tries += 1;
        client.last_submitted = self.now;
        let (tries, has_tries_left) = (client.tries, client.has_tries_left());
        let process = &mut self.entries[entry];
        if process.dispatcher.is_none() {
            // The entry is down, so the connection fails and the client tries again.
            if has_tries_left {
                self.schedule_after(RESEND_DELAY, SimEvent::Submit(id.clone()));
            }
            return;
        }
        process.last_id += 1;
        let call_id = process.last_id;
        process.jobs.insert(CallId(call_id), id.clone());
        client.pending_call = Some((entry, call_id));
        let request = client.request.clone();
        self.load_stats.job_submitted(self.now, client);
        self.checks.job_submitted(self.now, id, request.shape.count, request.max_attempts);
        self.schedule_after(request.deadline, SimEvent::ClientTimeout(id.clone(), tries));
        let paused_until = self.entries[entry].paused_until;
        if paused_until > self.now {
            // The request stays unread until the entry resumes.
            let incarnation = self.entries[entry].incarnation;
            return self.schedule_at(
                paused_until,
                SimEvent::QueuedSubmit(entry, incarnation, CallId(call_id), request),
            );
        }
        self.deliver_to_entry(entry, dispatch::Event::Submit(CallId(call_id), request));
    }

    /// Returns the fixed entry of a client, or a random one as the load balancer would choose.
    fn entry_of(&mut self, id: &JobId) -> usize {
        let fixed = self.clients.get(id).and_then(|client| client.fixed_entry);
        let entries = self.entries.len();
        fixed.unwrap_or_else(|| match &mut self.uneven {
            Some(uneven) => uneven.draw_entry(entries),
            None => self.rng.random_range(0..entries),
        })
    }

    /// Ends a try that was not answered within the client's deadline.
    pub(super) fn client_timed_out(&mut self, id: &JobId, tries: u32) {
        let Some(client) = self.clients.get_mut(id).filter(|client| client.tries == tries) else {
            return;
        };
        let Some((entry, call_id)) = client.pending_call.take() else { return };
        let process = &mut self.entries[entry];
        process.jobs.remove(&CallId(call_id));
        let (paused_until, incarnation) = (process.paused_until, process.incarnation);
        let noticed_at = paused_until.max(self.now);
        self.schedule_at(
            noticed_at,
            SimEvent::ClientDisconnected(entry, incarnation, CallId(call_id)),
        );
        self.send_again(id);
    }

    pub(super) fn send_again(&mut self, id: &JobId) {
        if self.clients.get(id).is_some_and(Client::has_tries_left) {
            self.schedule_after(RESEND_DELAY, SimEvent::Submit(id.clone()));
        }
    }

    /// Schedules the next submission of a job that was answered "not run", at another entry as the
    /// load balancer would choose.
    fn schedule_return(&mut self, refused_by: usize, id: &JobId, retry_after: Duration) {
        let entries = self.entries.len();
        let others = self.rng.random_range(0..entries.saturating_sub(1).max(1));
        let Some(client) = self.clients.get_mut(id) else { return };
        client.returns += 1;
        self.checks.summary.returned += 1;
        client.fixed_entry = Some((refused_by + 1 + others) % entries);
        self.load_stats.job_returns(refused_by, client, retry_after);
        self.schedule_after(retry_after, SimEvent::Submit(id.clone()));
    }

    /// Delivers the outcome of a job to its client, which may submit the job again.
    pub(super) fn deliver_outcome(&mut self, entry: usize, call_id: CallId, outcome: Outcome) {
        let Some(id) = self.entries[entry].jobs.remove(&call_id) else { return };
        let now = self.now;
        self.checks.job_answered(now, &id, outcome);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.pending_call = None;
        if let Outcome::NotRun { retry_after, .. } = outcome
            && self.return_period.is_some_and(|period| {
                now.since(client.first_submitted) + retry_after < period
                    && !client.cancelled
                    && !client.after_faults
            })
        {
            return self.schedule_return(entry, &id, retry_after);
        }
        self.load_stats.job_answered(now, entry, client, outcome);
        let in_time_after_faults =
            client.after_faults && now.since(client.first_submitted) < client.request.deadline;
        match outcome {
            Outcome::Completed if in_time_after_faults => {
                self.checks.summary.completed_after_faults += 1
            }
            Outcome::MayHaveRun(_) => self.send_again(&id),
            _ => {}
        }
    }
}
