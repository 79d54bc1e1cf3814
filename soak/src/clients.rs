//! Clients that submit, resubmit, fetch outcomes, and expect them within their deadlines.

use std::sync::Arc;
use std::time::Duration;

use entry::Event;
use model::{SubmissionId, Time};
use rand::Rng;
use wire::{RelayReply, RelayRequest};

use crate::checks::SubmissionSpec;
use crate::nodes::Caller;
use crate::script::Outcome;
use crate::simulation::{CLOCK_SKEW, SimEvent, Simulation};

/// Longest delay of an outcome past its deadline in a run without faults.
const OUTCOME_SLACK: Duration = Duration::from_millis(500);
/// Time before the end in which clients make no new submissions.
const QUIET_BEFORE_END: Duration = Duration::from_secs(5);
/// Longest pause between submissions in the fault period; small clusters are overloaded by it.
const MAX_FAULTY_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause between submissions without faults; all clusters can handle it.
const MAX_CALM_PAUSE: Duration = Duration::from_millis(1_500);
/// Time after the last fault from which all submissions have to succeed.
const SETTLING_TIME: Duration = Duration::from_secs(8);

impl Simulation {
    /// Creates a submission, sends it once or twice, and schedules the next one.
    pub fn new_submission(&mut self) {
        if self.now + QUIET_BEFORE_END < self.end {
            let pause = if self.now < self.calm_start { MAX_FAULTY_PAUSE } else { MAX_CALM_PAUSE };
            let wait = self.random_duration(pause);
            self.schedule_after(wait, SimEvent::NewSubmission);
        }
        let id = SubmissionId::from_parts(self.now + CLOCK_SKEW / 2, self.rng.random());
        let repeatable = self.rng.random_bool(0.2);
        let tasks = if repeatable { 1 } else { self.rng.random_range(1..=6) };
        let tasks = (0..tasks).map(|index| format!("{id} task {index}")).collect();
        self.checks.register(id, SubmissionSpec { tasks, repeatable });
        let copies = if self.rng.random_bool(0.15) { 2 } else { 1 };
        (0..copies).for_each(|_| self.submit_to_random_entry(id));
        if self.now < self.calm_start && self.rng.random_bool(0.3) {
            let wait = self.random_duration(Duration::from_secs(20));
            self.schedule_after(wait, SimEvent::Resubmit(id));
        }
        if self.rng.random_bool(0.1) {
            let wait = self.random_duration(Duration::from_secs(3));
            self.schedule_after(wait, SimEvent::Fetch(id));
        }
    }

    /// Sends a submission again, to a random entry and with a new deadline.
    pub fn resubmit(&mut self, id: SubmissionId) {
        self.submit_to_random_entry(id);
    }

    fn submit_to_random_entry(&mut self, id: SubmissionId) {
        let Some(entry) = self.random_live_entry() else { return };
        let deadline = Duration::from_millis(self.rng.random_range(300..4_000));
        let deadline = if self.is_settled() { Duration::from_secs(12) } else { deadline };
        self.submit_at(entry, id, deadline);
    }

    /// Sends a submission to a given entry.
    pub fn submit_at(&mut self, entry: usize, id: SubmissionId, deadline: Duration) {
        let Some(spec) = self.checks.spec(id).cloned() else { return };
        let kind = if spec.repeatable { "lookups" } else { "holds" };
        let request = RelayRequest {
            submission: id,
            service: "booking".to_owned(),
            kind: kind.to_owned(),
            tasks: spec.tasks.iter().map(|task| Arc::from(task.as_str())).collect(),
            deadline_ms: Some(deadline.as_millis() as u64),
            repeatable: spec.repeatable,
        };
        self.checks.request_sent(id);
        let caller = Caller::Client { id, requested_at: self.now, deadline };
        self.send_request(entry, caller, |call| Event::Submit { call, request, relayed: false });
    }

    /// Fetches an outcome from a random entry.
    pub fn fetch_outcome(&mut self, id: SubmissionId) {
        let Some(entry) = self.random_live_entry() else { return };
        self.fetch_from(entry, id);
    }

    /// Fetches an outcome from a given entry.
    pub fn fetch_from(&mut self, entry: usize, id: SubmissionId) {
        // The fetch may wait for a running job up to its deadline.
        let caller =
            Caller::Client { id, requested_at: self.now, deadline: Duration::from_secs(15) };
        self.checks.request_sent(id);
        let submission = id;
        self.send_request(entry, caller, |call| Event::Fetch { call, submission, relayed: false });
    }

    fn random_live_entry(&mut self) -> Option<usize> {
        let live_entries: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].node.machine.is_some())
            .collect();
        if live_entries.is_empty() {
            return None;
        }
        Some(live_entries[self.rng.random_range(0..live_entries.len())])
    }

    fn is_settled(&self) -> bool {
        self.now >= self.calm_start + SETTLING_TIME
    }

    /// Checks the outcome of a client's request; a client may retry one that did not run.
    pub fn client_answered(
        &mut self,
        id: SubmissionId,
        requested_at: Time,
        deadline: Duration,
        reply: &RelayReply,
    ) {
        self.checks.request_answered(self.now, id, reply);
        if let Some(replay) = &mut self.replay {
            let outcome = match reply {
                Ok(_) => Outcome::Complete,
                Err(failure) => Outcome::Failed(failure.code, failure.verdict),
            };
            return replay.outcomes.entry(id).or_default().push(outcome);
        }
        let took = self.now.since(requested_at);
        let undisturbed =
            id.created_at().min(requested_at) >= self.calm_start + SETTLING_TIME + CLOCK_SKEW;
        if undisturbed && took > deadline + OUTCOME_SLACK {
            self.checks.violation(
                self.now,
                format!("submission {id} was answered after {took:?}, past its deadline"),
            );
        }
        let id_is_new = requested_at.since(id.created_at()) < Duration::from_secs(1);
        let excusable = matches!(reply, Err(failure) if matches!(
            failure.code,
            model::Code::TargetFailed | model::Code::TargetLost | model::Code::NoQuorum
                | model::Code::OwnerLost | model::Code::UnknownId | model::Code::AnswerDropped
        ));
        if let Err(failure) = reply
            && undisturbed
            && id_is_new
            && !excusable
        {
            self.checks
                .violation(self.now, format!("submission {id} failed without faults: {failure}"));
        }
        // Clients retry requests that failed without having run.
        let retryable = matches!(reply, Err(failure) if failure.retry_after_ms.is_some());
        if retryable && self.now < self.calm_start && self.rng.random_bool(0.5) {
            let wait = self.random_duration(Duration::from_secs(2));
            self.schedule_after(wait, SimEvent::Resubmit(id));
        }
    }

    /// Checks that every request whose deadline has passed at the end has an outcome.
    pub fn check_end(&mut self) {
        let mut unanswered = Vec::new();
        for entry in &self.entries {
            for caller in entry.callers.values() {
                if let Caller::Client { id, requested_at, deadline } = caller
                    && *requested_at + *deadline + OUTCOME_SLACK < self.end
                {
                    unanswered.push((*id, *requested_at));
                }
            }
        }
        for (id, requested_at) in unanswered {
            self.checks.violation(
                self.end,
                format!("submission {id}, requested at {requested_at}, has no outcome"),
            );
        }
    }
}
