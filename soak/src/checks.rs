//! Invariants of scheduling by slots, checked only by what targets and clients observe.

use std::collections::{HashMap, HashSet};
use std::fmt;

use model::{SubmissionId, Time, Verdict};
use wire::RelayReply;

/// An invariant violation that a run found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Simulated time of the violation.
    pub time: Time,
    /// What was violated, with the ids involved.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {}: {}", self.time, self.description)
    }
}

/// Counters of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests answered with the answers of all tasks.
    pub complete: u64,
    /// Requests answered with a failure whose verdict is "not run".
    pub not_run: u64,
    /// Requests answered with a failure whose verdict is "may have run".
    pub may_have_run: u64,
    /// Requests answered with a failure whose verdict is "ran".
    pub ran: u64,
    /// Requests whose entry crashed before it answered.
    pub unanswered: u64,
    /// Tasks that started at targets.
    pub started: u64,
    /// Injected faults.
    pub faults: u64,
}

impl Summary {
    /// Adds the counters of another run.
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

/// The tasks of a submission, as created by its client.
#[derive(Clone, Debug)]
pub(crate) struct SubmissionSpec {
    pub tasks: Vec<String>,
    pub repeatable: bool,
}

/// The observed state of a submission.
#[derive(Debug, Default)]
struct SubmissionState {
    /// Indexes of the tasks that started at a target.
    started: HashSet<u32>,
    /// The first complete answer.
    answer: Option<Vec<String>>,
    /// Number of requests without an outcome.
    open_requests: u32,
    /// Whether the submission was answered as not run and not requested again since.
    reported_not_run: bool,
}

/// Checks every start and every outcome, and counts them.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    specs: HashMap<SubmissionId, SubmissionSpec>,
    states: HashMap<SubmissionId, SubmissionState>,
    pub violations: Vec<Violation>,
    pub summary: Summary,
}

/// Returns the answer that targets give to a task.
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

    /// Records a request for a submission.
    pub fn request_sent(&mut self, id: SubmissionId) {
        let state = self.states.entry(id).or_default();
        state.open_requests += 1;
        state.reported_not_run = false;
    }

    /// Returns the number of distinct tasks of a submission that started.
    pub fn started_tasks(&self, id: SubmissionId) -> usize {
        self.states.get(&id).map_or(0, |state| state.started.len())
    }

    /// Checks and records that a task started at a target.
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
            self.violation(
                time,
                format!("task {id}/{index} started after its submission was answered as not run"),
            );
        }
    }

    /// Records that the entry of a request crashed, so that the request gets no outcome.
    pub fn request_lost(&mut self, id: SubmissionId) {
        self.summary.unanswered += 1;
        // Messages of the crashed entry may still start tasks, so the request stays open.
        self.states.entry(id).or_default().reported_not_run = false;
    }

    /// Checks the outcome of a request.
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
            self.violation(
                time,
                format!("the answer to submission {id} is incomplete or belongs to another one"),
            );
        }
        let state = self.states.entry(id).or_default();
        if state.answer.as_ref().is_some_and(|first| *first != answers) {
            self.violation(time, format!("submission {id} has two different answers"));
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
                // Another open request may still start the tasks.
                state.reported_not_run = !repeatable && state.open_requests == 0;
                if started > 0 && !repeatable {
                    let description = format!(
                        "submission {id} was answered as not run, but {started} tasks started: {message}"
                    );
                    self.violation(time, description);
                }
            }
            Verdict::MayHaveRun => self.summary.may_have_run += 1,
            Verdict::Ran => {
                self.summary.ran += 1;
                if started != tasks {
                    let description = format!(
                        "submission {id} was answered as ran, but {started} of {tasks} tasks started"
                    );
                    self.violation(time, description);
                }
            }
        }
    }
}
