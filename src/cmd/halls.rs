//! `dockpass halls`: empties data halls for maintenance, refills them, and lists the emptied ones.

use std::process::ExitCode;

use clap::ArgMatches;
use client::{HallOutcome, OperatorClient};
use wire::{EmptiedHalls, HallCommand, HallName};

use super::{CommandError, EXIT_REFUSED, EXIT_UNKNOWN, parse_addresses};

/// Runs the parsed action: `empty`, `refill` or `show`.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    match matches.subcommand() {
        Some(("empty", matches)) => send_command(matches, false),
        Some(("refill", matches)) => send_command(matches, true),
        Some(("show", matches)) => show(matches),
        _ => Err(CommandError::BadInput("no action given".to_owned())),
    }
}

fn send_command(matches: &ArgMatches, takes_work: bool) -> Result<ExitCode, CommandError> {
    let name = matches.get_one::<String>("hall").map_or("", String::as_str);
    let invalid = |error| CommandError::BadInput(format!("invalid hall name '{name}': {error}"));
    let hall: HallName = name.parse().map_err(invalid)?;
    let keepers = parse_addresses(matches, "keeper")?;
    let command = HallCommand { hall, takes_work };
    let outcome = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).send_hall_command(&command).await
    });
    let json = matches.get_flag("json");
    Ok(match outcome {
        HallOutcome::Accepted(halls) => {
            print_halls(&halls, json);
            ExitCode::SUCCESS
        }
        HallOutcome::Refused(reason) if json => {
            print_line!("{}", serde_json::json!({"refused": reason}));
            ExitCode::from(EXIT_REFUSED)
        }
        HallOutcome::Refused(reason) => {
            print_line!("refused: {reason}");
            ExitCode::from(EXIT_REFUSED)
        }
        HallOutcome::Unknown if json => {
            print_line!("{}", serde_json::json!("unknown"));
            ExitCode::from(EXIT_UNKNOWN)
        }
        HallOutcome::Unknown => {
            print_line!(
                "outcome unknown: no keeper confirmed the command; check with 'halls show'"
            );
            ExitCode::from(EXIT_UNKNOWN)
        }
    })
}

fn show(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let keepers = parse_addresses(matches, "keeper")?;
    let halls: EmptiedHalls = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).get_json("/v1/halls").await
    })?;
    print_halls(&halls, matches.get_flag("json"));
    Ok(ExitCode::SUCCESS)
}

fn print_halls(halls: &EmptiedHalls, json: bool) {
    if json {
        return print_line!("{}", serde_json::json!(halls));
    }
    let revision = halls.revision;
    match halls.halls.is_empty() {
        true => print_line!("no hall is emptied (revision {revision})"),
        false => print_line!("emptied: {halls} (revision {revision})"),
    }
}
