//! Tracks tasks that crash the targets which run them.
//!
//! A task may crash every target that starts it, and its client submits the job again when it gets
//! no answer. So crashes are remembered after the job has ended, and agents report each crash to
//! all of their entries. A task that merely ran beside the cause is unlikely to see a second crash
//! in that time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{JobId, NodeName, TaskId, Time};
use wire::{Refusal, TaskEnd};

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Outcome, Reason, SessionId};

/// Number of crashed targets after which a task is not started again, as every further start may
/// cost all tasks of another target.
const CRASHES_MAX: usize = 2;
/// How long a crash is remembered: long enough for clients to submit the job again several times.
const KEPT: Duration = Duration::from_secs(20);

/// The agents whose targets crashed and the expiry time, by task.
#[derive(Debug, Default)]
pub(crate) struct Crashes(BTreeMap<TaskId, (BTreeSet<NodeName>, Time)>);

impl Crashes {
    fn add(&mut self, now: Time, task: &TaskId, agent: NodeName) {
        let (agents, until) = self.0.entry(task.clone()).or_default();
        agents.insert(agent);
        *until = now + KEPT;
    }

    /// Whether a task has crashed the maximum number of targets.
    fn is_given_up(&self, task: &TaskId) -> bool {
        self.0.get(task).is_some_and(|(agents, _)| agents.len() >= CRASHES_MAX)
    }

    /// Whether the target of an agent has crashed under a task. The agent refuses to start that
    /// task again.
    pub fn has_crashed(&self, task: &TaskId, agent: &NodeName) -> bool {
        self.0.get(task).is_some_and(|(agents, _)| agents.contains(agent))
    }

    /// Removes crashes that are past their retention time.
    pub fn forget(&mut self, now: Time) {
        self.0.retain(|_, (_, until)| *until > now);
    }
}

impl Dispatcher {
    /// Handles an agent's report of the tasks that ran when its target crashed.
    pub(crate) fn target_crashed(
        &mut self,
        now: Time,
        id: SessionId,
        tasks: &[TaskId],
        out: &mut Vec<Action>,
    ) {
        for task in tasks {
            self.note_crash(now, id, task);
            if self.has_job(&task.job) {
                self.give_up_crashing(now, &task.job, out);
            }
        }
    }

    /// Records a crash if the end of a task indicates one: a crash itself, or a start refused
    /// because of an earlier crash.
    pub(crate) fn note_crash_by(&mut self, now: Time, id: SessionId, task: &TaskId, end: TaskEnd) {
        if matches!(end, TaskEnd::Crashed | TaskEnd::NotRun(Refusal::CrashedTarget)) {
            self.note_crash(now, id, task);
        }
    }

    fn note_crash(&mut self, now: Time, id: SessionId, task: &TaskId) {
        let agent = self.agents.get(&id).and_then(|agent| agent.name());
        if let Some(agent) = agent.cloned() {
            self.crashes.add(now, task, agent);
        }
    }

    /// Fails a job if one of its tasks has crashed the maximum number of targets. Returns whether
    /// the job was failed.
    pub(crate) fn give_up_crashing(
        &mut self,
        now: Time,
        id: &JobId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let task = |index| TaskId { job: id.clone(), index };
        let given_up = (0..job.request.shape.count).any(|at| self.crashes.is_given_up(&task(at)));
        if given_up {
            self.finish(now, id, Outcome::Failed(Reason::CrashesTargets), out);
        }
        given_up
    }
}
