//! Definition of the command line.

use clap::{Arg, Command, value_parser};

/// Builds the command with all its subcommands and arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    Command::new("dockpass-bench")
        .about("Load tests of a cluster on loopback, and simulations of the decision libraries")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("path")
                .about("Measure the throughput and added latency of one entry and its agents")
                .arg(number("seconds", "5", "Duration of each load, in seconds"))
                .arg(number("callers", "64", "Concurrent callers at peak load"))
                .arg(number(
                    "agents",
                    "3",
                    "Agents, each with a target that answers without delay",
                )),
        )
        .subcommand(
            Command::new("slopes")
                .about("Measure memory, CPU time and messages of the decision libraries by size"),
        )
        .subcommand(
            Command::new("placement")
                .about("Measure the CPU time of placement by capacity, by the number of targets"),
        )
        .subcommand(
            Command::new("changes")
                .about("Measure how long one and three keepers take to accept a settings change")
                .arg(number("changes", "300", "Changes, submitted one after the other")),
        )
        .subcommand(
            Command::new("policy")
                .about("Simulate placement policies under load, in virtual time")
                .arg(number("seconds", "120", "Duration of the load, in virtual seconds"))
                .arg(number("seed", "1", "Seed of the random number generators"))
                .arg(Arg::new("csv").long("csv").value_name("FILE").help("Write the table as CSV"))
                .arg(
                    Arg::new("plot")
                        .long("plot")
                        .value_name("FILE")
                        .help("Write an SVG plot of the response time over the ideal, by quantile"),
                ),
        )
}
