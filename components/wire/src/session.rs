//! Messages of a session between an entry and an agent in capacity scheduling. A session is a
//! connection that the agent opens and that carries messages in both directions.
//!
//! Either side closes the session when it has received nothing for too long. The agent then stops
//! the tasks that it runs for the entry, so that a job resubmitted elsewhere never runs twice at
//! the same time.

use std::sync::Arc;

use model::{JobId, NodeName, Resources, TaskId, Time};
use serde::{Deserialize, Serialize};

use crate::{DocumentPart, EmptiedHalls, PartRequest};

/// The identity of an agent and the properties of its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentProfile {
    /// The name of the agent.
    pub node: NodeName,
    /// The service that the target runs tasks of.
    pub service: Arc<str>,
    /// The target's data hall.
    pub hall: Arc<str>,
    /// The target's labels, such as its kind and rack; jobs may require one.
    pub labels: Vec<Arc<str>>,
    /// The target's total resources.
    pub capacity: Resources,
}

/// An agent's report of its target's load and free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Time of the report, by the agent's clock.
    pub at: Time,
    /// Free resources, after subtracting those of the tasks that wait at the agent.
    pub free: Resources,
    /// Recent rate at which other entries have taken capacity, in thousandths of a core per
    /// millisecond.
    pub taken_per_ms: u32,
    /// Sequence of the last start of this session that the report accounts for.
    #[serde(rename = "seen")]
    pub last_start_sequence: u64,
    /// Whether the agent accepts new work.
    pub open: bool,
    /// Whether the target was excluded after repeated failures and is not restored yet; after the
    /// exclusion, it is probed with one task at a time.
    pub on_trial: bool,
    /// Usual run time of tasks on this instance of the target relative to the estimates in
    /// [`StartTask`], in percent; 0 without a target.
    pub slowdown_percent: u32,
}

/// A task to start and the capacity that it needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Number of this start within the session, from 1.
    pub sequence: u64,
    /// The index of the task in its job.
    pub index: u32,
    /// Number of this run of the task, from 1.
    pub run: u64,
    /// The resources that the task occupies while it runs.
    pub resources: Resources,
    /// Expected run time on an ordinary target, in milliseconds: the client's estimate, corrected
    /// by what tasks of the queue have taken.
    pub estimated_ms: u32,
    /// Longest time that the task may wait at the agent for free capacity, in milliseconds.
    pub longest_wait_ms: u32,
    /// Priority of the task; 0 is the most urgent.
    pub priority: u8,
}

/// The work of one priority that waits for capacity at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Priority of the tasks; 0 is the most urgent.
    pub priority: u8,
    /// Number of tasks.
    pub tasks: u32,
    /// CPU that the tasks occupy together, in thousandths of a core.
    pub cpu_milli: u64,
    /// Time left until the first of the tasks can no longer start early enough for its job to end
    /// in time, in milliseconds; 0 if that time has passed.
    pub due_ms: u32,
}

/// Maximum number of rows in [`ToAgent::Demand`].
pub const MAX_DEMAND_ROWS: usize = 4;

/// A message from an entry to an agent.
///
/// Messages are encoded by position, and an old build closes a session on a variant that it does
/// not know. Variants that were added later are sent only in sessions whose peer has announced that
/// it can read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Keeps the session alive.
    Heartbeat {
        /// The agent's time in the latest load report that the entry has received.
        #[serde(rename = "heard")]
        agent_clock: Time,
    },
    /// Starts tasks of one job.
    Start {
        /// The agent's time in the latest load report that the entry has received. The agent
        /// refuses the start if it is too old, as the message may have been delayed.
        #[serde(rename = "heard")]
        agent_clock: Time,
        /// The job that the tasks belong to.
        job: JobId,
        /// The job's spec, passed to the target unmodified.
        spec: Arc<str>,
        /// The tasks to start.
        tasks: Vec<StartTask>,
    },
    /// Stops the tasks that run and drops those that still wait.
    Stop(Vec<TaskId>),
    /// Stops all tasks of a job that was cancelled, whichever entry has started them.
    Cancel(JobId),
    /// Requests a part of a configuration document.
    SendPart(PartRequest),
    /// The emptied halls, sent when the entry has a newer revision than the agent.
    Halls(EmptiedHalls),
    /// Keeps the session alive like a heartbeat, and describes the work that waits for capacity at
    /// the entry. Sent in place of heartbeats to an agent that has announced by an empty first
    /// batch that it reads this message.
    Demand {
        /// The agent's time in the latest load report that the entry has received.
        #[serde(rename = "heard")]
        agent_clock: Time,
        /// The waiting work that the agent's target could run, most urgent priority first; at most
        /// [`MAX_DEMAND_ROWS`] rows.
        waiting: Vec<Demand>,
    },
}

/// The reason why an agent did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The target had no free capacity within the longest wait.
    Room,
    /// The agent accepts no new work.
    Closed,
    /// The target refused the task, or did not answer and can no longer start it, or another run of
    /// the task has not ended.
    Target,
    /// The start was based on a load report that is too old.
    Late,
    /// The job was cancelled.
    Cancelled,
    /// The target has recently crashed while it ran this task.
    CrashedTarget,
}

/// How a task ended at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The task succeeded.
    Done,
    /// The target reported that the task failed.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The task did not run and will not.
    NotRun(Refusal),
    /// The task ran, and its outcome is unknown.
    Lost,
    /// The target crashed while the task ran. Any of the tasks running at that time may have caused
    /// the crash.
    Crashed,
}

/// The end of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The id of the task.
    pub task: TaskId,
    /// The sequence of the start within the session.
    pub sequence: u64,
    /// How the run ended.
    pub end: TaskEnd,
    /// Run time, in milliseconds.
    pub ran_ms: u32,
}

/// A task that may have run when the target crashed, once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedTask {
    /// The id of the task.
    pub task: TaskId,
    /// When the agent noticed the crash, by its clock. Identifies the crash, as it is reported again
    /// to an entry that connects later.
    pub noticed_at: Time,
}

/// A message from an agent to an entry. As with [`ToAgent`], variants that were added later are sent
/// only to an entry that has announced that it can read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Opens the session; sent again when the agent's target changes.
    Hello {
        /// The agent and its target.
        profile: AgentProfile,
        /// The newest document version that the agent has; 0 for none. The text is sent only on
        /// request, because a restarted entry receives this message from all of its agents at once.
        document: u64,
        /// The emptied halls that the agent knows of.
        halls: EmptiedHalls,
    },
    /// The load of the target; also keeps the session alive.
    Load(Load),
    /// Reports tasks that have ended.
    Ended {
        /// The tasks that have ended.
        reports: Vec<TaskReport>,
        /// The load of the target after these tasks.
        load: Load,
    },
    /// A job was cancelled at another entry.
    Cancelled(JobId),
    /// The requested part of a document; `None` if the agent does not have that version.
    DocumentPart(Option<DocumentPart>),
    /// The emptied halls, sent when the agent has received a newer revision.
    Halls(EmptiedHalls),
    /// The target has crashed while these tasks, of any entry, were running. Sent to all entries,
    /// since clients may resubmit the jobs anywhere.
    TargetCrashed(Vec<TaskId>),
    /// The target has crashed, and these tasks, of any entry, may have been running: it had left
    /// commands unanswered before, so that they may have ended unreported. Sent to all entries that
    /// have announced by an empty first batch that they read this message.
    CrashSuspected(Vec<SuspectedTask>),
}

impl ToAgent {
    /// The message kind as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat { .. } => "heartbeat",
            Self::Start { .. } => "start",
            Self::Stop(_) => "stop",
            Self::Cancel(_) => "cancel",
            Self::SendPart(_) => "send-part",
            Self::Halls(_) => "halls",
            Self::Demand { .. } => "demand",
        }
    }
}

impl ToEntry {
    /// The message kind as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Load(_) => "load",
            Self::Ended { .. } => "ended",
            Self::Cancelled(_) => "cancelled",
            Self::DocumentPart(_) => "document-part",
            Self::Halls(_) => "halls",
            Self::TargetCrashed(_) => "target-crashed",
            Self::CrashSuspected(_) => "crash-suspected",
        }
    }
}
