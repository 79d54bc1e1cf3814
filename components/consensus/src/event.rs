//! Inputs and outputs of a replica.

use std::fmt;

use model::NodeName;
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Message, Record, Snapshot, Term};

/// Identifies a proposal; assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId(pub u64);

/// An input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from another replica.
    Message {
        /// The sender.
        from: NodeName,
        /// The message.
        message: Message,
    },
    /// A command to append to the log.
    Propose {
        /// Identifies the proposal in the reply.
        id: ProposalId,
        /// The command, opaque to this crate.
        command: Vec<u8>,
    },
    /// The process is about to stop; a leader transfers leadership.
    Resign,
    /// Checks the timers.
    Tick,
}

/// An output of a replica. Actions have to be executed in order, as later ones may depend on
/// earlier stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Appends records to the journal; they have to be synced before any later action is executed.
    Store(Vec<Record>),
    /// Atomically replaces all records of the journal by these and syncs it.
    Rewrite(Vec<Record>),
    /// Sends a message; delivery is not guaranteed.
    Send(NodeName, Message),
    /// The leader appended a proposal to its log at this index. It is durable only once that entry
    /// is committed.
    Proposed(ProposalId, Index),
    /// A proposal was rejected because this replica is not the leader.
    Rejected(ProposalId),
    /// An entry was committed and has to be applied. Entries are reported in log order, once per
    /// start of the replica.
    Commit(Entry),
    /// The state machine has to replace its state by that of the snapshot.
    Install(Snapshot),
    /// Reports a change of state for the operator's log.
    Log(LogEvent),
}

/// A change of a replica's state, reported to the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The replica became leader in this term.
    BecameLeader(Term),
    /// The replica stepped down as leader of this term.
    SteppedDown(Term),
    /// The replica accepted a leader in this term.
    FollowsLeader(NodeName, Term),
    /// A change of the member list was committed; these replicas vote.
    MembersChanged(Vec<NodeName>),
    /// The replica started on an empty disk and now has all committed entries up to this index; it
    /// votes from now on.
    CaughtUp(Index),
    /// A consistency guarantee of the log was violated.
    Violation(Violation),
}

/// A violated consistency guarantee: a bug, or a disk that lost synced data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas lead in the same term.
    TwoLeaders(Term),
    /// A leader's entries conflict with the committed entry at this index.
    CommittedEntryConflict(Index),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoLeaders(term) => write!(f, "two leaders in term {term}"),
            Self::CommittedEntryConflict(index) => {
                write!(f, "committed entry {index} was to be dropped")
            }
        }
    }
}
