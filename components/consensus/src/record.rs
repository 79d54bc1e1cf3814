//! The durable state of a replica: journal records and their replay.

use model::NodeName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::log::{Entry, Index, Log, Term};

/// The state machine's state after a committed entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The voting members after that entry.
    pub members: Vec<NodeName>,
    /// The serialized state; the format belongs to the state machine.
    pub state: Vec<u8>,
}

/// A record of a replica's journal. Records are replayed in the order of writing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The base that later records build on; always the first record.
    Snapshot(Snapshot),
    /// Whether the replica started on an empty disk and has not caught up; such a replica does not
    /// vote.
    Blank(bool),
    /// The current term and the vote cast in it.
    Vote {
        /// The current term.
        term: Term,
        /// The replica voted for, if any.
        voted_for: Option<NodeName>,
    },
    /// Entries that follow the last one.
    Append(Vec<Entry>),
    /// Removes the entries from this index on.
    Truncate(Index),
    /// Every entry up to this index is committed. Written only together with other records to save
    /// a sync, so it may lag behind the replica's commit index.
    Commit(Index),
}

/// Why journal records can't be replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecoverError {
    /// The journal does not start with a snapshot.
    #[error("the first journal record is not a snapshot")]
    NoSnapshot,
    /// The indexes of the entries are not consecutive.
    #[error("log entry {found} follows entry {last}; entries must be consecutive")]
    Gap {
        /// The index of the last entry before the gap.
        last: Index,
        /// The index of the entry after the gap.
        found: Index,
    },
}

/// The state after a replay of the journal.
#[derive(Clone, Debug)]
pub(crate) struct Recovered {
    pub log: Log,
    pub term: Term,
    pub voted_for: Option<NodeName>,
    pub blank: bool,
    pub commit: Index,
}

/// The index that the initial snapshot of a new cluster covers. Higher than the index 0 of a blank
/// replica, so that the snapshot is sent to blank replicas.
pub const INITIAL_INDEX: Index = 1;

/// The journal records that a founding replica of a new cluster starts with.
pub fn initial_records(members: Vec<NodeName>, state: Vec<u8>) -> Vec<Record> {
    let snapshot = Snapshot { index: INITIAL_INDEX, term: 0, members, state };
    vec![Record::Snapshot(snapshot), Record::Blank(false)]
}

/// Replays journal records.
pub(crate) fn recover(records: Vec<Record>) -> Result<Recovered, RecoverError> {
    let mut records = records.into_iter();
    let Some(Record::Snapshot(snapshot)) = records.next() else {
        return Err(RecoverError::NoSnapshot);
    };
    let log = Log::new(snapshot);
    let mut recovered = Recovered { log, term: 0, voted_for: None, blank: false, commit: 0 };
    for record in records {
        match record {
            Record::Snapshot(snapshot) => recovered.log.compact(snapshot),
            Record::Blank(blank) => recovered.blank = blank,
            Record::Vote { term, voted_for } => {
                recovered.term = term;
                recovered.voted_for = voted_for;
            }
            Record::Append(entries) => append(&mut recovered.log, entries)?,
            Record::Truncate(from) => recovered.log.truncate(from),
            Record::Commit(index) => recovered.commit = recovered.commit.max(index),
        }
    }
    let covered = recovered.log.snapshot.index;
    recovered.commit = recovered.commit.clamp(covered, recovered.log.last_index());
    recovered.term = recovered.term.max(recovered.log.last_term());
    Ok(recovered)
}

fn append(log: &mut Log, entries: Vec<Entry>) -> Result<(), RecoverError> {
    for entry in entries {
        let last = log.last_index();
        if entry.index != last + 1 {
            return Err(RecoverError::Gap { last, found: entry.index });
        }
        log.push(entry);
    }
    Ok(())
}
