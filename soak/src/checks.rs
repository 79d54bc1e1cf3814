//! What must always hold, checked from outside the libraries.

use std::collections::{HashMap, HashSet};
use std::fmt;

use model::{SubmissionId, Time, Verdict};
use wire::RelayReply;

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When.
    pub time: Time,
    /// What happened.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {}: {}", self.time, self.description)
    }
}

/// What a run did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests answered whole.
    pub complete: u64,
    /// Requests answered with a failure, by verdict: not run.
    pub not_run: u64,
    /// ... may have run.
    pub may_have_run: u64,
    /// ... ran.
    pub ran: u64,
    /// Requests whose entry died before it answered.
    pub unanswered: u64,
    /// Tasks started at targets.
    pub started: u64,
    /// Faults that happened.
    pub faults: u64,
}

impl Summary {
    /// Adds another run's numbers.
    pub fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.ran += other.ran;
        self.unanswered += other.unanswered;
        self.started += other.started;
        self.faults += other.faults;
    }
}

/// The work of one submission, as its client made it.
#[derive(Clone, Debug)]
pub(crate) struct SubmissionSpec {
    pub tasks: Vec<String>,
    pub repeatable: bool,
}

/// What is known of one submission from outside.
#[derive(Debug, Default)]
struct SubmissionState {
    /// Tasks started at a target.
    started: HashSet<u32>,
    /// The answer that was given.
    answer: Option<Vec<String>>,
    /// Requests that wait for an outcome.
    open_requests: u32,
    /// "Not run" was said and nobody has asked again since.
    reported_not_run: bool,
}

/// Watches every start and every outcome.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    specs: HashMap<SubmissionId, SubmissionSpec>,
    states: HashMap<SubmissionId, SubmissionState>,
    pub violations: Vec<Violation>,
    pub summary: Summary,
}

/// The answer that a target gives to a task.
pub(crate) fn expected_answer(task: &str) -> String {
    format!("done: {task}")
}

impl Checks {
    pub fn violation(&mut self, time: Time, description: impl Into<String>) {
        self.violations.push(Violation { time, description: description.into() });
    }

    pub fn register(&mut self, id: SubmissionId, spec: SubmissionSpec) {
        self.specs.insert(id, spec);
    }

    pub fn spec(&self, id: SubmissionId) -> Option<&SubmissionSpec> {
        self.specs.get(&id)
    }

    /// A request was sent.
    pub fn request_sent(&mut self, id: SubmissionId) {
        let state = self.states.entry(id).or_default();
        state.open_requests += 1;
        state.reported_not_run = false;
    }

    /// How many tasks of a submission were started.
    pub fn started_tasks(&self, id: SubmissionId) -> usize {
        self.states.get(&id).map_or(0, |state| state.started.len())
    }

    /// A task began to run at a target.
    pub fn task_started(&mut self, time: Time, id: SubmissionId, index: u32) {
        self.summary.started += 1;
        let repeatable = self.specs.get(&id).is_some_and(|spec| spec.repeatable);
        let state = self.states.entry(id).or_default();
        let first = state.started.insert(index);
        let (reported_not_run, open_requests) = (state.reported_not_run, state.open_requests);
        if !first && !repeatable {
            self.violation(time, format!("task {id}/{index} started twice"));
        }
        if reported_not_run && open_requests == 0 {
            self.violation(time, format!("task {id}/{index} started after 'not run' was said"));
        }
    }

    /// A request's entry died: it gets no outcome.
    pub fn request_lost(&mut self, id: SubmissionId) {
        self.summary.unanswered += 1;
        // What the dead entry had sent may start yet, so the request stays open.
        self.states.entry(id).or_default().reported_not_run = false;
    }

    /// A request got its outcome.
    pub fn request_answered(&mut self, time: Time, id: SubmissionId, reply: &RelayReply) {
        let state = self.states.entry(id).or_default();
        state.open_requests = state.open_requests.saturating_sub(1);
        match reply {
            Ok(answers) => {
                self.request_completed(time, id, answers.iter().map(|a| a.to_string()).collect())
            }
            Err(failure) => self.request_failed(time, id, failure.verdict, &failure.message),
        }
    }

    fn request_completed(&mut self, time: Time, id: SubmissionId, answers: Vec<String>) {
        self.summary.complete += 1;
        let expected = self.specs.get(&id).map(|spec| {
            spec.tasks.iter().map(|task| expected_answer(task)).collect::<Vec<String>>()
        });
        if expected.as_ref() != Some(&answers) {
            self.violation(time, format!("answer of {id} is not its own or not whole"));
        }
        let state = self.states.entry(id).or_default();
        if state.answer.as_ref().is_some_and(|first| *first != answers) {
            self.violation(time, format!("{id} has two answers"));
        } else {
            state.answer = Some(answers);
        }
    }

    fn request_failed(&mut self, time: Time, id: SubmissionId, verdict: Verdict, message: &str) {
        let tasks = self.specs.get(&id).map_or(0, |spec| spec.tasks.len());
        let repeatable = self.specs.get(&id).is_some_and(|spec| spec.repeatable);
        let state = self.states.entry(id).or_default();
        let started = state.started.len();
        match verdict {
            Verdict::NotRun => {
                self.summary.not_run += 1;
                // A request that is still open may make it start.
                state.reported_not_run = !repeatable && state.open_requests == 0;
                if started > 0 && !repeatable {
                    let description =
                        format!("'not run' said of {id}, {started} started: {message}");
                    self.violation(time, description);
                }
            }
            Verdict::MayHaveRun => self.summary.may_have_run += 1,
            Verdict::Ran => {
                self.summary.ran += 1;
                if started != tasks {
                    let description = format!("'ran' said of {id}, {started} of {tasks} started");
                    self.violation(time, description);
                }
            }
        }
    }
}
