//! What replicas say to each other.

use model::{NodeName, Time};
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Snapshot, Term};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted.
    PreVote {
        /// The term that the sender would stand in.
        term: Term,
        /// Its last entry.
        last_index: Index,
        /// That entry's term.
        last_term: Term,
    },
    /// Whether a vote would be granted.
    PreVoteReply {
        /// The term that was asked for, or the receiver's where it is higher.
        term: Term,
        /// Whether it would.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The term that the sender stands in.
        term: Term,
        /// Its last entry.
        last_index: Index,
        /// That entry's term.
        last_term: Term,
        /// The leader itself asked the sender to stand: its lease holds up no vote.
        transfer: bool,
    },
    /// Whether a vote is granted.
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether it is.
        granted: bool,
    },
    /// A replica that is no member asks to be brought up to date: the leader does so, and any other
    /// tells it who leads.
    Join,
    /// The leader resigns, and asks the receiver to stand at once.
    TakeOver {
        /// The leader's term.
        term: Term,
    },
    /// Entries from the leader; none to show that it leads.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before these.
        prev_index: Index,
        /// Its term.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's last committed entry.
        commit: Index,
        /// When it was sent, by the leader's clock; comes back in the reply.
        sent: Time,
        /// Whether the leader's lease was valid then, without counting the receiver, and an entry
        /// of its own term was committed: nothing after `commit` had been committed before.
        sure: bool,
    },
    /// Whether entries fitted.
    AppendReply {
        /// The receiver's term.
        term: Term,
        /// Whether they did.
        fitted: bool,
        /// The last entry known to be the leader's; or, where they did not fit, the last one that
        /// may be.
        index: Index,
        /// The append's time of sending.
        sent: Time,
        /// Whether the receiver has not caught up since it began on an empty disk.
        blank: bool,
    },
    /// A snapshot from the leader, where the entries are gone.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot,
        /// When it was sent, by the leader's clock.
        sent: Time,
    },
    /// Tells a replica that is no member whom the sender takes for the leader.
    Refer {
        /// The leader.
        leader: NodeName,
    },
}

impl Message {
    /// The term that it carries.
    pub fn term(&self) -> Term {
        match self {
            Self::Join | Self::Refer { .. } => 0,
            Self::PreVote { term, .. }
            | Self::TakeOver { term }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. } => *term,
        }
    }
}
