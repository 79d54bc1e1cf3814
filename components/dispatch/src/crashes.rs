//! Tracks tasks that crash the targets which run them.
//!
//! A task may crash every target that starts it, and its client submits the job again. So crashes
//! are remembered after the job has ended, and agents report each one to all of their entries. A
//! task that merely ran beside the cause is unlikely to be in a second crash soon.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{JobId, NodeName, TaskId, Time};
use wire::{Refusal, SuspectedTask, TaskEnd};

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Outcome, Reason, SessionId};

/// Number of targets that crashed under a task after which its job has failed, as every further
/// start may cost all tasks of another target.
const MAX_CRASHES: usize = 2;
/// Number of crashes, suspected or confirmed, after which a task is not started again. An agent only
/// suspects a task that may have ended before the crash; without a limit on these, a task could
/// crash any number of targets. They don't show that its job has failed.
const MAX_SUSPECTED_CRASHES: usize = 3;
/// How long a crash is remembered: long enough for clients to submit the job again several times.
const CRASH_RETENTION: Duration = Duration::from_secs(20);

/// The crashes of one agent's target under a task.
#[derive(Debug, Default)]
struct AgentCrashes {
    /// Whether the task ran at a crash. The agent then refuses to start it again.
    confirmed: bool,
    /// When the agent noticed further crashes at which the task may have run, by its clock.
    suspected: BTreeSet<Time>,
}

/// The crashes under one task.
#[derive(Debug, Default)]
struct TaskCrashes {
    by_agent: BTreeMap<NodeName, AgentCrashes>,
    expires: Time,
}

/// The crashes of targets under tasks.
#[derive(Debug, Default)]
pub(crate) struct Crashes(BTreeMap<TaskId, TaskCrashes>);

impl Crashes {
    fn of_agent(&mut self, now: Time, task: &TaskId, agent: NodeName) -> &mut AgentCrashes {
        let crashes = self.0.entry(task.clone()).or_default();
        crashes.expires = now + CRASH_RETENTION;
        crashes.by_agent.entry(agent).or_default()
    }

    /// How the job of a task ends; `None` if the task may start again.
    fn outcome(&self, task: &TaskId) -> Option<Outcome> {
        let by_agent = &self.0.get(task)?.by_agent;
        let confirmed = by_agent.values().filter(|crashes| crashes.confirmed).count();
        let suspected: usize = by_agent.values().map(|crashes| crashes.suspected.len()).sum();
        if confirmed >= MAX_CRASHES {
            return Some(Outcome::Failed(Reason::CrashesTargets));
        }
        let is_suspect = confirmed + suspected >= MAX_SUSPECTED_CRASHES;
        is_suspect.then_some(Outcome::MayHaveRun(Reason::CrashesTargets))
    }

    /// Whether an agent refuses to start a task, as its target has crashed under it.
    pub fn has_crashed(&self, task: &TaskId, agent: &NodeName) -> bool {
        let crashes = self.0.get(task).and_then(|crashes| crashes.by_agent.get(agent));
        crashes.is_some_and(|crashes| crashes.confirmed)
    }

    /// Removes crashes that are past their retention time.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, crashes| crashes.expires > now);
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
            self.end_crashing_job(now, &task.job, actions);
        }
    }

    /// Handles an agent's report of the tasks that may have run when its target crashed.
    pub(crate) fn handle_suspected_crash(
        &mut self,
        now: Time,
        id: SessionId,
        tasks: &[SuspectedTask],
        actions: &mut Vec<Action>,
    ) {
        for SuspectedTask { task, noticed_at } in tasks {
            if let Some(agent) = self.agent_name(id) {
                self.crashes.of_agent(now, task, agent).suspected.insert(*noticed_at);
            }
            self.end_crashing_job(now, &task.job, actions);
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
        if let Some(agent) = self.agent_name(id) {
            self.crashes.of_agent(now, task, agent).confirmed = true;
        }
    }

    fn agent_name(&self, id: SessionId) -> Option<NodeName> {
        self.agents.get(&id).and_then(|agent| agent.name()).cloned()
    }

    /// Answers an open job if one of its tasks has crashed too many targets. Returns whether the job
    /// was answered.
    pub(crate) fn end_crashing_job(
        &mut self,
        now: Time,
        id: &JobId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| job.outcome.is_none()) else { return false };
        let tasks = (0..job.request.shape.count).map(|index| TaskId { job: id.clone(), index });
        let outcomes = tasks.filter_map(|task| self.crashes.outcome(&task));
        // A failure is the clearer answer.
        let outcome = outcomes.max_by_key(|outcome| matches!(outcome, Outcome::Failed(_)));
        if let Some(outcome) = outcome {
            self.finish_job(now, id, outcome, actions);
        }
        outcome.is_some()
    }
}
