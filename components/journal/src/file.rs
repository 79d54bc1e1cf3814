//! Journal file: opening, appending, syncing and replacing records.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use crate::format::{self, MAGIC, Parsed};
use crate::replace::{replace_file, temporary_path};
use crate::{Disk, JournalError};

/// Result of opening a journal.
#[derive(Debug)]
pub struct OpenedJournal {
    /// The journal, ready for appending.
    pub journal: Journal,
    /// All complete records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of a torn tail that were discarded.
    pub truncated_bytes: u64,
}

/// An append-only file of records.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    disk: Disk,
    /// `None` only while `replacement` has yet to create the file, because the disk was full.
    file: Option<File>,
    /// Offset of the end of the last synced record, where the marker for it is written.
    synced_end: u64,
    /// Whether the marker at `synced_end` is written. The marker itself is not synced.
    marker_written: bool,
    /// Whether the bytes after the synced end are unreliable: a torn tail or a partial write.
    tail_untrusted: bool,
    /// Encoded records that replace the whole file, before `pending` is written.
    replacement: Option<Vec<u8>>,
    /// Encoded records to be appended.
    pending: Vec<u8>,
    /// Whether a write or sync failed for another reason than a full disk.
    failed: bool,
}

impl Journal {
    /// Opens a journal, or creates an empty one and syncs its directory.
    ///
    /// Records that are not covered by a sync marker are rewritten before they count: after a
    /// killed process or a failed sync they may exist only in the page cache. If the disk is too
    /// full for that, [`Journal::is_synced`] returns `false` until a later sync succeeds.
    pub fn open(path: &Path) -> Result<OpenedJournal, JournalError> {
        Self::open_on_disk(path, Disk::default())
    }

    /// Like [`Journal::open`], on the given disk.
    pub fn open_on_disk(path: &Path, disk: Disk) -> Result<OpenedJournal, JournalError> {
        let to_error = |source| JournalError::from_io(path, source);
        remove_if_exists(&temporary_path(path)).map_err(to_error)?;
        let bytes = read_if_exists(path).map_err(to_error)?;
        let parsed = bytes.as_deref().map(|bytes| parse_file(path, bytes)).transpose()?;
        let mut journal = Self::without_file(path, disk);
        let mut truncated_bytes = 0;
        match &parsed {
            Some(parsed) if parsed.ends_with_marker => {
                journal.file = Some(open_for_writing(path).map_err(to_error)?);
                journal.synced_end = (parsed.end - format::MARKER_LEN) as u64;
                truncated_bytes = (bytes.map_or(0, |bytes| bytes.len()) - parsed.end) as u64;
                journal.tail_untrusted = truncated_bytes > 0;
                journal.seek_to_end()?;
            }
            Some(parsed) => {
                truncated_bytes = (bytes.map_or(0, |bytes| bytes.len()) - parsed.end) as u64;
                journal.replacement = Some(encode_records(&parsed.records));
            }
            None => journal.replacement = Some(Vec::new()),
        }
        let records = parsed.map(|parsed| parsed.records).unwrap_or_default();
        match journal.repair_tail().and_then(|()| journal.sync()) {
            Err(error) if !error.is_full() => Err(error),
            _ => Ok(OpenedJournal { journal, records, truncated_bytes }),
        }
    }

    fn without_file(path: &Path, disk: Disk) -> Self {
        Self {
            path: path.to_owned(),
            disk,
            file: None,
            synced_end: 0,
            marker_written: true,
            tail_untrusted: false,
            replacement: None,
            pending: Vec::new(),
            failed: false,
        }
    }

    /// Appends a record. It is durable only after the next [`Journal::sync`].
    pub fn append(&mut self, payload: &[u8]) {
        format::encode_record(payload, &mut self.pending);
    }

    /// Replaces all records, including pending ones, at the next [`Journal::sync`].
    pub fn replace(&mut self, records: &[Vec<u8>]) {
        self.replacement = Some(encode_records(records));
        self.pending.clear();
    }

    /// Whether all appended and replaced records are on the disk.
    pub fn is_synced(&self) -> bool {
        self.replacement.is_none() && self.pending.is_empty()
    }

    /// Writes and syncs all pending records.
    ///
    /// If the disk is full, the records stay pending and the next sync retries from the last synced
    /// byte, because neither the partial write nor the page in which it began can be trusted. After
    /// any other failure the journal refuses further writes: the state on the disk after a failed
    /// sync is unknown.
    pub fn sync(&mut self) -> Result<(), JournalError> {
        self.check_not_failed()?;
        if let Some(records) = self.replacement.take() {
            let replaced = write_replacement(&self.path, &records, &self.disk);
            if replaced.is_err() {
                self.replacement = Some(records);
            }
            self.record_failure(replaced)?;
            self.reopen_file()?;
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let pending = std::mem::take(&mut self.pending);
        let written = self.write_records(&pending);
        if written.is_err() {
            self.pending = pending;
        }
        written?;
        self.write_marker()
    }

    /// Atomically replaces all records and syncs the file.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), JournalError> {
        self.replace(records);
        self.sync()
    }

    /// Returns the size in bytes of the synced records and their marker.
    pub fn synced_bytes(&self) -> u64 {
        self.synced_end + if self.marker_written { format::MARKER_LEN as u64 } else { 0 }
    }

    /// Switches to the file that replaced the previous one.
    fn reopen_file(&mut self) -> Result<(), JournalError> {
        let opened = open_for_writing(&self.path)
            .and_then(|file| file.metadata().map(|metadata| (file, metadata.len())));
        let (file, length) = self.record_failure(opened)?;
        self.file = Some(file);
        self.synced_end = length - format::MARKER_LEN as u64;
        self.marker_written = true;
        self.tail_untrusted = false;
        self.seek_to_end()
    }

    fn seek_to_end(&mut self) -> Result<(), JournalError> {
        let end = SeekFrom::Start(self.synced_bytes());
        let position = self.file.as_mut().map_or(Ok(0), |file| file.seek(end));
        self.record_failure(position).map(|_| ())
    }

    /// Truncates an unreliable tail and rewrites the marker before it.
    fn repair_tail(&mut self) -> Result<(), JournalError> {
        if self.tail_untrusted { self.write_records(&[]) } else { Ok(()) }
    }

    /// Appends and syncs encoded records, preceded by the marker of the previous sync if it is
    /// missing. `records` may be empty.
    fn write_records(&mut self, records: &[u8]) -> Result<(), JournalError> {
        if self.tail_untrusted {
            self.truncate_tail()?;
        }
        let mut bytes = Vec::with_capacity(format::MARKER_LEN + records.len());
        if !self.marker_written {
            bytes.extend_from_slice(&format::encode_marker(self.synced_end));
        }
        bytes.extend_from_slice(records);
        self.tail_untrusted = true;
        let written = self.append_bytes(&bytes).and_then(|file| file.sync_data());
        self.record_failure(written)?;
        self.tail_untrusted = false;
        self.marker_written = records.is_empty();
        if !self.marker_written {
            self.synced_end += (format::MARKER_LEN + records.len()) as u64;
        }
        Ok(())
    }

    /// Writes the marker that declares all preceding bytes synced. The marker itself is not synced:
    /// if it is lost, an unsynced write after it counts as torn, which is correct. If the disk is
    /// full, the marker is written with the next records.
    fn write_marker(&mut self) -> Result<(), JournalError> {
        let written = self.append_bytes(&format::encode_marker(self.synced_end)).map(|_| ());
        self.marker_written = written.is_ok();
        self.tail_untrusted = written.is_err();
        match self.record_failure(written) {
            Err(error) if !error.is_full() => Err(error),
            _ => Ok(()),
        }
    }

    fn truncate_tail(&mut self) -> Result<(), JournalError> {
        let length = self.synced_end;
        let truncated = match &mut self.file {
            Some(file) => file.set_len(length).and_then(|()| file.seek(SeekFrom::Start(length))),
            None => Ok(length),
        };
        self.record_failure(truncated)?;
        self.marker_written = false;
        Ok(())
    }

    fn append_bytes(&mut self, bytes: &[u8]) -> io::Result<&mut File> {
        // The file exists unless a replacement has to create it, and replacements are written
        // first.
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotFound)?;
        self.disk.write(file, bytes)?;
        Ok(file)
    }

    fn check_not_failed(&self) -> Result<(), JournalError> {
        match self.failed {
            true => Err(JournalError::Failed { path: self.path.clone() }),
            false => Ok(()),
        }
    }

    /// Converts the error of an I/O operation, and marks the journal as failed unless the disk is
    /// full.
    fn record_failure<T>(&mut self, result: io::Result<T>) -> Result<T, JournalError> {
        result.map_err(|source| {
            let error = JournalError::from_io(&self.path, source);
            self.failed = !error.is_full();
            error
        })
    }

    /// Makes every later write fail like a broken disk. For tests of callers.
    pub fn fail_writes_for_test(&mut self) -> io::Result<()> {
        self.file = Some(OpenOptions::new().read(true).open(&self.path)?);
        Ok(())
    }
}

/// Content of a journal file.
struct ParsedFile {
    records: Vec<Vec<u8>>,
    /// Offset of the end of the last complete record or marker.
    end: usize,
    /// Whether the item that ends at `end` is a marker.
    ends_with_marker: bool,
}

fn parse_file(path: &Path, bytes: &[u8]) -> Result<ParsedFile, JournalError> {
    let Some(format) = format::detect_format(bytes) else {
        return Err(JournalError::NotAJournal { path: path.to_owned() });
    };
    let mut parsed = ParsedFile { records: Vec::new(), end: MAGIC.len(), ends_with_marker: false };
    loop {
        match format::parse_at(bytes, parsed.end, format) {
            Parsed::End | Parsed::Torn => return Ok(parsed),
            Parsed::Record(payload, next) => {
                parsed.records.push(payload.to_vec());
                parsed.end = next;
                parsed.ends_with_marker = false;
            }
            Parsed::Marker(next) => {
                parsed.end = next;
                parsed.ends_with_marker = true;
            }
            Parsed::Damaged(reason) => {
                let (path, offset) = (path.to_owned(), parsed.end as u64);
                return Err(JournalError::Damaged { path, offset, reason });
            }
        }
    }
}

/// Returns the content of a file, or `None` if the file does not exist.
fn read_if_exists(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        read => read.map(Some),
    }
}

fn open_for_writing(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).open(path)
}

fn encode_records(records: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    records.iter().for_each(|record| format::encode_record(record, &mut bytes));
    bytes
}

fn remove_if_exists(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Replaces a journal with the given encoded records and a marker. The marker can be written before
/// the sync, as the file takes effect only after it is synced and renamed.
fn write_replacement(path: &Path, records: &[u8], disk: &Disk) -> io::Result<()> {
    replace_file(path, |file| {
        disk.write(file, MAGIC)?;
        disk.write(file, records)?;
        disk.write(file, &format::encode_marker((MAGIC.len() + records.len()) as u64))
    })
}
