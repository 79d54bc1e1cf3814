//! `dockpass-bench`: load tests of a cluster on loopback, and simulations of the decision
//! libraries.

// `Instant` only measures durations.
#![allow(clippy::disallowed_methods)]

mod changes;
mod cli;
mod load;
mod path;
mod policy;
mod slopes;
mod threads;

use std::alloc::System;
use std::process::ExitCode;

use cap::Cap;

/// Global allocator that counts the allocated bytes.
#[global_allocator]
pub static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    // Keeps the nodes' log lines out of the printed tables.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let result = match matches.subcommand() {
        Some(("path", matches)) => path::run(matches),
        Some(("slopes", _)) => slopes::run(),
        Some(("placement", _)) => slopes::run_placement(),
        Some(("changes", matches)) => changes::run(matches),
        Some(("policy", matches)) => policy::run(matches),
        _ => Err("no subcommand given".to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockpass-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
