//! Invariants of scheduling by reported capacity, checked only by what targets and clients observe.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch::Outcome;
use model::{JobId, TaskId, Time};
use runner::EndReason;

use super::target::Target;
use crate::checks::Violation;

/// Longest time between the answer to a job and the arrival of a start that was already in flight.
const MAX_START_DELAY: Duration = Duration::from_millis(400);
/// Longest time from an acknowledged cancel until nothing of the job runs: covers the loss of an
/// unreachable entry or agent, the end of its lease, and the stop itself.
const MAX_CANCEL_TIME: Duration = Duration::from_millis(1_400);
/// Number of target crashes under one task after which its job may fail.
const CRASHES_BEFORE_FAILURE: u32 = 2;
/// Longest time during which a task may still start at a target after its agent received the notice
/// that the target drains.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(200);

/// Counters of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CapacitySummary {
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs answered as not run.
    pub not_run: u64,
    /// Jobs answered as may have run.
    pub may_have_run: u64,
    /// Jobs that were submitted again.
    pub resubmitted: u64,
    /// Tasks that started to run.
    pub started: u64,
    /// Runs that were stopped or whose lease expired.
    pub aborted: u64,
    /// Starts that targets refused for lack of capacity.
    pub refused_no_capacity: u64,
    /// Injected faults.
    pub faults: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Jobs submitted after the last fault that completed within their deadline.
    pub completed_after_faults: u64,
    /// Target crashes caused by a task.
    pub target_crashes: u64,
    /// Times that the capacity of a target was reduced.
    pub capacity_reductions: u64,
    /// Jobs that named a rack.
    pub named_racks: u64,
    /// Submissions of clients that returned after an answer "not run".
    pub returned: u64,
    /// Targets that deregistered.
    pub leaves: u64,
    /// Targets that deregistered while tasks ran on them.
    pub leaves_with_runs: u64,
}

impl CapacitySummary {
    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Self) {
        self.completed += other.completed;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.resubmitted += other.resubmitted;
        self.started += other.started;
        self.aborted += other.aborted;
        self.refused_no_capacity += other.refused_no_capacity;
        self.faults += other.faults;
        self.cancelled += other.cancelled;
        self.completed_after_faults += other.completed_after_faults;
        self.target_crashes += other.target_crashes;
        self.capacity_reductions += other.capacity_reductions;
        self.named_racks += other.named_racks;
        self.returned += other.returned;
        self.leaves += other.leaves;
        self.leaves_with_runs += other.leaves_with_runs;
    }
}

/// Observed state of one job.
#[derive(Debug, Default)]
struct JobRecord {
    /// Time of the last submission.
    submitted: Time,
    answered: Option<(Time, Outcome)>,
    /// Indexes of the tasks that ended as done since the last submission.
    done: BTreeSet<u32>,
    /// Number of failures of each task since the last submission.
    failures: BTreeMap<u32, u32>,
    tasks: u32,
    max_attempts: u32,
    last_start: Option<Time>,
    /// Time at which a client's cancel was acknowledged.
    cancelled: Option<Time>,
    /// Number of target crashes under each task, over all submissions of the job.
    crashes: BTreeMap<u32, u32>,
}

/// Checks the events at targets and clients, and counts them.
#[derive(Debug, Default)]
pub(super) struct Checks {
    pub summary: CapacitySummary,
    pub violations: Vec<Violation>,
    jobs: BTreeMap<JobId, JobRecord>,
}

impl Checks {
    pub fn violation(&mut self, time: Time, description: String) {
        self.violations.push(Violation { time, description });
    }

    pub fn job_submitted(&mut self, now: Time, id: &JobId, tasks: u32, max_attempts: u32) {
        let record = self.jobs.entry(id.clone()).or_default();
        if record.tasks > 0 {
            self.summary.resubmitted += 1;
        }
        record.submitted = now;
        record.answered = None;
        record.done.clear();
        record.failures.clear();
        record.tasks = tasks;
        record.max_attempts = max_attempts;
    }

    /// Records that a task started; `running_elsewhere` says whether another run of the task is
    /// active.
    pub fn task_started(
        &mut self,
        now: Time,
        task: &TaskId,
        running_elsewhere: bool,
        draining_since: Option<Time>,
    ) {
        self.summary.started += 1;
        if running_elsewhere {
            self.violation(now, format!("{task} runs twice at once"));
        }
        if draining_since.is_some_and(|since| now.since(since) > MAX_DRAIN_DELAY) {
            self.violation(now, format!("{task} starts at a draining target"));
        }
        let Some(record) = self.jobs.get_mut(&task.job) else {
            return self.violation(now, format!("{task} starts but its job was never submitted"));
        };
        record.last_start = Some(now);
        if let Some(at) = record.cancelled
            && now.since(at) > MAX_CANCEL_TIME
        {
            self.violation(now, format!("{task} starts but its job was cancelled at {at}"));
        }
        let Some(record) = self.jobs.get(&task.job) else { return };
        if let Some((at, outcome)) = record.answered {
            let not_run = matches!(outcome, Outcome::NotRun { .. });
            if not_run || now.since(at) > MAX_START_DELAY {
                self.violation(
                    now,
                    format!("{task} starts after its job was answered with {outcome:?} at {at}"),
                );
            }
        }
    }

    /// Records that a client's cancel was acknowledged.
    pub fn cancel_acknowledged(&mut self, now: Time, id: &JobId) {
        self.summary.cancelled += 1;
        self.jobs.entry(id.clone()).or_default().cancelled.get_or_insert(now);
    }

    /// Checks that a running task was not cancelled too long ago. Reports each job once.
    pub fn still_running(&mut self, now: Time, task: &TaskId) {
        let Some(record) = self.jobs.get_mut(&task.job) else { return };
        if record.cancelled.is_some_and(|at| now.since(at) > MAX_CANCEL_TIME) {
            let at = record.cancelled.take();
            self.violation(now, format!("{task} still runs but its job was cancelled at {at:?}"));
        }
    }

    pub fn task_ended(&mut self, task: &TaskId, reason: EndReason) {
        if matches!(reason, EndReason::Stopped | EndReason::LeaseExpired) {
            self.summary.aborted += 1;
        }
        let Some(record) = self.jobs.get_mut(&task.job) else { return };
        match reason {
            EndReason::Done => {
                record.done.insert(task.index);
            }
            EndReason::Failed => *record.failures.entry(task.index).or_default() += 1,
            _ => {}
        }
    }

    /// Counts the crash against every task that runs at the target.
    pub fn target_crashed(&mut self, target: Option<&Target>) {
        for task in target.iter().flat_map(|target| target.running()) {
            let Some(record) = self.jobs.get_mut(&task.job) else { continue };
            *record.crashes.entry(task.index).or_default() += 1;
        }
    }

    /// Returns the number of target crashes under a task.
    pub fn crash_count(&self, task: &TaskId) -> u32 {
        let record = self.jobs.get(&task.job);
        record.and_then(|record| record.crashes.get(&task.index)).copied().unwrap_or(0)
    }

    pub fn job_answered(&mut self, now: Time, id: &JobId, outcome: Outcome) {
        let Some(record) = self.jobs.get_mut(id) else { return };
        record.answered = Some((now, outcome));
        let contradicted = match outcome {
            Outcome::Completed => {
                self.summary.completed += 1;
                (record.done.len() as u32) < record.tasks
            }
            Outcome::Failed(_) => {
                self.summary.failed += 1;
                let attempts_used =
                    record.failures.values().any(|count| *count >= record.max_attempts);
                let crashed_often =
                    record.crashes.values().any(|count| *count >= CRASHES_BEFORE_FAILURE);
                !attempts_used && !crashed_often
            }
            Outcome::NotRun { .. } => {
                self.summary.not_run += 1;
                record.last_start.is_some_and(|start| start >= record.submitted)
            }
            Outcome::MayHaveRun(_) => {
                self.summary.may_have_run += 1;
                false
            }
            Outcome::Cancelled => false,
        };
        if contradicted {
            self.violation(now, format!("the answer {outcome:?} to job {id} contradicts its runs"));
        }
    }
}
