//! Discrete-event simulation of placement policies under load.
//!
//! Each workload runs with slot tokens, through the libraries of entry and agent, and with baseline
//! policies. The simulation runs in virtual time and depends only on the seed.

mod baseline;
mod event_queue;
mod report;
mod tokens;
mod workload;

use clap::ArgMatches;

use baseline::Selection;
use report::Row;
use workload::{Scenario, Workload};

/// Runs every scenario with every policy, prints the table, and writes the CSV file and the plot if
/// requested.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (seconds, seed) = (number("seconds"), number("seed"));
    let mut rows = Vec::new();
    report::print_header();
    for scenario in Scenario::all() {
        let workload = Workload::new(scenario, seconds, seed);
        let runs = [
            tokens::run(&workload, seed, true),
            tokens::run(&workload, seed, false),
            baseline::run(&workload, seed, Selection::Random),
            baseline::run(&workload, seed, Selection::TwoChoices),
            baseline::run(&workload, seed, Selection::Central),
        ];
        let names = ["tokens", "tokens, no claims", "random", "two choices", "(central queue)"];
        for (name, measurements) in names.into_iter().zip(runs) {
            let row = Row { scenario: scenario.name, policy: name, measurements };
            report::print_row(&row);
            rows.push(row);
        }
    }
    if let Some(path) = matches.get_one::<String>("csv") {
        report::write_csv(path, &rows).map_err(|error| format!("cannot write {path}: {error}"))?;
    }
    if let Some(path) = matches.get_one::<String>("plot") {
        report::write_plot(path, &rows).map_err(|error| format!("cannot write {path}: {error}"))?;
    }
    Ok(())
}
