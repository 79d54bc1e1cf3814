//! The keepers' disks: what is stored, refused and lost.

use consensus::Record;
use keeper::{Action, Keeper};
use model::{NodeName, Time};
use rand::Rng;

use super::simulation::KeeperSimulation;

/// Most records of a batch that a loss of power leaves.
const MAX_TORN_RECORDS: usize = 3;

/// One keeper with its disk.
pub(crate) struct KeeperNode {
    pub name: NodeName,
    pub keeper: Option<Keeper>,
    pub disk: Vec<Record>,
    pub stalled_until: Time,
    pub cut_off: bool,
    pub tick_at: Option<Time>,
    /// The disk takes nothing more.
    pub full: bool,
    /// What it has refused in this life.
    pub refused_actions: Vec<Action>,
    /// It was moved to another host, and does not start here.
    pub removed: bool,
}

impl KeeperNode {
    /// One that has not started yet.
    pub fn new(name: NodeName, disk: Vec<Record>, now: Time) -> Self {
        Self {
            name,
            keeper: None,
            disk,
            stalled_until: now,
            cut_off: false,
            tick_at: None,
            full: false,
            refused_actions: Vec::new(),
            removed: false,
        }
    }

    /// Whether its disk holds all that it acknowledged.
    pub fn holds_acknowledged(&self) -> bool {
        let states = self.disk.iter().rev().filter_map(|record| match record {
            Record::Blank(blank) => Some(!blank),
            _ => None,
        });
        states.into_iter().next().unwrap_or(false)
    }

    /// The last entry on its disk.
    pub fn last_entry_index(&self) -> u64 {
        let entries = self.disk.iter().rev().find_map(|record| match record {
            Record::Append(entries) => entries.last().map(|entry| entry.index),
            Record::Snapshot(snapshot) => Some(snapshot.index),
            _ => None,
        });
        entries.unwrap_or(0)
    }
}

fn is_store(action: &Action) -> bool {
    matches!(action, Action::Store(_) | Action::Rewrite(_))
}

impl KeeperSimulation {
    /// Stores what is to be stored; returns what the keeper does then, or instead where its disk is full.
    pub fn store_or_refuse(&mut self, number: usize, actions: Vec<Action>) -> Vec<Action> {
        if self.keepers[number].full && actions.iter().any(is_store) {
            return self.refuse(number, actions);
        }
        self.store(number, &actions);
        actions
    }

    /// Empties a dead keeper's disk.
    pub fn lose_disk(&mut self, number: usize) {
        self.keepers[number].disk = self.topology.empty_disk();
        self.checks.summary.disks_lost += 1;
    }

    /// Ends a keeper while it stores what the next message to it leads to: of that, some of the first
    /// records are on its disk, and nothing that was to follow is done.
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

    /// What is stored is synced before anything else is done.
    fn store(&mut self, number: usize, actions: &[Action]) {
        let disk = &mut self.keepers[number].disk;
        for action in actions {
            match action {
                Action::Store(records) => disk.extend(records.clone()),
                Action::Rewrite(records) => *disk = records.clone(),
                _ => {}
            }
        }
    }

    /// A full disk refuses what is to be stored; returns what the keeper does instead.
    fn refuse(&mut self, number: usize, actions: Vec<Action>) -> Vec<Action> {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        let Some(machine) = &mut keeper.keeper else { return Vec::new() };
        if !keeper.refused_actions.is_empty() {
            self.checks.violation(now, "a keeper stores on a disk that it knows to be full");
            return Vec::new();
        }
        keeper.refused_actions =
            actions.iter().filter(|action| is_store(action)).cloned().collect();
        let mut instead = Vec::new();
        machine.disk_is_full(now, actions, &mut instead);
        self.checks.summary.full_disks += 1;
        instead
    }

    /// A disk has room: what it has refused is stored.
    pub fn free_disk(&mut self, number: usize) {
        let refused = std::mem::take(&mut self.keepers[number].refused_actions);
        self.keepers[number].full = false;
        let Some(machine) = &mut self.keepers[number].keeper else { return };
        machine.disk_is_writable();
        self.store(number, &refused);
    }
}
