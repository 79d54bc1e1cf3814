//! `dockpass-bench`: load through all roles on loopback, with stand-in targets.

// Spans of work that is measured.
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

/// Counts the bytes that are allocated, for the memory figures.
#[global_allocator]
pub static MEMORY: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> ExitCode {
    let arguments = cli::command().get_matches();
    // The nodes' log would stand between the figures.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let result = match arguments.subcommand() {
        Some(("path", own)) => path::run(own),
        Some(("slopes", _)) => slopes::run(),
        Some(("changes", own)) => changes::run(own),
        Some(("policy", own)) => policy::run(own),
        _ => Err("no subcommand".to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockpass-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
