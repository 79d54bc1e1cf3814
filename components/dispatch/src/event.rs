//! Events and actions of the dispatcher.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{JobId, NodeName, Resources, TaskId, Time};
use telemetry::Breach;
use wire::{DocumentPart, EmptiedHalls, TaskEnd, ToAgent, ToEntry};

/// Identifies a client's call that waits for an answer. Numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies the connection of an agent. Numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Number, size and placement constraints of a job's tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskShape {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub resources: Resources,
    /// Estimated run time of each task, in milliseconds.
    pub estimated_ms: u32,
    /// Label that a target must have.
    pub requirement: Option<Arc<str>>,
    /// Label that a target should preferably have.
    pub affinity: Option<Arc<str>>,
    /// Maximum number of tasks of the job at one target.
    pub max_per_target: Option<u32>,
}

/// A job as submitted by a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// Chosen by the client and kept when it submits the job again.
    pub id: JobId,
    /// Name of the queue that the job was submitted to.
    pub queue: Arc<str>,
    /// Name of the service whose targets run the tasks.
    pub service: Arc<str>,
    /// Payload passed to each task.
    pub spec: Arc<str>,
    /// Number, size and placement constraints of the tasks.
    pub shape: TaskShape,
    /// Lower values are more urgent.
    pub priority: u8,
    /// Number of failures of a task after which the job fails.
    pub max_attempts: u32,
    /// Target time from submission to completion.
    pub objective: Duration,
    /// How long the client waits for an answer.
    pub deadline: Duration,
}

/// Upper bound on the time a job takes, as a multiple of its objective. With a stretch of 1.6 this
/// is four times the estimate; tasks take up to three to four times theirs
/// (`docs/design/policy.md`).
const MAX_RUN_TIME_OBJECTIVES: f64 = 2.5;

/// Memory of a job without its texts and tasks, in bytes.
const JOB_BYTES: usize = 1_024;

impl JobRequest {
    /// Estimated CPU time of all tasks, in core-seconds.
    pub fn estimated_work(&self) -> f64 {
        let shape = &self.shape;
        let task = shape.resources.cpu_milli as f64 * f64::from(shape.estimated_ms) / 1e6;
        f64::from(shape.count) * task
    }

    /// Estimated memory that the job takes at its entry until it is answered, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let labels = [&self.shape.requirement, &self.shape.affinity];
        let texts =
            labels.into_iter().flatten().map(|label| label.len()).sum::<usize>() + self.spec.len();
        let task = crate::job::TASK_BYTES + crate::dispatcher::QUEUED_TASK_BYTES;
        (JOB_BYTES + texts) as u64 + u64::from(self.shape.count) * task as u64
    }

    /// Whether the job certainly ends within `left`, because its client stops waiting or because
    /// even an estimate far too low leaves enough time. A stopping entry admits only such jobs.
    pub fn ends_within(&self, left: Duration) -> bool {
        self.deadline.min(self.objective.mul_f64(MAX_RUN_TIME_OBJECTIVES)) < left
    }
}

/// Why a job was not completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No capacity was found early enough to meet the objective.
    NoCapacity,
    /// No known target can run the job.
    NoTarget,
    /// Every target that could run the job is in a hall that operators have emptied.
    HallsEmptied,
    /// The entry is stopping.
    Draining,
    /// A task failed as often as the job allows.
    AttemptsExhausted,
    /// A task ended too often without a result.
    TooManyLosses,
    /// A task has crashed the maximum number of targets, or may have.
    CrashesTargets,
    /// The client's deadline has passed.
    Deadline,
    /// An agent with tasks of the job was lost.
    AgentLost,
    /// The entry detected an invariant violation. This is a bug.
    Breach,
    /// The entry's process was paused for too long.
    Paused,
    /// The client disconnected.
    ClientGone,
    /// The job was cancelled.
    Cancelled,
}

impl Reason {
    /// The name of the reason in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoCapacity => "no-room",
            Self::NoTarget => "no-target",
            Self::HallsEmptied => "halls-emptied",
            Self::Draining => "draining",
            Self::AttemptsExhausted => "attempts",
            Self::TooManyLosses => "losses",
            Self::CrashesTargets => "crashes-targets",
            Self::Deadline => "deadline",
            Self::AgentLost => "agent-lost",
            Self::Breach => "breach",
            Self::Paused => "paused",
            Self::ClientGone => "client-gone",
            Self::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task failed or crashed targets too often, or the client disconnected.
    Failed(Reason),
    /// The job was cancelled.
    Cancelled,
    /// No task of the job has run, and none will.
    NotRun {
        /// Why the job was not run.
        reason: Reason,
        /// How long the client should wait before it submits the job again.
        retry_after: Duration,
    },
    /// Tasks may have run. All of them have stopped by the time the client may submit the job
    /// again.
    MayHaveRun(Reason),
}

/// Where an entry learned which halls are emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallsSource {
    /// A keeper.
    Keeper,
    /// The agent of this session.
    Agent(SessionId),
}

/// Where a task runs relative to the data that its job names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataLocation {
    /// At a target with the label that the job names.
    Near,
    /// At a target without that label.
    Away,
}

impl DataLocation {
    /// The name of the location in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::Away => "away",
        }
    }
}

/// Input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent has connected.
    AgentOpened(SessionId),
    /// The connection of an agent was closed.
    AgentClosed(SessionId),
    /// A message from an agent.
    FromAgent(SessionId, ToEntry),
    /// An agent has announced that it reads [`ToAgent::Demand`], which is then sent in place of
    /// heartbeats.
    AgentReadsDemand(SessionId),
    /// A client submits a job.
    Submit(CallId, JobRequest),
    /// A client disconnected before it was answered.
    ClientDisconnected(CallId),
    /// A client cancels a job, which may belong to another entry.
    Cancel(JobId),
    /// Another entry reports that a client cancelled this job there.
    CancelledElsewhere(JobId),
    /// A keeper reports the emptied halls.
    EmptiedHalls(EmptiedHalls),
    /// The entry is stopping: from now on it admits only jobs that certainly end by this time.
    AdmitOnlyJobsEndingBy(Time),
    /// The process is about to exit: all jobs are answered, and no more are admitted.
    AnswerAll,
    /// Time has passed. See [`Dispatcher::next_timer`](crate::Dispatcher::next_timer).
    Tick,
}

/// Output of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an agent.
    Send(SessionId, ToAgent),
    /// Close the connection of an agent.
    Close(SessionId),
    /// Notify all other entries that a job was cancelled.
    NotifyEntries(JobId),
    /// An agent has reported the version of its configuration document.
    DocumentOffered(SessionId, u64),
    /// An agent has answered a request for a part of its configuration document. `None` if it does
    /// not have the requested version.
    DocumentPart(SessionId, Option<DocumentPart>),
    /// Answer a client.
    Answer(CallId, Outcome),
    /// Log a decision or a change of state.
    Log(LogEvent),
}

/// The state of the targets as known to the entry, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSummary {
    /// Number of agents that accept new work.
    pub open: usize,
    /// Largest estimated free capacity of any of them.
    pub most_free: Resources,
    /// Age of the least recent load report among them, in milliseconds.
    pub oldest_ms: u64,
    /// Number of tasks that wait for capacity at this entry.
    pub waiting: usize,
}

/// A decision or a change of state, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// An invariant would have been violated, which is a bug. The job is answered as possibly run.
    Breach(Breach),
    /// An agent has sent its profile.
    AgentKnown {
        /// Name of the agent's node.
        agent: NodeName,
        /// Service of its target.
        service: Arc<str>,
        /// Total capacity of its target.
        capacity: Resources,
    },
    /// The session of an agent has ended.
    AgentLost {
        /// Name of the agent's node; `None` if it had not sent its profile.
        agent: Option<NodeName>,
        /// What ended the session.
        reason: &'static str,
        /// Number of tasks of this entry that were placed there.
        tasks: usize,
    },
    /// An agent starts or stops accepting new work.
    AgentOpen {
        /// Name of the agent's node.
        agent: NodeName,
        /// Whether it accepts new work.
        open: bool,
    },
    /// The set of emptied halls has changed.
    Halls {
        /// The emptied halls and the revision of the set.
        halls: EmptiedHalls,
        /// Where the change came from.
        source: HallsSource,
    },
    /// The process was paused.
    Paused {
        /// Length of the pause, in milliseconds.
        gap_ms: u64,
    },
    /// A job was admitted.
    Admitted {
        /// The job's id.
        job: JobId,
        /// The job's queue.
        queue: Arc<str>,
        /// Number of tasks.
        tasks: u32,
        /// The job's objective, in milliseconds.
        objective_ms: u64,
        /// Number of tasks that already waited for capacity at this entry.
        waiting: usize,
        /// Label that a target must have.
        requirement: Option<Arc<str>>,
        /// Label that a target should preferably have.
        affinity: Option<Arc<str>>,
    },
    /// A job was refused on submission.
    Refused {
        /// The job's id.
        job: JobId,
        /// Why it was refused.
        reason: Reason,
    },
    /// A task was placed at an agent.
    Placed {
        /// The task's id.
        task: TaskId,
        /// Number of the run, from 1.
        run: u64,
        /// Name of the agent's node.
        agent: NodeName,
        /// Estimated free capacity there before the start.
        free: Resources,
        /// Age of the agent's last load, in milliseconds.
        age_ms: u64,
        /// Where the agent is relative to the data that the job names, if it names a label.
        data: Option<DataLocation>,
    },
    /// A task ended at an agent without being done.
    TaskEnded {
        /// The task's id.
        task: TaskId,
        /// Name of the agent's node.
        agent: NodeName,
        /// How the task ended.
        end: TaskEnd,
        /// Number of failures of the task so far.
        failures: u32,
    },
    /// A job was answered.
    Answered {
        /// The job's id.
        job: JobId,
        /// The job's queue.
        queue: Arc<str>,
        /// The answer.
        outcome: Outcome,
        /// Time since submission, in milliseconds.
        took_ms: f64,
        /// The job's objective, in milliseconds.
        objective_ms: u64,
        /// Number of tasks.
        tasks: u32,
        /// Number of starts sent for the job.
        starts: u32,
        /// Longest wait of a task for capacity, in milliseconds.
        waited_ms: f64,
        /// State of the targets at that time.
        targets: TargetSummary,
    },
}
