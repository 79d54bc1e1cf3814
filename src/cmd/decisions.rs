//! `dockpass decisions`: filters the lines of a decision log.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::process::ExitCode;

use clap::ArgMatches;

use super::CommandError;

/// Prints the lines of the log that match the submission and refusal filters.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    let submission = matches.get_one::<String>("submission");
    let refusals = matches.get_flag("refusals");
    let json = matches.get_flag("json");
    let file = File::open(path).map_err(|e| CommandError::BadInput(format!("{path}: {e}")))?;
    for line in BufReader::new(file).lines() {
        let line = line?;
        let selected = submission.is_none_or(|id| line.split(' ').nth(1) == Some(id))
            && (!refusals || line.contains(" refuse "));
        if !selected {
            continue;
        }
        if json {
            print_line!("{}", serde_json::json!({ "decision": line }));
        } else {
            print_line!("{line}");
        }
    }
    Ok(ExitCode::SUCCESS)
}
