//! Which agent gets which task.

use std::collections::{BTreeMap, btree_map};
use std::sync::Arc;

use model::{JobId, Resources, TaskId, Time};
use wire::{StartTask, ToAgent};

use crate::agents::Agent;
use crate::crashes::Crashes;
use crate::dispatcher::{Dispatcher, QueueEntry, Timing, queue_entry};
use crate::event::{Action, JobRequest, LogEvent, SessionId};
use crate::job::{Job, Task, TaskState};
use crate::policy::Policy;
use crate::urgent_reserve::Rooms;

/// Tasks at the head of the queue for which every agent is looked at though none suits.
const LOOK_AHEAD: usize = 16;
/// Tasks at the head of the queue that are passed over because no agent has so much free.
const PASS_OVER: usize = 512;
/// What a target's slowdown beyond that of others takes from its score.
const SLOWDOWN_PRICE: f64 = 0.35;
/// What the label that a task had better have adds to a target's score.
const AFFINITY_WORTH: f64 = 10.0;
/// A target this many times slower than the others is left aside while others have room.
const FAR_SLOWER: f64 = 2.5;
/// What stays free at a target below this part of a task holds no other one: the task fills it. A part of the task and not of
/// the target, as tasks are larger beside their targets for some users than for others.
const FILLED_PART: f64 = 0.2;
/// What filling a target adds to its score: more than any free part, less than what makes it a last resort. Room at other
/// targets stays whole for tasks that need more of it, and entries do not all run for the emptiest target.
const FILLED_WORTH: f64 = 1.0;
/// What being far slower, or avoided, takes from a target's score.
const LAST_RESORT: f64 = 100.0;

/// Which agents may have room for tasks that found none before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangedRoom {
    /// Any of them.
    Anywhere,
    /// This one alone; looking at all the others as well would cost an entry most of its time.
    At(SessionId),
}

impl ChangedRoom {
    /// The agents to look at.
    fn of<'a>(
        self,
        agents: &'a BTreeMap<SessionId, Agent>,
    ) -> btree_map::Range<'a, SessionId, Agent> {
        match self {
            Self::Anywhere => agents.range(..),
            Self::At(id) => agents.range(id..=id),
        }
    }
}

/// One pass over the queue.
struct Pass {
    now: Time,
    /// Where room is looked for.
    changed: ChangedRoom,
    /// The most processor that one of these agents has free, in thousandths of a core.
    largest: u64,
    /// The slowdown that half of the agents do not exceed.
    usual: f64,
    rooms: Rooms,
    /// Tasks so far that found no agent.
    misses: usize,
    placed: Vec<QueueEntry>,
    /// Jobs of which a task was placed for the first time.
    begun: Vec<JobId>,
}

impl Pass {
    fn new(now: Time, changed: ChangedRoom, largest: u64, usual: f64) -> Self {
        let (placed, begun) = (Vec::new(), Vec::new());
        Self { now, changed, largest, usual, rooms: Rooms::default(), misses: 0, placed, begun }
    }
}

/// What a look for an agent has found.
enum Choice {
    At(SessionId),
    Nowhere,
    /// The job of the task is gone.
    NoJob,
}

impl Dispatcher {
    /// Places the tasks that find room, the most urgent first.
    pub(crate) fn place(&mut self, now: Time, changed: ChangedRoom, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let largest = largest_free(changed.of(&self.agents), now, &self.timing);
        let too_large = |entry: &QueueEntry| entry.cpu_milli > largest;
        if self.queue.iter().take(PASS_OVER).all(too_large) {
            return;
        }
        // Apart while tasks of it are placed; nothing else is queued meanwhile.
        let queue = std::mem::take(&mut self.queue);
        let mut pass = Pass::new(now, changed, largest, self.usual_slowdown());
        for entry in queue.iter().take(PASS_OVER) {
            if entry.cpu_milli > pass.largest {
                continue;
            }
            match self.choose(entry, &mut pass) {
                Choice::At(id) => self.start_at(id, entry, &mut pass, out),
                Choice::Nowhere if pass.misses + 1 >= LOOK_AHEAD => break,
                Choice::Nowhere => pass.misses += 1,
                Choice::NoJob => {}
            }
        }
        self.queue = queue;
        for entry in &pass.placed {
            self.queue.remove(entry);
        }
        pass.begun.iter().for_each(|job| self.move_forward(job));
    }

    /// Looks for the agent that is best for a task.
    fn choose(&self, entry: &QueueEntry, pass: &mut Pass) -> Choice {
        let Some(job) = self.jobs.get(&entry.job) else { return Choice::NoJob };
        if entry.fresh && job.starts == 0 && !self.may_begin(job, pass) {
            return Choice::Nowhere;
        }
        let agents = pass.changed.of(&self.agents);
        let look = Look {
            agents,
            now: pass.now,
            timing: &self.timing,
            usual: pass.usual,
            policy: self.policy,
            crashes: &self.crashes,
        };
        look.choose(job, entry.index, self.agents.len()).map_or(Choice::Nowhere, Choice::At)
    }

    /// Whether a job may begin beside what is kept for more urgent ones.
    fn may_begin(&self, job: &Job, pass: &mut Pass) -> bool {
        if !self.policy.urgent_reserve {
            return true;
        }
        let room = pass.rooms.of(&job.request.service, &self.agents, pass.now, &self.timing);
        self.reserve.leaves_enough(pass.now, &job.request, room)
    }

    /// Starts a task at an agent that has room for it.
    fn start_at(
        &mut self,
        id: SessionId,
        entry: &QueueEntry,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&entry.job) else { return };
        let Some(agent) = self.agents.get_mut(&id) else { return };
        if entry.fresh && job.starts == 0 {
            pass.begun.push(entry.job.clone());
        }
        let free = agent.free(pass.now);
        let start = start(job, entry.index, agent, id, pass.now, &self.timing);
        if let Some(name) = agent.name() {
            out.push(Action::Log(LogEvent::Placed {
                task: TaskId { job: entry.job.clone(), index: entry.index },
                run: start.run,
                agent: name.clone(),
                free,
                age_ms: pass.now.since(agent.heard).as_millis() as u64,
            }));
        }
        pass.rooms.taken(&job.request.service, job.request.shape.resources.cpu_milli);
        if free.cpu_milli >= pass.largest {
            pass.largest = largest_free(pass.changed.of(&self.agents), pass.now, &self.timing);
        }
        self.counters.starts += 1;
        self.outbox.entry((id, entry.job.clone())).or_default().push(start);
        pass.placed.push(entry.clone());
    }

    /// A job has begun: what is left of it goes before jobs that have not.
    fn move_forward(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for index in 0..job.request.shape.count {
            let entry = queue_entry(job, index, self.policy);
            if self.queue.remove(&QueueEntry { fresh: true, ..entry.clone() }) {
                self.queue.insert(entry);
            }
        }
    }

    /// Sends the starts of this event, those of one job to one agent together.
    pub(crate) fn send_starts(&mut self, now: Time, out: &mut Vec<Action>) {
        for ((id, job), tasks) in std::mem::take(&mut self.outbox) {
            let (Some(agent), Some(known)) = (self.agents.get(&id), self.jobs.get(&job)) else {
                continue;
            };
            let heard = agent.load.at;
            let spec = known.request.spec.clone();
            out.push(Action::Send(id, ToAgent::Start { heard, job, spec, tasks }));
            self.heartbeat_sent(now, id);
        }
    }

    /// The slowdown that half of the agents do not exceed, at least that of estimates which hold.
    fn usual_slowdown(&self) -> f64 {
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

    /// Takes the tasks of a job out of the queue.
    pub(crate) fn leave_queue(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for index in 0..job.request.shape.count {
            self.queue.remove(&queue_entry(job, index, self.policy));
        }
    }
}

/// The most processor that any agent which takes work has free, in thousandths of a core.
fn largest_free(agents: btree_map::Range<'_, SessionId, Agent>, now: Time, timing: &Timing) -> u64 {
    let takes_work = |agent: &&Agent| agent.takes_work(now, timing.max_load_age);
    let agents = agents.map(|(_, agent)| agent).filter(takes_work);
    agents.map(|agent| agent.free(now).cpu_milli).max().unwrap_or(0)
}

/// A look at agents for room.
struct Look<'a> {
    agents: btree_map::Range<'a, SessionId, Agent>,
    now: Time,
    timing: &'a Timing,
    /// The slowdown that half of the agents do not exceed.
    usual: f64,
    policy: Policy,
    crashes: &'a Crashes,
}

impl Look<'_> {
    /// The agent that is best for a task, if any has room; `known` agents have a session.
    fn choose(self, job: &Job, index: u32, known: usize) -> Option<SessionId> {
        let Self { agents, now, timing, usual, policy, crashes } = self;
        let request = &job.request;
        let key = TaskId { job: request.id.clone(), index };
        let task = &job.tasks[index as usize];
        let fit = |(id, agent, free): &(&SessionId, &Agent, Resources)| {
            agent.serves(&request.service, now, timing.max_load_age)
                && request.shape.resources.fits(free)
                && has_requirement(agent, request.shape.requirement.as_ref())
                && has_place_beside(job, **id)
                && !(just_tried(task, **id, now) && known > 1)
                && !(agent.load.on_trial && task.failures > 0)
                && !agent.name().is_some_and(|name| crashes.has_crashed(&key, name))
        };
        let fitting = agents.map(|(id, agent)| (id, agent, agent.free(now))).filter(fit);
        let scored =
            fitting.map(|(id, agent, free)| (*id, score(agent, free, request, usual, policy)));
        scored.max_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(id, _)| id)
    }
}

fn has_requirement(agent: &Agent, label: Option<&Arc<str>>) -> bool {
    label.is_none_or(|label| agent.has_label(label))
}

/// Whether one more task of the job may go to an agent.
fn has_place_beside(job: &Job, id: SessionId) -> bool {
    let Some(most) = job.request.shape.max_per_target else { return true };
    let there =
        |task: &&Task| matches!(task.state, TaskState::Placed { session, .. } if session == id);
    job.tasks.iter().filter(there).count() < most as usize
}

fn just_tried(task: &Task, id: SessionId, now: Time) -> bool {
    task.avoid.is_some_and(|(avoided, until)| avoided == id && now < until)
}

/// How good an agent is for a task: the part of it that stays free, unless the task fills it, less what it is slower.
fn score(agent: &Agent, free: Resources, request: &JobRequest, usual: f64, policy: Policy) -> f64 {
    let free = free.less(&request.shape.resources);
    let capacity = agent.capacity().cpu_milli.max(1);
    let mut score = free.cpu_milli as f64 / capacity as f64;
    let fills = (free.cpu_milli as f64) < request.shape.resources.cpu_milli as f64 * FILLED_PART;
    if policy.fill_targets && fills {
        score += FILLED_WORTH;
    }
    let slower = f64::from(agent.load.slowdown_percent) / usual;
    score -= (slower - 1.0).max(0.0) * SLOWDOWN_PRICE;
    if slower > FAR_SLOWER {
        score -= LAST_RESORT;
    }
    if request.shape.affinity.as_ref().is_some_and(|label| agent.has_label(label)) {
        score += AFFINITY_WORTH;
    }
    score
}

/// Takes note of a task's new run at an agent.
fn start(
    job: &mut Job,
    index: u32,
    agent: &mut Agent,
    session: SessionId,
    now: Time,
    timing: &Timing,
) -> StartTask {
    let sequence = agent.take(job.request.shape.resources);
    let task = &mut job.tasks[index as usize];
    task.run += 1;
    task.state = TaskState::Placed { session, sequence };
    job.waited = job.waited.max(now.since(task.waits_since));
    job.starts += 1;
    StartTask {
        sequence,
        index,
        run: task.run,
        resources: job.request.shape.resources,
        estimated_ms: job.request.shape.estimated_ms,
        longest_wait_ms: timing.max_wait_at_agent.as_millis() as u32,
        priority: job.request.priority,
    }
}
