//! What an entry and an agent say to each other.

use std::sync::Arc;

use claims::{ClaimReply, ClaimRequest, LookupReply};
use execution::TaskOutcome;
use model::{Incarnation, NodeRef, SubmissionId, TaskKey, Time};
use serde::{Deserialize, Serialize};
use telemetry::AgentCounters;

/// Opens a session; the first call on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloRequest {
    /// The life of the entry.
    pub entry: NodeRef,
}

/// What an agent says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentInfo {
    /// The life of the agent.
    pub agent: NodeRef,
    /// The service that its target takes work of.
    pub service: String,
    /// Its data hall.
    pub hall: String,
    /// Its rack.
    pub rack: String,
    /// The slots of its target.
    pub slots: u32,
    /// It votes on submission ids made after this.
    pub votes_from: Time,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Starts one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The task.
    pub key: TaskKey,
    /// The owner of the submission.
    pub owner: NodeRef,
    /// The life of the agent that is meant; another refuses.
    pub agent: Incarnation,
    /// The task's text, handed to the target as it is.
    pub task: Arc<str>,
    /// When its answer is of no more use.
    pub deadline: Time,
    /// Tokens that the owner now asks this agent for, in all: its part of what waits.
    pub wanted: u32,
}

/// Why a start was refused; every reason proves that the task did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// No slot is free for this entry.
    NoSlot,
    /// The target is leaving.
    Leaving,
    /// The task was settled as not run.
    Barred,
    /// The deadline had passed.
    TooLate,
}

/// What became of a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartResult {
    /// It ran to this end.
    Ended(TaskOutcome),
    /// It did not run, and this frame never will make it run.
    NotRun(StartRefusal),
    /// It ended earlier; its outcome is no longer held.
    OutcomeDropped,
    /// It may have run: meant for another life of the agent, started by another owner, or too old
    /// to be known.
    Unknown,
}

/// An agent's answer to a start, sent when the task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    /// What became of it.
    pub result: StartResult,
    /// Whether the entry has the slot's token again.
    pub token: bool,
}

/// Asks for the fate of a start whose answer was lost; bars it where it never started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The task.
    pub key: TaskKey,
    /// The owner of the submission.
    pub owner: NodeRef,
    /// The life of the agent that the start was sent to.
    pub agent: Incarnation,
}

/// The fate of a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleReply {
    /// Proven: it did not run and never will.
    NotRun,
    /// It ran to this end; sent when it ended.
    Ended(TaskOutcome),
    /// It ended; its outcome is no longer held.
    OutcomeDropped,
    /// The start went to an earlier life of this agent, or is too old to be known: it may have run.
    Unknown,
}

/// What an agent tells operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Itself.
    pub info: AgentInfo,
    /// The version of the settings in force.
    pub settings_version: u64,
    /// Its counters.
    pub counters: AgentCounters,
}

/// Keeps an entry's session and its tokens; the agent answers when it has something to say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Tokens that the entry asks for, in all.
    pub wanted: u32,
    /// Idle tokens that it gives back.
    pub returned: u32,
}

/// What an agent has to say to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Tokens lent to the entry.
    pub granted: u32,
    /// Idle tokens that the agent asks back.
    pub recalled: u32,
    /// All tokens lent before are void.
    pub void: bool,
    /// The target is leaving: no more tokens will come.
    pub leaving: bool,
    /// The version of the settings in force at the agent.
    pub settings_version: u64,
}

/// The agent's side of the connection from an entry.
#[tarpc::service]
pub trait AgentService {
    /// Opens a session.
    async fn hello(request: HelloRequest) -> AgentInfo;
    /// Claims a submission.
    async fn claim(request: ClaimRequest) -> ClaimReply;
    /// Whose claim is held on a submission.
    async fn lookup(submission: SubmissionId) -> LookupReply;
    /// Starts a task and answers at its end.
    async fn start(request: StartRequest) -> StartReply;
    /// Settles the fate of a start.
    async fn settle(request: SettleRequest) -> SettleReply;
    /// The agent's counters, for operators.
    async fn status() -> AgentStatus;
    /// Exchanges tokens and news.
    async fn sync(request: SyncRequest) -> SyncReply;
}
