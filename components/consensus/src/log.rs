//! The in-memory log: a snapshot and the entries after it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use model::NodeName;

use crate::Snapshot;

/// The position of an entry in the log, starting at 1; 0 is the position before the first entry.
pub type Index = u64;
/// The number of an election term.
pub type Term = u64;

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command; appended by a new leader.
    Empty,
    /// A state machine command, opaque to this crate.
    Command(Vec<u8>),
    /// The voting members from this entry on. Takes effect as soon as it is appended, committed or
    /// not. Consecutive lists differ by one replica, so that their majorities overlap.
    Members(Vec<NodeName>),
}

impl Payload {
    /// The size of the command in bytes.
    fn command_len(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Empty | Self::Members(_) => 0,
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the log.
    pub index: Index,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    pub snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// The indexes of the entries that changed the members, in ascending order.
    member_changes: Vec<Index>,
}

impl Log {
    pub fn new(snapshot: Snapshot) -> Self {
        Self { snapshot, entries: VecDeque::new(), member_changes: Vec::new() }
    }

    pub fn last_index(&self) -> Index {
        self.entries.back().map_or(self.snapshot.index, |entry| entry.index)
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term of the entry at `index`. `None` if the log ends before it, or if the snapshot
    /// covers it and it is not the last covered entry.
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

    /// All entries from `index` on.
    pub fn entries_from(&self, index: Index) -> Vec<Entry> {
        self.iter_from(index).cloned().collect()
    }

    /// The entries from `index` on for one message: at most `count` entries and `bytes` of
    /// commands, but at least one entry.
    pub fn batch(&self, index: Index, count: usize, bytes: usize) -> Vec<Entry> {
        let mut remaining = bytes;
        let mut fits = |entry: &&Entry| {
            let size = entry.payload.command_len();
            let fits = size <= remaining || entry.index == index;
            remaining = remaining.saturating_sub(size);
            fits
        };
        self.iter_from(index).take(count).take_while(|entry| fits(entry)).cloned().collect()
    }

    fn iter_from(&self, index: Index) -> impl Iterator<Item = &Entry> {
        let offset = index.saturating_sub(self.snapshot.index + 1);
        let skipped = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped)
    }

    /// The total size of the commands up to and including `index`.
    pub fn command_bytes_to(&self, index: Index) -> usize {
        let covered = self.entries.iter().take_while(|entry| entry.index <= index);
        covered.map(|entry| entry.payload.command_len()).sum()
    }

    /// Appends the entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if matches!(entry.payload, Payload::Members(_)) {
            self.member_changes.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.member_changes.retain(|index| *index < from);
    }

    /// Replaces the entries that the snapshot covers by the snapshot. Later entries are kept if the
    /// log contains the snapshot's last entry, and dropped otherwise.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
            self.member_changes.clear();
        }
        self.member_changes.retain(|index| *index > snapshot.index);
        self.snapshot = snapshot;
    }

    /// The voting members by the latest change in the log, committed or not.
    pub fn members(&self) -> &[NodeName] {
        self.members_at(Index::MAX)
    }

    /// The voting members after the entry at `at`.
    pub fn members_at(&self, at: Index) -> &[NodeName] {
        let latest = self.member_changes.iter().rev().find(|index| **index <= at);
        match latest.and_then(|index| self.get(*index)).map(|entry| &entry.payload) {
            Some(Payload::Members(members)) => members,
            _ => &self.snapshot.members,
        }
    }

    /// The index of the latest entry that changed the members; 0 if it is covered by the snapshot.
    pub fn last_member_change(&self) -> Index {
        self.member_changes.last().copied().unwrap_or(0)
    }

    /// The number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether a log whose last entry has this term and index is at least as up to date as this
    /// one.
    pub fn is_covered_by(&self, last_term: Term, last_index: Index) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }
}
