//! The disks of keepers: writes, refusal of writes, and loss.

use consensus::Record;
use keeper::{Action, Keeper};
use model::{NodeName, Time};
use rand::Rng;

use super::simulation::KeeperSimulation;

/// Most records of the last write that a power loss leaves on disk.
const MAX_TORN_RECORDS: usize = 3;

/// A keeper with its disk.
pub(crate) struct KeeperNode {
    pub name: NodeName,
    pub keeper: Option<Keeper>,
    pub disk: Vec<Record>,
    pub stalled_until: Time,
    /// Whether the messages between this keeper and the others are lost.
    pub isolated: bool,
    pub tick_at: Option<Time>,
    /// Whether the disk refuses writes.
    pub full: bool,
    /// Writes that the full disk refused since the keeper started.
    pub refused_actions: Vec<Action>,
    /// Whether the keeper was replaced by one on another host and has not returned.
    pub removed: bool,
}

impl KeeperNode {
    /// Creates a keeper that has not started yet.
    pub fn new(name: NodeName, disk: Vec<Record>, now: Time) -> Self {
        Self {
            name,
            keeper: None,
            disk,
            stalled_until: now,
            isolated: false,
            tick_at: None,
            full: false,
            refused_actions: Vec::new(),
            removed: false,
        }
    }

    /// Whether the disk holds all records that the keeper acknowledged: `Record::Blank` marks a
    /// disk that started empty until the keeper has caught up.
    pub fn holds_acknowledged(&self) -> bool {
        let states = self.disk.iter().rev().filter_map(|record| match record {
            Record::Blank(blank) => Some(!blank),
            _ => None,
        });
        states.into_iter().next().unwrap_or(false)
    }

    /// Returns the index of the last log entry on the disk, or 0.
    pub fn last_entry_index(&self) -> u64 {
        let last_index = self.disk.iter().rev().find_map(|record| match record {
            Record::Append(entries) => entries.last().map(|entry| entry.index),
            Record::Snapshot(snapshot) => Some(snapshot.index),
            _ => None,
        });
        last_index.unwrap_or(0)
    }
}

fn is_store(action: &Action) -> bool {
    matches!(action, Action::Store(_) | Action::Rewrite(_))
}

impl KeeperSimulation {
    /// Applies the writes among `actions`. Returns the actions to execute next, which the keeper
    /// replaces if its disk is full.
    pub fn store_or_refuse(&mut self, number: usize, actions: Vec<Action>) -> Vec<Action> {
        if self.keepers[number].full && actions.iter().any(is_store) {
            return self.refuse_writes(number, actions);
        }
        self.store_records(number, &actions);
        actions
    }

    /// Replaces the disk of a stopped keeper by an empty one.
    pub fn lose_disk(&mut self, number: usize) {
        self.keepers[number].disk = self.topology.empty_disk();
        self.checks.summary.disks_lost += 1;
    }

    /// Kills a keeper while it writes the result of its next message: only some of the first
    /// records reach the disk, and no other action is executed.
    pub fn crash_while_storing(&mut self, number: usize) {
        let now = self.now;
        let message = self.next_message(number);
        let kept = self.rng.random_range(0..=MAX_TORN_RECORDS);
        let keeper = &mut self.keepers[number];
        let Some(mut machine) = keeper.keeper.take() else { return };
        let Some(event) = message else { return };
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        let stores = actions.into_iter().map_while(|action| match action {
            Action::Rewrite(_) => None,
            Action::Store(records) => Some(records),
            _ => Some(Vec::new()),
        });
        keeper.disk.extend(stores.flatten().take(kept));
    }

    /// Writes records; they count as synced before any other action.
    fn store_records(&mut self, number: usize, actions: &[Action]) {
        let disk = &mut self.keepers[number].disk;
        for action in actions {
            match action {
                Action::Store(records) => disk.extend(records.clone()),
                Action::Rewrite(records) => *disk = records.clone(),
                _ => {}
            }
        }
    }

    /// Refuses all writes among `actions`; returns the actions that replace them.
    fn refuse_writes(&mut self, number: usize, actions: Vec<Action>) -> Vec<Action> {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        let Some(machine) = &mut keeper.keeper else { return Vec::new() };
        if !keeper.refused_actions.is_empty() {
            self.checks.violation(
                now,
                format!("keeper {number} writes to a disk that it knows to be full"),
            );
            return Vec::new();
        }
        keeper.refused_actions =
            actions.iter().filter(|action| is_store(action)).cloned().collect();
        let mut replacement = Vec::new();
        machine.disk_is_full(now, actions, &mut replacement);
        self.checks.summary.refused_writes += 1;
        replacement
    }

    /// Ends the refusal of writes and applies the refused ones.
    pub fn free_disk(&mut self, number: usize) {
        let refused = std::mem::take(&mut self.keepers[number].refused_actions);
        self.keepers[number].full = false;
        let Some(machine) = &mut self.keepers[number].keeper else { return };
        machine.disk_is_writable();
        self.store_records(number, &refused);
    }
}
