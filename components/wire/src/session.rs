//! What an entry and an agent say to each other over their session: a connection that the agent
//! opens, with typed messages both ways.
//!
//! Both sides take the session for dead after a silence. An agent stops what it runs for an entry
//! as soon as their session is dead, so that a job which is sent again elsewhere never runs twice
//! at once.

use std::sync::Arc;

use model::{JobId, NodeName, Resources, TaskId, Time};
use serde::{Deserialize, Serialize};

use crate::{DocumentPart, EmptiedHalls, PartRequest};

/// Who an agent is and what its target is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentProfile {
    /// The agent.
    pub node: NodeName,
    /// The service that its target takes work of.
    pub service: Arc<str>,
    /// The data hall.
    pub hall: Arc<str>,
    /// The target's kind, rack and the like.
    pub labels: Vec<Arc<str>>,
    /// All that the target has.
    pub capacity: Resources,
}

/// How much a target can take now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The agent's clock.
    pub at: Time,
    /// What is free, with all that waits at the agent already taken off.
    pub free: Resources,
    /// How fast other entries have lately taken room there, in thousandths of a core a millisecond.
    pub taken_per_ms: u32,
    /// The sequence of the last start of this session that is counted in.
    #[serde(rename = "seen")]
    pub last_start_sequence: u64,
    /// Whether the agent takes new work.
    pub open: bool,
    /// Whether the target failed what it ran and is tried with one task at a time.
    pub on_trial: bool,
    /// How long tasks take there against their estimates, in hundredths.
    pub slowdown_percent: u32,
}

/// One task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Counts the starts of this session, from 1.
    pub sequence: u64,
    /// The task's place in its job.
    pub index: u32,
    /// Which run of the task this is, from 1.
    pub run: u64,
    /// What it takes.
    pub resources: Resources,
    /// How long it is thought to take, in ms.
    pub estimated_ms: u32,
    /// How long it may wait at the agent for room, in ms.
    pub longest_wait_ms: u32,
    /// 0 goes first.
    pub priority: u8,
}

/// From an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// A sign of life.
    Heartbeat {
        /// The agent's clock as the entry heard it last.
        #[serde(rename = "heard")]
        agent_clock: Time,
    },
    /// Starts tasks of one job.
    Start {
        /// The agent's clock as the entry heard it last: a start that was held up is refused.
        #[serde(rename = "heard")]
        agent_clock: Time,
        /// The job.
        job: JobId,
        /// What the tasks are told to do.
        spec: Arc<str>,
        /// The tasks.
        tasks: Vec<StartTask>,
    },
    /// Stops tasks, or forgets those that wait.
    Stop(Vec<TaskId>),
    /// Another entry was asked to cancel a job: stops its tasks, whoever started them.
    Cancel(JobId),
    /// Asks for a part of a document.
    SendPart(PartRequest),
    /// The halls that are emptied: what the entry knows is newer than what the agent has told it.
    Halls(EmptiedHalls),
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// There was no room in time.
    Room,
    /// The agent takes no new work.
    Closed,
    /// The target refused it, or did not answer and can't start it any more.
    Target,
    /// The message was held up.
    Late,
    /// The job is cancelled.
    Cancelled,
    /// The target that the agent stands beside has crashed under this task lately.
    CrashedTarget,
}

/// What became of a task at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskEnd {
    /// It is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// It did not run and won't.
    NotRun(Refusal),
    /// It ran and is gone without an outcome.
    Lost,
    /// Its target crashed while it ran. The task may be the cause, or have stood beside it.
    Crashed,
}

/// What became of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The sequence of its start.
    pub sequence: u64,
    /// What became of it.
    pub end: TaskEnd,
    /// How long it ran, in ms.
    pub ran_ms: u32,
}

/// From an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The first message, and again when the target is another.
    Hello {
        /// Who the agent is.
        profile: AgentProfile,
        /// The version of the newest document that it knows; 0 for none. Its text is sent only to who asks for
        /// it: an entry that returns hears from all of its agents at once.
        document: u64,
        /// The halls that it knows to be emptied.
        halls: EmptiedHalls,
    },
    /// How much it can take. Also a sign of life.
    Load(Load),
    /// What became of tasks.
    Ended {
        /// The tasks.
        reports: Vec<TaskReport>,
        /// How much it can take after that.
        load: Load,
    },
    /// A job was cancelled at another entry.
    Cancelled(JobId),
    /// A part of a document that was asked for; `None` where the agent has not that version.
    DocumentPart(Option<DocumentPart>),
    /// Other halls are emptied than before.
    Halls(EmptiedHalls),
    /// The target has crashed while these tasks ran, whichever entry's they were: their jobs may be handed in again
    /// anywhere.
    TargetCrashed(Vec<TaskId>),
}

impl ToAgent {
    /// What kind of message it is, as a word for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat { .. } => "heartbeat",
            Self::Start { .. } => "start",
            Self::Stop(_) => "stop",
            Self::Cancel(_) => "cancel",
            Self::SendPart(_) => "send-part",
            Self::Halls(_) => "halls",
        }
    }
}

impl ToEntry {
    /// What kind of message it is, as a word for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Load(_) => "load",
            Self::Ended { .. } => "ended",
            Self::Cancelled(_) => "cancelled",
            Self::DocumentPart(_) => "document-part",
            Self::Halls(_) => "halls",
            Self::TargetCrashed(_) => "target-crashed",
        }
    }
}
