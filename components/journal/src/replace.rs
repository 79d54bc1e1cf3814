//! Atomic replacement of files.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// Extension of the temporary file that holds the new content.
const TEMPORARY_EXTENSION: &str = "new";

/// Returns the path of the temporary file for `path`.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    path.with_extension(TEMPORARY_EXTENSION)
}

/// Creates or atomically replaces a file with the content written by `write`.
///
/// The content is written to a temporary file, synced and renamed, and the directory is synced, so
/// a crash leaves either the old or the new file. If writing fails, the temporary file is removed
/// to free its space.
pub fn replace_file(
    path: &Path,
    write: impl FnOnce(&mut File) -> io::Result<()>,
) -> io::Result<()> {
    let temporary_path = temporary_path(path);
    let written = write_synced(&temporary_path, write);
    if written.is_err() {
        // If the temporary file cannot be removed, the next attempt overwrites it.
        let _ = fs::remove_file(&temporary_path);
    }
    written?;
    fs::rename(&temporary_path, path)?;
    let directory = path.parent().filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}

fn write_synced(path: &Path, write: impl FnOnce(&mut File) -> io::Result<()>) -> io::Result<()> {
    let mut file = File::create(path)?;
    write(&mut file)?;
    file.sync_all()
}
