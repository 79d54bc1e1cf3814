//! Tests of journals on a full disk: writes fail at every byte and succeed once there is free
//! space.

use std::fs;
use std::path::{Path, PathBuf};

use journal::{Disk, Journal, OpenedJournal};
use tempfile::TempDir;

const AMPLE_SPACE: u64 = 1 << 20;

fn directory() -> (TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("log");
    (directory, path)
}

fn records(path: &Path) -> Vec<Vec<u8>> {
    Journal::open(path).unwrap().records
}

/// Creates a journal with one record on a disk with limited free space.
fn journal_with_one_record(path: &Path) -> (Journal, Disk) {
    let disk = Disk::with_free_bytes(AMPLE_SPACE);
    let mut journal = Journal::open_on_disk(path, disk.clone()).unwrap().journal;
    journal.append(b"first");
    journal.sync().unwrap();
    (journal, disk)
}

/// Guards against giving up a journal after a partial write to a full disk.
#[test]
fn refused_records_are_written_once_there_is_space() {
    for free_bytes in 0..60 {
        let (_directory, path) = directory();
        let (mut journal, disk) = journal_with_one_record(&path);
        disk.set_free_bytes(free_bytes);
        journal.append(b"second, which is longer");
        let synced = journal.sync();
        assert_eq!(
            synced.is_err(),
            free_bytes < 36,
            "{free_bytes} bytes free: a record of 23 bytes takes 36"
        );
        assert!(synced.err().is_none_or(|error| error.is_full()));
        assert_eq!(journal.is_synced(), free_bytes >= 36);
        journal.append(b"third");
        disk.set_free_bytes(AMPLE_SPACE);
        journal.sync().unwrap();
        assert!(journal.is_synced());
        assert_eq!(
            records(&path),
            [&b"first"[..], b"second, which is longer", b"third"],
            "{free_bytes}"
        );
    }
}

/// Guards against losing synced records in a crash while the disk is full.
#[test]
fn journal_on_a_full_disk_opens_with_all_synced_records() {
    for free_bytes in 0..36 {
        let (_directory, path) = directory();
        let (mut journal, disk) = journal_with_one_record(&path);
        disk.set_free_bytes(free_bytes);
        journal.append(b"second, which is longer");
        assert!(journal.sync().is_err());
        drop(journal);
        // The disk is still full, and a power failure may leave any prefix of the refused bytes.
        let written = fs::read(&path).unwrap();
        let opened = Journal::open_on_disk(&path, disk.clone()).unwrap();
        assert_eq!(opened.records, [b"first"], "{free_bytes} bytes free");
        drop(opened);
        for end in 45..=written.len() {
            fs::write(&path, &written[..end]).unwrap();
            disk.set_free_bytes(0);
            let OpenedJournal { mut journal, records: found, .. } =
                Journal::open_on_disk(&path, disk.clone()).unwrap();
            assert_eq!(found, [b"first"], "{free_bytes} bytes free, {end} bytes left");
            journal.append(b"after");
            assert!(journal.sync().is_err());
            disk.set_free_bytes(AMPLE_SPACE);
            journal.sync().unwrap();
            assert_eq!(records(&path), [&b"first"[..], b"after"]);
        }
    }
}

#[test]
fn refused_replacement_keeps_old_records_and_is_retried() {
    // Length of magic, record and marker.
    for free_bytes in 0..8 + 22 + 16 {
        let (_directory, path) = directory();
        let (mut journal, disk) = journal_with_one_record(&path);
        disk.set_free_bytes(free_bytes);
        journal.replace(&[b"compacted".to_vec()]);
        assert!(journal.sync().unwrap_err().is_full(), "{free_bytes} bytes free");
        assert_eq!(records(&path), [b"first"], "the old records are intact");
        // Opening the journal above may have removed the temporary file.
        journal.append(b"behind it");
        disk.set_free_bytes(AMPLE_SPACE);
        journal.sync().unwrap();
        assert_eq!(records(&path), [&b"compacted"[..], b"behind it"]);
    }
}

/// Guards against failing to open a journal with unmarked records on a full disk.
#[test]
fn unmarked_records_are_read_on_a_full_disk_and_rewritten_later() {
    let (_directory, path) = directory();
    drop(journal_with_one_record(&path));
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 16]).unwrap();
    let disk = Disk::with_free_bytes(0);
    let OpenedJournal { mut journal, records: found, .. } =
        Journal::open_on_disk(&path, disk.clone()).unwrap();
    assert_eq!(found, [b"first"]);
    assert!(!journal.is_synced(), "the records are not rewritten yet");
    assert!(journal.sync().is_err());
    disk.set_free_bytes(AMPLE_SPACE);
    journal.sync().unwrap();
    assert!(journal.is_synced());
    assert_eq!(records(&path), [b"first"]);
}

#[test]
fn new_journal_on_a_full_disk_is_created_later() {
    let (_directory, path) = directory();
    let disk = Disk::with_free_bytes(0);
    let mut journal = Journal::open_on_disk(&path, disk.clone()).unwrap().journal;
    assert!(!journal.is_synced());
    journal.replace(&[b"blank".to_vec()]);
    journal.append(b"more");
    assert!(journal.sync().unwrap_err().is_full());
    disk.set_free_bytes(AMPLE_SPACE);
    journal.sync().unwrap();
    assert_eq!(records(&path), [&b"blank"[..], b"more"]);
}
