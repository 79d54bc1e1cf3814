//! The events that an agent processes and the actions that it requests.

use std::sync::Arc;

use claims::{ClaimReply, ClaimRequest, LookupReply};
use execution::{Session, TaskOutcome};
use model::{SubmissionId, TaskKey, Time};
use serde::{Deserialize, Serialize};
use settings::FleetSettings;
use telemetry::Breach;
use wire::{
    AgentInfo, AgentStatus, HelloRequest, SettleReply, SettleRequest, StartReply, StartRequest,
    SyncReply, SyncRequest,
};

/// Identifies a call that waits for its reply; allocated by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// The request of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Opens a session on the connection.
    Hello(HelloRequest),
    /// Claims a submission for an entry.
    Claim(ClaimRequest),
    /// Asks which claim is held on a submission.
    Lookup(SubmissionId),
    /// Starts a task on the target.
    Start(StartRequest),
    /// Asks whether and how a task ran; bars it if it never started.
    Settle(SettleRequest),
    /// Returns and requests slot tokens; answered when there is something to report.
    Sync(SyncRequest),
    /// Asks for the agent's identity and counters; needs no session.
    Status,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Opens the session: the agent's identity, service, location and slots.
    Hello(AgentInfo),
    /// The vote on a claim.
    Claim(ClaimReply),
    /// The claim held on a submission, if any.
    Lookup(LookupReply),
    /// The result of a start and whether its token returns to the session.
    Start(StartReply),
    /// Whether and how a task ran.
    Settle(SettleReply),
    /// Tokens granted, recalled or voided.
    Sync(SyncReply),
    /// The agent's identity and counters.
    Status(Box<AgentStatus>),
}

/// An input of the agent's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry called the agent.
    Call {
        /// The connection that the call was received on.
        session: Session,
        /// The id for the reply.
        call: CallId,
        /// The request of the call.
        request: Request,
    },
    /// The connection of a session closed.
    Closed {
        /// The session of the connection.
        session: Session,
    },
    /// A task ended or the target was lost while it ran.
    Ended {
        /// The task and its attempt.
        key: TaskKey,
        /// The answer or the kind of failure.
        outcome: TaskOutcome,
    },
    /// A version of the settings arrived.
    Settings {
        /// The version of the settings.
        version: u64,
        /// The settings of the fleet.
        fleet: Arc<FleetSettings>,
    },
    /// The target must take no new work, because of a planned stop or because its host leaves.
    Leave,
    /// A timer expired.
    Tick,
}

/// An output of the agent's state machine, executed by the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answers a call.
    Reply {
        /// The call to answer.
        call: CallId,
        /// The reply to send.
        reply: Reply,
    },
    /// Runs a task on the target.
    Run {
        /// The task and its attempt.
        key: TaskKey,
        /// The text of the task.
        task: Arc<str>,
        /// The time after which the answer is useless.
        deadline: Time,
    },
    /// Writes a state change to the operational log.
    Log(LogEvent),
}

/// A state change of an agent, for the operational log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An entry opened a session.
    SessionOpened(Session, model::NodeRef),
    /// The session of an entry closed.
    SessionClosed(Session),
    /// The lease of a silent session expired; the number of idle tokens taken back.
    LeaseEnded(Session, u32),
    /// The target could not be reached, so that its slots are not lent until a retry.
    TargetUnreachable,
    /// The target leaves and takes no new work.
    Leaving,
    /// The leaving target has finished its last task.
    Drained,
    /// Settings of this version came into force.
    Settings(u64),
    /// An invariant violation was detected.
    Breach(Breach),
}
