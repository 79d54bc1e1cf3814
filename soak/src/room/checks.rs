//! What must always hold where targets have room, checked from outside the libraries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch::Outcome;
use model::{JobId, TaskId, Time};
use runner::EndReason;

use super::target::Target;
use crate::checks::Violation;

/// A start may be on its way for so long when its job is answered.
const ON_ITS_WAY: Duration = Duration::from_millis(400);
/// A cancel that was acknowledged has reached everyone after so long, and what runs has been stopped: an
/// entry or agent that can't be reached gives its jobs up within 450 ms, a lease ends within 805 ms after,
/// and a stop takes 50 ms.
const CANCEL_TIME: Duration = Duration::from_millis(1_400);
/// A task under which so many targets have crashed may be given up.
const CRASHES: u32 = 2;
/// After a target's notice that it leaves reached its agent, nothing starts there.
const DRAIN_TIME: Duration = Duration::from_millis(200);

/// What a run did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomSummary {
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs answered as not run.
    pub not_run: u64,
    /// Jobs answered as may have run.
    pub may_have_run: u64,
    /// Jobs that were handed in again.
    pub again: u64,
    /// Tasks that began to run.
    pub started: u64,
    /// Runs that were stopped or lapsed.
    pub thrown_away: u64,
    /// Starts that targets refused for want of room.
    pub no_room: u64,
    /// Faults that happened.
    pub faults: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Jobs handed in after the last fault, and completed.
    pub calm: u64,
    /// Targets that crashed under a task that crashes them.
    pub crashes: u64,
    /// Times that a target had less room than before.
    pub shrunk: u64,
}

impl RoomSummary {
    /// Adds another run's numbers.
    pub fn add(&mut self, other: &Self) {
        self.completed += other.completed;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.again += other.again;
        self.started += other.started;
        self.thrown_away += other.thrown_away;
        self.no_room += other.no_room;
        self.faults += other.faults;
        self.cancelled += other.cancelled;
        self.calm += other.calm;
        self.crashes += other.crashes;
        self.shrunk += other.shrunk;
    }
}

/// What is known of one job.
#[derive(Debug, Default)]
struct Known {
    /// When it was handed in last.
    submitted: Time,
    answered: Option<(Time, Outcome)>,
    done: BTreeSet<u32>,
    failures: BTreeMap<u32, u32>,
    tasks: u32,
    max_attempts: u32,
    last_start: Option<Time>,
    /// When a client's cancel was acknowledged.
    cancelled: Option<Time>,
    /// Targets that crashed under each task, in all tries.
    crashes: BTreeMap<u32, u32>,
}

/// Watches targets and clients.
#[derive(Debug, Default)]
pub(super) struct Checks {
    pub summary: RoomSummary,
    pub violations: Vec<Violation>,
    jobs: BTreeMap<JobId, Known>,
}

impl Checks {
    pub fn violation(&mut self, time: Time, what: String) {
        self.violations.push(Violation { time, what });
    }

    pub fn submitted(&mut self, now: Time, id: &JobId, tasks: u32, max_attempts: u32) {
        let known = self.jobs.entry(id.clone()).or_default();
        if known.tasks > 0 {
            self.summary.again += 1;
        }
        known.submitted = now;
        known.answered = None;
        known.done.clear();
        known.failures.clear();
        known.tasks = tasks;
        known.max_attempts = max_attempts;
    }

    /// A task begins to run; `elsewhere` says whether another run of it goes on.
    pub fn started(&mut self, now: Time, task: &TaskId, elsewhere: bool, drains: Option<Time>) {
        self.summary.started += 1;
        if elsewhere {
            self.violation(now, format!("{task} runs twice at once"));
        }
        if drains.is_some_and(|since| now.since(since) > DRAIN_TIME) {
            self.violation(now, format!("{task} starts at a target that leaves"));
        }
        let Some(known) = self.jobs.get_mut(&task.job) else {
            return self.violation(now, format!("{task} starts though nobody asked for it"));
        };
        known.last_start = Some(now);
        if let Some(at) = known.cancelled
            && now.since(at) > CANCEL_TIME
        {
            self.violation(now, format!("{task} starts though cancelled at {at}"));
        }
        let Some(known) = self.jobs.get(&task.job) else { return };
        if let Some((at, outcome)) = known.answered {
            let not_run = matches!(outcome, Outcome::NotRun { .. });
            if not_run || now.since(at) > ON_ITS_WAY {
                self.violation(now, format!("{task} starts after {outcome:?} at {at}"));
            }
        }
    }

    /// A client's cancel of a job is acknowledged.
    pub fn cancelled(&mut self, now: Time, id: &JobId) {
        self.summary.cancelled += 1;
        self.jobs.entry(id.clone()).or_default().cancelled.get_or_insert(now);
    }

    /// A task runs; it must not where its job was cancelled long enough ago. Told once a job.
    pub fn runs_on(&mut self, now: Time, task: &TaskId) {
        let Some(known) = self.jobs.get_mut(&task.job) else { return };
        if known.cancelled.is_some_and(|at| now.since(at) > CANCEL_TIME) {
            let at = known.cancelled.take();
            self.violation(now, format!("{task} runs on though cancelled at {at:?}"));
        }
    }

    pub fn ended(&mut self, task: &TaskId, reason: EndReason) {
        if matches!(reason, EndReason::Stopped | EndReason::LeaseExpired) {
            self.summary.thrown_away += 1;
        }
        let Some(known) = self.jobs.get_mut(&task.job) else { return };
        match reason {
            EndReason::Done => {
                known.done.insert(task.index);
            }
            EndReason::Failed => *known.failures.entry(task.index).or_default() += 1,
            _ => {}
        }
    }

    /// A target crashes; tasks that run there may be the cause.
    pub fn crashed(&mut self, target: Option<&Target>) {
        for task in target.iter().flat_map(|target| target.running()) {
            let Some(known) = self.jobs.get_mut(&task.job) else { continue };
            *known.crashes.entry(task.index).or_default() += 1;
        }
    }

    /// How many targets have crashed under a task.
    pub fn crashes_under(&self, task: &TaskId) -> u32 {
        let known = self.jobs.get(&task.job);
        known.and_then(|known| known.crashes.get(&task.index)).copied().unwrap_or(0)
    }

    pub fn answered(&mut self, now: Time, id: &JobId, outcome: Outcome) {
        let Some(known) = self.jobs.get_mut(id) else { return };
        known.answered = Some((now, outcome));
        let wrong = match outcome {
            Outcome::Completed => {
                self.summary.completed += 1;
                (known.done.len() as u32) < known.tasks
            }
            Outcome::Failed(_) => {
                self.summary.failed += 1;
                let attempts = known.failures.values().any(|count| *count >= known.max_attempts);
                let crashes = known.crashes.values().any(|count| *count >= CRASHES);
                !attempts && !crashes
            }
            Outcome::NotRun { .. } => {
                self.summary.not_run += 1;
                known.last_start.is_some_and(|start| start >= known.submitted)
            }
            Outcome::MayHaveRun(_) => {
                self.summary.may_have_run += 1;
                false
            }
            Outcome::Cancelled => false,
        };
        if wrong {
            self.violation(now, format!("{id}: answered {outcome:?}, which is not so"));
        }
    }
}
