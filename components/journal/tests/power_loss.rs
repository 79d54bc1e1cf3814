//! Journals after a loss of power: every unsynced write there, missing or torn.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use journal::{Journal, JournalError};
use tempfile::TempDir;

/// A journal's file as a loss of power may have found it.
struct Struck {
    _folder: TempDir,
    path: PathBuf,
    /// What was synced.
    synced: Vec<u8>,
    /// Bytes written after the last sync, before the batch that was lost: they name what was synced.
    mark: Vec<u8>,
    /// The batch that was written and not synced.
    batch: Vec<u8>,
}

/// Records that were synced, one by one.
const SYNCED: [&[u8]; 2] = [b"first\0\0", b"second"];
/// The records of the batch that was not.
const UNSYNCED: [&[u8]; 2] = [b"third\0", b"4"];
/// Bytes of a record but its payload.
const AROUND: usize = 13;

impl Struck {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("log");
        let mut journal = Journal::open(&path).unwrap().journal;
        for record in SYNCED {
            journal.append(record);
            journal.sync().unwrap();
        }
        let before = fs::read(&path).unwrap();
        UNSYNCED.iter().for_each(|record| journal.append(record));
        journal.sync().unwrap();
        let after = fs::read(&path).unwrap();
        let length: usize = UNSYNCED.iter().map(|record| record.len() + AROUND).sum();
        let batch = after[before.len()..before.len() + length].to_vec();
        let last = SYNCED[1];
        let place = before.windows(last.len()).rposition(|bytes| bytes == last).unwrap();
        // Behind the payload stands one byte of the record.
        let (synced, mark) = before.split_at(place + last.len() + 1);
        let (synced, mark) = (synced.to_vec(), mark.to_vec());
        Self { _folder: folder, path, synced, mark, batch }
    }

    /// Opens the file with these bytes behind what was synced, and writes on; returns how many records
    /// of the lost batch were there.
    fn open_with(&self, tail: &[u8], story: &str) -> usize {
        let bytes = [self.synced.as_slice(), tail].concat();
        fs::write(&self.path, bytes).unwrap();
        let opened = Journal::open(&self.path);
        let mut opened = opened.unwrap_or_else(|error| panic!("{story}: {error}"));
        let all: Vec<Vec<u8>> =
            SYNCED.iter().chain(&UNSYNCED).map(|record| record.to_vec()).collect();
        let count = opened.records.len();
        assert!(count >= SYNCED.len(), "{story}: synced records are gone");
        assert_eq!(opened.records, all[..count], "{story}");
        opened.journal.append(b"after");
        opened.journal.sync().unwrap();
        let again = Journal::open(&self.path).unwrap().records;
        assert_eq!(again.len(), count + 1, "{story}: what was written later is gone");
        count - SYNCED.len()
    }
}

/// A write of which only the bytes from `from` up to `to` are missing.
fn without(write: &[u8], from: usize, to: usize) -> Vec<u8> {
    let mut torn = write.to_vec();
    torn[from..to].fill(0);
    torn
}

/// What users would see: after a loss of power a keeper does not come back, and where every other
/// survivor is needed for a majority, no operator is answered until someone looks at its disk. Order
/// of events: a batch is being written as power fails; its first bytes are missing and its last
/// are there. Cause: a record that does not check out was taken for damage of synced bytes unless the
/// file ended in zeros. Evidence: the file is refused with the offset where the batch began.
#[test]
fn a_write_that_was_torn_anywhere_is_cut_off() {
    let struck = Struck::new();
    let whole = struck.batch.len();
    for from in 0..whole {
        for to in (from + 1..=whole).step_by(3).chain([whole]) {
            let torn = without(&struck.batch, from, to);
            let tail = [struck.mark.as_slice(), &torn].concat();
            let there = struck.open_with(&tail, &format!("bytes {from} to {to} are missing"));
            assert!(there < 2 || torn == struck.batch);
        }
        let tail = [struck.mark.as_slice(), &struck.batch[..from]].concat();
        struck.open_with(&tail, &format!("cut at {from}"));
    }
}

#[test]
fn a_batch_that_is_there_whole_counts() {
    let struck = Struck::new();
    let tail = [struck.mark.as_slice(), &struck.batch].concat();
    assert_eq!(struck.open_with(&tail, "all is there"), 2);
}

#[test]
fn writes_that_reached_the_disk_in_another_order_are_cut_off() {
    let struck = Struck::new();
    let (mark, batch) = (&struck.mark, &struck.batch);
    struck.open_with(&[], "nothing is there");
    for from in 0..mark.len() {
        for to in from + 1..=mark.len() {
            let torn = without(mark, from, to);
            let tail = [torn.as_slice(), batch].concat();
            struck.open_with(&tail, &format!("the mark lacks {from} to {to}, the batch is there"));
            let half = without(batch, 0, batch.len() / 2);
            let tail = [torn.as_slice(), &half].concat();
            struck.open_with(&tail, &format!("the mark lacks {from} to {to}, the batch its head"));
        }
        struck.open_with(&mark[..from], &format!("the mark is cut at {from}"));
    }
}

fn is_refused(path: &Path, bytes: &[u8], at: usize) {
    fs::write(path, bytes).unwrap();
    match Journal::open(path) {
        Err(JournalError::Damaged { offset, .. }) => assert!(offset as usize <= at),
        Err(JournalError::NotAJournal { .. }) => assert!(at < 8),
        Err(other) => panic!("{other}"),
        Ok(_) => panic!("a flipped bit of byte {at} went unseen"),
    }
}

#[test]
fn damage_of_what_was_synced_is_refused_also_before_a_torn_write() {
    let struck = Struck::new();
    let (mark, batch) = (&struck.mark, &struck.batch);
    let tails = [batch[..5].to_vec(), without(batch, 0, 9), without(batch, 4, batch.len())];
    for tail in tails {
        for byte in 0..struck.synced.len() {
            let mut bytes = [struck.synced.as_slice(), mark, &tail].concat();
            bytes[byte] ^= 0x10;
            is_refused(&struck.path, &bytes, byte);
        }
    }
}

/// What users would see: an acknowledged configuration that is gone after a kill of a keeper and a
/// loss of power later. Order of events: a keeper is killed after it wrote a batch and before it
/// synced it; it comes back, finds the batch in the file, and counts it as its own; power fails
/// before its next sync. Cause: what a file holds when it is opened was taken for synced. Evidence, for
/// want of a disk that forgets: the file stays the one whose last records were never synced.
#[test]
fn records_that_were_perhaps_never_synced_are_written_anew_before_they_count() {
    let struck = Struck::new();
    let bytes = [struck.synced.as_slice(), &struck.mark, &struck.batch].concat();
    fs::write(&struck.path, &bytes).unwrap();
    let before = fs::metadata(&struck.path).unwrap().ino();
    assert_eq!(Journal::open(&struck.path).unwrap().records.len(), 4);
    assert_ne!(fs::metadata(&struck.path).unwrap().ino(), before, "it is the same file");
    // They are synced from then on, so that damage of any of them is refused.
    let opened = fs::read(&struck.path).unwrap();
    for byte in 0..opened.len() {
        let mut flipped = opened.clone();
        flipped[byte] ^= 0x10;
        is_refused(&struck.path, &flipped, byte);
    }
}

#[test]
fn a_file_of_which_all_was_synced_is_left_as_it_is() {
    let struck = Struck::new();
    let before = fs::metadata(&struck.path).unwrap().ino();
    let bytes = fs::read(&struck.path).unwrap();
    assert_eq!(Journal::open(&struck.path).unwrap().records.len(), 4);
    assert_eq!(fs::metadata(&struck.path).unwrap().ino(), before);
    assert_eq!(fs::read(&struck.path).unwrap(), bytes);
}

/// A record's bytes, as they are in every format.
fn record(payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(payload);
    bytes.push(0xA5);
    bytes
}

#[test]
fn a_file_of_the_first_format_is_read_and_goes_on_in_the_newer() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let first = [b"dockjrn1".as_slice(), &record(b"one"), &record(b"two"), &[7; 5]].concat();
    fs::write(&path, &first).unwrap();
    let mut opened = Journal::open(&path).unwrap();
    assert_eq!((opened.records.len(), opened.truncated_bytes), (2, 5));
    opened.journal.append(b"three");
    opened.journal.sync().unwrap();
    let opened = Journal::open(&path).unwrap();
    assert_eq!(opened.records, [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(opened.truncated_bytes, 0);
}

/// What users would see: a keeper whose journal can't be looked at begins anew on an empty one, and what
/// it had acknowledged is gone. Cause: a file that could not be looked at was taken for one that is
/// not there.
#[test]
fn a_journal_that_cannot_be_read_is_not_taken_for_none() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    // A link to itself: looking at it fails, though a name is there.
    std::os::unix::fs::symlink(&path, &path).unwrap();
    assert!(matches!(Journal::open(&path), Err(JournalError::Io { .. })));
    assert!(path.is_symlink(), "it was replaced");
}
