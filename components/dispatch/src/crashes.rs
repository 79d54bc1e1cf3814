//! Tasks under which targets have crashed.
//!
//! A task may crash each target that starts it, and its job is handed in again where it gets no answer: so what counts is
//! kept beyond a job's end, and agents tell of a crash to all entries that they serve. A task that only stood beside the cause
//! is rarely there twice within that time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{JobId, NodeName, TaskId, Time};
use wire::{Refusal, TaskEnd};

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Outcome, Reason, SessionId};

/// Targets that may crash under a task before it is given up: each further start may cost all that runs at another one.
const CRASHES_MAX: usize = 2;
/// How long a crash is remembered: many times as long as it takes a client to send a job again.
const KEPT: Duration = Duration::from_secs(20);

/// The agents whose targets crashed, by task, and when that is forgotten.
#[derive(Debug, Default)]
pub(crate) struct Crashes(BTreeMap<TaskId, (BTreeSet<NodeName>, Time)>);

impl Crashes {
    fn add(&mut self, now: Time, task: &TaskId, agent: NodeName) {
        let (agents, until) = self.0.entry(task.clone()).or_default();
        agents.insert(agent);
        *until = now + KEPT;
    }

    /// Whether targets have crashed under a task as often as they may.
    fn is_given_up(&self, task: &TaskId) -> bool {
        self.0.get(task).is_some_and(|(agents, _)| agents.len() >= CRASHES_MAX)
    }

    /// Whether the target of an agent has crashed under a task: the agent does not start it again.
    pub fn has_crashed(&self, task: &TaskId, agent: &NodeName) -> bool {
        self.0.get(task).is_some_and(|(agents, _)| agents.contains(agent))
    }

    /// Forgets what was long ago.
    pub fn forget(&mut self, now: Time) {
        self.0.retain(|_, (_, until)| *until > now);
    }
}

impl Dispatcher {
    /// An agent tells of tasks that ran when its target crashed.
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

    /// Takes note of an end that tells of a crash, or of a refused start that does.
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

    /// Answers a job one of whose tasks has crashed as many targets as it may. Returns whether it has.
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
