//! Files that are replaced whole.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// Ending of the file that a replacement is prepared in.
const ASIDE: &str = "new";

/// Where the replacement of a file is prepared.
pub(crate) fn aside(path: &Path) -> PathBuf {
    path.with_extension(ASIDE)
}

/// Puts what is written in the place of a file, or in none's: written aside, synced, renamed, folder synced, so that a
/// crash leaves the old file or the new one. One that could not be written is removed, since it takes what room there is.
pub fn replace_file(
    path: &Path,
    write: impl FnOnce(&mut File) -> io::Result<()>,
) -> io::Result<()> {
    let aside = aside(path);
    let written = write_synced(&aside, write);
    if written.is_err() {
        // What can't be removed is written over by the next try.
        let _ = fs::remove_file(&aside);
    }
    written?;
    fs::rename(&aside, path)?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

fn write_synced(path: &Path, write: impl FnOnce(&mut File) -> io::Result<()>) -> io::Result<()> {
    let mut file = File::create(path)?;
    write(&mut file)?;
    file.sync_all()
}
