//! Nodes that pull settings, and lose them when they restart.

use std::time::Duration;

use keeper::{Event, Reply};
use model::NodeName;
use rand::Rng;
use settings::Tree;
use wire::{PullReply, PullRequest};

use super::operators::Requester;
use super::simulation::{KeeperSimulation, SimEvent};

/// The settings of a node and the keeper that it pulls from.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeState {
    incarnation: u64,
    settings: Option<(u64, Tree)>,
    /// Index of the keeper that the node pulls from.
    keeper: usize,
}

impl NodeState {
    pub fn version(&self) -> Option<u64> {
        self.settings.as_ref().map(|(version, _)| *version)
    }
}

impl KeeperSimulation {
    /// Sends a pull request to the keeper of a node.
    pub fn pull_settings(&mut self, number: usize) {
        let node = &self.nodes[number];
        let (keeper, incarnation) = (node.keeper, node.incarnation);
        let request = PullRequest { node: NodeName::new("n"), have: node.version() };
        let requester = Requester::Pull { node: number, incarnation };
        self.send_request(keeper, requester, |call_id| Event::Pull(call_id, request));
    }

    /// Restarts a node without settings.
    pub fn restart_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.incarnation += 1;
        node.settings = None;
        self.pull_settings(number);
    }

    /// Applies the reply to a pull, or its loss if `None`, and schedules the next pull.
    pub fn deliver_pull_reply(&mut self, number: usize, incarnation: u64, reply: Option<Reply>) {
        if self.nodes[number].incarnation != incarnation {
            return;
        }
        let is_useful = match reply {
            Some(Reply::Pull(reply)) => self.apply_settings(number, reply),
            _ => false,
        };
        if !is_useful {
            // Try the next keeper, as the link of a real node does.
            let next = (self.nodes[number].keeper + 1) % self.keepers.len();
            self.nodes[number].keeper = next;
        }
        let restarts = self.now < self.calm_start && self.rng.random_bool(0.01);
        if restarts {
            let downtime = self.random_duration(Duration::from_secs(8));
            return self.schedule_after(downtime, SimEvent::RestartNode(number));
        }
        let pause = if is_useful { Duration::from_millis(1) } else { Duration::from_millis(200) };
        self.schedule_after(pause, SimEvent::Pull(number));
    }

    /// Applies the settings of a pull reply; returns whether the reply was useful.
    fn apply_settings(&mut self, number: usize, reply: PullReply) -> bool {
        let have = self.nodes[number].settings.clone();
        let (version, tree) = match reply {
            PullReply::Unsure { .. } => return false,
            PullReply::Current => return true,
            PullReply::Snapshot { version, tree } => (version, tree),
            PullReply::Delta { version, edits } => {
                let Some((_, tree)) = &have else { return false };
                let applied =
                    edits.iter().try_fold(tree.clone(), |tree, edits| tree.with_edits(edits));
                let Ok(tree) = applied else {
                    self.checks.violation(
                        self.now,
                        format!("node {number} received a delta that results in invalid settings"),
                    );
                    return false;
                };
                (version, tree)
            }
        };
        if have.is_some_and(|(have, _)| version < have) {
            self.checks.violation(
                self.now,
                format!("node {number} received version {version} after a newer one"),
            );
            return false;
        }
        self.checks.version_observed(self.now, version, &tree);
        self.checks.summary.settings_received += 1;
        self.nodes[number].settings = Some((version, tree));
        true
    }
}
