//! Nodes that schedule by reported capacity: an entry, an agent or a keeper in one process.
//!
//! Entries and agents run on one thread, besides those for the log and the signals: hosts are
//! small, and each handover between threads costs a wake-up.

mod agent;
mod agent_log;
mod agent_sessions;
mod client_log;
mod entry;
mod entry_http;
mod entry_log;
mod entry_metrics;
mod entry_peers;
mod entry_stop;
mod keeper;
mod keeper_watch;
mod message_counters;
mod metrics;
mod queue_metrics;
mod session;
mod target_http;

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use model::Incarnation;
use net::Clients;
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

use self::client_log::ClientLog;
use crate::clock::Clock;
use crate::config::Config;
use crate::event_log::{Budget, EventLog};
use crate::keeper_role::KeeperError;

/// How often the configuration file is checked for changes without a signal.
const FILE_POLL: Duration = Duration::from_secs(2);

/// Why a node failed to start or to run.
#[derive(Debug, Error)]
pub enum CapacityNodeError {
    /// A socket or a thread is unavailable.
    #[error("{resource}: {source}")]
    Io {
        /// The resource, such as an address to listen on.
        resource: String,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The keeper failed, for example because its stored state is unusable.
    #[error(transparent)]
    Keeper(#[from] KeeperError),
}

fn io_error(resource: impl Into<String>) -> impl FnOnce(io::Error) -> CapacityNodeError {
    let resource = resource.into();
    move |source| CapacityNodeError::Io { resource, source }
}

/// A request to the running process.
#[derive(Clone, Debug)]
enum ControlEvent {
    /// Start a planned stop.
    Stop,
    /// Check the configuration file for changes.
    Reload,
}

/// Runs a node until a signal asks it to stop.
///
/// Fails if a socket, a thread or the keeper's state is unavailable.
pub fn run_capacity_node(config: &Config, path: &Path) -> Result<(), CapacityNodeError> {
    let clock = Clock::start();
    let name = config.node.name.as_str();
    let log = EventLog::to_stdout(name, clock).map_err(io_error("log"))?;
    let control_events = listen_for_signals().map_err(io_error("signals"))?;
    let incarnation = new_incarnation();
    log.line("start", Budget::Full, || {
        let roles: Vec<String> = config.node.roles.iter().map(|role| format!("{role:?}")).collect();
        let version = env!("CARGO_PKG_VERSION");
        json!({"roles": roles, "version": version, "incarnation": incarnation.0})
    });
    let context = NodeContext {
        config: config.clone(),
        path: path.to_owned(),
        clock,
        log,
        control_events,
        incarnation,
        clients: Clients::new(config.node.client_limits),
    };
    let log = context.log.clone();
    let result = if config.entry.is_some() {
        entry::run(context)
    } else if config.agent.is_some() {
        agent::run(context)
    } else {
        keeper::run(context)
    };
    let failure = result.as_ref().err().map(ToString::to_string);
    log.line("stop", Budget::Full, || json!({"error": failure}));
    log.flush();
    result
}

/// What every role needs to start.
struct NodeContext {
    config: Config,
    path: PathBuf,
    clock: Clock,
    log: EventLog,
    control_events: Receiver<ControlEvent>,
    incarnation: Incarnation,
    /// The clients of all servers of the process.
    clients: Clients,
}

/// Draws a random incarnation number, which with near certainty no earlier process of the node had.
fn new_incarnation() -> Incarnation {
    let random = uuid::Uuid::new_v4().as_u128();
    Incarnation((random >> 64) as u64 ^ random as u64)
}

/// Turns signals into control events. The first SIGTERM or SIGINT starts a planned stop. During the
/// stop only SIGINT, sent from a terminal, exits at once: a restart and the removal of a host may
/// each send SIGTERM, and the stop in progress still answers every request.
fn listen_for_signals() -> io::Result<Receiver<ControlEvent>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = async_channel::bounded(16);
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        let mut stopping = false;
        for signal in signals.forever() {
            if signal == SIGHUP {
                // A full channel already holds a reload.
                let _ = sender.try_send(ControlEvent::Reload);
            } else if !std::mem::replace(&mut stopping, true) {
                // Fails only if the process is ending and the receiver is dropped.
                let _ = sender.send_blocking(ControlEvent::Stop);
            } else if signal == SIGINT {
                std::process::exit(1);
            }
        }
    })?;
    Ok(receiver)
}

/// Waits for a request to stop. A configuration file that has changed, with or without a signal, is
/// checked and passed to `on_reload`; an invalid one is logged and changes nothing.
async fn reload_until_stopped(context: &NodeContext, mut on_reload: impl FnMut(&Config)) {
    let mut current = context.config.clone();
    let mut client_log = ClientLog::default();
    loop {
        let event = async { context.control_events.recv().await.unwrap_or(ControlEvent::Stop) };
        let poll = async {
            Timer::after(FILE_POLL).await;
            ControlEvent::Reload
        };
        match futures_lite::future::or(event, poll).await {
            ControlEvent::Stop => return,
            ControlEvent::Reload => {}
        }
        client_log.write_changes(&context.clients, &context.log);
        match Config::load(&context.path) {
            Ok(config) if config == current => {}
            Ok(config) => {
                context.log.line(
                    "reload",
                    Budget::Full,
                    || json!({"keepers": config.node.keepers.len()}),
                );
                on_reload(&config);
                current = config;
            }
            Err(error) => {
                let reason = error.to_string();
                context.log.line("reload-refused", Budget::Full, || json!({"error": reason}));
            }
        }
    }
}
