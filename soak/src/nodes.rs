//! The state of the nodes of a run.

use std::collections::HashMap;
use std::time::Duration;

use agent::Agent;
use entry::{CallId, Entry, OwnerCall};
use model::{Incarnation, NodeName, NodeRef, SubmissionId, Time};

/// Bound on the number of incarnations of a node in a run.
const INCARNATIONS_PER_NODE: u64 = 1_000;

/// The common state of entries and agents.
#[derive(Debug)]
pub(crate) struct Node<M> {
    pub name: NodeName,
    /// Makes the incarnations of different nodes distinct.
    number: u64,
    /// The state machine; `None` while the process is down.
    pub machine: Option<M>,
    /// Number of starts of the process.
    pub incarnation: u64,
    /// End of the current stall.
    pub stalled_until: Time,
    /// Offset of the node's clock, between zero and the bound on clock skew.
    pub clock_ahead: Duration,
    /// Time of the next scheduled tick.
    pub tick_at: Option<Time>,
}

impl<M> Node<M> {
    pub fn new(name: &str, number: u64) -> Self {
        Self {
            name: NodeName::new(name),
            number,
            machine: None,
            incarnation: 0,
            stalled_until: Time::default(),
            clock_ahead: Duration::ZERO,
            tick_at: None,
        }
    }

    /// Returns the node's reference with its current incarnation.
    pub fn reference(&self) -> NodeRef {
        let incarnation = Incarnation(self.number * INCARNATIONS_PER_NODE + self.incarnation);
        NodeRef { name: self.name.clone(), incarnation }
    }

    /// Returns the time on the node's clock.
    pub fn local_time(&self, now: Time) -> Time {
        now + self.clock_ahead
    }
}

/// An entry and its open requests.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub node: Node<Entry>,
    pub callers: HashMap<CallId, Caller>,
    /// Version of the settings that the entry received last.
    pub settings_version: u64,
}

/// The sender of a request to an entry.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// A client that requested the outcome of a submission.
    Client { id: SubmissionId, requested_at: Time, deadline: Duration },
    /// Another entry, with its incarnation, that relayed a request for a submission.
    Peer { entry: usize, incarnation: u64, call: OwnerCall, id: SubmissionId },
}

/// An agent and its target.
#[derive(Debug)]
pub(crate) struct AgentNode {
    pub node: Node<Agent>,
    pub rack: String,
    pub slots: u32,
    /// Tasks that the current incarnation runs at the target.
    pub running_tasks: u32,
    /// When the current incarnation started to refuse new work.
    pub leaving_since: Option<Time>,
    /// Until when the target is unreachable.
    pub target_down_until: Time,
}
