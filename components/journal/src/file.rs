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
    pub fn open(path: &Path) -> Result<Opened, JournalError> {
        let io = |source| JournalError::Io { path: path.to_owned(), source };
        remove_if_there(&aside(path)).map_err(io)?;
        let bytes = read_or_make(path).map_err(io)?;
        let (records, end) = read_records(path, &bytes)?;
        let mut file = OpenOptions::new().read(true).write(true).open(path).map_err(io)?;
        let cut = (bytes.len() - end) as u64;
        if cut > 0 {
            file.set_len(end as u64).map_err(io)?;
            file.sync_all().map_err(io)?;
        }
        file.seek(SeekFrom::Start(end as u64)).map_err(io)?;
        let journal = Self {
            path: path.to_owned(),
            file,
            pending: Vec::new(),
            bytes: end as u64,
            given_up: false,
        };
        Ok(Opened { journal, records, cut })
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
        Ok(())
    }

    /// Replaces the whole file by these records: written aside, synced, renamed, folder synced.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), JournalError> {
        self.check()?;
        let mut bytes = Vec::new();
        for record in records {
            format::write(record, &mut bytes);
        }
        let opened = write_aside(&self.path, &bytes).and_then(|()| {
            let mut file = OpenOptions::new().read(true).write(true).open(&self.path)?;
            file.seek(SeekFrom::End(0))?;
            Ok(file)
        });
        self.file = self.settle(opened)?;
        self.pending.clear();
        self.bytes = (MAGIC.len() + bytes.len()) as u64;
        Ok(())
    }

    /// Bytes of synced records.
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

/// Reads all records; returns them with the offset behind the last whole one.
fn read_records(path: &Path, bytes: &[u8]) -> Result<(Vec<Vec<u8>>, usize), JournalError> {
    if !bytes.starts_with(MAGIC) {
        return Err(JournalError::NotAJournal { path: path.to_owned() });
    }
    let mut records = Vec::new();
    let mut offset = MAGIC.len();
    loop {
        match format::parse(bytes, offset) {
            Parsed::End | Parsed::Torn => return Ok((records, offset)),
            Parsed::Record(payload, behind) => {
                records.push(payload.to_vec());
                offset = behind;
            }
            Parsed::Damaged(reason) => {
                let path = path.to_owned();
                return Err(JournalError::Damaged { path, offset: offset as u64, reason });
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
fn write_aside(path: &Path, records: &[u8]) -> io::Result<()> {
    let aside = aside(path);
    let mut file = File::create(&aside)?;
    file.write_all(MAGIC)?;
    file.write_all(records)?;
    file.sync_all()?;
    fs::rename(&aside, path)?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
