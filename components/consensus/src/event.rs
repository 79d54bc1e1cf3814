//! What reaches a replica and what it does.

use std::fmt;

use model::NodeName;
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Message, Record, Snapshot, Term};

/// A proposal or a read, numbered by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId(pub u64);

/// What reaches a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message of another replica.
    Message {
        /// Who sent it.
        from: NodeName,
        /// The message.
        message: Message,
    },
    /// A command for the log.
    Propose {
        /// Numbers it.
        id: ProposalId,
        /// The command.
        command: Vec<u8>,
    },
    /// The process is about to stop: a leader hands over.
    Resign,
    /// Time has passed.
    Tick,
}

/// What a replica does. Stores come before what depends on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes records; they have to be synced before any later action is done.
    Store(Vec<Record>),
    /// Replaces all records by these, in one step, synced.
    Rewrite(Vec<Record>),
    /// Sends a message; it may be lost.
    Send(NodeName, Message),
    /// A proposal is in the leader's log at an index; whether it lasts shows when it commits.
    Proposed(ProposalId, Index),
    /// A proposal was not taken.
    Refused(ProposalId),
    /// An entry is committed: it lasts. They come in order, each once a life.
    Commit(Entry),
    /// The state is to be replaced by a snapshot's.
    Install(Snapshot),
    /// Reports a change of state.
    News(News),
}

/// A change of a replica's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// It leads.
    Leads(Term),
    /// It no longer leads.
    StepsDown(Term),
    /// It follows a leader.
    Follows(NodeName, Term),
    /// Other replicas vote from now on.
    Members(Vec<NodeName>),
    /// It has caught up after it began on an empty disk, and votes from now on.
    CaughtUp(Index),
    /// A condition that must always hold does not.
    Violation(Violation),
}

/// A breach of the log's promises: a bug, or a disk that forgot synced bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Another leader in the same term.
    TwoLeaders(Term),
    /// A committed entry was to be dropped.
    CommittedLost(Index),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoLeaders(term) => write!(f, "two leaders in term {term}"),
            Self::CommittedLost(index) => write!(f, "committed entry {index} was to be dropped"),
        }
    }
}
