//! One life of an entry: its state, and which part takes which event.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{CancelledJobs, JobId, Time};
use wire::{EmptiedHalls, TaskEnd, ToEntry};

use crate::agents::Agent;
use crate::crashes::Crashes;
use crate::event::{Action, CallId, Event, HallsSource, SessionId};
use crate::job::Job;
use crate::placement::ChangedRoom;
use crate::policy::Policy;
use crate::retry_schedule::Returns;
use crate::urgent_reserve::Reserve;

/// The times of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From one sign of life to the next, for an agent that has tasks of this entry.
    pub heartbeat_interval: Duration,
    /// From one sign of life to the next, for an agent that has none: it has nothing to stop once this
    /// entry is gone. Three of them fit into the silence after which it ends the session.
    pub idle_heartbeat_interval: Duration,
    /// Silence of an agent after which it is given no new work: two of its reports of the load have not come. A host that
    /// gets its share of a core in parts may be nearly that late.
    pub max_load_age: Duration,
    /// Silence of an agent after which its session is dead.
    pub session_timeout: Duration,
    /// A gap between two events after which the process is taken to have stood still: agents have
    /// given up on it.
    pub pause_threshold: Duration,
    /// After the loss of an agent, nothing of what it ran runs any more.
    pub lost_agent_lease: Duration,
    /// How long a task waits at an agent for room. Short, so that a start that crosses others' on its way is soon tried
    /// elsewhere.
    pub max_wait_at_agent: Duration,
    /// What part of its objective a job waits at least for its first room before it is refused.
    pub min_wait_fraction: f64,
    /// What part of its objective it waits at most, where it can still end in time. Far from all of
    /// its slack: the tasks after the first wait as well, and estimates are far off.
    pub max_wait_fraction: f64,
    /// What starting and answering take besides the work.
    pub start_overhead: Duration,
    /// Left of the client's time when a job is given up, for the answer to arrive.
    pub answer_margin: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            idle_heartbeat_interval: Duration::from_millis(280),
            max_load_age: Duration::from_millis(200),
            session_timeout: Duration::from_millis(700),
            pause_threshold: Duration::from_millis(450),
            lost_agent_lease: Duration::from_millis(1_250),
            max_wait_at_agent: Duration::from_millis(10),
            min_wait_fraction: 0.08,
            max_wait_fraction: 0.20,
            start_overhead: Duration::from_millis(15),
            answer_margin: Duration::from_millis(20),
        }
    }
}

/// What an entry counts since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounters {
    /// Jobs handed in.
    pub submitted: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Jobs that did not run.
    pub not_run: u64,
    /// Jobs that may have run.
    pub may_have_run: u64,
    /// Jobs cancelled or left by their client.
    pub cancelled: u64,
    /// Starts sent.
    pub starts: u64,
    /// Starts that were refused without having run.
    pub refused_starts: u64,
    /// Tasks that failed.
    pub task_failures: u64,
    /// Tasks that were lost.
    pub task_losses: u64,
    /// Agents that were lost.
    pub agents_lost: u64,
    /// Promises that were about to be broken: bugs.
    pub breaches: u64,
}

/// Where a task stands in the queue for room: what is left of jobs that have begun first, then by
/// priority, then by when its job is to end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    /// No task of the job has been placed yet.
    pub fresh: bool,
    pub priority: u8,
    pub due: Time,
    pub job: JobId,
    pub index: u32,
    /// What the task takes, in thousandths of a core.
    pub cpu_milli: u64,
}

/// One life of an entry.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) timing: Timing,
    pub(crate) policy: Policy,
    pub(crate) agents: BTreeMap<SessionId, Agent>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) calls: BTreeMap<CallId, JobId>,
    pub(crate) queue: BTreeSet<QueueEntry>,
    /// Starts that go out at the end of the event, by agent and job.
    pub(crate) outbox: BTreeMap<(SessionId, JobId), Vec<wire::StartTask>>,
    pub(crate) last_event: Time,
    pub(crate) waits_ended: Time,
    pub(crate) agents_watched: Time,
    /// What is read before may have lain unread through a pause of the process.
    pub(crate) stale_until: Time,
    /// When an agent came or went last.
    pub(crate) agents_changed: Time,
    pub(crate) cancelled: CancelledJobs,
    pub(crate) crashes: Crashes,
    /// The halls that get no new work.
    pub(crate) halls: EmptiedHalls,
    pub(crate) reserve: Reserve,
    /// When rejected clients come back.
    pub(crate) returns: Returns,
    /// Set once the entry stops: what does not surely end by then is not taken.
    pub(crate) stops_at: Option<Time>,
    pub(crate) counters: DispatcherCounters,
}

/// From one tick to the next.
const TICK: Duration = Duration::from_millis(10);
const IDLE_TICK: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// An entry that knows no agent yet.
    pub fn new(timing: Timing, now: Time) -> Self {
        Self {
            timing,
            policy: Policy::default(),
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            queue: BTreeSet::new(),
            outbox: BTreeMap::new(),
            last_event: now,
            waits_ended: now,
            agents_watched: now,
            stale_until: now,
            agents_changed: now,
            cancelled: CancelledJobs::default(),
            crashes: Crashes::default(),
            halls: EmptiedHalls::default(),
            reserve: Reserve::default(),
            returns: Returns::default(),
            stops_at: None,
            counters: DispatcherCounters::default(),
        }
    }

    /// With parts of the policy switched off, for experiments.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap > self.timing.pause_threshold {
            self.has_paused(gap, out);
        }
        let changed = changed_room(&event);
        match event {
            Event::AgentOpened(id) => self.open_agent(now, id),
            Event::AgentClosed(id) => self.lose_agent(id, "closed", out),
            Event::FromAgent(id, message) => self.hear_agent(now, id, message, out),
            Event::Submit(call, request) => self.submit(now, call, request, out),
            Event::Abandon(call) => self.abandon(now, call, out),
            Event::Cancel(job) => self.cancel(now, &job, out),
            Event::CancelledElsewhere(job) => self.cancel_own(now, &job, out),
            Event::EmptiedHalls(halls) => self.take_halls(now, &halls, HallsSource::Keeper, out),
            Event::AdmitOnlyJobsEndingBy(end) => self.stops_at = Some(end),
            Event::AnswerAll => self.answer_all(now, out),
            Event::Tick => {}
        }
        self.watch_agents(now, out);
        // Room that has just come is used before anyone is refused for want of it, and starts are
        // sent before the stops of jobs that end.
        self.place(now, changed, out);
        self.send_starts(now, out);
        self.end_waits(now, out);
    }

    /// When the next tick is due.
    pub fn next_timer(&self, now: Time) -> Time {
        now + if self.queue.is_empty() { IDLE_TICK } else { TICK }
    }

    /// Jobs whose client waits.
    pub fn active_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.outcome.is_none()).count()
    }

    /// Whether a job is active here.
    pub fn has_job(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| job.outcome.is_none())
    }

    /// Jobs of a queue of which no task has left this entry.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            job.outcome.is_none() && *job.request.queue == *queue && job.is_untouched()
        };
        self.jobs.values().filter(waits).count()
    }

    /// Agents that take new work.
    pub fn open_agents(&self) -> usize {
        self.agents.values().filter(|agent| agent.load.open).count()
    }

    /// Agents that have a session.
    pub fn known_agents(&self) -> usize {
        self.agents.values().filter(|agent| agent.profile.is_some()).count()
    }

    /// The halls that it knows to be emptied.
    pub fn emptied_halls(&self) -> &EmptiedHalls {
        &self.halls
    }

    /// Tasks that wait for room.
    pub fn queued_tasks(&self) -> usize {
        self.queue.len()
    }

    /// What it counted.
    pub fn counters(&self) -> DispatcherCounters {
        self.counters
    }

    fn hear_agent(&mut self, now: Time, id: SessionId, message: ToEntry, out: &mut Vec<Action>) {
        match message {
            ToEntry::Hello { profile, document, halls } => {
                self.agent_says_hello(id, profile, out);
                self.compare_halls(now, id, &halls, out);
                out.push(Action::DocumentOffered(id, document));
            }
            ToEntry::Load(load) => self.agent_load(now, id, load, out),
            ToEntry::Ended { reports, load } => {
                self.agent_load(now, id, load, out);
                for report in reports {
                    self.task_ended(now, id, report, out);
                }
            }
            ToEntry::Cancelled(job) => self.cancel_own(now, &job, out),
            ToEntry::DocumentPart(part) => out.push(Action::DocumentPart(id, part)),
            ToEntry::Halls(halls) => self.take_halls(now, &halls, HallsSource::Agent(id), out),
            ToEntry::TargetCrashed(tasks) => self.target_crashed(now, id, &tasks, out),
        }
    }
}

/// Where waiting tasks may find room that they did not find before an event. A load changes what one
/// agent has; any other event may bring tasks that were not looked at yet.
fn changed_room(event: &Event) -> ChangedRoom {
    match event {
        Event::FromAgent(id, ToEntry::Load(_)) => ChangedRoom::At(*id),
        Event::FromAgent(id, ToEntry::Ended { reports, .. })
            if reports.iter().all(|report| report.end == TaskEnd::Done) =>
        {
            ChangedRoom::At(*id)
        }
        _ => ChangedRoom::Anywhere,
    }
}

/// Where a task of a job stands in the queue.
pub(crate) fn queue_entry(job: &Job, index: u32, policy: Policy) -> QueueEntry {
    QueueEntry {
        fresh: policy.started_first && job.starts == 0,
        priority: job.request.priority,
        due: job.submitted + job.request.objective,
        job: job.request.id.clone(),
        index,
        cpu_milli: job.request.shape.resources.cpu_milli,
    }
}
