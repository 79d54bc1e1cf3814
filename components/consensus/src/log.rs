//! The log in memory: a snapshot and the entries after it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

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
}

impl Log {
    pub fn new(snapshot: Snapshot) -> Self {
        Self { snapshot, entries: VecDeque::new() }
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

    /// Up to `count` entries from an index on.
    pub fn from(&self, index: Index, count: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.snapshot.index + 1);
        let skipped = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped).take(count).cloned().collect()
    }

    /// Adds the entry that follows the last.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Replaces the entries up to the snapshot's by it; entries after it stay if they fit.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
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
