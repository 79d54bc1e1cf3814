//! `dockpass`: the command-line client of the dockpass dispatcher.

// `Instant` only measures durations that are shown to the user.
#![allow(clippy::disallowed_methods)]

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("dockpass: {error}");
            error.exit_code()
        }
    }
}
