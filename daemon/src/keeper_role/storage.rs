//! A keeper's journal: what is stored of a batch, and what waits while the disk has no room.

use std::path::Path;
use std::time::Duration;

use consensus::Record;
use journal::{Disk, Journal, JournalError};
use keeper::Action;
use model::Time;

use super::KeeperError;

/// From one try to store what a full disk refused to the next: room is made by hand or by other programs, in
/// seconds; a try costs a write of what waits.
const STORE_AGAIN: Duration = Duration::from_millis(100);

/// A journal, and whether its disk is full.
pub(super) struct Storage {
    journal: Journal,
    full: Option<FullDisk>,
}

/// A disk without room, on which something waits to be stored.
#[derive(Clone, Copy, Debug)]
struct FullDisk {
    since: Time,
    again_at: Time,
}

impl Storage {
    /// A journal that was just opened. Where its disk had no room for that, it is full.
    pub fn new(journal: Journal, now: Time) -> Self {
        let full = (!journal.is_synced()).then(|| FullDisk::new(now));
        Self { journal, full }
    }

    /// Whether the disk has refused something that waits.
    pub fn is_full(&self) -> bool {
        self.full.is_some()
    }

    /// When a full disk is tried again.
    pub fn again_at(&self) -> Option<Time> {
        self.full.map(|full| full.again_at)
    }

    /// Bytes of the journal.
    pub fn bytes(&self) -> u64 {
        self.journal.synced_bytes()
    }

    /// Stores what a batch of actions asks for, with one sync. Where there is no room, it waits.
    pub fn store(&mut self, now: Time, actions: &[Action]) -> Result<(), JournalError> {
        for action in actions {
            match action {
                Action::Store(records) => {
                    records.iter().for_each(|record| self.journal.append(&write_record(record)));
                }
                Action::Rewrite(records) => {
                    let records: Vec<Vec<u8>> = records.iter().map(write_record).collect();
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

    /// Tries to store what waits, if a try is due. Returns for how long the disk was full, once it is not.
    pub fn store_again(&mut self, now: Time) -> Result<Option<Duration>, JournalError> {
        let Some(full) = self.full.as_mut().filter(|full| full.again_at <= now) else {
            return Ok(None);
        };
        full.again_at = now + STORE_AGAIN;
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
        Self { since: now, again_at: now + STORE_AGAIN }
    }
}

/// Reads a keeper's journal.
pub(super) fn read_journal(
    path: &Path,
    disk: Disk,
) -> Result<(Journal, Vec<Record>, u64), KeeperError> {
    let opened = Journal::open_on_disk(path, disk)?;
    let mut records = Vec::with_capacity(opened.records.len());
    for (number, bytes) in opened.records.iter().enumerate() {
        let record = bincode::deserialize(bytes).map_err(|_| KeeperError::BadRecord(number))?;
        records.push(record);
    }
    Ok((opened.journal, records, opened.truncated_bytes))
}

/// A record's bytes in the journal.
pub(super) fn write_record(record: &Record) -> Vec<u8> {
    bincode::serialize(record).expect("plain structs become bincode")
}
