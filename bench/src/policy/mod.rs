//! Placement policies under load.
//!
//! The same workload runs over slot tokens, through the real libraries of entry and agent, and
//! over two baselines. Everything happens in virtual time and is made by the seed.

mod baseline;
mod clock;
mod report;
mod tokens;
mod workload;

use clap::ArgMatches;

use baseline::Choice;
use report::Row;
use workload::{Scenario, Workload};

/// Runs every scenario over every policy and prints the table.
pub fn run(arguments: &ArgMatches) -> Result<(), String> {
    let get = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or(1);
    let (seconds, seed) = (get("seconds"), get("seed"));
    let mut rows = Vec::new();
    report::print_head();
    for scenario in Scenario::all() {
        let workload = Workload::new(scenario, seconds, seed);
        let runs = [
            tokens::run(&workload, seed, true),
            tokens::run(&workload, seed, false),
            baseline::run(&workload, seed, Choice::Random),
            baseline::run(&workload, seed, Choice::TwoChoices),
            baseline::run(&workload, seed, Choice::Central),
        ];
        let names = ["tokens", "tokens, no claims", "random", "two choices", "(central queue)"];
        for (name, measured) in names.into_iter().zip(runs) {
            let row = Row { scenario: scenario.name, policy: name, measured };
            report::print_row(&row);
            rows.push(row);
        }
    }
    if let Some(path) = arguments.get_one::<String>("csv") {
        report::write_csv(path, &rows).map_err(|error| format!("{path}: {error}"))?;
    }
    if let Some(path) = arguments.get_one::<String>("plot") {
        report::write_plot(path, &rows).map_err(|error| format!("{path}: {error}"))?;
    }
    Ok(())
}
