//! The bench's arguments.

use clap::{Arg, Command, value_parser};

/// Declares every subcommand with its arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    Command::new("dockpass-bench")
        .about("Load through all roles on loopback, with stand-in targets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("path")
                .about("What one entry and its agents carry, and what they add to a request")
                .arg(number("seconds", "5", "How long each load lasts"))
                .arg(number("callers", "64", "Callers at once at the peak"))
                .arg(number("agents", "3", "Agents, each with a target that answers at once")),
        )
        .subcommand(
            Command::new("slopes")
                .about("Memory, processor time and messages of the libraries at growing sizes"),
        )
        .subcommand(
            Command::new("changes")
                .about("How long keepers with synced disks take to accept a change")
                .arg(number("changes", "300", "Changes, one after the other")),
        )
        .subcommand(
            Command::new("policy")
                .about("Placement policies under load, through the decision libraries, in virtual time")
                .arg(number("seconds", "120", "Virtual seconds of load in each run"))
                .arg(number("seed", "1", "Makes the runs"))
                .arg(
                    Arg::new("csv").long("csv").value_name("FILE").help("Write the table as CSV"),
                )
                .arg(
                    Arg::new("plot")
                        .long("plot")
                        .value_name("FILE")
                        .help("Write a plot of response over ideal as SVG"),
                ),
        )
}
