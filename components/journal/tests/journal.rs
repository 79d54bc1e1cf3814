//! Journals cut at every byte, with flipped bits, on a broken disk.

use std::fs;
use std::path::PathBuf;

use journal::{Journal, JournalError};
use proptest::prelude::*;
use tempfile::TempDir;

fn write(records: &[&[u8]]) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let mut journal = Journal::open(&path).unwrap().journal;
    for record in records {
        journal.append(record);
        journal.sync().unwrap();
    }
    (folder, path)
}

const RECORDS: [&[u8]; 3] = [b"first\0\0", b"", b"third"];

#[test]
fn records_read_back_and_more_can_follow() {
    let (_folder, path) = write(&RECORDS);
    let mut opened = Journal::open(&path).unwrap();
    assert_eq!(
        (opened.records.as_slice(), opened.truncated_bytes),
        (&RECORDS.map(<[u8]>::to_vec)[..], 0)
    );
    opened.journal.append(b"fourth");
    opened.journal.sync().unwrap();
    assert_eq!(Journal::open(&path).unwrap().records.len(), 4);
}

/// Bytes of the mark that a file ends in.
const MARK: usize = 16;

#[test]
fn a_file_cut_anywhere_keeps_its_whole_records() {
    let (_folder, path) = write(&RECORDS);
    let whole = fs::read(&path).unwrap();
    let mut seen = 0;
    for length in 8..whole.len() {
        for fill in [0, 5] {
            let mut cut = whole[..length].to_vec();
            cut.resize(length + fill, 0);
            fs::write(&path, &cut).unwrap();
            let mut opened = Journal::open(&path).unwrap();
            let count = opened.records.len();
            assert_eq!(opened.records, RECORDS.map(<[u8]>::to_vec)[..count], "cut at {length}");
            assert!(count >= seen, "records lost at {length}");
            assert_eq!(count == RECORDS.len(), length + MARK >= whole.len(), "cut at {length}");
            seen = count;
            opened.journal.append(b"after");
            opened.journal.sync().unwrap();
            assert_eq!(Journal::open(&path).unwrap().records.len(), count + 1);
        }
    }
    assert_eq!(seen, RECORDS.len());
}

#[test]
fn every_flipped_bit_is_refused_with_file_and_offset() {
    let (_folder, path) = write(&RECORDS);
    let whole = fs::read(&path).unwrap();
    for byte in 0..whole.len() {
        for bit in 0..8 {
            let mut flipped = whole.clone();
            flipped[byte] ^= 1 << bit;
            fs::write(&path, &flipped).unwrap();
            let error = Journal::open(&path).expect_err("a flipped bit went unseen");
            match error {
                JournalError::Damaged { offset, .. } => assert!(offset as usize <= byte),
                JournalError::NotAJournal { .. } => assert!(byte < 8),
                other => panic!("{other}"),
            }
        }
    }
}

#[test]
fn unsynced_records_do_not_count() {
    let (_folder, path) = write(&RECORDS);
    let mut journal = Journal::open(&path).unwrap().journal;
    journal.append(b"never synced");
    drop(journal);
    assert_eq!(Journal::open(&path).unwrap().records.len(), 3);
}

#[test]
fn nothing_is_taken_after_a_failed_write() {
    let (_folder, path) = write(&RECORDS);
    let mut journal = Journal::open(&path).unwrap().journal;
    journal.break_for_test().unwrap();
    journal.append(b"lost");
    assert!(matches!(journal.sync(), Err(JournalError::Io { .. })));
    assert!(matches!(journal.sync(), Err(JournalError::GivenUp { .. })));
    assert!(matches!(journal.rewrite(&[]), Err(JournalError::GivenUp { .. })));
    assert_eq!(Journal::open(&path).unwrap().records.len(), 3);
}

#[test]
fn a_rewrite_replaces_everything_and_a_half_made_one_nothing() {
    let (_folder, path) = write(&RECORDS);
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
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("log");
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
