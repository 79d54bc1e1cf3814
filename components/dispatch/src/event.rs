//! What reaches an entry and what it does.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{JobId, NodeName, Resources, TaskId, Time};
use telemetry::Breach;
use wire::{DocumentPart, EmptiedHalls, TaskEnd, ToAgent, ToEntry};

/// A client that waits for an answer, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A connection of an agent, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// What each task of a job asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskShape {
    /// How many tasks the job has.
    pub count: u32,
    /// What one takes.
    pub resources: Resources,
    /// How long one is thought to take, in ms.
    pub estimated_ms: u32,
    /// A label that the target must have.
    pub requirement: Option<Arc<str>>,
    /// A label that the target had better have.
    pub affinity: Option<Arc<str>>,
    /// Most tasks of the job on one target.
    pub max_per_target: Option<u32>,
}

/// A job as a client hands it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// The client's id of it.
    pub id: JobId,
    /// The queue that it is in.
    pub queue: Arc<str>,
    /// The service whose targets run its tasks.
    pub service: Arc<str>,
    /// What the tasks are told to do.
    pub spec: Arc<str>,
    /// What the tasks ask for.
    pub shape: TaskShape,
    /// 0 goes first.
    pub priority: u8,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// The time in which it is to end.
    pub objective: Duration,
    /// How long the client waits.
    pub deadline: Duration,
}

/// A job takes at most this many times its objective: with a stretch of 1.6, as the users' queues have,
/// that is four times its estimate, and tasks take up to three to four (docs/design/policy.md).
const OBJECTIVES_TAKEN: f64 = 2.5;

impl JobRequest {
    /// The work that it is thought to take, in core-seconds.
    pub fn estimated_work(&self) -> f64 {
        let shape = &self.shape;
        let task = shape.resources.cpu_milli as f64 * f64::from(shape.estimated_ms) / 1e6;
        f64::from(shape.count) * task
    }

    /// Whether the job is surely over within a time, so that an entry which is about to end may still take
    /// it: because its client waits no longer, or because it ends though its estimate is far too low.
    pub fn ends_within(&self, left: Duration) -> bool {
        self.deadline.min(self.objective.mul_f64(OBJECTIVES_TAKEN)) < left
    }
}

/// Why a job did not end well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// There was no room within a part of the objective.
    NoCapacity,
    /// No target of the service is known.
    NoTarget,
    /// Every target that could run it stands in a hall that operators have emptied.
    HallsEmptied,
    /// The entry is stopping.
    Draining,
    /// A task failed as often as it may.
    AttemptsExhausted,
    /// A task was lost too often.
    TooManyLosses,
    /// Targets have crashed under a task as often as they may.
    CrashesTargets,
    /// The client's time is over.
    Deadline,
    /// An agent that had tasks of it is gone.
    AgentLost,
    /// This entry has lost track of its tasks: a bug.
    Breach,
    /// The entry stood still for too long.
    Paused,
    /// The client went away.
    ClientGone,
    /// It was cancelled.
    Cancelled,
}

impl Reason {
    /// The reason as a word.
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

/// What a client is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// It has ended without that: a task failed as often as it may, or nobody waits any more.
    Failed(Reason),
    /// It was cancelled.
    Cancelled,
    /// No task of it ran, nor will.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Tasks of it may have run; none runs within the time after which clients send again.
    MayHaveRun(Reason),
}

/// Who told an entry which halls are emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallsSource {
    /// A keeper.
    Keeper,
    /// The agent of a session.
    Agent(SessionId),
}

/// What reaches an entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent has connected.
    AgentOpened(SessionId),
    /// The connection is gone.
    AgentClosed(SessionId),
    /// An agent's message.
    FromAgent(SessionId, ToEntry),
    /// A client hands in a job.
    Submit(CallId, JobRequest),
    /// A client is gone.
    Abandon(CallId),
    /// A client cancels a job, which may be another entry's.
    Cancel(JobId),
    /// Another entry tells that a client has cancelled a job there.
    CancelledElsewhere(JobId),
    /// A keeper tells which halls are emptied.
    EmptiedHalls(EmptiedHalls),
    /// The entry stops: from now on it takes only jobs that surely end by then.
    AdmitOnlyJobsEndingBy(Time),
    /// The entry ends in a moment: every open job gets its final answer, and no more are taken.
    AnswerAll,
    /// Time has passed.
    Tick,
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to an agent.
    Send(SessionId, ToAgent),
    /// Closes the connection of an agent.
    Close(SessionId),
    /// Tells every other entry that a job is cancelled.
    NotifyEntries(JobId),
    /// An agent has told which version of the document it has.
    DocumentOffered(SessionId, u64),
    /// An agent has answered a question for a part of a document.
    DocumentPart(SessionId, Option<DocumentPart>),
    /// Answers a client.
    Answer(CallId, Outcome),
    /// Reports a decision or a change of state.
    Log(LogEvent),
}

/// What an entry knows of the targets at a moment, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSummary {
    /// Agents that take new work.
    pub open: usize,
    /// The most that is thought to be free at one of them.
    pub most_free: Resources,
    /// How old the oldest knowledge of them is, in ms.
    pub oldest_ms: u64,
    /// Tasks that wait for room at this entry.
    pub waiting: usize,
}

/// What an entry decided or came to believe, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A promise was about to be broken: a bug. The answer says no more than is sure.
    Breach(Breach),
    /// An agent is known with its target.
    AgentKnown {
        /// The agent.
        agent: NodeName,
        /// Its service.
        service: Arc<str>,
        /// What its target has.
        capacity: Resources,
    },
    /// An agent is gone.
    AgentLost {
        /// The agent; none where it had not said who it is.
        agent: Option<NodeName>,
        /// Why.
        reason: &'static str,
        /// Tasks that were there.
        tasks: usize,
    },
    /// An agent takes new work, or no longer.
    AgentOpen {
        /// The agent.
        agent: NodeName,
        /// Whether it does.
        open: bool,
    },
    /// Other halls are emptied than before.
    Halls {
        /// Those that are, and the revision of the order.
        halls: EmptiedHalls,
        /// Who told of it.
        source: HallsSource,
    },
    /// The process stood still.
    Paused {
        /// How long, in ms.
        gap_ms: u64,
    },
    /// A job is taken.
    Admitted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Arc<str>,
        /// Its tasks.
        tasks: u32,
        /// The time in which it is to end, in ms.
        objective_ms: u64,
        /// Tasks that wait for room.
        waiting: usize,
    },
    /// A job is not taken.
    Refused {
        /// The job.
        job: JobId,
        /// Why.
        reason: Reason,
    },
    /// A task is sent to an agent.
    Placed {
        /// The task.
        task: TaskId,
        /// Which run of it.
        run: u64,
        /// The agent.
        agent: NodeName,
        /// What is thought to be free there.
        free: Resources,
        /// How old that knowledge is, in ms.
        age_ms: u64,
    },
    /// A task did not end well at an agent.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The agent.
        agent: NodeName,
        /// How it ended.
        end: TaskEnd,
        /// Failures of it so far.
        failures: u32,
    },
    /// A job is answered.
    Answered {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Arc<str>,
        /// The answer.
        outcome: Outcome,
        /// Since it was handed in, in ms.
        took_ms: f64,
        /// The time in which it was to end, in ms.
        objective_ms: u64,
        /// Its tasks.
        tasks: u32,
        /// Starts that were sent for it.
        starts: u32,
        /// Longest wait of a task for room, in ms.
        waited_ms: f64,
        /// What was known of targets at that moment.
        targets: TargetSummary,
    },
}
