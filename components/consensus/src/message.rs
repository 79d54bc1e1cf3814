//! Messages between replicas. Fields and variants are encoded by position, so their order must not
//! change.

use model::{NodeName, Time};
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Snapshot, Term};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender.
    PreVote {
        /// The term that the candidate would start.
        term: Term,
        /// The index of the candidate's last entry.
        last_index: Index,
        /// The term of the candidate's last entry.
        last_term: Term,
    },
    /// The reply to [`Message::PreVote`].
    PreVoteReply {
        /// The proposed term if granted, the receiver's term otherwise.
        term: Term,
        /// Whether the receiver would vote for the candidate.
        granted: bool,
    },
    /// Asks for the receiver's vote.
    Vote {
        /// The candidate's term.
        term: Term,
        /// The index of the candidate's last entry.
        last_index: Index,
        /// The term of the candidate's last entry.
        last_term: Term,
        /// Whether the leader transferred leadership to the candidate; the leader's lease then does
        /// not prevent the vote.
        transfer: bool,
    },
    /// The reply to [`Message::Vote`].
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// A replica outside the member list asks to be replicated to. The leader starts to do so; any
    /// other replica replies with [`Message::Refer`].
    Join,
    /// The leader resigns and asks the receiver to start an election at once.
    TakeOver {
        /// The leader's term.
        term: Term,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The index of the entry before `entries`.
        prev_index: Index,
        /// The term of the entry before `entries`.
        prev_term: Term,
        /// The entries, in log order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// When the message was sent, by the leader's clock; returned in the reply.
        sent: Time,
        /// Whether the leader held its lease when sending, not counting the receiver, and had
        /// committed an entry of its own term. If so, no entry after `commit` was committed at that
        /// time.
        #[serde(rename = "sure")]
        leader_confirmed: bool,
    },
    /// The reply to [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// The receiver's term.
        term: Term,
        /// Whether the receiver had the preceding entry and stored the new ones.
        #[serde(rename = "fitted")]
        matched: bool,
        /// If `matched`, the last index known to agree with the leader; otherwise the last index
        /// that may agree.
        index: Index,
        /// The `sent` time of the message that this replies to.
        sent: Time,
        /// Whether the receiver started on an empty disk and has not caught up yet.
        blank: bool,
    },
    /// A snapshot, sent if the leader no longer has the entries that the receiver lacks.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot,
        /// When the message was sent, by the leader's clock; returned in the reply.
        sent: Time,
    },
    /// Refers a replica that wants to join to the leader.
    Refer {
        /// The replica that the sender follows.
        leader: NodeName,
    },
}

impl Message {
    /// The sender's term; 0 for messages that carry none.
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
