//! What reaches an agent and what it does about it.

use std::sync::Arc;

use claims::{ClaimReply, ClaimRequest, LookupReply};
use execution::{Session, TaskOutcome};
use model::{SubmissionId, TaskKey, Time};
use serde::{Deserialize, Serialize};
use settings::Fleet;
use telemetry::Breach;
use wire::{
    AgentInfo, AgentStatus, HelloRequest, SettleReply, SettleRequest, StartReply, StartRequest,
    SyncReply, SyncRequest,
};

/// A call that waits for its reply, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A call's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Opens a session.
    Hello(HelloRequest),
    /// Claims a submission.
    Claim(ClaimRequest),
    /// Asks whose claim holds.
    Lookup(SubmissionId),
    /// Starts a task.
    Start(StartRequest),
    /// Settles a task's fate.
    Settle(SettleRequest),
    /// Exchanges tokens.
    Sync(SyncRequest),
    /// Asks for the counters.
    Status,
}

/// A call's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To a hello.
    Hello(AgentInfo),
    /// To a claim.
    Claim(ClaimReply),
    /// To a question whose claim holds.
    Lookup(LookupReply),
    /// To a start.
    Start(StartReply),
    /// To a settle.
    Settle(SettleReply),
    /// To a token exchange.
    Sync(SyncReply),
    /// To a question for the counters.
    Status(Box<AgentStatus>),
}

/// What reaches an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call on a session.
    Call {
        /// The connection it came on.
        session: Session,
        /// Where its reply goes.
        call: CallId,
        /// Its content.
        request: Request,
    },
    /// A connection is gone.
    Closed {
        /// Which.
        session: Session,
    },
    /// The target is done with a task, or lost.
    Ended {
        /// The task.
        key: TaskKey,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// Settings came into force.
    Settings {
        /// Their version.
        version: u64,
        /// What concerns the fleet.
        fleet: Arc<Fleet>,
    },
    /// The target is to take no new work: a planned stop, or the platform says that it leaves.
    Leave,
    /// Time has passed.
    Tick,
}

/// What an agent does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answers a call.
    Reply {
        /// Which.
        call: CallId,
        /// With what.
        reply: Reply,
    },
    /// Hands a task to the target.
    Run {
        /// The task.
        key: TaskKey,
        /// Its text.
        task: Arc<str>,
        /// When its answer is of no more use.
        deadline: Time,
    },
    /// Reports a change of state.
    Log(LogEvent),
}

/// A change of an agent's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An entry opened a session.
    SessionOpened(Session, model::NodeRef),
    /// A session is gone.
    SessionClosed(Session),
    /// A silent session's tokens were taken back.
    LeaseEnded(Session, u32),
    /// The target could not be reached: its slots are not lent for a while.
    TargetUnreachable,
    /// The target takes no more work.
    Leaving,
    /// Leaving, and nothing runs any more.
    Drained,
    /// Settings of this version are in force.
    Settings(u64),
    /// A condition that must always hold does not.
    Breach(Breach),
}
