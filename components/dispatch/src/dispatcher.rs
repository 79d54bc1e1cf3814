//! The state of an entry and the dispatch of its events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use admission::{PredictionErrors, RunTimes};
use model::{CancelledJobs, JobId, Time};
use placement::LabelDemand;
use wire::{EmptiedHalls, TaskEnd, ToEntry};

use crate::agents::Agent;
use crate::crashes::Crashes;
use crate::demand::WaitingSummary;
use crate::event::{Action, CallId, Event, HallsSource, SessionId};
use crate::job::{Job, Task, TaskState};
use crate::placement::ChangedCapacity;
use crate::policy::Policy;
use crate::retry_schedule::RetrySchedule;
use crate::run_times::MedianSlowdown;
use crate::timing::Timing;
use crate::urgent_reserve::UrgentReserve;

/// Event counts of an entry since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounters {
    /// Jobs submitted, including resubmissions.
    pub submitted: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs answered as not run.
    pub not_run: u64,
    /// Jobs answered as possibly run.
    pub may_have_run: u64,
    /// Jobs that were cancelled or whose client disconnected.
    pub cancelled: u64,
    /// Starts sent to agents.
    pub starts_sent: u64,
    /// Starts that agents refused.
    pub refused_starts: u64,
    /// Task runs that failed.
    pub task_failures: u64,
    /// Task runs that ended without a result.
    pub task_losses: u64,
    /// Agents that were lost after they had sent their profile.
    pub agents_lost: u64,
    /// Invariant violations. Each is a bug.
    pub breaches: u64,
}

/// Key of a waiting task in the queue. Tasks of jobs that have started sort first, then by
/// priority, then by the end of the job's objective.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedTask {
    /// Whether no task of the job has been started yet.
    pub unstarted: bool,
    pub priority: u8,
    pub due: Time,
    pub job: JobId,
    pub index: u32,
    /// CPU that the task needs, in thousandths of a core.
    pub cpu_milli: u64,
}

/// Memory of a waiting task in the queue, whose tree nodes are half full or more, in bytes.
pub(crate) const QUEUED_TASK_BYTES: usize = 2 * size_of::<QueuedTask>();

/// Places the tasks of one entry's jobs at agents and answers the jobs.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) timing: Timing,
    pub(crate) policy: Policy,
    pub(crate) agents: BTreeMap<SessionId, Agent>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) calls: BTreeMap<CallId, JobId>,
    pub(crate) queue: BTreeSet<QueuedTask>,
    /// The work that agents are told to be waiting.
    pub(crate) waiting_summary: WaitingSummary,
    /// Starts to be sent at the end of the current event, by agent and job.
    pub(crate) pending_starts: BTreeMap<(SessionId, JobId), Vec<wire::StartTask>>,
    pub(crate) last_event: Time,
    pub(crate) timeouts_checked: Time,
    pub(crate) agents_checked: Time,
    /// End of the period after a pause in which incoming requests may be stale.
    pub(crate) stale_until: Time,
    /// When an agent last joined or left.
    pub(crate) agents_changed: Time,
    pub(crate) cancelled_jobs: CancelledJobs,
    pub(crate) crashes: Crashes,
    /// Halls that operators have emptied. Their targets get no new work.
    pub(crate) emptied_halls: EmptiedHalls,
    pub(crate) reserve: UrgentReserve,
    /// Run times of the tasks of each queue.
    pub(crate) run_times: RunTimes,
    pub(crate) prediction_errors: PredictionErrors,
    pub(crate) median_slowdown: MedianSlowdown,
    /// Tasks that named a label, if running elsewhere has a penalty.
    pub(crate) label_demand: LabelDemand,
    /// Factor on the run time of a task at a target without the label that its job names.
    pub(crate) remote_penalty: f64,
    /// Retry delays assigned to rejected clients.
    pub(crate) retries: RetrySchedule,
    /// Set once the entry is stopping: jobs that may not end by then are refused.
    pub(crate) stop_deadline: Option<Time>,
    pub(crate) counters: DispatcherCounters,
}

/// Interval between ticks while tasks are queued.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Creates a dispatcher without any agents.
    pub fn new(timing: Timing, now: Time) -> Self {
        Self {
            timing,
            policy: Policy::default(),
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            queue: BTreeSet::new(),
            waiting_summary: WaitingSummary::default(),
            pending_starts: BTreeMap::new(),
            last_event: now,
            timeouts_checked: now,
            agents_checked: now,
            stale_until: now,
            agents_changed: now,
            cancelled_jobs: CancelledJobs::default(),
            crashes: Crashes::default(),
            emptied_halls: EmptiedHalls::default(),
            reserve: UrgentReserve::default(),
            run_times: RunTimes::default(),
            prediction_errors: PredictionErrors::default(),
            median_slowdown: MedianSlowdown::default(),
            label_demand: LabelDemand::default(),
            remote_penalty: 1.0,
            retries: RetrySchedule::default(),
            stop_deadline: None,
            counters: DispatcherCounters::default(),
        }
    }

    /// Replaces the scheduling policy, for experiments.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Sets how many times as long a task takes at a target without the label that its job names.
    /// At 1, the label is only a preference.
    pub fn with_remote_penalty(self, remote_penalty: f64) -> Self {
        Self { remote_penalty: remote_penalty.max(1.0), ..self }
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap > self.timing.pause_threshold {
            self.handle_pause(gap, actions);
        }
        let changed = changed_capacity(&event);
        match event {
            Event::AgentOpened(id) => self.add_agent(now, id),
            Event::AgentReadsDemand(id) => self.enable_demand(id),
            Event::AgentClosed(id) => self.remove_agent(id, "closed", actions),
            Event::FromAgent(id, message) => self.handle_agent_message(now, id, message, actions),
            Event::Submit(call, request) => self.submit(now, call, request, actions),
            Event::ClientDisconnected(call) => self.handle_client_disconnect(now, call, actions),
            Event::Cancel(job) => self.cancel(now, &job, actions),
            Event::CancelledElsewhere(job) => self.cancel_local(now, &job, actions),
            Event::EmptiedHalls(halls) => {
                self.update_emptied_halls(now, &halls, HallsSource::Keeper, actions)
            }
            Event::AdmitOnlyJobsEndingBy(end) => self.stop_deadline = Some(end),
            Event::AnswerAll => self.answer_all(now, actions),
            Event::Tick => {}
        }
        self.check_agents(now, actions);
        // Capacity is assigned before jobs are refused for lack of it, and starts are sent before
        // jobs time out, so that no stop precedes its start.
        self.place_tasks(now, changed, actions);
        self.send_starts(now, actions);
        self.check_timeouts(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_timer(&self, now: Time) -> Time {
        now + if self.queue.is_empty() { IDLE_TICK_INTERVAL } else { TICK_INTERVAL }
    }

    /// Number of jobs that are not answered yet.
    pub fn active_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.outcome.is_none()).count()
    }

    /// Whether a job is known here and not answered yet.
    pub fn has_job(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| job.outcome.is_none())
    }

    /// Number of unanswered jobs of a queue of which nothing can have run.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let is_waiting = |job: &&Job| {
            job.outcome.is_none() && *job.request.queue == *queue && job.is_provably_not_run()
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Number of agents that accept new work.
    pub fn open_agents(&self) -> usize {
        self.agents.values().filter(|agent| agent.load.open).count()
    }

    /// Number of agents that have sent their profile.
    pub fn known_agents(&self) -> usize {
        self.agents.values().filter(|agent| agent.profile.is_some()).count()
    }

    /// The emptied halls known to this entry.
    pub fn emptied_halls(&self) -> &EmptiedHalls {
        &self.emptied_halls
    }

    /// Number of tasks that wait for capacity.
    pub fn queued_tasks(&self) -> usize {
        self.queue.len()
    }

    /// Number of tasks that wait for capacity, by queue. Looks at all jobs.
    pub fn waiting_by_queue(&self) -> BTreeMap<Arc<str>, usize> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.outcome.is_none()) {
            let is_waiting = |task: &&Task| task.state == TaskState::Waiting;
            let tasks = job.tasks.iter().filter(is_waiting).count();
            if tasks > 0 {
                *waiting.entry(job.request.queue.clone()).or_default() += tasks;
            }
        }
        waiting
    }

    /// Event counts since the start of this entry.
    pub fn counters(&self) -> DispatcherCounters {
        self.counters
    }

    fn handle_agent_message(
        &mut self,
        now: Time,
        id: SessionId,
        message: ToEntry,
        actions: &mut Vec<Action>,
    ) {
        match message {
            ToEntry::Hello { profile, document, halls } => {
                self.register_agent(id, profile, actions);
                self.sync_emptied_halls(now, id, &halls, actions);
                actions.push(Action::DocumentOffered(id, document));
            }
            ToEntry::Load(load) => self.update_agent_load(now, id, load, actions),
            ToEntry::Ended { reports, load } => {
                self.update_agent_load(now, id, load, actions);
                for report in reports {
                    self.handle_task_report(now, id, report, actions);
                }
            }
            ToEntry::Cancelled(job) => self.cancel_local(now, &job, actions),
            ToEntry::DocumentPart(part) => actions.push(Action::DocumentPart(id, part)),
            ToEntry::Halls(halls) => {
                self.update_emptied_halls(now, &halls, HallsSource::Agent(id), actions)
            }
            ToEntry::TargetCrashed(tasks) => self.handle_target_crash(now, id, &tasks, actions),
            ToEntry::CrashSuspected(tasks) => {
                self.handle_suspected_crash(now, id, &tasks, actions);
            }
        }
    }
}

/// Returns the agents at which queued tasks may find capacity after an event. A load or a report of
/// completed tasks changes the capacity of a single agent; any other event may have queued tasks
/// that were not tried anywhere.
fn changed_capacity(event: &Event) -> ChangedCapacity {
    match event {
        Event::FromAgent(id, ToEntry::Load(_)) => ChangedCapacity::Agent(*id),
        Event::FromAgent(id, ToEntry::Ended { reports, .. })
            if reports.iter().all(|report| report.end == TaskEnd::Done) =>
        {
            ChangedCapacity::Agent(*id)
        }
        _ => ChangedCapacity::AnyAgent,
    }
}

/// Returns the queue key of a task of a job.
pub(crate) fn queued_task(job: &Job, index: u32, policy: Policy) -> QueuedTask {
    QueuedTask {
        unstarted: policy.started_first && job.starts == 0,
        priority: job.request.priority,
        due: job.submitted + job.request.objective,
        job: job.request.id.clone(),
        index,
        cpu_milli: job.request.shape.resources.cpu_milli,
    }
}
