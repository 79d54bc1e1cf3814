//! Clients: they submit, submit again, ask for outcomes, and watch their deadlines.

use std::sync::Arc;
use std::time::Duration;

use entry::Event;
use model::{SubmissionId, Time};
use rand::Rng;
use wire::{RelayReply, RelayRequest};

use crate::checks::Work;
use crate::nodes::Caller;
use crate::script::Outcome;
use crate::world::{CLOCK_SKEW, Happening, World};

/// Longest time beyond its deadline that an outcome may take, stalls left out.
const OUTCOME_SLACK: Duration = Duration::from_millis(500);
/// How long the last submissions of a run are made before its end.
const LAST_SUBMISSIONS: Duration = Duration::from_secs(5);
/// Longest pause between two submissions while faults happen; more than small runs can carry.
const BUSY_PAUSE: Duration = Duration::from_millis(300);
/// ... and in the calm, where every run can carry them.
const CALM_PAUSE: Duration = Duration::from_millis(1_500);
/// Calm after which every submission has to be answered whole.
const CALM_ENOUGH: Duration = Duration::from_secs(8);

impl World {
    /// A client makes a submission and sends it to one entry, or to several at once.
    pub fn new_submission(&mut self) {
        if self.now + LAST_SUBMISSIONS < self.end {
            let pause = if self.now < self.calm_from { BUSY_PAUSE } else { CALM_PAUSE };
            let wait = self.within(pause);
            self.after(wait, Happening::NewSubmission);
        }
        let id = SubmissionId::from_parts(self.now + CLOCK_SKEW / 2, self.rng.random());
        let repeatable = self.rng.random_bool(0.2);
        let tasks = if repeatable { 1 } else { self.rng.random_range(1..=6) };
        let tasks = (0..tasks).map(|index| format!("{id} task {index}")).collect();
        self.checks.add_work(id, Work { tasks, repeatable });
        let at_once = if self.rng.random_bool(0.15) { 2 } else { 1 };
        (0..at_once).for_each(|_| self.submit(id));
        if self.now < self.calm_from && self.rng.random_bool(0.3) {
            let wait = self.within(Duration::from_secs(20));
            self.after(wait, Happening::Resubmit(id));
        }
        if self.rng.random_bool(0.1) {
            let wait = self.within(Duration::from_secs(3));
            self.after(wait, Happening::Fetch(id));
        }
    }

    /// A client submits again.
    pub fn resubmit(&mut self, id: SubmissionId) {
        self.submit(id);
    }

    fn submit(&mut self, id: SubmissionId) {
        let Some(entry) = self.living_entry() else { return };
        let deadline = Duration::from_millis(self.rng.random_range(300..4_000));
        let deadline = if self.is_calm() { Duration::from_secs(12) } else { deadline };
        self.submit_at(entry, id, deadline);
    }

    /// A client submits at an entry.
    pub fn submit_at(&mut self, entry: usize, id: SubmissionId, deadline: Duration) {
        let Some(work) = self.checks.work(id).cloned() else { return };
        let kind = if work.repeatable { "lookups" } else { "holds" };
        let request = RelayRequest {
            submission: id,
            service: "booking".to_owned(),
            kind: kind.to_owned(),
            tasks: work.tasks.iter().map(|task| Arc::from(task.as_str())).collect(),
            deadline_ms: Some(deadline.as_millis() as u64),
            repeatable: work.repeatable,
        };
        self.checks.asked(id);
        let caller = Caller::Client { id, asked: self.now, deadline };
        self.ask(entry, caller, |call| Event::Submit { call, request, relayed: false });
    }

    /// A client asks for an outcome.
    pub fn fetch(&mut self, id: SubmissionId) {
        let Some(entry) = self.living_entry() else { return };
        self.fetch_from(entry, id);
    }

    /// A client asks an entry for an outcome.
    pub fn fetch_from(&mut self, entry: usize, id: SubmissionId) {
        // It may wait for the running job, and that for its deadline.
        let caller = Caller::Client { id, asked: self.now, deadline: Duration::from_secs(15) };
        self.checks.asked(id);
        let submission = id;
        self.ask(entry, caller, |call| Event::Fetch { call, submission, relayed: false });
    }

    fn living_entry(&mut self) -> Option<usize> {
        let living: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].node.machine.is_some())
            .collect();
        if living.is_empty() {
            return None;
        }
        Some(living[self.rng.random_range(0..living.len())])
    }

    fn is_calm(&self) -> bool {
        self.now >= self.calm_from + CALM_ENOUGH
    }

    /// A client got its outcome.
    pub fn client_answered(
        &mut self,
        id: SubmissionId,
        asked: Time,
        deadline: Duration,
        reply: &RelayReply,
    ) {
        self.checks.answered(self.now, id, reply);
        if let Some(replay) = &mut self.replay {
            let outcome = match reply {
                Ok(_) => Outcome::Complete,
                Err(failure) => Outcome::Failed(failure.code, failure.verdict),
            };
            return replay.outcomes.entry(id).or_default().push(outcome);
        }
        let took = self.now.since(asked);
        let undisturbed = id.created_at().min(asked) >= self.calm_from + CALM_ENOUGH + CLOCK_SKEW;
        if undisturbed && took > deadline + OUTCOME_SLACK {
            self.checks.violation(self.now, format!("{id} was answered after {took:?}"));
        }
        let id_is_new = asked.since(id.created_at()) < Duration::from_secs(1);
        let unlucky = matches!(reply, Err(failure) if matches!(
            failure.code,
            model::Code::TargetFailed | model::Code::TargetLost | model::Code::NoQuorum
                | model::Code::OwnerLost | model::Code::UnknownId | model::Code::AnswerDropped
        ));
        if let Err(failure) = reply
            && undisturbed
            && id_is_new
            && !unlucky
        {
            self.checks.violation(self.now, format!("{id} failed in the calm: {failure}"));
        }
        // One that failed without having run is tried again, as a client would.
        let again = matches!(reply, Err(failure) if failure.retry_after_ms.is_some());
        if again && self.now < self.calm_from && self.rng.random_bool(0.5) {
            let wait = self.within(Duration::from_secs(2));
            self.after(wait, Happening::Resubmit(id));
        }
    }

    /// Looks at the state at the end: no request of the calm is left without an outcome.
    pub fn check_end(&mut self) {
        let mut left = Vec::new();
        for entry in &self.entries {
            for caller in entry.callers.values() {
                if let Caller::Client { id, asked, deadline } = caller
                    && *asked + *deadline + OUTCOME_SLACK < self.end
                {
                    left.push((*id, *asked));
                }
            }
        }
        for (id, asked) in left {
            self.checks.violation(self.end, format!("{id}, asked at {asked}, has no outcome"));
        }
    }
}
