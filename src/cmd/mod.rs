//! The subcommands of `dockpass`, one module each.

/// Prints a line to standard output. Write errors, such as a pipe closed by `head`, are ignored.
macro_rules! print_line {
    ($($format_argument:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($format_argument)*);
    }};
}

mod completions;
mod decisions;
mod demo;
mod explain;
mod fleet_load;
mod halls;
mod load;
mod metrics_page;
mod service;
mod settings;
mod status;
mod submit;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::ArgMatches;
use client::{OperatorError, RequestError};
use thiserror::Error;

/// Exit code when a job or the subcommand itself failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code when arguments or input files are invalid.
pub const EXIT_BAD_INPUT: u8 = 2;
/// Exit code when the keepers refused a change.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code when it is unknown whether a change was applied.
pub const EXIT_UNKNOWN: u8 = 4;

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// An argument or input file is invalid (message for the user).
    #[error("{0}")]
    BadInput(String),
    /// A request to an entry failed.
    #[error(transparent)]
    EntryRequest(#[from] RequestError),
    /// A request to the keepers failed.
    #[error(transparent)]
    KeeperRequest(#[from] OperatorError),
    /// The demo's cluster could not be started.
    #[error(transparent)]
    Cluster(#[from] testbed::ClusterError),
    /// A file or socket operation failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// A request to the agent at this address failed (message of the transport).
    #[error("cannot read the status of agent {0}: {1}")]
    AgentRequest(SocketAddr, String),
}

impl CommandError {
    /// Returns the exit code for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::BadInput(_) => ExitCode::from(EXIT_BAD_INPUT),
            _ => ExitCode::from(EXIT_FAILED),
        }
    }
}

/// Runs the parsed subcommand and returns its exit code.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        Some(("submit", matches)) => submit::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("load", matches)) => load::run(matches),
        Some(("settings", matches)) => settings::run(matches),
        Some(("service", matches)) => service::run(matches),
        Some(("halls", matches)) => halls::run(matches),
        Some(("decisions", matches)) => decisions::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("completions", matches)) => completions::run(matches),
        _ => Err(CommandError::BadInput("no subcommand given".to_owned())),
    }
}

/// Parses every value of the argument `name` as a socket address.
fn parse_addresses(matches: &ArgMatches, name: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let texts = matches.get_many::<String>(name).into_iter().flatten();
    texts
        .map(|text| {
            let invalid = |_| CommandError::BadInput(format!("--{name}: '{text}' is not IP:PORT"));
            text.parse().map_err(invalid)
        })
        .collect()
}
