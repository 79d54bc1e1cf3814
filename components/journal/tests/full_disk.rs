//! Journals on a disk without room: at each byte, and again with room.

use std::fs;
use std::path::{Path, PathBuf};

use journal::{Disk, Journal, Opened};
use tempfile::TempDir;

const PLENTY: u64 = 1 << 20;

fn folder() -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    (folder, path)
}

fn records(path: &Path) -> Vec<Vec<u8>> {
    Journal::open(path).unwrap().records
}

/// A journal with one record, on a disk of its own.
fn with_first(path: &Path) -> (Journal, Disk) {
    let disk = Disk::with_room(PLENTY);
    let mut journal = Journal::open_on_disk(path, disk.clone()).unwrap().journal;
    journal.append(b"first");
    journal.sync().unwrap();
    (journal, disk)
}

/// A keeper's disk had room for a part of a record: the journal was given up, and the keeper ended.
#[test]
fn what_finds_no_room_is_written_once_there_is() {
    for room in 0..60 {
        let (_folder, path) = folder();
        let (mut journal, disk) = with_first(&path);
        disk.set_room(room);
        journal.append(b"second, which is longer");
        let stored = journal.sync();
        assert_eq!(stored.is_err(), room < 36, "room for {room}: a record of 23 bytes takes 36");
        assert!(stored.err().is_none_or(|error| error.is_full()));
        assert_eq!(journal.is_synced(), room >= 36);
        journal.append(b"third");
        disk.set_room(PLENTY);
        journal.sync().unwrap();
        assert!(journal.is_synced());
        assert_eq!(records(&path), [&b"first"[..], b"second, which is longer", b"third"], "{room}");
    }
}

/// What is on the disk while it is full is what was synced before: a host that dies then loses nothing of it.
#[test]
fn a_journal_whose_disk_is_full_opens_with_all_that_was_synced() {
    for room in 0..36 {
        let (_folder, path) = folder();
        let (mut journal, disk) = with_first(&path);
        disk.set_room(room);
        journal.append(b"second, which is longer");
        assert!(journal.sync().is_err());
        drop(journal);
        // The disk is full still; what a power failure leaves of the refused bytes is any part of them.
        let written = fs::read(&path).unwrap();
        let opened = Journal::open_on_disk(&path, disk.clone()).unwrap();
        assert_eq!(opened.records, [b"first"], "room for {room}");
        drop(opened);
        for end in 45..=written.len() {
            fs::write(&path, &written[..end]).unwrap();
            disk.set_room(0);
            let Opened { mut journal, records: found, .. } =
                Journal::open_on_disk(&path, disk.clone()).unwrap();
            assert_eq!(found, [b"first"], "room for {room}, {end} bytes left");
            journal.append(b"after");
            assert!(journal.sync().is_err());
            disk.set_room(PLENTY);
            journal.sync().unwrap();
            assert_eq!(records(&path), [&b"first"[..], b"after"]);
        }
    }
}

#[test]
fn a_replacement_that_finds_no_room_leaves_what_there_was_and_comes_later() {
    // Magic, record and mark.
    for room in 0..8 + 22 + 16 {
        let (_folder, path) = folder();
        let (mut journal, disk) = with_first(&path);
        disk.set_room(room);
        journal.replace(&[b"compacted".to_vec()]);
        assert!(journal.sync().unwrap_err().is_full(), "room for {room}");
        assert_eq!(records(&path), [b"first"], "what was there is whole");
        // Whoever opened it may have removed what was prepared.
        journal.append(b"behind it");
        disk.set_room(PLENTY);
        journal.sync().unwrap();
        assert_eq!(records(&path), [&b"compacted"[..], b"behind it"]);
    }
}

/// A full disk stopped a keeper at its opening: records that no mark named were to be written anew.
#[test]
fn unmarked_records_are_read_on_a_full_disk_and_written_anew_later() {
    let (_folder, path) = folder();
    drop(with_first(&path));
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 16]).unwrap();
    let disk = Disk::with_room(0);
    let Opened { mut journal, records: found, .. } =
        Journal::open_on_disk(&path, disk.clone()).unwrap();
    assert_eq!(found, [b"first"]);
    assert!(!journal.is_synced(), "its records don't count yet");
    assert!(journal.sync().is_err());
    disk.set_room(PLENTY);
    journal.sync().unwrap();
    assert!(journal.is_synced());
    assert_eq!(records(&path), [b"first"]);
}

#[test]
fn a_new_journal_on_a_full_disk_is_made_later() {
    let (_folder, path) = folder();
    let disk = Disk::with_room(0);
    let mut journal = Journal::open_on_disk(&path, disk.clone()).unwrap().journal;
    assert!(!journal.is_synced());
    journal.replace(&[b"blank".to_vec()]);
    journal.append(b"more");
    assert!(journal.sync().unwrap_err().is_full());
    disk.set_room(PLENTY);
    journal.sync().unwrap();
    assert_eq!(records(&path), [&b"blank"[..], b"more"]);
}
