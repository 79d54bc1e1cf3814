//! What a replica has to keep on its disk.

use model::NodeName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::log::{Entry, Index, Log, Term};

/// The state machine's state after an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// Every replica.
    pub members: Vec<NodeName>,
    /// The state, as the state machine writes it.
    pub state: Vec<u8>,
}

/// One record of a replica's journal, in the order of writing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The state that everything after it builds on; the first record.
    Snapshot(Snapshot),
    /// Whether the replica began on an empty disk and has not caught up: it does not vote.
    Blank(bool),
    /// The term, and whom it voted for in it.
    Vote {
        /// The term.
        term: Term,
        /// Whom it voted for, if anyone.
        voted_for: Option<NodeName>,
    },
    /// Entries that follow the last one.
    Append(Vec<Entry>),
    /// The entries from an index on are void.
    Truncate(Index),
    /// Every entry up to an index was committed when this was written. Only written together with
    /// other records, so that it costs no sync of its own: it may be behind.
    Commit(Index),
}

/// Why records lead to no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecoverError {
    /// There is no snapshot to begin with.
    #[error("the first record is no snapshot")]
    NoSnapshot,
    /// Entries do not follow each other.
    #[error("entry {got} follows entry {last}")]
    Gap {
        /// The last entry.
        last: Index,
        /// The one that came.
        got: Index,
    },
}

/// What records lead to.
#[derive(Clone, Debug)]
pub(crate) struct Recovered {
    pub log: Log,
    pub term: Term,
    pub voted_for: Option<NodeName>,
    pub blank: bool,
    pub commit: Index,
}

/// The last entry that the state of a new cluster covers; higher than that of an empty disk, so
/// that a replica on one is sent the state first.
const INITIAL_INDEX: Index = 1;

/// The records of a replica of a new cluster.
pub fn initial_records(members: Vec<NodeName>, state: Vec<u8>) -> Vec<Record> {
    let snapshot = Snapshot { index: INITIAL_INDEX, term: 0, members, state };
    vec![Record::Snapshot(snapshot), Record::Blank(false)]
}

/// Replays records.
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
            return Err(RecoverError::Gap { last, got: entry.index });
        }
        log.push(entry);
    }
    Ok(())
}
