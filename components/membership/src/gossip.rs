//! News of nodes, spread on messages that flow anyway.

use model::NodeName;
use serde::{Deserialize, Serialize};

/// What is said of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer, and may refute it.
    Suspect,
    /// It did not refute it in time.
    Dead,
}

/// News of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The node.
    pub node: NodeName,
    /// Counted up by the node itself, at its start and to refute a suspicion.
    pub generation: u64,
    /// What is said of it.
    pub status: Status,
}

impl Update {
    /// Whether this is newer than what is known: a higher generation, or worse news of the same.
    pub fn beats(&self, generation: u64, status: Status) -> bool {
        (self.generation, self.status) > (generation, status)
    }
}

/// Updates to be spread, those told least often first.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    queue: Vec<(u32, Update)>,
}

impl Gossip {
    /// Adds an update; an older one of the same node is dropped.
    pub fn add(&mut self, update: Update) {
        self.queue.retain(|(_, queued)| queued.node != update.node);
        self.queue.push((0, update));
    }

    /// Takes up to `count` updates for a message; each is told `times` times in all.
    pub fn take(&mut self, count: usize, times: u32) -> Vec<Update> {
        self.queue.sort_by_key(|(told, _)| *told);
        let taken: Vec<Update> =
            self.queue.iter().take(count).map(|(_, update)| update.clone()).collect();
        for (told, _) in self.queue.iter_mut().take(count) {
            *told += 1;
        }
        self.queue.retain(|(told, _)| *told < times);
        taken
    }
}
