//! `dockpass completions`: shell completions.

use std::io;
use std::process::ExitCode;

use clap::ArgMatches;
use clap_complete::Shell;

use super::CommandError;

/// Prints the completions of a shell.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let shell = arguments.get_one::<Shell>("shell").copied().unwrap_or(Shell::Bash);
    let mut command = crate::cli::command();
    clap_complete::generate(shell, &mut command, "dockpass", &mut io::stdout());
    Ok(ExitCode::SUCCESS)
}
