//! Tests of truncated, corrupt and failing journal files.

use std::fs;
use std::path::PathBuf;

use journal::{Journal, JournalError};
use proptest::prelude::*;
use tempfile::TempDir;

fn write_journal(records: &[&[u8]]) -> (TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("log");
    let mut journal = Journal::open(&path).unwrap().journal;
    for record in records {
        journal.append(record);
        journal.sync().unwrap();
    }
    (directory, path)
}

const RECORDS: [&[u8]; 3] = [b"first\0\0", b"", b"third"];

#[test]
fn records_are_read_back_and_appending_continues() {
    let (_directory, path) = write_journal(&RECORDS);
    let mut opened = Journal::open(&path).unwrap();
    assert_eq!(
        (opened.records.as_slice(), opened.truncated_bytes),
        (&RECORDS.map(<[u8]>::to_vec)[..], 0)
    );
    opened.journal.append(b"fourth");
    opened.journal.sync().unwrap();
    assert_eq!(Journal::open(&path).unwrap().records.len(), 4);
}

/// Length of the sync marker at the end of a file.
const MARKER_LEN: usize = 16;

#[test]
fn truncated_file_keeps_its_complete_records() {
    let (_directory, path) = write_journal(&RECORDS);
    let complete = fs::read(&path).unwrap();
    let mut max_count = 0;
    for length in 8..complete.len() {
        for padding in [0, 5] {
            let mut truncated = complete[..length].to_vec();
            truncated.resize(length + padding, 0);
            fs::write(&path, &truncated).unwrap();
            let mut opened = Journal::open(&path).unwrap();
            let count = opened.records.len();
            assert_eq!(
                opened.records,
                RECORDS.map(<[u8]>::to_vec)[..count],
                "truncated at {length}"
            );
            assert!(count >= max_count, "records lost at {length}");
            assert_eq!(
                count == RECORDS.len(),
                length + MARKER_LEN >= complete.len(),
                "truncated at {length}"
            );
            max_count = count;
            opened.journal.append(b"after");
            opened.journal.sync().unwrap();
            assert_eq!(Journal::open(&path).unwrap().records.len(), count + 1);
        }
    }
    assert_eq!(max_count, RECORDS.len());
}

#[test]
fn flipped_bits_are_refused_with_offset() {
    let (_directory, path) = write_journal(&RECORDS);
    let complete = fs::read(&path).unwrap();
    for byte in 0..complete.len() {
        for bit in 0..8 {
            let mut flipped = complete.clone();
            flipped[byte] ^= 1 << bit;
            fs::write(&path, &flipped).unwrap();
            let error = Journal::open(&path).expect_err("a flipped bit was not detected");
            match error {
                JournalError::Damaged { offset, .. } => assert!(offset as usize <= byte),
                JournalError::NotAJournal { .. } => assert!(byte < 8),
                other => panic!("{other}"),
            }
        }
    }
}

#[test]
fn unsynced_records_are_not_read_back() {
    let (_directory, path) = write_journal(&RECORDS);
    let mut journal = Journal::open(&path).unwrap().journal;
    journal.append(b"never synced");
    drop(journal);
    assert_eq!(Journal::open(&path).unwrap().records.len(), 3);
}

#[test]
fn writes_are_refused_after_a_failed_write() {
    let (_directory, path) = write_journal(&RECORDS);
    let mut journal = Journal::open(&path).unwrap().journal;
    journal.fail_writes_for_test().unwrap();
    journal.append(b"lost");
    assert!(matches!(journal.sync(), Err(JournalError::Io { .. })));
    assert!(matches!(journal.sync(), Err(JournalError::Failed { .. })));
    assert!(matches!(journal.rewrite(&[]), Err(JournalError::Failed { .. })));
    assert_eq!(Journal::open(&path).unwrap().records.len(), 3);
}

#[test]
fn rewrite_is_atomic() {
    let (_directory, path) = write_journal(&RECORDS);
    let mut journal = Journal::open(&path).unwrap().journal;
    journal.rewrite(&[b"snapshot".to_vec()]).unwrap();
    journal.append(b"next");
    journal.sync().unwrap();
    fs::write(path.with_extension("new"), b"half").unwrap();
    let opened = Journal::open(&path).unwrap();
    assert_eq!(opened.records, [b"snapshot".to_vec(), b"next".to_vec()]);
    assert!(!path.with_extension("new").exists());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("log");
        let mut file = b"dockjrn1".to_vec();
        file.extend(bytes);
        fs::write(&path, &file).unwrap();
        if let Ok(opened) = Journal::open(&path) {
            let again = Journal::open(&path).unwrap();
            prop_assert_eq!(opened.records, again.records);
            prop_assert_eq!(again.truncated_bytes, 0);
        }
    }
}
