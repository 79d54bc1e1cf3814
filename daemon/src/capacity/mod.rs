//! Nodes whose targets have room: an entry, an agent or a keeper in one process.
//!
//! Entries and agents run on one thread, beside those of the log and the signals. The machines
//! beside targets are small, and each hand-over between threads costs a wake-up there; the account
//! stands in `docs/design/platform.md`.

mod agent;
mod agent_entries;
mod agent_news;
mod entry;
mod entry_figures;
mod entry_http;
mod entry_news;
mod entry_peers;
mod entry_stop;
mod keeper;
mod messages;
mod metrics;
mod session;
mod target_http;
mod watch;

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use model::Incarnation;
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

use crate::clock::Clock;
use crate::config::Config;
use crate::event_log::{Budget, EventLog};
use crate::keeper_role::KeeperError;

/// How often the configuration's file is looked at for changes without a signal.
const FILE_POLL: Duration = Duration::from_secs(2);

/// Why a node can't run.
#[derive(Debug, Error)]
pub enum CapacityNodeError {
    /// A socket or a thread can't be had.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        #[source]
        source: io::Error,
    },
    /// The keeper's state can't be used.
    #[error(transparent)]
    Keeper(#[from] KeeperError),
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> CapacityNodeError {
    let what = what.into();
    move |source| CapacityNodeError::Io { what, source }
}

/// What the process was told from outside.
#[derive(Clone, Debug)]
enum Order {
    /// A planned stop.
    Stop,
    /// The configuration's file may have changed.
    Reload,
}

/// Runs a node until a signal asks for the end.
pub fn run_capacity_node(config: &Config, path: &Path) -> Result<(), CapacityNodeError> {
    let clock = Clock::start();
    let name = config.node.name.as_str();
    let log = EventLog::to_stdout(name, clock).map_err(io_error("log"))?;
    let orders = listen_to_signals().map_err(io_error("signals"))?;
    let life = new_incarnation();
    log.line("start", Budget::Full, || {
        let roles: Vec<String> = config.node.roles.iter().map(|role| format!("{role:?}")).collect();
        let version = env!("CARGO_PKG_VERSION");
        json!({"roles": roles, "version": version, "incarnation": life.0})
    });
    let node = Started { config: config.clone(), path: path.to_owned(), clock, log, orders, life };
    let log = node.log.clone();
    let result = if config.entry.is_some() {
        entry::run(node)
    } else if config.agent.is_some() {
        agent::run(node)
    } else {
        keeper::run(node)
    };
    let failure = result.as_ref().err().map(ToString::to_string);
    log.line("stop", Budget::Full, || json!({"error": failure}));
    log.flush();
    result
}

/// What every role begins with.
struct Started {
    config: Config,
    path: PathBuf,
    clock: Clock,
    log: EventLog,
    orders: Receiver<Order>,
    life: Incarnation,
}

/// A number that no earlier life of the node had, but by a chance of one in 2^64.
fn new_incarnation() -> Incarnation {
    let random = uuid::Uuid::new_v4().as_u128();
    Incarnation((random >> 64) as u64 ^ random as u64)
}

/// Turns signals into orders: stops are planned; only a second SIGINT, from a terminal, ends the process at
/// once. A restart and a removal of a host may both send SIGTERM, and the stop that goes on leaves nothing
/// unanswered.
fn listen_to_signals() -> io::Result<Receiver<Order>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (orders, received) = async_channel::bounded(16);
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        let mut stopping = false;
        for signal in signals.forever() {
            if signal == SIGHUP {
                // A full ring has an order of the same kind in it already.
                let _ = orders.try_send(Order::Reload);
            } else if !std::mem::replace(&mut stopping, true) {
                // Fails only where nobody waits for orders any more: the process ends.
                let _ = orders.send_blocking(Order::Stop);
            } else if signal == SIGINT {
                std::process::exit(1);
            }
        }
    })?;
    Ok(received)
}

/// Waits for the order to stop. Each time the configuration's file has changed, with a signal or
/// without, it is checked and handed on; a file that can't be used changes nothing.
async fn until_stopped(started: &Started, mut changed: impl FnMut(&Config)) {
    let mut in_force = started.config.clone();
    loop {
        let order = async { started.orders.recv().await.unwrap_or(Order::Stop) };
        let poll = async {
            Timer::after(FILE_POLL).await;
            Order::Reload
        };
        match futures_lite::future::or(order, poll).await {
            Order::Stop => return,
            Order::Reload => {}
        }
        match Config::load(&started.path) {
            Ok(config) if config == in_force => {}
            Ok(config) => {
                started.log.line(
                    "reload",
                    Budget::Full,
                    || json!({"keepers": config.node.keepers.len()}),
                );
                changed(&config);
                in_force = config;
            }
            Err(error) => {
                let reason = error.to_string();
                started.log.line("reload-refused", Budget::Full, || json!({"error": reason}));
            }
        }
    }
}
