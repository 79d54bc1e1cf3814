//! What an agent counts.

use serde::{Deserialize, Serialize};
use telemetry::MessageCounts;

/// An agent's counters since its start, and its present sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
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
