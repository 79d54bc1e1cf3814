//! `dockpass explain`: reconstructs the history of a request from the logs of several processes.

use std::fs;
use std::process::ExitCode;

use clap::ArgMatches;
use explain::{History, Line};
use serde_json::json;

use super::{CommandError, EXIT_FAILED};

/// Prints the request's log lines, oldest first, with its outcome and the cause.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let request_id = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let mut lines = Vec::new();
    for file in matches.get_many::<String>("logs").into_iter().flatten() {
        let contents =
            fs::read(file).map_err(|error| CommandError::BadInput(format!("{file}: {error}")))?;
        lines.extend(String::from_utf8_lossy(&contents).lines().filter_map(Line::parse));
    }
    let history = History::for_job(request_id, lines);
    if history.is_empty() {
        eprintln!(
            "dockpass: no log line mentions request {request_id}: check the \
             logs for 'omitted' events, or pass the logs of more processes"
        );
        return Ok(ExitCode::from(EXIT_FAILED));
    }
    match matches.get_flag("json") {
        true => print_json(&history),
        false => print_text(&history),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_text(history: &History) {
    let start_time = history.lines[0].time;
    for line in history.merged() {
        let offset_ms = (line.time - start_time) * 1e3;
        let mark = if line.is_state_change() { "|" } else { " " };
        print_line!(
            "{offset_ms:+10.1} ms {mark} {:<24} {:<18} {}",
            line.node,
            line.event,
            line.fields_text()
        );
    }
    let verdict = history.explanation();
    print_line!("{}: {}", verdict.outcome, verdict.cause);
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
    print_line!("{}", json!({"outcome": verdict.outcome, "cause": verdict.cause, "lines": lines}));
}
