//! Tracks tasks that crash the targets which run them.
//!
//! A task may crash every target that starts it, and its client submits the job again when it gets
//! no answer. So crashes are remembered after the job has ended, and agents report each crash to
//! all of their entries. A task that merely ran beside the cause of a crash is unlikely to be in
//! a second one before the first is forgotten.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{JobId, NodeName, TaskId, Time};
use wire::{Refusal, TaskEnd};

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Outcome, Reason, SessionId};

/// Number of crashed targets after which a task is not started again, as every further start may
/// cost all tasks of another target.
const MAX_CRASHES: usize = 2;
/// How long a crash is remembered: long enough for clients to submit the job again several times.
const CRASH_RETENTION: Duration = Duration::from_secs(20);

/// The agents whose targets crashed and the expiry time, by task.
#[derive(Debug, Default)]
pub(crate) struct Crashes(BTreeMap<TaskId, (BTreeSet<NodeName>, Time)>);

impl Crashes {
    fn add(&mut self, now: Time, task: &TaskId, agent: NodeName) {
        let (agents, until) = self.0.entry(task.clone()).or_default();
        agents.insert(agent);
        *until = now + CRASH_RETENTION;
    }

    /// Whether a task has crashed the maximum number of targets.
    fn is_at_crash_limit(&self, task: &TaskId) -> bool {
        self.0.get(task).is_some_and(|(agents, _)| agents.len() >= MAX_CRASHES)
    }

    /// Whether the target of an agent has crashed under a task. The agent refuses to start that
    /// task again.
    pub fn has_crashed(&self, task: &TaskId, agent: &NodeName) -> bool {
        self.0.get(task).is_some_and(|(agents, _)| agents.contains(agent))
    }

    /// Removes crashes that are past their retention time.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, (_, until)| *until > now);
    }
}

impl Dispatcher {
    /// Handles an agent's report of the tasks that ran when its target crashed.
    pub(crate) fn handle_target_crash(
        &mut self,
        now: Time,
        id: SessionId,
        tasks: &[TaskId],
        actions: &mut Vec<Action>,
    ) {
        for task in tasks {
            self.record_crash(now, id, task);
            if self.has_job(&task.job) {
                self.fail_if_crashing(now, &task.job, actions);
            }
        }
    }

    /// Records a crash if the end of a task indicates one: a crash itself, or a start refused
    /// because of an earlier crash.
    pub(crate) fn record_crash_from_end(
        &mut self,
        now: Time,
        id: SessionId,
        task: &TaskId,
        end: TaskEnd,
    ) {
        if matches!(end, TaskEnd::Crashed | TaskEnd::NotRun(Refusal::CrashedTarget)) {
            self.record_crash(now, id, task);
        }
    }

    fn record_crash(&mut self, now: Time, id: SessionId, task: &TaskId) {
        let agent = self.agents.get(&id).and_then(|agent| agent.name());
        if let Some(agent) = agent.cloned() {
            self.crashes.add(now, task, agent);
        }
    }

    /// Fails a job if one of its tasks has crashed the maximum number of targets. Returns whether
    /// the job was failed.
    pub(crate) fn fail_if_crashing(
        &mut self,
        now: Time,
        id: &JobId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let task = |index| TaskId { job: id.clone(), index };
        let at_limit =
            (0..job.request.shape.count).any(|index| self.crashes.is_at_crash_limit(&task(index)));
        if at_limit {
            self.finish_job(now, id, Outcome::Failed(Reason::CrashesTargets), actions);
        }
        at_limit
    }
}
