//! What reaches an entry and what it does about it.

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

/// Every task's answer, in task order.
pub type Answers = Arc<[Arc<str>]>;

/// A caller that waits for an outcome, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A connection to an agent, numbered by the daemon; a number is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Connection(pub u64);

/// A call to the owner of a submission, numbered by the entry: a reply that comes after its call
/// was given up must not answer a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnerCall(pub u64);

/// What reaches an entry.
///
/// A reply is `None` when the call failed: nothing is known of what the other side did.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits work.
    Submit {
        /// Where the outcome goes.
        call: CallId,
        /// The work.
        request: RelayRequest,
        /// Whether another entry hands it over, taking this one for its owner.
        relayed: bool,
    },
    /// A caller asks for the outcome of a submission.
    Fetch {
        /// Where the outcome goes.
        call: CallId,
        /// The submission.
        submission: SubmissionId,
        /// Whether another entry asks, taking this one for the owner.
        relayed: bool,
    },
    /// A connection to an agent opened a session.
    Connected {
        /// The connection.
        connection: Connection,
        /// What the agent says of itself.
        info: AgentInfo,
    },
    /// A connection to an agent is gone.
    Disconnected {
        /// The agent.
        agent: NodeName,
        /// The connection.
        connection: Connection,
    },
    /// An agent's process is known to be dead; nobody will tell what it had started.
    AgentDead {
        /// The agent.
        agent: NodeName,
    },
    /// The failure detector suspects an agent's host, or no longer does.
    Suspected {
        /// The agent.
        agent: NodeName,
        /// Whether it is suspected.
        suspected: bool,
    },
    /// The platform's list says that a host leaves.
    AgentLeaving {
        /// The agent on it.
        agent: NodeName,
    },
    /// A holder replied to a claim.
    ClaimReplied {
        /// The holder.
        holder: NodeName,
        /// The submission.
        submission: SubmissionId,
        /// Its reply.
        reply: Option<ClaimReply>,
    },
    /// A holder said whose claim holds.
    LookupReplied {
        /// The holder.
        holder: NodeName,
        /// The submission.
        submission: SubmissionId,
        /// Its reply.
        reply: Option<LookupReply>,
    },
    /// An agent replied to a start.
    StartReplied {
        /// The agent.
        agent: NodeName,
        /// The connection that the start was sent on.
        connection: Connection,
        /// The task.
        key: TaskKey,
        /// The reply.
        reply: Option<StartReply>,
    },
    /// An agent told a task's fate.
    SettleReplied {
        /// The agent.
        agent: NodeName,
        /// The task.
        key: TaskKey,
        /// The reply.
        reply: Option<SettleReply>,
    },
    /// An agent replied to a token exchange.
    SyncReplied {
        /// The agent.
        agent: NodeName,
        /// The connection of the exchange.
        connection: Connection,
        /// The reply.
        reply: Option<SyncReply>,
    },
    /// The owner of a submission replied to a relay or a fetch.
    OwnerReplied {
        /// The call that it replied to.
        call: OwnerCall,
        /// The submission.
        submission: SubmissionId,
        /// The reply.
        reply: Option<RelayReply>,
    },
    /// Settings came into force.
    Settings {
        /// The settings, compiled.
        catalog: Arc<Catalog>,
    },
    /// The settings in force were the newest at this time.
    SettingsConfirmed {
        /// When.
        at: Time,
    },
    /// How many entries share the targets, this one included.
    EntryCount {
        /// The number.
        count: u32,
    },
    /// Time has passed.
    Tick,
}

/// What an entry does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Tells a caller the outcome.
    Respond {
        /// Which caller.
        call: CallId,
        /// The outcome.
        reply: RelayReply,
    },
    /// Claims a submission at a holder.
    Claim {
        /// The holder.
        holder: NodeName,
        /// The claim.
        request: ClaimRequest,
    },
    /// Asks a holder whose claim holds.
    Lookup {
        /// The holder.
        holder: NodeName,
        /// The submission.
        submission: SubmissionId,
    },
    /// Starts a task.
    Start {
        /// The agent.
        agent: NodeName,
        /// The connection to use.
        connection: Connection,
        /// The task.
        request: StartRequest,
    },
    /// Asks for a task's fate.
    Settle {
        /// The agent.
        agent: NodeName,
        /// The task.
        request: SettleRequest,
    },
    /// Exchanges tokens.
    Sync {
        /// The agent.
        agent: NodeName,
        /// The connection to use.
        connection: Connection,
        /// The exchange.
        request: SyncRequest,
    },
    /// Hands a submission to its owner.
    Relay {
        /// Numbers the call.
        call: OwnerCall,
        /// The owner.
        owner: NodeRef,
        /// The work.
        request: RelayRequest,
    },
    /// Asks the owner for the outcome of a submission.
    Fetch {
        /// Numbers the call.
        call: OwnerCall,
        /// The owner.
        owner: NodeRef,
        /// The submission.
        submission: SubmissionId,
    },
    /// Reports a decision.
    LogDecision(Decision),
    /// Reports a change of state.
    Log(LogEvent),
}

/// A change of an entry's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A target can be placed on.
    TargetConnected(NodeRef),
    /// A target can't be reached.
    TargetDisconnected(NodeName),
    /// A target takes no more work.
    TargetLeaving(NodeName),
    /// A target is slow beside the others, or no more.
    Straggling(NodeName, bool),
    /// A silent agent's tokens were given up.
    LeaseEnded(NodeName, u32),
    /// Settings of this version are in force.
    Settings(u64),
    /// The settings' age went over the bound (true) or is within it again.
    SettingsStale(bool),
    /// A condition that must always hold does not.
    Breach(Breach),
}
