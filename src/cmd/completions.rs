//! `dockpass completions`: generates shell completion scripts.

use std::io;
use std::process::ExitCode;

use clap::ArgMatches;
use clap_complete::Shell;

use super::CommandError;

/// Prints the completion script of the given shell.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let shell = matches.get_one::<Shell>("shell").copied().unwrap_or(Shell::Bash);
    let mut command = crate::cli::command();
    clap_complete::generate(shell, &mut command, "dockpass", &mut io::stdout());
    Ok(ExitCode::SUCCESS)
}
