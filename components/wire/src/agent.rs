//! Messages between an entry and an agent in token scheduling. The agent lends entries tokens for
//! its slots, and an entry spends one to start a task.

use std::sync::Arc;

use claims::{ClaimReply, ClaimRequest, LookupReply};
use execution::TaskOutcome;
use model::{Incarnation, NodeRef, SubmissionId, TaskKey, Time};
use serde::{Deserialize, Serialize};
use telemetry::AgentCounters;

/// Opens a session; the first call on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloRequest {
    /// The entry and its incarnation.
    pub entry: NodeRef,
}

/// The identity, location and size of an agent's target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentInfo {
    /// The agent and its incarnation.
    pub agent: NodeRef,
    /// The service that the target runs tasks of.
    pub service: String,
    /// The target's data hall.
    pub hall: String,
    /// The target's rack.
    pub rack: String,
    /// The number of tasks that the target runs at once.
    pub slots: u32,
    /// The agent votes only on claims to submission ids created after this time, as a restart loses
    /// its earlier votes.
    pub votes_from: Time,
    /// Whether the agent is shutting down.
    pub leaving: bool,
}

/// Starts one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The key of the task.
    pub key: TaskKey,
    /// The owner of the submission.
    pub owner: NodeRef,
    /// The expected incarnation of the agent; any other replies [`StartResult::Unknown`].
    pub agent: Incarnation,
    /// The text of the task, passed to the target unmodified.
    pub task: Arc<str>,
    /// The time after which the answer is no longer useful.
    pub deadline: Time,
    /// The total of tokens that the owner currently requests from this agent: its share of the
    /// waiting tasks.
    pub wanted: u32,
}

/// The reason for a refused start; each one proves that the task did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The session of the entry has no token left for a slot.
    NoSlot,
    /// The target is shutting down.
    Leaving,
    /// An earlier refusal or settle request barred the task from starting.
    Barred,
    /// The deadline of the task has passed.
    TooLate,
}

/// The result of a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartResult {
    /// The task ran and ended with this outcome.
    Ended(TaskOutcome),
    /// The task did not run, and this request can no longer start it.
    NotRun(StartRefusal),
    /// The task ended earlier, and the agent has evicted its outcome.
    OutcomeDropped,
    /// The task may have run: the request is for another incarnation of the agent, another owner
    /// has started the task, or its record has expired.
    Unknown,
}

/// An agent's reply to a start, sent once the task has ended or was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    /// The result of the start.
    pub result: StartResult,
    /// Whether the entry may spend the slot token again: the task has ended, or the start did not
    /// spend the token.
    pub token: bool,
}

/// Asks for the result of a start whose reply was lost. A task that has not started is barred from
/// starting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The key of the task.
    pub key: TaskKey,
    /// The owner of the submission.
    pub owner: NodeRef,
    /// The incarnation of the agent to which the start was sent.
    pub agent: Incarnation,
}

/// The result of a settle request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleReply {
    /// The task did not run and is barred from starting.
    NotRun,
    /// The task ran and ended with this outcome; sent once it has ended.
    Ended(TaskOutcome),
    /// The task ended, and the agent has evicted its outcome.
    OutcomeDropped,
    /// The task may have run: the start went to an earlier incarnation of the agent, or its record
    /// has expired.
    Unknown,
}

/// The state of an agent, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent and its target.
    pub info: AgentInfo,
    /// The version of the settings in force at the agent.
    pub settings_version: u64,
    /// The agent's counters.
    pub counters: AgentCounters,
}

/// Keeps the session of an entry alive and exchanges tokens; the agent delays its reply until
/// something has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The total of tokens that the entry currently requests.
    pub wanted: u32,
    /// Idle tokens that the entry returns.
    pub returned: u32,
}

/// An agent's reply to a token exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Tokens newly lent to the entry.
    pub granted: u32,
    /// Idle tokens that the entry is asked to return.
    pub recalled: u32,
    /// Whether all tokens lent earlier are invalid.
    pub void: bool,
    /// Whether the target is shutting down and lends no more tokens.
    pub leaving: bool,
    /// The version of the settings in force at the agent.
    pub settings_version: u64,
}

/// The calls that an agent serves to entries.
#[tarpc::service]
pub trait AgentService {
    /// Opens a session and returns the identity of the agent.
    async fn hello(request: HelloRequest) -> AgentInfo;
    /// Votes on an entry's claim to own a submission.
    async fn claim(request: ClaimRequest) -> ClaimReply;
    /// Returns the claim that the agent has granted on a submission.
    async fn lookup(submission: SubmissionId) -> LookupReply;
    /// Starts a task and replies when it ends.
    async fn start(request: StartRequest) -> StartReply;
    /// Resolves the result of a start whose reply was lost.
    async fn settle(request: SettleRequest) -> SettleReply;
    /// Returns the state and counters of the agent.
    async fn status() -> AgentStatus;
    /// Requests, returns and recalls slot tokens.
    async fn sync(request: SyncRequest) -> SyncReply;
}
