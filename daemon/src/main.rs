//! `dockpassd`: the daemon that runs entries, agents and keepers.

mod cli;

use std::path::Path;
use std::process::ExitCode;

use daemon::{
    Config, Node, Platform, Scheduling, init_keeper, init_logs, print_reference, run_capacity_node,
};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use spdlog::{critical, info};

/// File name of the daemon's log in the folder of the logs.
const LOG_FILE: &str = "dockpassd.log";
/// Exit code after a failed start or run.
const EXIT_FAILURE: u8 = 1;
/// Exit code after invalid arguments or an invalid configuration.
const EXIT_INVALID_CONFIG: u8 = 2;

fn main() -> ExitCode {
    let arguments = cli::command().get_matches();
    if arguments.get_flag("print-reference") {
        print!("{}", print_reference());
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.get_one::<String>("config") else {
        eprintln!("dockpassd: --config FILE has to be given");
        return ExitCode::from(EXIT_INVALID_CONFIG);
    };
    let config = match Config::load(Path::new(path)) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("dockpassd: {error}");
            return ExitCode::from(EXIT_INVALID_CONFIG);
        }
    };
    if arguments.get_flag("check") {
        print!("{}", config.effective_settings());
        return ExitCode::SUCCESS;
    }
    if arguments.get_flag("init-keeper") {
        return create_cluster(&config);
    }
    if config.node.scheduling == Scheduling::Capacity {
        return exit_code(run_capacity_node(&config, Path::new(path)));
    }
    exit_code(run(&config))
}

fn exit_code<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockpassd: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Creates a new cluster of keepers: writes the journal of this keeper.
fn create_cluster(config: &Config) -> ExitCode {
    let Some(keeper) = &config.keeper else {
        eprintln!("dockpassd: [node] roles: --init-keeper needs the role keeper");
        return ExitCode::from(EXIT_INVALID_CONFIG);
    };
    match init_keeper(&config.node, keeper) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockpassd: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs until a signal: the first starts a planned stop, the second exits at once.
fn run(config: &Config) -> Result<(), Box<dyn std::error::Error>> {
    init_logs(config.node.logs.as_ref().map(|folder| folder.join(LOG_FILE)).as_deref())?;
    let platform = Platform::parse(&config.node.platform).unwrap_or(Platform::None);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let node = Node::start(config, platform)?;
    info!("started {}", config.node.name);
    signals.forever().next();
    std::thread::spawn(move || {
        signals.forever().next();
        critical!("second signal: exiting at once");
        std::process::exit(i32::from(EXIT_FAILURE));
    });
    node.drain();
    Ok(())
}
