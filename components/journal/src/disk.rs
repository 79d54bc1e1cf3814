//! What takes a journal's bytes.

use std::fs::File;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A disk; by default the real one. Tests give it a room of their own, which can be used up and made.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// Bytes that it takes, where that is limited.
    room: Option<Arc<AtomicU64>>,
}

impl Disk {
    /// A disk that takes so many bytes.
    pub fn with_room(bytes: u64) -> Self {
        Self { room: Some(Arc::new(AtomicU64::new(bytes))) }
    }

    /// From now on it takes so many bytes, if its room is limited.
    pub fn set_room(&self, bytes: u64) {
        if let Some(room) = &self.room {
            room.store(bytes, Ordering::Release);
        }
    }

    /// Writes bytes; where they don't fit, as many as do.
    pub(crate) fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let fits = self.take(bytes.len());
        file.write_all(&bytes[..fits])?;
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn take(&self, bytes: usize) -> usize {
        let Some(room) = &self.room else { return bytes };
        let take = |room: u64| Some(room.saturating_sub(bytes as u64));
        let before = room.fetch_update(Ordering::AcqRel, Ordering::Acquire, take);
        let before = before.unwrap_or_else(|room| room);
        bytes.min(usize::try_from(before).unwrap_or(usize::MAX))
    }
}
