//! The nodes of a run: their state machines, lives, clocks and stalls.

use std::collections::HashMap;
use std::time::Duration;

use agent::Agent;
use entry::{CallId, Entry, OwnerCall};
use model::{Incarnation, NodeName, NodeRef, SubmissionId, Time};

/// More lives than a node has in a run.
const INCARNATIONS_PER_NODE: u64 = 1_000;

/// What entries and agents have in common.
#[derive(Debug)]
pub(crate) struct Node<M> {
    pub name: NodeName,
    /// Tells its lives from those of other nodes.
    number: u64,
    /// The state machine, while the process lives.
    pub machine: Option<M>,
    /// Counts the lives.
    pub incarnation: u64,
    /// The process stands still until then.
    pub stalled_until: Time,
    /// How far its clock is ahead of the slowest allowed, at most the bound on clocks.
    pub clock_ahead: Duration,
    /// When its next tick is planned.
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

    /// The node's reference in its present life.
    pub fn reference(&self) -> NodeRef {
        let incarnation = Incarnation(self.number * INCARNATIONS_PER_NODE + self.incarnation);
        NodeRef { name: self.name.clone(), incarnation }
    }

    /// The time that the node's clock shows.
    pub fn local_time(&self, now: Time) -> Time {
        now + self.clock_ahead
    }
}

/// An entry and the callers that wait at it.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub node: Node<Entry>,
    pub callers: HashMap<CallId, Caller>,
    /// Settings version that it has.
    pub settings_version: u64,
}

/// Who waits for an outcome.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// A client, with the number of its request.
    Client { id: SubmissionId, requested_at: Time, deadline: Duration },
    /// Another entry, in a life, for a submission.
    Peer { entry: usize, incarnation: u64, call: OwnerCall, id: SubmissionId },
}

/// An agent with its target.
#[derive(Debug)]
pub(crate) struct AgentNode {
    pub node: Node<Agent>,
    pub rack: String,
    pub slots: u32,
    /// Tasks that this life has at the target.
    pub running_tasks: u32,
    /// Since when it takes no new work, in this life.
    pub leaving_since: Option<Time>,
    /// The target can't be reached until then.
    pub target_down_until: Time,
}
