//! The start table: a task starts once, whatever frames arrive.
//!
//! An entry of the table never goes back: absent, then running, then ended; or absent, then barred.
//! A barred task never starts here, which is what proves "not run".

use std::collections::VecDeque;
use std::sync::Arc;

use model::{Expiry, Interned, Interner, Map, NodeRef, TaskKey, Time};
use serde::{Deserialize, Serialize};

/// How a started task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The target answered with this text.
    Answer(Arc<str>),
    /// The target answered with an error: it ran.
    Failed(String),
    /// The target was lost before a whole answer: it may have run.
    Lost(String),
    /// The target could not be reached: it did not run, and won't under this key.
    NeverSent(String),
}

impl TaskOutcome {
    /// Bytes of text held.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Answer(text) => text.len(),
            Self::Failed(reason) | Self::Lost(reason) | Self::NeverSent(reason) => reason.len(),
        }
    }
}

/// What became of a request to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It starts now.
    Starts,
    /// It runs since an earlier frame.
    AlreadyRunning,
    /// It ended; the outcome, where it is still held.
    AlreadyEnded(Option<TaskOutcome>),
    /// It was settled as not run, and stays so.
    Barred,
    /// Another owner started it: two entries believe that they own the submission.
    OtherOwner(NodeRef),
    /// It is so old that an earlier start of it may have been forgotten.
    Forgotten,
}

/// The fate of a task, once asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It never started here and never will.
    NotRun,
    /// It is running.
    Running,
    /// It ended; the outcome, where it is still held.
    Ended(Option<TaskOutcome>),
    /// It is so old that a start of it may have been forgotten.
    Forgotten,
}

/// What the table may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory for outcomes, in bytes; the oldest are dropped over it.
    pub outcome_bytes: usize,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Ended(Option<TaskOutcome>),
    Barred,
}

#[derive(Clone, Debug)]
struct Record {
    owner: Interned,
    state: State,
}

/// The tasks that this life of an agent started or barred.
#[derive(Debug)]
pub struct StartTable {
    limits: Limits,
    owners: Interner<NodeRef>,
    records: Map<TaskKey, Record>,
    expiry: Expiry<TaskKey>,
    /// Tasks whose outcome is held, oldest first.
    held: VecDeque<TaskKey>,
    held_bytes: usize,
    running: usize,
    /// Tasks of submissions made before this may have been forgotten.
    forgotten_before: Time,
}

impl StartTable {
    /// An empty table.
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

    /// Records a start, unless the task is known. `keep_until` is when it may be forgotten.
    pub fn start(&mut self, key: TaskKey, owner: &NodeRef, keep_until: Time) -> StartOutcome {
        if let Some(record) = self.records.get(&key) {
            return self.known(record, owner);
        }
        if self.may_be_forgotten(key) {
            return StartOutcome::Forgotten;
        }
        self.insert(key, owner, State::Running, keep_until);
        self.running += 1;
        StartOutcome::Starts
    }

    /// What a start of this task would find, without starting it; `None` where it would start.
    pub fn look(&self, key: TaskKey, owner: &NodeRef) -> Option<StartOutcome> {
        match self.records.get(&key) {
            Some(record) => Some(self.known(record, owner)),
            None => self.may_be_forgotten(key).then_some(StartOutcome::Forgotten),
        }
    }

    /// Tells a task's fate; bars it where it never started.
    pub fn settle(&mut self, key: TaskKey, owner: &NodeRef, keep_until: Time) -> Settled {
        match self.records.get(&key).map(|record| &record.state) {
            Some(State::Running) => Settled::Running,
            Some(State::Ended(outcome)) => Settled::Ended(outcome.clone()),
            Some(State::Barred) => Settled::NotRun,
            None if self.may_be_forgotten(key) => Settled::Forgotten,
            None => {
                self.insert(key, owner, State::Barred, keep_until);
                Settled::NotRun
            }
        }
    }

    /// Records the end of a running task and keeps its outcome while memory allows.
    ///
    /// Returns whether the task was running; anything else is a breach of the table's order.
    pub fn end(&mut self, key: TaskKey, outcome: TaskOutcome) -> bool {
        let Some(record) = self.records.get_mut(&key) else { return false };
        if !matches!(record.state, State::Running) {
            return false;
        }
        self.held_bytes += outcome.bytes();
        self.held.push_back(key);
        record.state = State::Ended(Some(outcome));
        self.running -= 1;
        self.drop_oldest_outcomes();
        true
    }

    fn may_be_forgotten(&self, key: TaskKey) -> bool {
        key.submission.made() < self.forgotten_before
    }

    /// Forgets tasks past their time; running ones stay. From then on nothing is known of
    /// submissions made before `forgotten_before`.
    pub fn expire(&mut self, forgotten_before: Time, now: Time) {
        self.forgotten_before = self.forgotten_before.max(forgotten_before);
        for key in self.expiry.due(now) {
            match self.records.get(&key).map(|record| &record.state) {
                Some(State::Running) => self.expiry.insert(key, now),
                _ => self.forget(key),
            }
        }
    }

    /// How many tasks are running.
    pub fn running(&self) -> usize {
        self.running
    }

    /// How many tasks are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no task is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of outcomes held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn insert(&mut self, key: TaskKey, owner: &NodeRef, state: State, keep_until: Time) {
        let owner = self.owners.intern(owner);
        self.records.insert(key, Record { owner, state });
        self.expiry.insert(key, keep_until);
    }

    fn forget(&mut self, key: TaskKey) {
        if let Some(Record { state: State::Ended(Some(outcome)), .. }) = self.records.remove(&key) {
            self.held_bytes -= outcome.bytes();
        }
    }

    fn drop_oldest_outcomes(&mut self) {
        while self.held_bytes > self.limits.outcome_bytes {
            let Some(key) = self.held.pop_front() else { return };
            let Some(record) = self.records.get_mut(&key) else { continue };
            if let State::Ended(outcome) = &mut record.state {
                self.held_bytes -= outcome.take().map_or(0, |outcome| outcome.bytes());
            }
        }
    }

    fn known(&self, record: &Record, owner: &NodeRef) -> StartOutcome {
        let first = self.owners.value(record.owner);
        if first != owner {
            return StartOutcome::OtherOwner(first.clone());
        }
        match &record.state {
            State::Running => StartOutcome::AlreadyRunning,
            State::Ended(outcome) => StartOutcome::AlreadyEnded(outcome.clone()),
            State::Barred => StartOutcome::Barred,
        }
    }
}
