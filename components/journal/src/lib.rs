//! A checked, synced, append-only file of records.
//!
//! Only synced records count. After a crash the file may end in a record that was being written:
//! such a torn tail is cut off. Anything else that does not check out is damage, and the file is
//! refused with the offset, rather than read past. What a full disk refuses stays with the journal,
//! which writes it once there is room. The file's format stands in `docs/design/settings.md`.

mod disk;
mod error;
mod file;
mod format;
mod replace;

pub use disk::Disk;
pub use error::JournalError;
pub use file::{Journal, Opened};
pub use replace::replace_file;
