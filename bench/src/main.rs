//! `dockpass-bench`: load through all roles on loopback, with stand-in targets.

mod cli;
mod load;
mod path;
mod threads;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = cli::command().get_matches();
    // The nodes' log would stand between the figures.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let result = match arguments.subcommand() {
        Some(("path", own)) => path::run(own),
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
