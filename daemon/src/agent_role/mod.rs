//! The agent role: one thread serves entries, one drives the state machine, one sends tasks to the
//! target.

mod driver;
mod serve;
mod target;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;
use membership::{HostList, HostState, Role};
use model::{NodeName, NodeRef};
use telemetry::AgentCounters;

use crate::clock::Clock;
use crate::config::{AgentConfig, NodeConfig};
use crate::event_loop::CHANNEL_CAPACITY;
use crate::hosts::ListSubscriber;
use crate::settings_client::{SettingsSubscriber, SettingsUpdate};
use crate::threads::{ThreadHandle, join, spawn};

use driver::{AgentDriver, Input};

/// How often a draining agent checks whether every call is answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the connections close, in which the last replies reach the entries.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_millis(300);

/// Options to start an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The node's configuration.
    pub node: NodeConfig,
    /// The configuration of the agent role.
    pub agent: AgentConfig,
    /// The node's name and the incarnation of this process.
    pub node_ref: NodeRef,
}

/// State shared by the threads of an agent.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// Whether no task is running and none is accepted any more.
    drained: AtomicBool,
    /// The number of unanswered `start` and `settle` calls.
    unanswered_calls: AtomicU64,
}

/// A running agent.
pub struct AgentHandle {
    address: SocketAddr,
    name: NodeName,
    shared: Arc<SharedState>,
    input_sender: Sender<Input>,
    threads: Vec<ThreadHandle>,
}

impl AgentHandle {
    /// Binds the listener and starts the threads. Calls are accepted once settings are received.
    pub fn start(options: AgentOptions) -> io::Result<Self> {
        let clock = Clock::start();
        let listener = Async::<TcpListener>::bind(options.agent.listen)?;
        let address = listener.get_ref().local_addr()?;
        let shared = Arc::new(SharedState::default());
        let (input_sender, inputs) = async_channel::bounded(CHANNEL_CAPACITY);
        let (target_tasks, target_tasks_receiver) = async_channel::bounded(CHANNEL_CAPACITY);
        let (hold_calls, calls_released) = async_channel::bounded(1);

        let driver = AgentDriver::new(&options, shared.clone(), target_tasks, hold_calls, clock);
        let driver_thread =
            spawn("agent-decide", move |_| crate::event_loop::run(driver, inputs, clock))?;
        let target_inputs = input_sender.clone();
        let target = options.agent.clone();
        let target_thread = spawn("agent-target", move |tasks| {
            target::run(tasks, target, target_tasks_receiver, target_inputs, clock)
        })?;
        let serve_inputs = input_sender.clone();
        let serve_shared = shared.clone();
        let serve_thread = spawn("agent-serve", move |tasks| {
            serve::run(tasks, listener, serve_inputs, serve_shared, calls_released)
        })?;
        let name = options.node.name;
        Ok(Self {
            address,
            name,
            shared,
            input_sender,
            threads: vec![driver_thread, target_thread, serve_thread],
        })
    }

    /// The address on which the agent listens for entries.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The agent's counters; `None` before the first settings and once it has stopped.
    pub fn counters(&self) -> Option<AgentCounters> {
        let (reply, counters) = async_channel::bounded(1);
        self.input_sender.send_blocking(Input::Counters(reply)).ok()?;
        counters.recv_blocking().ok()
    }

    pub(crate) fn settings_subscriber(&self) -> SettingsSubscriber {
        let input_sender = self.input_sender.clone();
        Box::new(move |update: SettingsUpdate| {
            input_sender.send_blocking(Input::Settings(update)).is_ok()
        })
    }

    /// Returns a subscriber that asks the agent to leave once the host list marks it as leaving.
    pub(crate) fn list_subscriber(&self) -> ListSubscriber {
        let (input_sender, name) = (self.input_sender.clone(), self.name.clone());
        Box::new(move |list: &HostList| {
            let own = list.of_role(Role::Agent).find(|host| host.name == name);
            match own.map(|host| host.state) {
                Some(HostState::Leaving) => input_sender.send_blocking(Input::Leave).is_ok(),
                _ => !input_sender.is_closed(),
            }
        })
    }

    /// Stops accepting new work; running tasks continue.
    pub fn leave(&self) {
        // Sending fails only once the agent has stopped.
        let _ = self.input_sender.send_blocking(Input::Leave);
    }

    /// Stops as planned: accepts no new work, finishes the running tasks and ends.
    pub fn drain(self) {
        self.leave();
        let drained = || self.shared.drained.load(Ordering::Acquire);
        while !(drained() && self.shared.unanswered_calls.load(Ordering::Acquire) == 0) {
            if self.input_sender.is_closed() {
                break;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        std::thread::sleep(CONNECTION_CLOSE_DELAY);
        self.stop();
    }

    /// Stops at once; running tasks get no answer.
    pub fn stop(mut self) {
        self.input_sender.close();
        join(std::mem::take(&mut self.threads));
    }
}
