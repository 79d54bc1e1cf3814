//! Invariants of elections and settings, checked only by what operators and nodes observe and
//! keepers log.

use std::collections::{BTreeMap, HashMap, HashSet};

use model::Time;
use settings::Tree;

use crate::Violation;

/// Counters of one run of keepers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeeperSummary {
    /// Changes that were acknowledged as accepted.
    pub accepted: u64,
    /// Changes that were acknowledged as refused.
    pub refused: u64,
    /// Changes that an operator gave up without knowing their outcome.
    pub unknown: u64,
    /// Reads of the settings that were answered.
    pub reads: u64,
    /// Snapshots and deltas of the settings that nodes applied.
    pub settings_received: u64,
    /// Elections that were won.
    pub elections: u64,
    /// Disks that were lost.
    pub disks_lost: u64,
    /// Power losses of all keepers, each right after an acknowledgement.
    pub power_losses: u64,
    /// Writes that were refused by a full disk.
    pub refused_writes: u64,
    /// Injected faults.
    pub faults: u64,
    /// Hall commands that were acknowledged.
    pub hall_commands: u64,
    /// Acknowledged hall commands without faults, whose time was checked.
    pub timed_hall_commands: u64,
    /// Keepers that were replaced by one on another host.
    pub moves: u64,
    /// Replaced keepers that returned with their old disk.
    pub returned_keepers: u64,
    /// Disks that were lost a second time right after a restart of their keeper.
    pub disks_lost_twice: u64,
}

impl KeeperSummary {
    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.reads += other.reads;
        self.settings_received += other.settings_received;
        self.elections += other.elections;
        self.disks_lost += other.disks_lost;
        self.power_losses += other.power_losses;
        self.refused_writes += other.refused_writes;
        self.faults += other.faults;
        self.hall_commands += other.hall_commands;
        self.timed_hall_commands += other.timed_hall_commands;
        self.moves += other.moves;
        self.returned_keepers += other.returned_keepers;
        self.disks_lost_twice += other.disks_lost_twice;
    }
}

/// Checks every election, reply and version, and counts them.
#[derive(Debug, Default)]
pub(crate) struct KeeperChecks {
    pub violations: Vec<Violation>,
    pub summary: KeeperSummary,
    /// The leader of each term.
    leaders: HashMap<u64, String>,
    /// The tree of each version that a keeper, a node or an operator had.
    trees: BTreeMap<u64, Tree>,
    /// The version that each accepted change created.
    accepted: HashMap<String, u64>,
    /// Changes that were acknowledged as accepted; a repeated acknowledgement may name an old
    /// version.
    acknowledged: HashSet<String>,
    /// The highest version that was acknowledged or read.
    newest_reported: u64,
}

impl KeeperChecks {
    pub fn violation(&mut self, time: Time, description: impl Into<String>) {
        self.violations.push(Violation { time, description: description.into() });
    }

    /// Checks that a term has only one leader.
    pub fn leader_elected(&mut self, time: Time, name: &str, term: u64) {
        self.summary.elections += 1;
        let first = self.leaders.entry(term).or_insert_with(|| name.to_owned()).clone();
        if first != name {
            self.violation(time, format!("keepers {first} and {name} both lead in term {term}"));
        }
    }

    /// Checks that a version always has the same tree.
    pub fn version_observed(&mut self, time: Time, version: u64, tree: &Tree) {
        let first = self.trees.entry(version).or_insert_with(|| tree.clone());
        if first != tree {
            self.violation(time, format!("version {version} has two trees"));
        }
    }

    /// Returns the highest version that was acknowledged or read so far.
    pub fn newest_reported(&self) -> u64 {
        self.newest_reported
    }

    /// Checks a read of the settings, where `newest` was the highest reported version when it was
    /// sent.
    pub fn version_read(&mut self, time: Time, version: u64, tree: &Tree, newest: u64) {
        self.summary.reads += 1;
        self.version_observed(time, version, tree);
        if version < newest {
            self.violation(
                time,
                format!("read version {version} after version {newest} was reported"),
            );
        }
        self.newest_reported = self.newest_reported.max(version);
    }

    /// Checks an accepted change, where `newest` was the highest reported version when it was first
    /// sent.
    pub fn change_accepted(&mut self, time: Time, change: &str, version: u64, newest: u64) {
        self.summary.accepted += 1;
        let first = *self.accepted.entry(change.to_owned()).or_insert(version);
        if first != version {
            self.violation(
                time,
                format!("change {change} was accepted as versions {first} and {version}"),
            );
        }
        let others = self.accepted.iter().filter(|(id, v)| **v == version && *id != change).count();
        if others > 0 {
            self.violation(time, format!("version {version} was assigned to two changes"));
        }
        let is_repeated = self.acknowledged.contains(change);
        if version <= newest && !is_repeated {
            let description = format!(
                "change {change} was accepted as version {version} after version {newest} was reported"
            );
            self.violation(time, description);
        }
        self.acknowledged.insert(change.to_owned());
        self.newest_reported = self.newest_reported.max(version);
    }

    /// Checks that a refused change was not accepted before.
    pub fn change_refused(&mut self, time: Time, change: &str) {
        self.summary.refused += 1;
        if self.accepted.contains_key(change) {
            self.violation(time, format!("change {change} was refused after it was accepted"));
        }
    }

    /// Returns the versions of all acknowledged changes.
    pub fn accepted_versions(&self) -> impl Iterator<Item = u64> + '_ {
        self.accepted.values().copied()
    }
}
