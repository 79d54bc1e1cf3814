//! One file a subcommand.

/// Prints a line. A reader that has gone, such as `head`, is no failure.
macro_rules! say {
    ($($argument:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($argument)*);
    }};
}

mod completions;
mod decisions;
mod demo;
mod explain;
mod halls;
mod service;
mod settings;
mod status;
mod submit;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::ArgMatches;
use client::{OperatorError, RequestError};
use thiserror::Error;

/// Exit code of work that failed.
pub const FAILED: u8 = 1;
/// Exit code of bad arguments or input.
pub const BAD_INPUT: u8 = 2;
/// Exit code of what was refused.
pub const REFUSED: u8 = 3;
/// Exit code of a change whose outcome is unknown.
pub const UNKNOWN: u8 = 4;

/// Why a subcommand could not do its work.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Bad arguments or input.
    #[error("{0}")]
    BadInput(String),
    /// An entry could not be asked.
    #[error(transparent)]
    Caller(#[from] RequestError),
    /// The keepers could not be asked.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The demo's cluster failed.
    #[error(transparent)]
    Cluster(#[from] testbed::ClusterError),
    /// A file or socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// An agent could not be asked.
    #[error("agent {0}: {1}")]
    Agent(SocketAddr, String),
}

impl CommandError {
    /// The exit code that tells scripts of it.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::BadInput(_) => ExitCode::from(BAD_INPUT),
            _ => ExitCode::from(FAILED),
        }
    }
}

/// Runs the subcommand that the arguments name.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    match arguments.subcommand() {
        Some(("demo", own)) => demo::run(own),
        Some(("submit", own)) => submit::run(own),
        Some(("status", own)) => status::run(own),
        Some(("settings", own)) => settings::run(own),
        Some(("service", own)) => service::run(own),
        Some(("halls", own)) => halls::run(own),
        Some(("decisions", own)) => decisions::run(own),
        Some(("explain", own)) => explain::run(own),
        Some(("completions", own)) => completions::run(own),
        _ => Err(CommandError::BadInput("no subcommand".to_owned())),
    }
}

/// Reads the addresses of an argument.
fn addresses(arguments: &ArgMatches, name: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let texts = arguments.get_many::<String>(name).into_iter().flatten();
    texts
        .map(|text| {
            let bad = |_| CommandError::BadInput(format!("--{name}: '{text}' is not IP:PORT"));
            text.parse().map_err(bad)
        })
        .collect()
}
