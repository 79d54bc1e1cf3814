//! The log in memory: a snapshot and the entries after it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use model::NodeName;

use crate::Snapshot;

/// The place of an entry in the log, from 1; 0 is before the first.
pub type Index = u64;
/// Counts elections.
pub type Term = u64;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command of the state machine, as bytes.
    Command(Vec<u8>),
    /// The replicas that vote from this entry on. It counts as soon as it is in a log, committed or
    /// not; one entry adds or removes one replica, so that old and new majorities overlap.
    Members(Vec<NodeName>),
}

impl Payload {
    /// How large its command is.
    fn bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Empty | Self::Members(_) => 0,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    pub snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// The entries that changed the members, oldest first.
    changes: Vec<Index>,
}

impl Log {
    pub fn new(snapshot: Snapshot) -> Self {
        Self { snapshot, entries: VecDeque::new(), changes: Vec::new() }
    }

    pub fn last_index(&self) -> Index {
        self.entries.back().map_or(self.snapshot.index, |entry| entry.index)
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term of an entry; `None` for one that is not there, or only in the snapshot.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// All entries from an index on.
    pub fn from(&self, index: Index) -> Vec<Entry> {
        self.iter_from(index).cloned().collect()
    }

    /// The entries from an index on that are sent in one message: up to `count`, and up to so many bytes of
    /// commands, but one at least.
    pub fn batch(&self, index: Index, count: usize, bytes: usize) -> Vec<Entry> {
        let mut left = bytes;
        let mut fits = |entry: &&Entry| {
            let size = entry.payload.bytes();
            let fits = size <= left || entry.index == index;
            left = left.saturating_sub(size);
            fits
        };
        self.iter_from(index).take(count).take_while(|entry| fits(entry)).cloned().collect()
    }

    fn iter_from(&self, index: Index) -> impl Iterator<Item = &Entry> {
        let offset = index.saturating_sub(self.snapshot.index + 1);
        let skipped = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped)
    }

    /// Bytes of the commands up to an index.
    pub fn bytes_to(&self, index: Index) -> usize {
        let before = self.entries.iter().take_while(|entry| entry.index <= index);
        before.map(|entry| entry.payload.bytes()).sum()
    }

    /// Adds the entry that follows the last.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if matches!(entry.payload, Payload::Members(_)) {
            self.changes.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.changes.retain(|index| *index < from);
    }

    /// Replaces the entries up to the snapshot's by it; entries after it stay if they fit.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
            self.changes.clear();
        }
        self.changes.retain(|index| *index > snapshot.index);
        self.snapshot = snapshot;
    }

    /// Who votes: by the last entry that changed it, committed or not.
    pub fn members(&self) -> &[NodeName] {
        self.members_at(Index::MAX)
    }

    /// Who votes after an entry.
    pub fn members_at(&self, at: Index) -> &[NodeName] {
        let change = self.changes.iter().rev().find(|index| **index <= at);
        match change.and_then(|index| self.get(*index)).map(|entry| &entry.payload) {
            Some(Payload::Members(members)) => members,
            _ => &self.snapshot.members,
        }
    }

    /// The last entry that changed the members; 0 where it is only in the snapshot.
    pub fn last_change(&self) -> Index {
        self.changes.last().copied().unwrap_or(0)
    }

    /// Entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether a log that ends so is at least as complete as this one.
    pub fn is_covered_by(&self, last_term: Term, last_index: Index) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }
}
