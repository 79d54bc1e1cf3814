//! The events that an entry processes and the actions that it requests.

use std::sync::Arc;

use claims::{ClaimReply, ClaimRequest, LookupReply};
use model::{NodeName, NodeRef, SubmissionId, TaskKey, Time};
use serde::{Deserialize, Serialize};
use settings::Catalog;
use telemetry::{Breach, Decision};
use wire::{
    AgentInfo, RelayReply, RelayRequest, SettleReply, SettleRequest, StartReply, StartRequest,
    SyncReply, SyncRequest,
};

/// The answers of all tasks of a submission, in task order.
pub type Answers = Arc<[Arc<str>]>;

/// Identifies a caller that waits for an outcome; allocated by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Identifies a connection to an agent; allocated by the daemon and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Connection(pub u64);

/// Identifies a call to the owner of a submission; allocated by the entry.
///
/// The id keeps the reply to an abandoned call from answering a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnerCall(pub u64);

/// An input of the entry's state machine.
///
/// A reply is `None` when the call failed: the remote side may or may not have processed it.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client or another entry submits work.
    Submit {
        /// The call that the outcome answers.
        call: CallId,
        /// The submitted tasks with their service, kind and deadline.
        request: RelayRequest,
        /// Whether another entry relayed the request because it takes this entry for the owner.
        relayed: bool,
    },
    /// A client or another entry asks for the outcome of a submission.
    Fetch {
        /// The call that the outcome answers.
        call: CallId,
        /// The id of the submission.
        submission: SubmissionId,
        /// Whether another entry asks because it takes this entry for the owner.
        relayed: bool,
    },
    /// An agent accepted a session on a new connection.
    Connected {
        /// The new connection.
        connection: Connection,
        /// The agent's identity, service, location and slots.
        info: AgentInfo,
    },
    /// A connection to an agent closed.
    Disconnected {
        /// The name of the agent.
        agent: NodeName,
        /// The closed connection.
        connection: Connection,
    },
    /// An agent's process is known to be dead, so the tasks that it had started can't be settled.
    AgentDead {
        /// The name of the agent.
        agent: NodeName,
    },
    /// The failure detector's suspicion of an agent's host changed.
    Suspected {
        /// The name of the agent.
        agent: NodeName,
        /// Whether the host is suspected.
        suspected: bool,
    },
    /// The platform's host list marks a host as leaving.
    AgentLeaving {
        /// The name of the agent on the host.
        agent: NodeName,
    },
    /// A claim call ended.
    ClaimReplied {
        /// The holder that was called.
        holder: NodeName,
        /// The claimed submission.
        submission: SubmissionId,
        /// The holder's vote; `None` when the call failed.
        reply: Option<ClaimReply>,
    },
    /// A lookup call ended.
    LookupReplied {
        /// The holder that was called.
        holder: NodeName,
        /// The submission that was looked up.
        submission: SubmissionId,
        /// The claim that the holder has, if any; `None` when the call failed.
        reply: Option<LookupReply>,
    },
    /// A start call ended.
    StartReplied {
        /// The name of the agent.
        agent: NodeName,
        /// The connection that the start was sent on.
        connection: Connection,
        /// The task and its attempt.
        key: TaskKey,
        /// The task's result and whether its token returns; `None` when the call failed.
        reply: Option<StartReply>,
    },
    /// A settle call ended.
    SettleReplied {
        /// The name of the agent.
        agent: NodeName,
        /// The task and its attempt.
        key: TaskKey,
        /// Whether and how the task ran; `None` when the call failed.
        reply: Option<SettleReply>,
    },
    /// A token exchange ended.
    SyncReplied {
        /// The name of the agent.
        agent: NodeName,
        /// The connection that the exchange was sent on.
        connection: Connection,
        /// The tokens granted or recalled; `None` when the call failed.
        reply: Option<SyncReply>,
    },
    /// A relay or fetch call to the owner of a submission ended.
    OwnerReplied {
        /// The id that the entry gave the call.
        call: OwnerCall,
        /// The submission that the call was about.
        submission: SubmissionId,
        /// The owner's answer; `None` when the call failed.
        reply: Option<RelayReply>,
    },
    /// A version of the settings arrived.
    Settings {
        /// The compiled settings.
        catalog: Arc<Catalog>,
    },
    /// The settings in force were confirmed as the newest.
    SettingsConfirmed {
        /// The time at which they were the newest.
        at: Time,
    },
    /// The number of entries that share the targets changed.
    EntryCount {
        /// The number of entries, including this one.
        count: u32,
    },
    /// A timer expired.
    Tick,
}

/// An output of the entry's state machine, executed by the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answers a waiting caller.
    Respond {
        /// The call to answer.
        call: CallId,
        /// The answers of all tasks, or the failure.
        reply: RelayReply,
    },
    /// Claims a submission at a holder; answered by a claim reply.
    Claim {
        /// The holder to call.
        holder: NodeName,
        /// The submission and the claim on it.
        request: ClaimRequest,
    },
    /// Asks a holder which claim it has on a submission.
    Lookup {
        /// The holder to call.
        holder: NodeName,
        /// The submission to look up.
        submission: SubmissionId,
    },
    /// Starts a task on a target.
    Start {
        /// The agent of the target.
        agent: NodeName,
        /// The connection to send on.
        connection: Connection,
        /// The task with its owner and deadline.
        request: StartRequest,
    },
    /// Asks an agent whether and how a task ran.
    Settle {
        /// The agent that the task was sent to.
        agent: NodeName,
        /// The task with its owner and the agent's incarnation.
        request: SettleRequest,
    },
    /// Exchanges slot tokens with an agent.
    Sync {
        /// The agent of the target.
        agent: NodeName,
        /// The connection to send on.
        connection: Connection,
        /// The numbers of tokens wanted and returned.
        request: SyncRequest,
    },
    /// Relays a submission to its owner.
    Relay {
        /// The id of the call.
        call: OwnerCall,
        /// The entry that owns the submission.
        owner: NodeRef,
        /// The request as it was submitted here.
        request: RelayRequest,
    },
    /// Asks the owner for the outcome of a submission.
    Fetch {
        /// The id of the call.
        call: OwnerCall,
        /// The entry that owns the submission.
        owner: NodeRef,
        /// The submission to fetch.
        submission: SubmissionId,
    },
    /// Writes a decision to the decision log.
    LogDecision(Decision),
    /// Writes a state change to the operational log.
    Log(LogEvent),
}

/// A state change of an entry, for the operational log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A session with the agent of a target opened.
    TargetConnected(NodeRef),
    /// The session with the agent of a target closed.
    TargetDisconnected(NodeName),
    /// A target leaves and takes no new work.
    TargetLeaving(NodeName),
    /// A target became slower than the mean of its kinds (true) or recovered (false).
    Straggling(NodeName, bool),
    /// The lease of a silent agent's tokens expired; the number of idle tokens dropped.
    LeaseEnded(NodeName, u32),
    /// Settings of this version came into force.
    Settings(u64),
    /// The settings' age exceeded the bound (true) or is within it again (false).
    SettingsStale(bool),
    /// An invariant violation was detected.
    Breach(Breach),
}
