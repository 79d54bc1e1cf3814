//! What can go wrong with a journal.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a journal can't be used.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The file system refused.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The disk has no room. What was handed in stays so, and may be written later.
    #[error("{path}: {source}")]
    Full {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A record does not check out, and it is not a torn tail.
    #[error("{path}: damaged at byte {offset}: {reason}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damaged record begins.
        offset: u64,
        /// What does not check out.
        reason: &'static str,
    },
    /// The file is no journal, or one of another format.
    #[error("{path}: not a journal of this format")]
    NotAJournal {
        /// The file.
        path: PathBuf,
    },
    /// A write or sync failed before: what the file holds is unknown until it is opened again.
    #[error("{path}: given up after a failed write or sync")]
    GivenUp {
        /// The file.
        path: PathBuf,
    },
}

impl JournalError {
    /// What the file system answered.
    pub(crate) fn of(path: &Path, source: io::Error) -> Self {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let path = path.to_owned();
        match source.kind() {
            // A limit on the size of files or a quota is met like a full disk: it can be lifted.
            StorageFull | QuotaExceeded | FileTooLarge => Self::Full { path, source },
            _ => Self::Io { path, source },
        }
    }

    /// Whether the disk had no room, and nothing else is wrong.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}
