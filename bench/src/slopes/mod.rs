//! Memory, CPU time and messages of the decision libraries at growing sizes.

mod agent;
mod capacity;
mod detector;
mod entry;
mod table;

/// Runs every measurement and prints its table.
pub fn run() -> Result<(), String> {
    agent::measure_claims();
    agent::measure_starts();
    entry::measure_placement();
    entry::measure_memory();
    detector::measure_load();
    capacity::measure_capacity_placement();
    Ok(())
}

/// Measures only placement by capacity.
pub fn run_placement() -> Result<(), String> {
    capacity::measure_capacity_placement();
    Ok(())
}
