//! Errors of the journal.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// An error when opening or writing a journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// An I/O operation failed.
    #[error("{path}: {source}")]
    Io {
        /// Path of the journal file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        source: io::Error,
    },
    /// The disk is full. Unsynced records stay pending and can be written by a later sync.
    #[error("{path}: {source}")]
    Full {
        /// Path of the journal file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        source: io::Error,
    },
    /// A record that is not part of a torn tail fails validation.
    #[error("{path}: damaged at byte {offset}: {reason}")]
    Damaged {
        /// Path of the journal file.
        path: PathBuf,
        /// Offset of the damaged record.
        offset: u64,
        /// The check that failed.
        reason: &'static str,
    },
    /// The file is not a journal or has an unsupported format.
    #[error("{path}: not a journal file in a supported format")]
    NotAJournal {
        /// Path of the journal file.
        path: PathBuf,
    },
    /// An earlier write or sync failed. The content of the file is unknown until the journal is
    /// opened again.
    #[error("{path}: no longer writable after a failed write or sync")]
    Failed {
        /// Path of the journal file.
        path: PathBuf,
    },
}

impl JournalError {
    /// Classifies an I/O error on the file at `path`.
    pub(crate) fn from_io(path: &Path, source: io::Error) -> Self {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let path = path.to_owned();
        match source.kind() {
            // File size limits and quotas can be lifted, so they are treated like a full disk.
            StorageFull | QuotaExceeded | FileTooLarge => Self::Full { path, source },
            _ => Self::Io { path, source },
        }
    }

    /// Whether the disk is full.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}
