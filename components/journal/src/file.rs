//! The journal as a file.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::JournalError;
use crate::format::{self, MAGIC, Parsed};

/// Ending of the file that a rewrite is prepared in.
const ASIDE: &str = "new";

/// A journal that was opened, and what it held.
#[derive(Debug)]
pub struct Opened {
    /// The journal, ready for appending.
    pub journal: Journal,
    /// Every whole record, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn tail that were cut off.
    pub cut: u64,
}

/// An append-only file of records.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    pending: Vec<u8>,
    bytes: u64,
    given_up: bool,
}

impl Journal {
    /// Opens a journal, or makes an empty one, synced with its folder.
    ///
    /// Records that no mark names as synced are written anew before they count: a process that was
    /// killed, or whose sync failed, may have left them in the page cache alone.
    pub fn open(path: &Path) -> Result<Opened, JournalError> {
        let io = |source| JournalError::Io { path: path.to_owned(), source };
        remove_if_there(&aside(path)).map_err(io)?;
        let bytes = read_or_make(path).map_err(io)?;
        let found = read_records(path, &bytes)?;
        let cut = (bytes.len() - found.end) as u64;
        if !found.marked {
            write_aside(path, &records_bytes(&found.records)).map_err(io)?;
        }
        let file = OpenOptions::new().read(true).write(true).open(path).map_err(io)?;
        if found.marked && cut > 0 {
            file.set_len(found.end as u64).and_then(|()| file.sync_all()).map_err(io)?;
        }
        let path = path.to_owned();
        let mut journal = Self { path, file, pending: Vec::new(), bytes: 0, given_up: false };
        journal.go_to_end()?;
        Ok(Opened { journal, records: found.records, cut })
    }

    fn go_to_end(&mut self) -> Result<(), JournalError> {
        let end = self.file.seek(SeekFrom::End(0));
        self.bytes = self.settle(end)?;
        Ok(())
    }

    /// Names everything before as synced. The mark itself is not: where it is lost, what was written
    /// after it is taken for torn, which is right as long as that is not synced.
    fn mark(&mut self) -> Result<(), JournalError> {
        let mark = format::mark(self.bytes);
        let written = self.file.write_all(&mark);
        self.settle(written)?;
        self.bytes += mark.len() as u64;
        Ok(())
    }

    /// Adds a record. It lasts only after the next [`Journal::sync`].
    pub fn append(&mut self, payload: &[u8]) {
        format::write(payload, &mut self.pending);
    }

    /// Writes and syncs what was appended. After a failure nothing more is taken: what a failed
    /// sync left on the disk can't be known, and the page cache can't be trusted.
    pub fn sync(&mut self) -> Result<(), JournalError> {
        self.check()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        let written = self.file.write_all(&self.pending).and_then(|()| self.file.sync_data());
        self.settle(written)?;
        self.bytes += self.pending.len() as u64;
        self.pending.clear();
        self.mark()
    }

    /// Replaces the whole file by these records: written aside, synced, renamed, folder synced.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), JournalError> {
        self.check()?;
        let opened = write_aside(&self.path, &records_bytes(records))
            .and_then(|()| OpenOptions::new().read(true).write(true).open(&self.path));
        self.file = self.settle(opened)?;
        self.pending.clear();
        self.go_to_end()
    }

    /// Bytes of the file up to what was synced last, and its mark.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn check(&self) -> Result<(), JournalError> {
        match self.given_up {
            true => Err(JournalError::GivenUp { path: self.path.clone() }),
            false => Ok(()),
        }
    }

    fn settle<T>(&mut self, result: io::Result<T>) -> Result<T, JournalError> {
        result.map_err(|source| {
            self.given_up = true;
            JournalError::Io { path: self.path.clone(), source }
        })
    }

    /// Makes every later write fail, as a full or broken disk does. For tests of its users.
    pub fn break_for_test(&mut self) -> io::Result<()> {
        self.file = OpenOptions::new().read(true).open(&self.path)?;
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

/// The file's bytes. Only where there is certainly no file a new one is made.
fn read_or_make(path: &Path) -> io::Result<Vec<u8>> {
    match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            write_aside(path, &[])?;
            fs::read(path)
        }
        read => read,
    }
}

fn records_bytes(records: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    records.iter().for_each(|record| format::write(record, &mut bytes));
    bytes
}

fn aside(path: &Path) -> PathBuf {
    path.with_extension(ASIDE)
}

fn remove_if_there(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Writes a whole file in the place of another, or in none's, so that a crash leaves one of them.
/// It may end in a mark: it comes in its place only after it was synced.
fn write_aside(path: &Path, records: &[u8]) -> io::Result<()> {
    let aside = aside(path);
    let mut file = File::create(&aside)?;
    file.write_all(MAGIC)?;
    file.write_all(records)?;
    file.write_all(&format::mark((MAGIC.len() + records.len()) as u64))?;
    file.sync_all()?;
    fs::rename(&aside, path)?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
