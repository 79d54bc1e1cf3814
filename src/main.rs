//! `dockpass`: the command-line client of the dockpass dispatcher.

// Spans that a person is shown.
#![allow(clippy::disallowed_methods)]

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = cli::command().get_matches();
    match cmd::run(&arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("dockpass: {error}");
            error.exit_code()
        }
    }
}
