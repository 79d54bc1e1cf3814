//! A keeper's journal: writes the records of a batch and retries while the disk is full.

use std::path::Path;
use std::time::Duration;

use consensus::Record;
use journal::{Disk, Journal, JournalError};
use keeper::Action;
use model::Time;

use super::KeeperError;

/// Interval between two attempts to write to a full disk. Space is freed by operators or other
/// programs within seconds, and an attempt costs a write of what is pending.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A journal and the state of its disk.
pub(super) struct Storage {
    journal: Journal,
    full: Option<FullDisk>,
}

/// A full disk with unwritten records.
#[derive(Clone, Copy, Debug)]
struct FullDisk {
    since: Time,
    retry_at: Time,
}

impl Storage {
    /// Wraps a journal that was just opened. The disk counts as full if the journal has unwritten
    /// records.
    pub fn new(journal: Journal, now: Time) -> Self {
        let full = (!journal.is_synced()).then(|| FullDisk::new(now));
        Self { journal, full }
    }

    /// Returns whether records are unwritten because the disk is full.
    pub fn is_full(&self) -> bool {
        self.full.is_some()
    }

    /// Returns when the next write to a full disk is due.
    pub fn retry_at(&self) -> Option<Time> {
        self.full.map(|full| full.retry_at)
    }

    /// Returns the size of the journal, in bytes.
    pub fn bytes(&self) -> u64 {
        self.journal.synced_bytes()
    }

    /// Writes the records of a batch of actions with one sync. If the disk is full, keeps them for
    /// a retry.
    pub fn store(&mut self, now: Time, actions: &[Action]) -> Result<(), JournalError> {
        for action in actions {
            match action {
                Action::Store(records) => {
                    records.iter().for_each(|record| self.journal.append(&encode_record(record)));
                }
                Action::Rewrite(records) => {
                    let records: Vec<Vec<u8>> = records.iter().map(encode_record).collect();
                    self.journal.replace(&records);
                }
                _ => {}
            }
        }
        let stored = self.journal.sync();
        if matches!(&stored, Err(error) if error.is_full()) {
            self.full = Some(FullDisk::new(now));
        }
        stored
    }

    /// Retries to write the kept records if a retry is due. Returns for how long the disk was full
    /// if the write succeeds.
    pub fn retry_store(&mut self, now: Time) -> Result<Option<Duration>, JournalError> {
        let Some(full) = self.full.as_mut().filter(|full| full.retry_at <= now) else {
            return Ok(None);
        };
        full.retry_at = now + STORE_RETRY_INTERVAL;
        let since = full.since;
        match self.journal.sync() {
            Err(error) if error.is_full() => return Ok(None),
            stored => stored?,
        }
        self.full = None;
        Ok(Some(now.since(since)))
    }
}

impl FullDisk {
    fn new(now: Time) -> Self {
        Self { since: now, retry_at: now + STORE_RETRY_INTERVAL }
    }
}

/// Opens a keeper's journal. Returns the journal, its records and the number of bytes cut off a
/// torn record at its end.
pub(super) fn open_journal(
    path: &Path,
    disk: Disk,
) -> Result<(Journal, Vec<Record>, u64), KeeperError> {
    let opened = Journal::open_on_disk(path, disk)?;
    let mut records = Vec::with_capacity(opened.records.len());
    for (number, bytes) in opened.records.iter().enumerate() {
        let record = bincode::deserialize(bytes).map_err(|_| KeeperError::InvalidRecord(number))?;
        records.push(record);
    }
    Ok((opened.journal, records, opened.truncated_bytes))
}

/// Encodes a record for the journal.
pub(super) fn encode_record(record: &Record) -> Vec<u8> {
    bincode::serialize(record).expect("a record serializes to bincode")
}
