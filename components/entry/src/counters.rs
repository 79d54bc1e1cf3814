//! What an entry counts.

use serde::{Deserialize, Serialize};
use telemetry::MessageCounts;

/// An entry's counters since its start, and its present sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
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
