//! `dockpass halls`: empties data halls for work on them, refills them, and shows which are emptied.

use std::process::ExitCode;

use clap::ArgMatches;
use client::{HallOutcome, OperatorClient};
use wire::{EmptiedHalls, HallCommand, HallName};

use super::{CommandError, REFUSED, UNKNOWN, addresses};

/// Runs the action that the arguments name.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    match arguments.subcommand() {
        Some(("empty", own)) => order(own, false),
        Some(("refill", own)) => order(own, true),
        Some(("show", own)) => show(own),
        _ => Err(CommandError::BadInput("no action".to_owned())),
    }
}

fn order(arguments: &ArgMatches, takes_work: bool) -> Result<ExitCode, CommandError> {
    let name = arguments.get_one::<String>("hall").map_or("", String::as_str);
    let bad = |error| CommandError::BadInput(format!("'{name}': {error}"));
    let hall: HallName = name.parse().map_err(bad)?;
    let keepers = addresses(arguments, "keeper")?;
    let order = HallCommand { hall, takes_work };
    let outcome = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).send_hall_command(&order).await
    });
    let json = arguments.get_flag("json");
    Ok(match outcome {
        HallOutcome::Accepted(halls) => {
            print(&halls, json);
            ExitCode::SUCCESS
        }
        HallOutcome::Refused(reason) if json => {
            say!("{}", serde_json::json!({"refused": reason}));
            ExitCode::from(REFUSED)
        }
        HallOutcome::Refused(reason) => {
            say!("refused: {reason}");
            ExitCode::from(REFUSED)
        }
        HallOutcome::Unknown if json => {
            say!("{}", serde_json::json!("unknown"));
            ExitCode::from(UNKNOWN)
        }
        HallOutcome::Unknown => {
            say!("unknown: no keeper could tell; look with 'halls show'");
            ExitCode::from(UNKNOWN)
        }
    })
}

fn show(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let keepers = addresses(arguments, "keeper")?;
    let halls: EmptiedHalls = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).get_json("/v1/halls").await
    })?;
    print(&halls, arguments.get_flag("json"));
    Ok(ExitCode::SUCCESS)
}

fn print(halls: &EmptiedHalls, json: bool) {
    if json {
        return say!("{}", serde_json::json!(halls));
    }
    let revision = halls.revision;
    match halls.halls.is_empty() {
        true => say!("no hall is emptied (revision {revision})"),
        false => say!("emptied: {halls} (revision {revision})"),
    }
}
