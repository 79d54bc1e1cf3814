//! Counters and gauges of the agent and entry roles.

use serde::{Deserialize, Serialize};

use crate::MessageCounts;

/// An agent's counters since process start, and its current table sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentCounters {
    /// Tasks started.
    pub started: u64,
    /// Tasks ended.
    pub ended: u64,
    /// Starts refused with proof that the task did not run.
    pub refused: u64,
    /// Starts of a task that the agent already knew.
    pub repeated: u64,
    /// Requests over a session that is not open, and starts for another incarnation of the agent.
    pub stale: u64,
    /// Settle requests answered.
    pub settled: u64,
    /// Claims granted.
    pub claims_granted: u64,
    /// Claims rejected because the agent holds an earlier claim.
    pub claims_held: u64,
    /// Claims on which the agent abstained.
    pub claims_silent: u64,
    /// Invariant violations detected.
    pub breaches: u64,
    /// Claims currently held.
    pub claims: u64,
    /// Tasks currently in the task table.
    pub tasks: u64,
    /// Current size of the retained outcomes, in bytes.
    pub outcome_bytes: u64,
    /// Tasks currently running.
    pub running: u64,
    /// Messages sent and wasted, by kind.
    pub messages: MessageCounts,
}

/// An entry's counters since process start, and its current table sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryCounters {
    /// Submissions received.
    pub submitted: u64,
    /// Submissions with an id that the entry already knew.
    pub joined: u64,
    /// Submissions forwarded to their owner.
    pub relayed: u64,
    /// Submissions refused before any task started.
    pub refused: u64,
    /// Jobs answered with the result of every task.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Tasks sent to agents.
    pub placed: u64,
    /// Tasks placed again after proof that they did not run.
    pub placed_again: u64,
    /// Tasks of repeatable requests retried without proof that they did not run.
    pub retried: u64,
    /// Replies and task results received twice, or after the request or job had ended.
    pub late: u64,
    /// Settle requests sent.
    pub settles: u64,
    /// Claim rounds won.
    pub claims_won: u64,
    /// Claim rounds lost to another entry.
    pub claims_lost: u64,
    /// Claim rounds that ended without a quorum.
    pub claims_undecided: u64,
    /// Retained answers evicted to limit memory.
    pub answers_dropped: u64,
    /// Invariant violations detected.
    pub breaches: u64,
    /// Jobs currently without an outcome.
    pub active: u64,
    /// Outcomes currently retained.
    pub kept: u64,
    /// Current size of the retained outcomes, in bytes.
    pub kept_bytes: u64,
    /// Tasks currently waiting for a slot.
    pub queued: u64,
    /// Idle tokens currently held.
    pub idle: u64,
    /// Messages sent and wasted, by kind.
    pub messages: MessageCounts,
}
