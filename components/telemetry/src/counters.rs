//! What the roles count.

use serde::{Deserialize, Serialize};

use crate::MessageCounts;

/// An agent's counters since its start, and its present sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentCounters {
    /// Tasks started.
    pub started: u64,
    /// Tasks ended.
    pub ended: u64,
    /// Starts refused with proof.
    pub refused: u64,
    /// Starts of a task that was known already.
    pub repeated: u64,
    /// Frames refused: an older connection's, or meant for an earlier life.
    pub stale: u64,
    /// Fates told.
    pub settled: u64,
    /// Claims granted.
    pub claims_granted: u64,
    /// Claims that came second.
    pub claims_held: u64,
    /// Claims not voted on.
    pub claims_silent: u64,
    /// Breaches of what must always hold.
    pub breaches: u64,
    /// Claims kept now.
    pub claims: u64,
    /// Tasks in the start table now.
    pub tasks: u64,
    /// Bytes of outcomes kept now.
    pub outcome_bytes: u64,
    /// Tasks running now.
    pub running: u64,
    /// Messages sent.
    pub messages: MessageCounts,
}

/// An entry's counters since its start, and its present sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryCounters {
    /// Submissions received.
    pub submitted: u64,
    /// Submissions that joined a known job.
    pub joined: u64,
    /// Submissions handed to their owner.
    pub relayed: u64,
    /// Submissions refused before any task started.
    pub refused: u64,
    /// Jobs answered whole.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Tasks sent to agents.
    pub placed: u64,
    /// Tasks placed again after proof that they did not run.
    pub placed_again: u64,
    /// Repeatable requests sent again without proof.
    pub retried: u64,
    /// Answers that came after their job had its outcome, or twice.
    pub late: u64,
    /// Fates asked for.
    pub settles: u64,
    /// Claim rounds won.
    pub claims_won: u64,
    /// Claim rounds that another entry was first in.
    pub claims_lost: u64,
    /// Claim rounds without a quorum.
    pub claims_undecided: u64,
    /// Kept answers dropped for memory.
    pub answers_dropped: u64,
    /// Breaches of what must always hold.
    pub breaches: u64,
    /// Jobs without an outcome now.
    pub active: u64,
    /// Outcomes kept now.
    pub kept: u64,
    /// Bytes of outcomes kept now.
    pub kept_bytes: u64,
    /// Tasks waiting for a slot now.
    pub queued: u64,
    /// Idle tokens held now.
    pub idle: u64,
    /// Messages sent.
    pub messages: MessageCounts,
}
