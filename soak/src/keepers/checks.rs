//! What must always hold of the settings, checked from outside.

use std::collections::{BTreeMap, HashMap, HashSet};

use model::Time;
use settings::Tree;

use crate::Violation;

/// What a run of keepers did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeeperSummary {
    /// Changes that an operator was told are accepted.
    pub accepted: u64,
    /// Changes that an operator was told are refused.
    pub refused: u64,
    /// Tries whose outcome stayed unknown to the operator.
    pub unknown: u64,
    /// Reads answered.
    pub reads: u64,
    /// Versions that came into force at a node.
    pub settings_received: u64,
    /// Elections won.
    pub elections: u64,
    /// Disks lost.
    pub disks_lost: u64,
    /// Losses of all power, each right after an acknowledgement.
    pub power_losses: u64,
    /// Times that a full disk refused what was to be stored.
    pub full_disks: u64,
    /// Faults that happened.
    pub faults: u64,
    /// Orders for halls that were acknowledged.
    pub hall_commands: u64,
    /// Keepers that were moved to another host,
    pub moves: u64,
    /// and of these such as came back with the disk that they had.
    pub repaired: u64,
    /// Disks that were lost again right after their keeper's return.
    pub wiped_twice: u64,
}

impl KeeperSummary {
    /// Adds another run's numbers.
    pub fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.reads += other.reads;
        self.settings_received += other.settings_received;
        self.elections += other.elections;
        self.disks_lost += other.disks_lost;
        self.power_losses += other.power_losses;
        self.full_disks += other.full_disks;
        self.faults += other.faults;
        self.hall_commands += other.hall_commands;
        self.moves += other.moves;
        self.repaired += other.repaired;
        self.wiped_twice += other.wiped_twice;
    }
}

/// Watches every commit, answer and version.
#[derive(Debug, Default)]
pub(crate) struct KeeperChecks {
    pub violations: Vec<Violation>,
    pub summary: KeeperSummary,
    /// The leader of each term.
    leaders: HashMap<u64, String>,
    /// The tree of each version that anyone has seen.
    trees: BTreeMap<u64, Tree>,
    /// The version that each change was told to have made.
    accepted: HashMap<String, u64>,
    /// Changes that an operator was told of before.
    resent: HashSet<String>,
    /// The highest version that an operator was told of, or that was read.
    newest_reported: u64,
}

impl KeeperChecks {
    pub fn violation(&mut self, time: Time, description: impl Into<String>) {
        self.violations.push(Violation { time, description: description.into() });
    }

    /// A replica won an election: one a term.
    pub fn leader_elected(&mut self, time: Time, name: &str, term: u64) {
        self.summary.elections += 1;
        let first = self.leaders.entry(term).or_insert_with(|| name.to_owned()).clone();
        if first != name {
            self.violation(time, format!("{first} and {name} lead in term {term}"));
        }
    }

    /// A tree was seen in a version: a version has one tree.
    pub fn version_seen(&mut self, time: Time, version: u64, tree: &Tree) {
        let first = self.trees.entry(version).or_insert_with(|| tree.clone());
        if first != tree {
            self.violation(time, format!("version {version} has two trees"));
        }
    }

    /// The newest version that anyone was told of up to now.
    pub fn newest_reported(&self) -> u64 {
        self.newest_reported
    }

    /// An operator read a version; `newest` was told to someone before it asked.
    pub fn version_read(&mut self, time: Time, version: u64, tree: &Tree, newest: u64) {
        self.summary.reads += 1;
        self.version_seen(time, version, tree);
        if version < newest {
            self.violation(time, format!("read version {version} after {newest} was told"));
        }
        self.newest_reported = self.newest_reported.max(version);
    }

    /// An operator was told that its change is accepted; `newest` was told before it first asked.
    pub fn change_accepted(&mut self, time: Time, change: &str, version: u64, newest: u64) {
        self.summary.accepted += 1;
        let first = *self.accepted.entry(change.to_owned()).or_insert(version);
        if first != version {
            self.violation(time, format!("change {change} made versions {first} and {version}"));
        }
        let others = self.accepted.iter().filter(|(id, v)| **v == version && *id != change).count();
        if others > 0 {
            self.violation(time, format!("version {version} was made twice"));
        }
        let resent = self.resent.contains(change);
        if version <= newest && !resent {
            let description = format!("change {change} made {version} after {newest} was told");
            self.violation(time, description);
        }
        self.resent.insert(change.to_owned());
        self.newest_reported = self.newest_reported.max(version);
    }

    /// An operator was told that its change is refused.
    pub fn change_refused(&mut self, time: Time, change: &str) {
        self.summary.refused += 1;
        if self.accepted.contains_key(change) {
            self.violation(time, format!("change {change} was accepted, then refused"));
        }
    }

    /// The changes that operators were told of are all in a tree's history at the end.
    pub fn accepted_versions(&self) -> impl Iterator<Item = u64> + '_ {
        self.accepted.values().copied()
    }
}
