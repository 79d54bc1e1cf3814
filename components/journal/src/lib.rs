//! Checksummed, append-only journal of records.
//!
//! Only synced records count. A crash may leave an incomplete write at the end of the file; such a
//! torn tail is discarded. Any other invalid bytes are damage: opening fails and reports the
//! offset. Records that a full disk refuses stay pending and are written once there is free space.

mod disk;
mod error;
mod file;
mod format;
mod replace;

pub use disk::Disk;
pub use error::JournalError;
pub use file::{Journal, OpenedJournal};
pub use replace::replace_file;
