//! `dockpass decisions`: lines of a decision log.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::process::ExitCode;

use clap::ArgMatches;

use super::CommandError;

/// Prints the lines that were asked for.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = arguments.get_one::<String>("file").map_or("", String::as_str);
    let submission = arguments.get_one::<String>("submission");
    let refusals = arguments.get_flag("refusals");
    let json = arguments.get_flag("json");
    let file = File::open(path).map_err(|e| CommandError::BadInput(format!("{path}: {e}")))?;
    for line in BufReader::new(file).lines() {
        let line = line?;
        let wanted = submission.is_none_or(|id| line.split(' ').nth(1) == Some(id))
            && (!refusals || line.contains(" refuse "));
        if !wanted {
            continue;
        }
        if json {
            say!("{}", serde_json::json!({ "decision": line }));
        } else {
            say!("{line}");
        }
    }
    Ok(ExitCode::SUCCESS)
}
