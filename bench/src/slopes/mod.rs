//! Memory, processor time and messages of the decision libraries at growing sizes, for
//! `docs/CAPACITY.md`.

mod agent;
mod detector;
mod entry;
mod table;

/// Prints every table.
pub fn run() -> Result<(), String> {
    agent::claims();
    agent::starts();
    entry::placement();
    entry::memory();
    detector::load();
    Ok(())
}
