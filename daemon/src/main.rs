//! `dockpassd`: the daemon of entries, agents and keepers.

mod cli;

use std::path::Path;
use std::process::ExitCode;

use daemon::{
    Config, Node, Platform, Scheduling, init_keeper, init_logs, print_reference, run_capacity_node,
};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use spdlog::{critical, info};

/// The file in the folder of the logs.
const LOG: &str = "dockpassd.log";
/// Exit code of a run that failed.
const FAILED: u8 = 1;
/// Exit code of a configuration that can't be used.
const BAD_CONFIG: u8 = 2;

fn main() -> ExitCode {
    let arguments = cli::command().get_matches();
    if arguments.get_flag("print-reference") {
        print!("{}", print_reference());
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.get_one::<String>("config") else {
        eprintln!("dockpassd: --config FILE has to be given");
        return ExitCode::from(BAD_CONFIG);
    };
    let config = match Config::load(Path::new(path)) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("dockpassd: {error}");
            return ExitCode::from(BAD_CONFIG);
        }
    };
    if arguments.get_flag("check") {
        print!("{}", config.effective_settings());
        return ExitCode::SUCCESS;
    }
    if arguments.get_flag("init-keeper") {
        return init(&config);
    }
    if config.node.scheduling == Scheduling::Capacity {
        return finish(run_capacity_node(&config, Path::new(path)));
    }
    finish(run(&config))
}

fn finish<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockpassd: {error}");
            ExitCode::from(FAILED)
        }
    }
}

/// Begins a cluster of keepers, on this one.
fn init(config: &Config) -> ExitCode {
    let Some(keeper) = &config.keeper else {
        eprintln!("dockpassd: [node] roles: --init-keeper is for keepers");
        return ExitCode::from(BAD_CONFIG);
    };
    match init_keeper(&config.node, keeper) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockpassd: {error}");
            ExitCode::from(FAILED)
        }
    }
}

/// Runs until a signal asks for the end: the first drains, the second ends at once.
fn run(config: &Config) -> Result<(), Box<dyn std::error::Error>> {
    init_logs(config.node.logs.as_ref().map(|folder| folder.join(LOG)).as_deref())?;
    let platform = Platform::parse(&config.node.platform).unwrap_or(Platform::None);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let node = Node::start(config, platform)?;
    info!("started {}", config.node.name);
    signals.forever().next();
    std::thread::spawn(move || {
        signals.forever().next();
        critical!("second signal: ending at once");
        std::process::exit(i32::from(FAILED));
    });
    node.drain();
    Ok(())
}
