//! Placement of queued tasks at agents.

use std::collections::{BTreeMap, btree_map};
use std::sync::Arc;
use std::time::Duration;

use model::{JobId, Resources, TaskId, Time};
use placement::{Candidate, DataDecision, SearchOptions, SearchResult, TargetSearch, TaskNeeds};
use wire::{StartTask, ToAgent};

use crate::admission::not_run_outcome;
use crate::agents::Agent;
use crate::data_demand::{PassLabels, TaskWithoutNearTarget, data_location};
use crate::dispatcher::{Dispatcher, QueuedTask, queued_task};
use crate::event::{Action, DataLocation, LogEvent, Reason, SessionId};
use crate::job::{Job, Task, TaskState};
use crate::run_times::Learned;
use crate::timing::Timing;
use crate::urgent_reserve::ServiceCapacities;

/// Number of tasks without a suitable agent after which a pass over the queue ends.
const MAX_MISSES: usize = 16;
/// Maximum number of queued tasks that a pass examines.
const MAX_QUEUE_SCAN: usize = 512;
/// Fraction of a service's capacity below which free capacity is scarce. The smallest burst, 1.3
/// times the usual load, takes up this much.
const SCARCE_FREE_FRACTION: f64 = 0.25;

/// The agents at which queued tasks may find capacity that they did not find before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangedCapacity {
    AnyAgent,
    /// A single agent. Searching all agents after each load would dominate an entry's CPU time.
    Agent(SessionId),
}

impl ChangedCapacity {
    /// Returns the agents to search.
    fn select<'a>(
        self,
        agents: &'a BTreeMap<SessionId, Agent>,
    ) -> btree_map::Range<'a, SessionId, Agent> {
        match self {
            Self::AnyAgent => agents.range(..),
            Self::Agent(id) => agents.range(id..=id),
        }
    }
}

/// State of one pass over the queue.
struct PlacementPass {
    now: Time,
    /// The agents to search.
    changed: ChangedCapacity,
    /// Largest free CPU of any of these agents, in thousandths of a core.
    max_free_cpu: u64,
    search: TargetSearch,
    capacities: ServiceCapacities,
    /// Labels of targets that are left to the tasks that name them.
    labels_in_demand: Vec<Arc<str>>,
    /// The labels that tasks of this pass name.
    labels: PassLabels,
    /// Jobs to be refused after the pass.
    refused: Vec<JobId>,
    /// Number of tasks so far that found no agent.
    misses: usize,
    placed: Vec<QueuedTask>,
    /// Jobs that had their first task placed in this pass.
    started_jobs: Vec<JobId>,
}

impl PlacementPass {
    fn new(now: Time, changed: ChangedCapacity, max_free_cpu: u64, search: TargetSearch) -> Self {
        let (placed, started_jobs) = (Vec::new(), Vec::new());
        Self {
            now,
            changed,
            max_free_cpu,
            search,
            capacities: ServiceCapacities::default(),
            labels_in_demand: Vec::new(),
            labels: PassLabels::default(),
            refused: Vec::new(),
            misses: 0,
            placed,
            started_jobs,
        }
    }
}

/// Result of the search for an agent for a task.
enum Choice {
    Agent(SessionId),
    NoAgent,
    /// The task waits for a target with the label that its job names.
    WaitsForData,
    /// The job can't be in time near its data or elsewhere.
    Refuse,
    /// The result would come too late to be of use from any agent.
    TooLate,
    /// The job of the task no longer exists.
    NoJob,
}

impl Dispatcher {
    /// Places queued tasks at agents with enough free capacity, in queue order.
    pub(crate) fn place_tasks(
        &mut self,
        now: Time,
        changed: ChangedCapacity,
        actions: &mut Vec<Action>,
    ) {
        if self.queue.is_empty() {
            return;
        }
        let max_free_cpu = max_free_cpu(changed.select(&self.agents), now, &self.timing);
        let too_large = |queued: &QueuedTask| queued.cpu_milli > max_free_cpu;
        if self.queue.iter().take(MAX_QUEUE_SCAN).all(too_large) {
            return;
        }
        // The queue is detached while its tasks are placed. Nothing is queued during the pass.
        let queue = std::mem::take(&mut self.queue);
        let mut pass = PlacementPass::new(now, changed, max_free_cpu, self.target_search());
        if self.data_penalty() > 1.0 {
            pass.labels_in_demand = self.label_demand.in_demand(now);
        }
        for queued in queue.iter().take(MAX_QUEUE_SCAN) {
            if queued.cpu_milli > pass.max_free_cpu {
                continue;
            }
            match self.choose_agent(queued, &mut pass) {
                Choice::Agent(id) => {
                    self.record_label_wait(now, &queued.job, queued.index, id);
                    self.start_task_at(id, queued, &mut pass, actions);
                }
                Choice::NoAgent if pass.misses + 1 >= MAX_MISSES => break,
                Choice::NoAgent => pass.misses += 1,
                Choice::Refuse => pass.refused.push(queued.job.clone()),
                Choice::WaitsForData | Choice::TooLate | Choice::NoJob => {}
            }
        }
        self.queue = queue;
        for queued in &pass.placed {
            self.queue.remove(queued);
        }
        pass.started_jobs.iter().for_each(|job| self.requeue_as_started(job));
        for id in pass.refused {
            let Some(job) = self.jobs.get(&id) else { continue };
            let outcome = not_run_outcome(Reason::NoCapacity, &job.request);
            self.finish_job(now, &id, outcome, actions);
        }
    }

    /// Chooses the best agent for a task.
    fn choose_agent(&self, queued: &QueuedTask, pass: &mut PlacementPass) -> Choice {
        let Some(job) = self.jobs.get(&queued.job) else { return Choice::NoJob };
        if queued.unstarted && job.starts == 0 && !self.may_start_job(job, pass) {
            return Choice::NoAgent;
        }
        let needs = self.task_needs(job, pass);
        if pass.search.is_too_late(&needs) {
            return Choice::TooLate;
        }
        if pass.refused.contains(&queued.job) {
            return Choice::NoJob;
        }
        if pass.labels.skips(job) {
            return Choice::WaitsForData;
        }
        let candidates = self.candidates(job, queued.index, pass);
        let result = pass.search.best(&needs, candidates);
        let target = match result {
            SearchResult::Target(id) => Some(id),
            _ => None,
        };
        let is_near =
            |agent: &Agent| data_location(&job.request, agent) == Some(DataLocation::Near);
        let is_near = target.and_then(|id| self.agents.get(&id)).is_some_and(is_near);
        if needs.names_label && needs.remote_penalty > 1.0 && !is_near {
            let task = TaskWithoutNearTarget { job, index: queued.index, needs, away: target };
            match self.decide_data(pass.now, &task, &pass.search, &mut pass.labels) {
                DataDecision::Wait => return Choice::WaitsForData,
                DataDecision::Refuse => return Choice::Refuse,
                DataDecision::RunAway => {}
            }
        }
        match result {
            SearchResult::Target(id) => Choice::Agent(id),
            SearchResult::NoCandidate => Choice::NoAgent,
            // Another agent may still be fast enough. A pass over a single agent goes on, as the
            // agent may be fast enough for other tasks and each costs little.
            SearchResult::TooLate if pass.changed == ChangedCapacity::AnyAgent => Choice::NoAgent,
            SearchResult::TooLate => Choice::TooLate,
        }
    }

    /// Returns what the next task of a job needs from its target.
    fn task_needs(&self, job: &Job, pass: &mut PlacementPass) -> TaskNeeds {
        let request = &job.request;
        let estimate = Duration::from_millis(u64::from(request.shape.estimated_ms));
        let mut needs = TaskNeeds {
            cpu_milli: request.shape.resources.cpu_milli,
            run_time: estimate,
            longest_run_time: estimate,
            objective: request.objective,
            elapsed: pass.now.since(job.submitted) + self.timing.start_overhead,
            names_label: request.shape.affinity.is_some(),
            remote_penalty: self.data_penalty(),
            capacity_is_scarce: false,
            must_run: job.starts > 0,
        };
        if !pass.search.predicts_end(&needs) {
            return needs;
        }
        if self.policy.run_times {
            let is_waiting = |task: &&Task| task.state == TaskState::Waiting;
            let waiting = job.tasks.iter().filter(is_waiting).count().max(1) as u32;
            needs.run_time = self.run_times.expected(&request.queue, estimate);
            needs.longest_run_time = self.run_times.longest_of(&request.queue, estimate, waiting);
        }
        // A single agent is chosen or not, whatever its speed is compared with.
        if pass.changed == ChangedCapacity::AnyAgent {
            let capacity =
                pass.capacities.get(&request.service, &self.agents, pass.now, &self.timing);
            needs.capacity_is_scarce =
                (capacity.free as f64) < capacity.total as f64 * SCARCE_FREE_FRACTION;
        }
        needs
    }

    /// Returns the agents to search that may run a task and have room for it. A task may return to
    /// the agent that it avoids if that is the only one known.
    fn candidates<'a>(
        &'a self,
        job: &'a Job,
        index: u32,
        pass: &'a PlacementPass,
    ) -> impl Iterator<Item = Candidate<SessionId>> + use<'a> {
        let (now, max_load_age) = (pass.now, self.timing.max_load_age);
        let request = &job.request;
        let task = &job.tasks[index as usize];
        let task_id = TaskId { job: request.id.clone(), index };
        let is_eligible = move |(id, agent, free): &(&SessionId, &Agent, Resources)| {
            agent.serves(&request.service, now, max_load_age)
                && request.shape.resources.fits(free)
                && has_requirement(agent, request.shape.requirement.as_ref())
                && is_below_target_limit(job, **id)
                && !(is_avoided(task, **id, now) && self.agents.len() > 1)
                && !(agent.load.on_trial && task.failures > 0)
                && !agent.name().is_some_and(|name| self.crashes.has_crashed(&task_id, name))
        };
        let agents = pass.changed.select(&self.agents);
        let eligible =
            agents.map(move |(id, agent)| (id, agent, agent.free(now))).filter(is_eligible);
        let named = request.shape.affinity.as_ref();
        eligible.map(move |(id, agent, free)| Candidate {
            id: *id,
            free_cpu_milli: free.cpu_milli,
            total_cpu_milli: agent.capacity().cpu_milli,
            slowdown_percent: agent.load.slowdown_percent,
            has_label: named.is_some_and(|label| agent.has_label(label)),
            is_in_demand: pass
                .labels_in_demand
                .iter()
                .any(|label| named != Some(label) && agent.has_label(label)),
        })
    }

    /// Whether a job may start its first task without using capacity that is reserved for more
    /// urgent jobs.
    fn may_start_job(&self, job: &Job, pass: &mut PlacementPass) -> bool {
        if !self.policy.urgent_reserve {
            return true;
        }
        let capacity =
            pass.capacities.get(&job.request.service, &self.agents, pass.now, &self.timing);
        self.reserve.leaves_reserve(pass.now, &job.request, capacity)
    }

    /// Places a task at an agent with enough free capacity.
    fn start_task_at(
        &mut self,
        id: SessionId,
        queued: &QueuedTask,
        pass: &mut PlacementPass,
        actions: &mut Vec<Action>,
    ) {
        self.median_slowdown.refresh(pass.now, &self.agents);
        let Some(job) = self.jobs.get_mut(&queued.job) else { return };
        let Some(agent) = self.agents.get_mut(&id) else { return };
        if queued.unstarted && job.starts == 0 {
            pass.started_jobs.push(queued.job.clone());
        }
        let free = agent.free(pass.now);
        let learned = Learned {
            run_times: self.policy.run_times.then_some(&self.run_times),
            median_slowdown: &self.median_slowdown,
            remote_penalty: self.remote_penalty,
        };
        let (prediction, estimated_ms) = learned.predict(&job.request, agent);
        job.tasks[queued.index as usize].prediction = Some(prediction);
        let start =
            record_start(job, queued.index, agent, id, estimated_ms, pass.now, &self.timing);
        if let Some(name) = agent.name() {
            actions.push(Action::Log(LogEvent::Placed {
                task: TaskId { job: queued.job.clone(), index: queued.index },
                run: start.run,
                agent: name.clone(),
                free,
                age_ms: pass.now.since(agent.last_contact).as_millis() as u64,
                data: data_location(&job.request, agent),
            }));
        }
        pass.capacities.consume(&job.request.service, job.request.shape.resources.cpu_milli);
        if free.cpu_milli >= pass.max_free_cpu {
            pass.max_free_cpu =
                max_free_cpu(pass.changed.select(&self.agents), pass.now, &self.timing);
        }
        self.counters.starts_sent += 1;
        self.pending_starts.entry((id, queued.job.clone())).or_default().push(start);
        pass.placed.push(queued.clone());
    }

    /// Moves the remaining tasks of a job that has started ahead of jobs that have not.
    fn requeue_as_started(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for index in 0..job.request.shape.count {
            let queued = queued_task(job, index, self.policy);
            if self.queue.remove(&QueuedTask { unstarted: true, ..queued.clone() }) {
                self.queue.insert(queued);
            }
        }
    }

    /// Sends the starts collected during this event, one message for each agent and job.
    pub(crate) fn send_starts(&mut self, now: Time, actions: &mut Vec<Action>) {
        for ((id, job), tasks) in std::mem::take(&mut self.pending_starts) {
            let (Some(agent), Some(known)) = (self.agents.get(&id), self.jobs.get(&job)) else {
                continue;
            };
            let agent_clock = agent.load.at;
            let spec = known.request.spec.clone();
            actions.push(Action::Send(id, ToAgent::Start { agent_clock, job, spec, tasks }));
            self.record_heartbeat_sent(now, id);
        }
    }

    /// Returns the search among the agents that accept work.
    fn target_search(&self) -> TargetSearch {
        let options = SearchOptions {
            fill_targets: self.policy.fill_targets,
            use_slowdown: self.policy.slowdown_score,
            predict_end: self.policy.predicted_end,
        };
        if !self.policy.slowdown_score {
            return TargetSearch::new(options, Vec::new());
        }
        let open = self.agents.values().filter(|agent| agent.load.open);
        TargetSearch::new(options, open.map(|agent| agent.load.slowdown_percent).collect())
    }

    /// Removes the tasks of a job from the queue.
    pub(crate) fn remove_from_queue(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for index in 0..job.request.shape.count {
            self.queue.remove(&queued_task(job, index, self.policy));
        }
    }
}

/// Largest free CPU of any agent that accepts work, in thousandths of a core.
fn max_free_cpu(agents: btree_map::Range<'_, SessionId, Agent>, now: Time, timing: &Timing) -> u64 {
    let takes_work = |agent: &&Agent| agent.takes_work(now, timing.max_load_age);
    let agents = agents.map(|(_, agent)| agent).filter(takes_work);
    agents.map(|agent| agent.free(now).cpu_milli).max().unwrap_or(0)
}

fn has_requirement(agent: &Agent, label: Option<&Arc<str>>) -> bool {
    label.is_none_or(|label| agent.has_label(label))
}

/// Whether the agent has fewer tasks of the job than the job allows at one target.
fn is_below_target_limit(job: &Job, id: SessionId) -> bool {
    let Some(max) = job.request.shape.max_per_target else { return true };
    let is_placed_there =
        |task: &&Task| matches!(task.state, TaskState::Placed { session, .. } if session == id);
    job.tasks.iter().filter(is_placed_there).count() < max as usize
}

fn is_avoided(task: &Task, id: SessionId, now: Time) -> bool {
    task.avoid.is_some_and(|(avoided, until)| avoided == id && now < until)
}

/// Records a new run of a task at an agent and returns the start to send.
fn record_start(
    job: &mut Job,
    index: u32,
    agent: &mut Agent,
    session: SessionId,
    estimated_ms: u32,
    now: Time,
    timing: &Timing,
) -> StartTask {
    let sequence = agent.record_start(job.request.shape.resources);
    let task = &mut job.tasks[index as usize];
    task.run += 1;
    task.state = TaskState::Placed { session, sequence };
    job.longest_wait = job.longest_wait.max(now.since(task.waiting_since));
    job.starts += 1;
    StartTask {
        sequence,
        index,
        run: task.run,
        resources: job.request.shape.resources,
        estimated_ms,
        longest_wait_ms: timing.max_wait_at_agent.as_millis() as u32,
        priority: job.request.priority,
    }
}
