//! The start table, which starts every task at most once although frames are lost, repeated and
//! reordered.
//!
//! A record only moves from absent to running to ended, or from absent to barred. A barred task
//! never starts here, which proves the verdict "not run".

use std::collections::VecDeque;
use std::sync::Arc;

use model::{Expiry, Interned, Interner, Map, NodeRef, TaskKey, Time};
use serde::{Deserialize, Serialize};

/// How a started task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The target answered with this text.
    Answer(Arc<str>),
    /// The target answered with an error, so the task ran.
    Failed(String),
    /// The target was lost before its answer was complete, so the task may have run.
    Lost(String),
    /// The target could not be reached, so the task did not run and won't under this key.
    NeverSent(String),
}

impl TaskOutcome {
    /// The size of the text, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Answer(text) => text.len(),
            Self::Failed(reason) | Self::Lost(reason) | Self::NeverSent(reason) => reason.len(),
        }
    }
}

/// The result of a request to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task is new and starts now.
    Starts,
    /// An earlier request started the task, and it is still running.
    AlreadyRunning,
    /// The task ended; the outcome if it is still held.
    AlreadyEnded(Option<TaskOutcome>),
    /// The task was settled as not run and must not start.
    Barred,
    /// Another owner started the task, so two entries believe that they own the submission.
    OtherOwner(NodeRef),
    /// The task is so old that an earlier start may have been forgotten.
    Forgotten,
}

/// The answer to the question whether a task ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The task never started here and never will.
    NotRun,
    /// The task is running.
    Running,
    /// The task ended; the outcome if it is still held.
    Ended(Option<TaskOutcome>),
    /// The task is so old that its start may have been forgotten.
    Forgotten,
}

/// The memory limits of the table.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Greatest total size of the outcomes, in bytes; beyond it the oldest ones are dropped.
    pub outcome_bytes: usize,
}

#[derive(Clone, Debug)]
enum TaskState {
    Running,
    Ended(Option<TaskOutcome>),
    Barred,
}

#[derive(Clone, Debug)]
struct Record {
    owner: Interned,
    state: TaskState,
}

/// The tasks that an agent process has started or barred.
#[derive(Debug)]
pub struct StartTable {
    limits: Limits,
    owners: Interner<NodeRef>,
    records: Map<TaskKey, Record>,
    expiry: Expiry<TaskKey>,
    /// Ended tasks in the order of their ends, for dropping the oldest outcomes.
    held: VecDeque<TaskKey>,
    /// Total size of the outcomes held, in bytes.
    held_bytes: usize,
    running: usize,
    /// Tasks of submissions that were created before this time may have been removed.
    forgotten_before: Time,
}

impl StartTable {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            owners: Interner::default(),
            records: Map::default(),
            expiry: Expiry::default(),
            held: VecDeque::new(),
            held_bytes: 0,
            running: 0,
            forgotten_before: Time::default(),
        }
    }

    /// Records the start of a new task, which is kept until `keep_until`; for a known task returns
    /// its state.
    pub fn start(&mut self, key: TaskKey, owner: &NodeRef, keep_until: Time) -> StartOutcome {
        if let Some(record) = self.records.get(&key) {
            return self.known_outcome(record, owner);
        }
        if self.may_be_forgotten(key) {
            return StartOutcome::Forgotten;
        }
        self.insert(key, owner, TaskState::Running, keep_until);
        self.running += 1;
        StartOutcome::Starts
    }

    /// The result that a start of this task would have, without starting it; `None` if it would
    /// start.
    pub fn peek(&self, key: TaskKey, owner: &NodeRef) -> Option<StartOutcome> {
        match self.records.get(&key) {
            Some(record) => Some(self.known_outcome(record, owner)),
            None => self.may_be_forgotten(key).then_some(StartOutcome::Forgotten),
        }
    }

    /// Determines whether a task ran and bars it if it never started.
    pub fn settle(&mut self, key: TaskKey, owner: &NodeRef, keep_until: Time) -> Settled {
        match self.records.get(&key).map(|record| &record.state) {
            Some(TaskState::Running) => Settled::Running,
            Some(TaskState::Ended(outcome)) => Settled::Ended(outcome.clone()),
            Some(TaskState::Barred) => Settled::NotRun,
            None if self.may_be_forgotten(key) => Settled::Forgotten,
            None => {
                self.insert(key, owner, TaskState::Barred, keep_until);
                Settled::NotRun
            }
        }
    }

    /// Records the end of a running task and keeps its outcome while memory allows.
    ///
    /// Returns whether the task was running; false is an invariant violation in the caller.
    pub fn end(&mut self, key: TaskKey, outcome: TaskOutcome) -> bool {
        let Some(record) = self.records.get_mut(&key) else { return false };
        if !matches!(record.state, TaskState::Running) {
            return false;
        }
        self.held_bytes += outcome.bytes();
        self.held.push_back(key);
        record.state = TaskState::Ended(Some(outcome));
        self.running -= 1;
        self.drop_oldest_outcomes();
        true
    }

    /// Whether the task is so old that its record may have been removed.
    fn may_be_forgotten(&self, key: TaskKey) -> bool {
        key.submission.created_at() < self.forgotten_before
    }

    /// Removes the tasks whose retention ended, except running ones. Afterwards unknown tasks of
    /// submissions created before `forgotten_before` are reported as forgotten.
    pub fn expire(&mut self, forgotten_before: Time, now: Time) {
        self.forgotten_before = self.forgotten_before.max(forgotten_before);
        for key in self.expiry.take_expired(now) {
            match self.records.get(&key).map(|record| &record.state) {
                Some(TaskState::Running) => self.expiry.insert(key, now),
                _ => self.forget(key),
            }
        }
    }

    /// The number of running tasks.
    pub fn running(&self) -> usize {
        self.running
    }

    /// The number of known tasks.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no task is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The total size of the outcomes held, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn insert(&mut self, key: TaskKey, owner: &NodeRef, state: TaskState, keep_until: Time) {
        let owner = self.owners.intern(owner);
        self.records.insert(key, Record { owner, state });
        self.expiry.insert(key, keep_until);
    }

    fn forget(&mut self, key: TaskKey) {
        if let Some(Record { state: TaskState::Ended(Some(outcome)), .. }) =
            self.records.remove(&key)
        {
            self.held_bytes -= outcome.bytes();
        }
    }

    fn drop_oldest_outcomes(&mut self) {
        while self.held_bytes > self.limits.outcome_bytes {
            let Some(key) = self.held.pop_front() else { return };
            let Some(record) = self.records.get_mut(&key) else { continue };
            if let TaskState::Ended(outcome) = &mut record.state {
                self.held_bytes -= outcome.take().map_or(0, |outcome| outcome.bytes());
            }
        }
    }

    /// The result of another request to start a recorded task.
    fn known_outcome(&self, record: &Record, owner: &NodeRef) -> StartOutcome {
        let first = self.owners.value(record.owner);
        if first != owner {
            return StartOutcome::OtherOwner(first.clone());
        }
        match &record.state {
            TaskState::Running => StartOutcome::AlreadyRunning,
            TaskState::Ended(outcome) => StartOutcome::AlreadyEnded(outcome.clone()),
            TaskState::Barred => StartOutcome::Barred,
        }
    }
}
