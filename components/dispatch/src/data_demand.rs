//! Tasks that name the label of the targets near their data, while no such target has room.
//!
//! The label is only a preference unless tasks take longer elsewhere, so all of this applies only
//! with a remote penalty above 1.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::{JobId, Time};
use placement::{DataChoice, DataDecision, TargetSearch, TaskNeeds};

use crate::agents::Agent;
use crate::dispatcher::Dispatcher;
use crate::event::{DataLocation, JobRequest, SessionId};
use crate::job::Job;

/// Maximum number of jobs for each label that a pass searches targets for in vain.
const MAX_WAITING_JOBS: usize = 16;

/// The targets with a label, as seen by one pass over the queue.
#[derive(Debug, Default)]
struct LabelTargets {
    /// Lowest relative slowdown of the open targets; `None` if there are none.
    lowest_slowdown: Option<f64>,
    /// CPU of the tasks in this pass that wait for such a target, in thousandths of a core.
    waiting_cpu: u64,
    /// The jobs of these tasks, up to `MAX_WAITING_JOBS`.
    waiting_jobs: Vec<JobId>,
}

/// The labels that tasks in one pass over the queue name.
#[derive(Debug, Default)]
pub(crate) struct PassLabels(BTreeMap<Arc<str>, LabelTargets>);

impl PassLabels {
    /// Whether the task need not be tried, as others that wait for the same targets were tried in
    /// vain in this pass. It then counts as waiting.
    pub fn skips(&mut self, job: &Job) -> bool {
        let Some(label) = &job.request.shape.affinity else { return false };
        let Some(targets) = self.0.get_mut(label) else { return false };
        let jobs = &targets.waiting_jobs;
        let skips = jobs.len() >= MAX_WAITING_JOBS || jobs.last() == Some(&job.request.id);
        if skips {
            targets.waiting_cpu += job.request.shape.resources.cpu_milli;
        }
        skips
    }
}

/// A task that names a label while no target with the label has room for it.
pub(crate) struct TaskWithoutNearTarget<'a> {
    pub job: &'a Job,
    pub index: u32,
    pub needs: TaskNeeds,
    /// The best other target, if one has room.
    pub away: Option<SessionId>,
}

impl Dispatcher {
    /// The factor on a task's run time away from the data that its job names.
    pub(crate) fn data_penalty(&self) -> f64 {
        if self.policy.data_demand { self.remote_penalty } else { 1.0 }
    }

    /// Records the label that an admitted job names.
    pub(crate) fn record_label_demand(&mut self, now: Time, request: &JobRequest) {
        if self.data_penalty() <= 1.0 {
            return;
        }
        let shape = &request.shape;
        let estimate = Duration::from_millis(u64::from(shape.estimated_ms));
        for label in shape.affinity.iter().chain(&shape.requirement) {
            let cpu_milli = shape.resources.cpu_milli;
            self.label_demand.record(now, label, shape.count, cpu_milli, estimate);
        }
    }

    /// Records that a task was placed at an agent, before the start changes the task.
    pub(crate) fn record_label_wait(&mut self, now: Time, job: &JobId, index: u32, id: SessionId) {
        let (Some(job), Some(agent)) = (self.jobs.get(job), self.agents.get(&id)) else { return };
        let Some(label) = &job.request.shape.affinity else { return };
        let has_waited = job.tasks[index as usize].waiting_since < now;
        if has_waited && agent.has_label(label) {
            let cpu_milli = job.request.shape.resources.cpu_milli;
            self.label_demand.record_waited(now, label, cpu_milli);
        }
    }

    /// Decides about a task that names a label while no target with the label has room for it.
    pub(crate) fn decide_data(
        &self,
        now: Time,
        task: &TaskWithoutNearTarget<'_>,
        search: &TargetSearch,
        labels: &mut PassLabels,
    ) -> DataDecision {
        let TaskWithoutNearTarget { job, index, needs, away } = task;
        let Some(label) = &job.request.shape.affinity else { return DataDecision::RunAway };
        let max_load_age = self.timing.max_load_age;
        let targets = labels.0.entry(label.clone()).or_insert_with(|| {
            let is_near = |agent: &&Agent| {
                agent.has_label(label) && agent.serves(&job.request.service, now, max_load_age)
            };
            let near = self.agents.values().filter(is_near);
            let slowdowns = near.map(|agent| search.relative_slowdown(agent.load.slowdown_percent));
            LabelTargets { lowest_slowdown: slowdowns.min_by(f64::total_cmp), ..Default::default() }
        });
        let Some(near_slowdown) = targets.lowest_slowdown else { return DataDecision::RunAway };
        let slowdown_of = |id| {
            let agent = self.agents.get(&id)?;
            Some(search.relative_slowdown(agent.load.slowdown_percent))
        };
        let choice = DataChoice {
            expected_wait: self.label_demand.expected_wait(now, label, targets.waiting_cpu),
            waited: now.since(job.tasks[*index as usize].waiting_since),
            near_slowdown,
            away_slowdown: away.and_then(slowdown_of),
            lowest_slowdown: search.lowest_slowdown(),
            may_refuse: job.is_provably_not_run(),
        };
        let decision = choice.decide(needs);
        if decision == DataDecision::Wait {
            targets.waiting_cpu += job.request.shape.resources.cpu_milli;
            targets.waiting_jobs.push(job.request.id.clone());
        }
        decision
    }
}

/// Where an agent is relative to the data that a job names.
pub(crate) fn data_location(request: &JobRequest, agent: &Agent) -> Option<DataLocation> {
    let label = request.shape.affinity.as_ref()?;
    Some(if agent.has_label(label) { DataLocation::Near } else { DataLocation::Away })
}
