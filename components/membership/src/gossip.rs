//! Dissemination of membership updates, piggybacked on probe messages.

use model::NodeName;
use serde::{Deserialize, Serialize};

/// Status of a node in the failure detector, ordered by precedence within a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// The node answers probes.
    Alive,
    /// The node did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The node did not refute the suspicion before the timeout.
    Dead,
}

/// A status update about one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The node that the update is about.
    pub node: NodeName,
    /// The incarnation number of SWIM, increased only by the node itself: at its start and to
    /// refute a suspicion.
    pub generation: u64,
    /// The announced status.
    pub status: Status,
}

impl Update {
    /// Whether this update takes precedence over the known state: it has a higher generation, or
    /// the same generation and a worse status.
    pub fn supersedes(&self, generation: u64, status: Status) -> bool {
        (self.generation, self.status) > (generation, status)
    }
}

/// Queue of updates with their transmission counts; those sent least often go first.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    queue: Vec<(u32, Update)>,
}

impl Gossip {
    /// Enqueues an update, replacing a queued one about the same node.
    pub fn add(&mut self, update: Update) {
        self.queue.retain(|(_, queued)| queued.node != update.node);
        self.queue.push((0, update));
    }

    /// Returns up to `count` updates for a message. An update is dropped from the queue after
    /// `max_transmissions` transmissions.
    pub fn take(&mut self, count: usize, max_transmissions: u32) -> Vec<Update> {
        self.queue.sort_by_key(|(sent, _)| *sent);
        let taken: Vec<Update> =
            self.queue.iter().take(count).map(|(_, update)| update.clone()).collect();
        for (sent, _) in self.queue.iter_mut().take(count) {
            *sent += 1;
        }
        self.queue.retain(|(sent, _)| *sent < max_transmissions);
        taken
    }
}
