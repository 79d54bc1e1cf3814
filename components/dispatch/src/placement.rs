//! Placement of queued tasks at agents.

use std::collections::{BTreeMap, btree_map};
use std::sync::Arc;

use model::{JobId, Resources, TaskId, Time};
use wire::{StartTask, ToAgent};

use crate::agents::Agent;
use crate::crashes::Crashes;
use crate::dispatcher::{Dispatcher, QueuedTask, queued_task};
use crate::event::{Action, JobRequest, LogEvent, SessionId};
use crate::job::{Job, Task, TaskState};
use crate::policy::Policy;
use crate::run_times::predict_run;
use crate::timing::Timing;
use crate::urgent_reserve::ServiceCapacities;

/// Number of tasks without a suitable agent after which a pass over the queue ends.
const MAX_MISSES: usize = 16;
/// Maximum number of queued tasks that a pass examines.
const MAX_QUEUE_SCAN: usize = 512;
/// Score penalty of a target with twice the median slowdown; proportional to the excess.
const SLOWDOWN_PENALTY: f64 = 0.35;
/// Score bonus for a target with the task's preferred label.
const AFFINITY_BONUS: f64 = 10.0;
/// Slowdown relative to the median above which a target is a last resort.
const MAX_RELATIVE_SLOWDOWN: f64 = 2.5;
/// A task fills a target if the remaining CPU is below this fraction of the task's own. Relative to
/// the task, as the ratio of task size to target size differs between users.
const FILLED_FRACTION: f64 = 0.2;
/// Score bonus for a target that the task fills: above any score for free capacity, below the
/// last-resort penalty. Keeps large free blocks at other targets and stops all entries from
/// choosing the emptiest target.
const FILLED_BONUS: f64 = 1.0;
/// Score penalty for a target that is much slower than the median.
const LAST_RESORT_PENALTY: f64 = 100.0;

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
    /// Median slowdown of the agents that accept work, in percent.
    median_slowdown: f64,
    capacities: ServiceCapacities,
    /// Number of tasks so far that found no agent.
    misses: usize,
    placed: Vec<QueuedTask>,
    /// Jobs that had their first task placed in this pass.
    started_jobs: Vec<JobId>,
}

impl PlacementPass {
    fn new(now: Time, changed: ChangedCapacity, max_free_cpu: u64, median_slowdown: f64) -> Self {
        let (placed, started_jobs) = (Vec::new(), Vec::new());
        Self {
            now,
            changed,
            max_free_cpu,
            median_slowdown,
            capacities: ServiceCapacities::default(),
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
        let mut pass = PlacementPass::new(now, changed, max_free_cpu, self.median_slowdown());
        for queued in queue.iter().take(MAX_QUEUE_SCAN) {
            if queued.cpu_milli > pass.max_free_cpu {
                continue;
            }
            match self.choose_agent(queued, &mut pass) {
                Choice::Agent(id) => self.start_task_at(id, queued, &mut pass, actions),
                Choice::NoAgent if pass.misses + 1 >= MAX_MISSES => break,
                Choice::NoAgent => pass.misses += 1,
                Choice::NoJob => {}
            }
        }
        self.queue = queue;
        for queued in &pass.placed {
            self.queue.remove(queued);
        }
        pass.started_jobs.iter().for_each(|job| self.requeue_as_started(job));
    }

    /// Chooses the best agent for a task.
    fn choose_agent(&self, queued: &QueuedTask, pass: &mut PlacementPass) -> Choice {
        let Some(job) = self.jobs.get(&queued.job) else { return Choice::NoJob };
        if queued.unstarted && job.starts == 0 && !self.may_start_job(job, pass) {
            return Choice::NoAgent;
        }
        let agents = pass.changed.select(&self.agents);
        let search = AgentSearch {
            agents,
            now: pass.now,
            timing: &self.timing,
            median_slowdown: pass.median_slowdown,
            policy: self.policy,
            crashes: &self.crashes,
        };
        search
            .best_agent(job, queued.index, self.agents.len())
            .map_or(Choice::NoAgent, Choice::Agent)
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
        let (prediction, estimated_ms) =
            predict_run(&job.request, agent, &self.run_times, &self.median_slowdown, self.policy);
        job.tasks[queued.index as usize].prediction = Some(prediction);
        let start =
            record_start(job, queued.index, agent, id, estimated_ms, pass.now, &self.timing);
        self.forecasts.record_placement(pass.now, &job.request, start.estimated_ms);
        if let Some(name) = agent.name() {
            actions.push(Action::Log(LogEvent::Placed {
                task: TaskId { job: queued.job.clone(), index: queued.index },
                run: start.run,
                agent: name.clone(),
                free,
                age_ms: pass.now.since(agent.last_contact).as_millis() as u64,
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

    /// Median slowdown of the agents that accept work, in percent, with a lower bound so that fast
    /// targets don't make ordinary ones look slow. Infinite if the policy ignores slowdown.
    fn median_slowdown(&self) -> f64 {
        if !self.policy.slowdown_score {
            return f64::INFINITY;
        }
        let slowdown = |agent: &Agent| agent.load.slowdown_percent;
        let mut all: Vec<u32> =
            self.agents.values().filter(|agent| agent.load.open).map(slowdown).collect();
        all.sort_unstable();
        let median = all.get(all.len() / 2).copied().unwrap_or_default();
        f64::from(median.max(50))
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

/// A search for the best agent for a task.
struct AgentSearch<'a> {
    agents: btree_map::Range<'a, SessionId, Agent>,
    now: Time,
    timing: &'a Timing,
    /// Median slowdown of the agents that accept work, in percent.
    median_slowdown: f64,
    policy: Policy,
    crashes: &'a Crashes,
}

impl AgentSearch<'_> {
    /// Returns the eligible agent with the highest score. A task may return to the agent that it
    /// avoids if that is the only one of `known_agents`.
    fn best_agent(self, job: &Job, index: u32, known_agents: usize) -> Option<SessionId> {
        let Self { agents, now, timing, median_slowdown, policy, crashes } = self;
        let request = &job.request;
        let task_id = TaskId { job: request.id.clone(), index };
        let task = &job.tasks[index as usize];
        let is_eligible = |(id, agent, free): &(&SessionId, &Agent, Resources)| {
            agent.serves(&request.service, now, timing.max_load_age)
                && request.shape.resources.fits(free)
                && has_requirement(agent, request.shape.requirement.as_ref())
                && is_below_target_limit(job, **id)
                && !(is_avoided(task, **id, now) && known_agents > 1)
                && !(agent.load.on_trial && task.failures > 0)
                && !agent.name().is_some_and(|name| crashes.has_crashed(&task_id, name))
        };
        let eligible = agents.map(|(id, agent)| (id, agent, agent.free(now))).filter(is_eligible);
        let scored = eligible
            .map(|(id, agent, free)| (*id, score(agent, free, request, median_slowdown, policy)));
        scored.max_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(id, _)| id)
    }
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

/// Scores an agent for a task: the fraction of its capacity that stays free, with a bonus if the
/// task fills it and a penalty if it is slow.
fn score(
    agent: &Agent,
    free: Resources,
    request: &JobRequest,
    median_slowdown: f64,
    policy: Policy,
) -> f64 {
    let free = free.saturating_sub(&request.shape.resources);
    let capacity = agent.capacity().cpu_milli.max(1);
    let mut score = free.cpu_milli as f64 / capacity as f64;
    let fills =
        (free.cpu_milli as f64) < request.shape.resources.cpu_milli as f64 * FILLED_FRACTION;
    if policy.fill_targets && fills {
        score += FILLED_BONUS;
    }
    let relative_slowdown = f64::from(agent.load.slowdown_percent) / median_slowdown;
    score -= (relative_slowdown - 1.0).max(0.0) * SLOWDOWN_PENALTY;
    if relative_slowdown > MAX_RELATIVE_SLOWDOWN {
        score -= LAST_RESORT_PENALTY;
    }
    if request.shape.affinity.as_ref().is_some_and(|label| agent.has_label(label)) {
        score += AFFINITY_BONUS;
    }
    score
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
