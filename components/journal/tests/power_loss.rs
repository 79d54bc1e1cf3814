//! Tests of journals after a power loss: unsynced writes are complete, missing or torn.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use journal::{Journal, JournalError};
use tempfile::TempDir;

/// Parts of a journal file from which states after a power loss are built.
struct PowerLossCase {
    _directory: TempDir,
    path: PathBuf,
    /// The synced bytes.
    synced: Vec<u8>,
    /// The marker that was written after the last sync, before the lost batch.
    marker: Vec<u8>,
    /// The batch that was written but not synced.
    batch: Vec<u8>,
}

/// Records that were synced one by one.
const SYNCED: [&[u8]; 2] = [b"first\0\0", b"second"];
/// Records of the unsynced batch.
const UNSYNCED: [&[u8]; 2] = [b"third\0", b"4"];
/// Length of a record without its payload.
const RECORD_OVERHEAD: usize = 13;

impl PowerLossCase {
    fn new() -> Self {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("log");
        let mut journal = Journal::open(&path).unwrap().journal;
        for record in SYNCED {
            journal.append(record);
            journal.sync().unwrap();
        }
        let before = fs::read(&path).unwrap();
        UNSYNCED.iter().for_each(|record| journal.append(record));
        journal.sync().unwrap();
        let after = fs::read(&path).unwrap();
        let length: usize = UNSYNCED.iter().map(|record| record.len() + RECORD_OVERHEAD).sum();
        let batch = after[before.len()..before.len() + length].to_vec();
        let last = SYNCED[1];
        let payload_start = before.windows(last.len()).rposition(|bytes| bytes == last).unwrap();
        // One byte of the record follows the payload.
        let (synced, marker) = before.split_at(payload_start + last.len() + 1);
        let (synced, marker) = (synced.to_vec(), marker.to_vec());
        Self { _directory: directory, path, synced, marker, batch }
    }

    /// Opens a file of the synced bytes and `tail`, appends a record and reopens it. Returns how
    /// many records of the batch were recovered.
    fn recover_with_tail(&self, tail: &[u8], description: &str) -> usize {
        let bytes = [self.synced.as_slice(), tail].concat();
        fs::write(&self.path, bytes).unwrap();
        let opened = Journal::open(&self.path);
        let mut opened = opened.unwrap_or_else(|error| panic!("{description}: {error}"));
        let all: Vec<Vec<u8>> =
            SYNCED.iter().chain(&UNSYNCED).map(|record| record.to_vec()).collect();
        let count = opened.records.len();
        assert!(count >= SYNCED.len(), "{description}: synced records are lost");
        assert_eq!(opened.records, all[..count], "{description}");
        opened.journal.append(b"after");
        opened.journal.sync().unwrap();
        let again = Journal::open(&self.path).unwrap().records;
        assert_eq!(
            again.len(),
            count + 1,
            "{description}: the record appended after recovery is lost"
        );
        count - SYNCED.len()
    }
}

/// Returns a copy of a write with the bytes `from..to` zeroed.
fn with_zeroed(write: &[u8], from: usize, to: usize) -> Vec<u8> {
    let mut torn = write.to_vec();
    torn[from..to].fill(0);
    torn
}

/// Guards against taking a torn write with an intact end for damage, which would keep a keeper from
/// starting after a power loss.
#[test]
fn torn_write_is_discarded() {
    let case = PowerLossCase::new();
    let batch_len = case.batch.len();
    for from in 0..batch_len {
        for to in (from + 1..=batch_len).step_by(3).chain([batch_len]) {
            let torn = with_zeroed(&case.batch, from, to);
            let tail = [case.marker.as_slice(), &torn].concat();
            let recovered =
                case.recover_with_tail(&tail, &format!("bytes {from} to {to} are missing"));
            assert!(recovered < 2 || torn == case.batch);
        }
        let tail = [case.marker.as_slice(), &case.batch[..from]].concat();
        case.recover_with_tail(&tail, &format!("truncated at {from}"));
    }
}

#[test]
fn complete_unsynced_batch_is_recovered() {
    let case = PowerLossCase::new();
    let tail = [case.marker.as_slice(), &case.batch].concat();
    assert_eq!(case.recover_with_tail(&tail, "complete batch"), 2);
}

#[test]
fn reordered_writes_are_discarded() {
    let case = PowerLossCase::new();
    let (marker, batch) = (&case.marker, &case.batch);
    case.recover_with_tail(&[], "nothing after the synced bytes");
    for from in 0..marker.len() {
        for to in from + 1..=marker.len() {
            let torn = with_zeroed(marker, from, to);
            let tail = [torn.as_slice(), batch].concat();
            case.recover_with_tail(
                &tail,
                &format!("marker without bytes {from} to {to}, batch complete"),
            );
            let half_zeroed = with_zeroed(batch, 0, batch.len() / 2);
            let tail = [torn.as_slice(), &half_zeroed].concat();
            case.recover_with_tail(
                &tail,
                &format!("marker without bytes {from} to {to}, batch without its first half"),
            );
        }
        case.recover_with_tail(&marker[..from], &format!("marker truncated at {from}"));
    }
}

fn assert_refused(path: &Path, bytes: &[u8], at: usize) {
    fs::write(path, bytes).unwrap();
    match Journal::open(path) {
        Err(JournalError::Damaged { offset, .. }) => assert!(offset as usize <= at),
        Err(JournalError::NotAJournal { .. }) => assert!(at < 8),
        Err(other) => panic!("{other}"),
        Ok(_) => panic!("a flipped bit in byte {at} was not detected"),
    }
}

#[test]
fn damage_to_synced_bytes_before_a_torn_write_is_refused() {
    let case = PowerLossCase::new();
    let (marker, batch) = (&case.marker, &case.batch);
    let tails = [batch[..5].to_vec(), with_zeroed(batch, 0, 9), with_zeroed(batch, 4, batch.len())];
    for tail in tails {
        for byte in 0..case.synced.len() {
            let mut bytes = [case.synced.as_slice(), marker, &tail].concat();
            bytes[byte] ^= 0x10;
            assert_refused(&case.path, &bytes, byte);
        }
    }
}

/// Guards against losing acknowledged records: a batch left in the page cache by a killed process
/// must be rewritten and synced before it counts. A rewrite replaces the file.
#[test]
fn possibly_unsynced_records_are_rewritten_on_open() {
    let case = PowerLossCase::new();
    let bytes = [case.synced.as_slice(), &case.marker, &case.batch].concat();
    fs::write(&case.path, &bytes).unwrap();
    let before = fs::metadata(&case.path).unwrap().ino();
    assert_eq!(Journal::open(&case.path).unwrap().records.len(), 4);
    assert_ne!(fs::metadata(&case.path).unwrap().ino(), before, "the file was not replaced");
    // All records are synced now, so damage to any of them is refused.
    let opened = fs::read(&case.path).unwrap();
    for byte in 0..opened.len() {
        let mut flipped = opened.clone();
        flipped[byte] ^= 0x10;
        assert_refused(&case.path, &flipped, byte);
    }
}

#[test]
fn fully_synced_file_is_not_rewritten() {
    let case = PowerLossCase::new();
    let before = fs::metadata(&case.path).unwrap().ino();
    let bytes = fs::read(&case.path).unwrap();
    assert_eq!(Journal::open(&case.path).unwrap().records.len(), 4);
    assert_eq!(fs::metadata(&case.path).unwrap().ino(), before);
    assert_eq!(fs::read(&case.path).unwrap(), bytes);
}

/// Encodes a record; the encoding is the same in all format versions.
fn encode_record(payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(payload);
    bytes.push(0xA5);
    bytes
}

#[test]
fn version_1_file_is_read_and_migrated() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("log");
    let first =
        [b"dockjrn1".as_slice(), &encode_record(b"one"), &encode_record(b"two"), &[7; 5]].concat();
    fs::write(&path, &first).unwrap();
    let mut opened = Journal::open(&path).unwrap();
    assert_eq!((opened.records.len(), opened.truncated_bytes), (2, 5));
    opened.journal.append(b"three");
    opened.journal.sync().unwrap();
    let opened = Journal::open(&path).unwrap();
    assert_eq!(opened.records, [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(opened.truncated_bytes, 0);
}

/// Guards against replacing an unreadable journal with an empty one, which would lose acknowledged
/// records.
#[test]
fn unreadable_journal_is_not_replaced() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("log");
    // A symbolic link to itself: the name exists, but reading it fails.
    std::os::unix::fs::symlink(&path, &path).unwrap();
    assert!(matches!(Journal::open(&path), Err(JournalError::Io { .. })));
    assert!(path.is_symlink(), "the link was replaced");
}
