//! `dockpass explain`: follows one request through the logs of several processes.

use std::fs;
use std::process::ExitCode;

use clap::ArgMatches;
use explain::{History, Line};
use serde_json::json;

use super::{CommandError, FAILED};

/// Prints what happened to a request, oldest first, and the decision that ended it.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let job = arguments.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let mut lines = Vec::new();
    for file in arguments.get_many::<String>("logs").into_iter().flatten() {
        let bytes =
            fs::read(file).map_err(|error| CommandError::BadInput(format!("{file}: {error}")))?;
        lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(Line::parse));
    }
    let history = History::for_job(job, lines);
    if history.is_empty() {
        eprintln!("dockpass: no line names {job}: look for 'omitted' lines, and at more logs");
        return Ok(ExitCode::from(FAILED));
    }
    match arguments.get_flag("json") {
        true => print_json(&history),
        false => print_text(&history),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_text(history: &History) {
    let began = history.lines[0].time;
    for line in history.merged() {
        let after = (line.time - began) * 1e3;
        let mark = if line.is_state_change() { "|" } else { " " };
        say!("{after:+10.1} ms {mark} {:<24} {:<18} {}", line.node, line.event, line.fields_text());
    }
    let verdict = history.explanation();
    say!("{}: {}", verdict.outcome, verdict.cause);
}

fn print_json(history: &History) {
    let verdict = history.explanation();
    let lines: Vec<_> = history
        .merged()
        .into_iter()
        .map(|line| {
            json!({"time": line.time, "node": line.node, "event": line.event,
                "fields": line.fields})
        })
        .collect();
    say!("{}", json!({"outcome": verdict.outcome, "cause": verdict.cause, "lines": lines}));
}
