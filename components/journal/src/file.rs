//! The journal as a file.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use crate::format::{self, MAGIC, Parsed};
use crate::replace::{aside, replace_file};
use crate::{Disk, JournalError};

/// A journal that was opened, and what it held.
#[derive(Debug)]
pub struct Opened {
    /// The journal, ready for appending.
    pub journal: Journal,
    /// Every whole record, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn tail that were cut off.
    pub truncated_bytes: u64,
}

/// An append-only file of records.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    disk: Disk,
    /// None only while `replacement` is to make it: a full disk has refused a new file.
    file: Option<File>,
    /// The offset behind the last synced record; the mark that names it comes next.
    synced: u64,
    /// Whether that mark is written. It is not synced.
    marked: bool,
    /// What stands behind is not known: a torn tail, or a write that was refused in its midst.
    tail_unknown: bool,
    /// Records that are to take the place of all others, before anything pending.
    replacement: Option<Vec<u8>>,
    /// Records to be written behind the last one.
    pending: Vec<u8>,
    given_up: bool,
}

impl Journal {
    /// Opens a journal, or makes an empty one, synced with its folder.
    ///
    /// Records that no mark names as synced are written anew before they count: a process that was
    /// killed, or whose sync failed, may have left them in the page cache alone. Where the disk has no room
    /// for that the journal isn't settled ([`Journal::is_synced`]) until a later sync.
    pub fn open(path: &Path) -> Result<Opened, JournalError> {
        Self::open_on_disk(path, Disk::default())
    }

    /// The same on a disk whose room is known.
    pub fn open_on_disk(path: &Path, disk: Disk) -> Result<Opened, JournalError> {
        let io = |source| JournalError::of(path, source);
        remove_if_there(&aside(path)).map_err(io)?;
        let bytes = read_if_there(path).map_err(io)?;
        let found = bytes.as_deref().map(|bytes| read_records(path, bytes)).transpose()?;
        let mut journal = Self::unopened(path, disk);
        let mut cut = 0;
        match &found {
            Some(found) if found.marked => {
                journal.file = Some(open_to_write(path).map_err(io)?);
                journal.synced = (found.end - format::MARK) as u64;
                cut = (bytes.map_or(0, |bytes| bytes.len()) - found.end) as u64;
                journal.tail_unknown = cut > 0;
                journal.go_to_end()?;
            }
            Some(found) => {
                cut = (bytes.map_or(0, |bytes| bytes.len()) - found.end) as u64;
                journal.replacement = Some(records_bytes(&found.records));
            }
            None => journal.replacement = Some(Vec::new()),
        }
        let records = found.map(|found| found.records).unwrap_or_default();
        match journal.settle_tail().and_then(|()| journal.sync()) {
            Err(error) if !error.is_full() => Err(error),
            _ => Ok(Opened { journal, records, truncated_bytes: cut }),
        }
    }

    fn unopened(path: &Path, disk: Disk) -> Self {
        Self {
            path: path.to_owned(),
            disk,
            file: None,
            synced: 0,
            marked: true,
            tail_unknown: false,
            replacement: None,
            pending: Vec::new(),
            given_up: false,
        }
    }

    /// Adds a record. It lasts only after the next [`Journal::sync`].
    pub fn append(&mut self, payload: &[u8]) {
        format::write(payload, &mut self.pending);
    }

    /// Puts these records in the place of all others, and of those that are to be appended, with the next
    /// [`Journal::sync`].
    pub fn replace(&mut self, records: &[Vec<u8>]) {
        self.replacement = Some(records_bytes(records));
        self.pending.clear();
    }

    /// Whether all that was handed in is on the disk.
    pub fn is_synced(&self) -> bool {
        self.replacement.is_none() && self.pending.is_empty()
    }

    /// Writes and syncs what was handed in.
    ///
    /// Where the disk has no room it stays handed in, and the next sync tries again from the last byte
    /// that is known to be synced: neither the bytes of the refused write nor the page that they began in can be
    /// trusted. After any other failure nothing more is taken: what a failed sync left on the disk can't
    /// be known.
    pub fn sync(&mut self) -> Result<(), JournalError> {
        self.check()?;
        if let Some(records) = self.replacement.take() {
            let replaced = replace_records(&self.path, &records, &self.disk);
            if replaced.is_err() {
                self.replacement = Some(records);
            }
            self.settle(replaced)?;
            self.reopen()?;
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let pending = std::mem::take(&mut self.pending);
        let written = self.write(&pending);
        if written.is_err() {
            self.pending = pending;
        }
        written?;
        self.mark()
    }

    /// Puts these records in the place of all others: written aside, synced, renamed, folder synced.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), JournalError> {
        self.replace(records);
        self.sync()
    }

    /// Bytes of the file up to what was synced last, and its mark.
    pub fn synced_bytes(&self) -> u64 {
        self.synced + if self.marked { format::MARK as u64 } else { 0 }
    }

    /// Goes on with the file that has come in the place of another.
    fn reopen(&mut self) -> Result<(), JournalError> {
        let opened = open_to_write(&self.path)
            .and_then(|file| file.metadata().map(|metadata| (file, metadata.len())));
        let (file, length) = self.settle(opened)?;
        self.file = Some(file);
        self.synced = length - format::MARK as u64;
        self.marked = true;
        self.tail_unknown = false;
        self.go_to_end()
    }

    fn go_to_end(&mut self) -> Result<(), JournalError> {
        let end = SeekFrom::Start(self.synced_bytes());
        let gone = self.file.as_mut().map_or(Ok(0), |file| file.seek(end));
        self.settle(gone).map(|_| ())
    }

    /// Cuts off what is not known, and writes the mark before it anew.
    fn settle_tail(&mut self) -> Result<(), JournalError> {
        if self.tail_unknown { self.write(&[]) } else { Ok(()) }
    }

    /// Writes and syncs records, or none, behind the last one and its mark.
    fn write(&mut self, records: &[u8]) -> Result<(), JournalError> {
        if self.tail_unknown {
            self.cut_tail()?;
        }
        let mut bytes = Vec::with_capacity(format::MARK + records.len());
        if !self.marked {
            bytes.extend_from_slice(&format::mark(self.synced));
        }
        bytes.extend_from_slice(records);
        self.tail_unknown = true;
        let written = self.put(&bytes).and_then(|file| file.sync_data());
        self.settle(written)?;
        self.tail_unknown = false;
        self.marked = records.is_empty();
        if !self.marked {
            self.synced += (format::MARK + records.len()) as u64;
        }
        Ok(())
    }

    /// Names everything before as synced. The mark itself is not: where it is lost, what was written
    /// after it is taken for torn, which is right as long as that is not synced. Where there is no room for
    /// it, it comes before the next records.
    fn mark(&mut self) -> Result<(), JournalError> {
        let written = self.put(&format::mark(self.synced)).map(|_| ());
        self.marked = written.is_ok();
        self.tail_unknown = written.is_err();
        match self.settle(written) {
            Err(error) if !error.is_full() => Err(error),
            _ => Ok(()),
        }
    }

    fn cut_tail(&mut self) -> Result<(), JournalError> {
        let length = self.synced;
        let cut = match &mut self.file {
            Some(file) => file.set_len(length).and_then(|()| file.seek(SeekFrom::Start(length))),
            None => Ok(length),
        };
        self.settle(cut)?;
        self.marked = false;
        Ok(())
    }

    fn put(&mut self, bytes: &[u8]) -> io::Result<&mut File> {
        // There is one unless a replacement is to make it, which goes first.
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotFound)?;
        self.disk.write(file, bytes)?;
        Ok(file)
    }

    fn check(&self) -> Result<(), JournalError> {
        match self.given_up {
            true => Err(JournalError::GivenUp { path: self.path.clone() }),
            false => Ok(()),
        }
    }

    fn settle<T>(&mut self, result: io::Result<T>) -> Result<T, JournalError> {
        result.map_err(|source| {
            let error = JournalError::of(&self.path, source);
            self.given_up = !error.is_full();
            error
        })
    }

    /// Makes every later write fail, as a broken disk does. For tests of its users.
    pub fn break_for_test(&mut self) -> io::Result<()> {
        self.file = Some(OpenOptions::new().read(true).open(&self.path)?);
        Ok(())
    }
}

/// What a file holds.
struct Found {
    records: Vec<Vec<u8>>,
    /// The offset behind the last whole record or mark.
    end: usize,
    /// Whether a mark stands right before `end`.
    marked: bool,
}

fn read_records(path: &Path, bytes: &[u8]) -> Result<Found, JournalError> {
    let Some(format) = format::format(bytes) else {
        return Err(JournalError::NotAJournal { path: path.to_owned() });
    };
    let mut found = Found { records: Vec::new(), end: MAGIC.len(), marked: false };
    loop {
        match format::parse(bytes, found.end, format) {
            Parsed::End | Parsed::Torn => return Ok(found),
            Parsed::Record(payload, behind) => {
                found.records.push(payload.to_vec());
                found.end = behind;
                found.marked = false;
            }
            Parsed::Mark(behind) => {
                found.end = behind;
                found.marked = true;
            }
            Parsed::Damaged(reason) => {
                let (path, offset) = (path.to_owned(), found.end as u64);
                return Err(JournalError::Damaged { path, offset, reason });
            }
        }
    }
}

/// The file's bytes; none only where there is certainly no file.
fn read_if_there(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        read => read.map(Some),
    }
}

fn open_to_write(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).open(path)
}

fn records_bytes(records: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    records.iter().for_each(|record| format::write(record, &mut bytes));
    bytes
}

fn remove_if_there(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Puts a journal of these records in the place of another. It may end in a mark: it comes in its place only
/// after it was synced.
fn replace_records(path: &Path, records: &[u8], disk: &Disk) -> io::Result<()> {
    replace_file(path, |file| {
        disk.write(file, MAGIC)?;
        disk.write(file, records)?;
        disk.write(file, &format::mark((MAGIC.len() + records.len()) as u64))
    })
}
