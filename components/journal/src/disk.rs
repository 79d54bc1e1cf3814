//! Disk abstraction with an optional limit on free space, for tests of full disks.

use std::fs::File;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The disk that a journal writes to. The default has no limit; tests can limit its free space.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// Remaining free space in bytes, if limited.
    free_bytes: Option<Arc<AtomicU64>>,
}

impl Disk {
    /// Creates a disk with `bytes` of free space.
    pub fn with_free_bytes(bytes: u64) -> Self {
        Self { free_bytes: Some(Arc::new(AtomicU64::new(bytes))) }
    }

    /// Sets the free space in bytes. Does nothing if the disk is unlimited.
    pub fn set_free_bytes(&self, bytes: u64) {
        if let Some(free_bytes) = &self.free_bytes {
            free_bytes.store(bytes, Ordering::Release);
        }
    }

    /// Writes `bytes` to the file. If they exceed the free space, writes the part that fits and
    /// returns [`io::ErrorKind::StorageFull`].
    pub(crate) fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let reserved = self.reserve(bytes.len());
        file.write_all(&bytes[..reserved])?;
        if reserved < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn reserve(&self, bytes: usize) -> usize {
        let Some(free_bytes) = &self.free_bytes else { return bytes };
        let reserve = |free_bytes: u64| Some(free_bytes.saturating_sub(bytes as u64));
        let available = free_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, reserve);
        let available = available.unwrap_or_else(|free_bytes| free_bytes);
        bytes.min(usize::try_from(available).unwrap_or(usize::MAX))
    }
}
