//! Nodes: they pull settings, and come back after a while without any.

use std::time::Duration;

use keeper::{Event, Reply};
use model::NodeName;
use rand::Rng;
use settings::Tree;
use wire::{PullReply, PullRequest};

use super::operators::Asker;
use super::world::{Happening, KeeperWorld};

/// A node's settings.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeState {
    life: u64,
    have: Option<(u64, Tree)>,
    /// The keeper that it asks.
    keeper: usize,
}

impl NodeState {
    pub fn version(&self) -> Option<u64> {
        self.have.as_ref().map(|(version, _)| *version)
    }
}

impl KeeperWorld {
    /// A node asks for newer settings.
    pub fn pull(&mut self, number: usize) {
        let node = &self.nodes[number];
        let (keeper, life) = (node.keeper, node.life);
        let request = PullRequest { node: NodeName::new("n"), have: node.version() };
        let asker = Asker::Pull { node: number, life };
        self.ask(keeper, asker, |ticket| Event::Pull(ticket, request));
    }

    /// A node starts anew, without settings.
    pub fn node_starts(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.life += 1;
        node.have = None;
        self.pull(number);
    }

    /// A node got a reply to its pull, or will get none.
    pub fn pulled(&mut self, number: usize, life: u64, reply: Option<Reply>) {
        if self.nodes[number].life != life {
            return;
        }
        let taken = match reply {
            Some(Reply::Pull(reply)) => self.take_settings(number, reply),
            _ => false,
        };
        if !taken {
            // As a node's link does: the next one.
            let next = (self.nodes[number].keeper + 1) % self.keepers.len();
            self.nodes[number].keeper = next;
        }
        let restarts = self.now < self.calm_from && self.rng.random_bool(0.01);
        if restarts {
            let away = self.within(Duration::from_secs(8));
            return self.after(away, Happening::NodeStarts(number));
        }
        let pause = if taken { Duration::from_millis(1) } else { Duration::from_millis(200) };
        self.after(pause, Happening::Pull(number));
    }

    /// Takes settings as a node's link does; false where the reply is of no use.
    fn take_settings(&mut self, number: usize, reply: PullReply) -> bool {
        let have = self.nodes[number].have.clone();
        let (version, tree) = match reply {
            PullReply::Unsure { .. } => return false,
            PullReply::Current => return true,
            PullReply::Snapshot { version, tree } => (version, tree),
            PullReply::Delta { version, edits } => {
                let Some((_, tree)) = &have else { return false };
                let applied =
                    edits.iter().try_fold(tree.clone(), |tree, edits| tree.with_edits(edits));
                let Ok(tree) = applied else {
                    self.checks.violation(self.now, "a delta makes no valid tree");
                    return false;
                };
                (version, tree)
            }
        };
        if have.is_some_and(|(have, _)| version < have) {
            self.checks.violation(self.now, format!("node {number} was given an older version"));
            return false;
        }
        self.checks.seen(self.now, version, &tree);
        self.checks.summary.spread += 1;
        self.nodes[number].have = Some((version, tree));
        true
    }
}
