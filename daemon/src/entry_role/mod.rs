//! The entry role: one thread listens to callers and other entries, one drives the state machine,
//! one holds the connections to agents.

mod agent_links;
mod driver;
mod listen;
mod peers;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;
use membership::{HostList, HostState, Liveness, Role};
use model::{NodeName, NodeRef};
use net::Clients;
use telemetry::EntryCounters;

use crate::clock::Clock;
use crate::config::{EntryConfig, NodeConfig};
use crate::decisions::DecisionLog;
use crate::event_loop::CHANNEL_CAPACITY;
use crate::failure_detector::LivenessSubscriber;
use crate::hosts::ListSubscriber;
use crate::settings_client::{SettingsSubscriber, SettingsUpdate};
use crate::threads::{ThreadHandle, join, spawn};

use agent_links::AgentLinkInput;
use driver::{EntryDriver, Input};

/// How often a draining entry checks whether it is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options to start an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// The node's configuration.
    pub node: NodeConfig,
    /// The configuration of the entry role.
    pub entry: EntryConfig,
    /// The node's name and the incarnation of this process.
    pub node_ref: NodeRef,
    /// The log of routing and placement decisions.
    pub decisions: DecisionLog,
    /// The clients of all servers of the process.
    pub clients: Clients,
}

/// State shared by the threads of an entry.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// Whether the load balancer may send work.
    ready: AtomicBool,
    /// Whether a planned stop is in progress.
    draining: AtomicBool,
    /// Whether the listener for callers is closed.
    closed: AtomicBool,
    /// The number of connections with an unanswered request; updated once `closed` is set.
    unfinished: AtomicU64,
}

impl SharedState {
    /// Returns whether the listener is closed and every received request is answered. The number of
    /// active jobs is no substitute: a job exists only once its request is read completely.
    fn has_answered_all(&self) -> bool {
        self.closed.load(Ordering::Acquire) && self.unfinished.load(Ordering::Acquire) == 0
    }
}

/// A running entry.
pub struct EntryHandle {
    address: SocketAddr,
    peer_address: SocketAddr,
    drain_notice: Duration,
    shared: Arc<SharedState>,
    input_sender: Sender<Input>,
    agent_links: Sender<AgentLinkInput>,
    stop_listening: Option<Sender<()>>,
    threads: Vec<ThreadHandle>,
}

impl EntryHandle {
    /// Binds the listeners and starts the threads.
    pub fn start(options: EntryOptions) -> io::Result<Self> {
        let clock = Clock::start();
        let listener = Async::<TcpListener>::bind(options.entry.listen)?;
        let peer_listener = Async::<TcpListener>::bind(options.entry.peer_listen)?;
        let address = listener.get_ref().local_addr()?;
        let peer_address = peer_listener.get_ref().local_addr()?;
        let shared = Arc::new(SharedState::default());
        let (input_sender, inputs) = async_channel::bounded(CHANNEL_CAPACITY);
        let (agent_links, link_inputs) = async_channel::bounded(CHANNEL_CAPACITY);
        let (stop_listening, stopped) = async_channel::bounded(1);

        let driver = EntryDriver::new(&options, shared.clone(), agent_links.clone());
        let driver_thread =
            spawn("entry-decide", move |_| crate::event_loop::run(driver, inputs, clock))?;
        let node_ref = options.node_ref.clone();
        let events = input_sender.clone();
        let links_thread = spawn("entry-links", move |tasks| {
            agent_links::run(node_ref, tasks, link_inputs, events)
        })?;
        let listen_inputs = input_sender.clone();
        let (listen_shared, clients) = (shared.clone(), options.clients.clone());
        let listen_thread = spawn("entry-listen", move |tasks| {
            let inputs = listen_inputs;
            listen::run(tasks, listener, peer_listener, clients, inputs, listen_shared, stopped)
        })?;
        Ok(Self {
            address,
            peer_address,
            drain_notice: options.entry.drain_notice,
            shared,
            input_sender,
            agent_links,
            stop_listening: Some(stop_listening),
            threads: vec![driver_thread, links_thread, listen_thread],
        })
    }

    /// The address on which the entry listens for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address on which the entry listens for other entries.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Whether the load balancer may send work.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Acquire)
    }

    /// The entry's counters; `None` once it has stopped.
    pub fn counters(&self) -> Option<EntryCounters> {
        let (reply, status) = async_channel::bounded(1);
        self.input_sender.send_blocking(Input::Status(reply)).ok()?;
        status.recv_blocking().ok().map(|status| status.counters)
    }

    pub(crate) fn settings_subscriber(&self) -> SettingsSubscriber {
        let input_sender = self.input_sender.clone();
        Box::new(move |update: SettingsUpdate| {
            input_sender.send_blocking(Input::Settings(update)).is_ok()
        })
    }

    pub(crate) fn list_subscriber(&self) -> ListSubscriber {
        let (input_sender, agent_links) = (self.input_sender.clone(), self.agent_links.clone());
        Box::new(move |list: &HostList| {
            let leaving = list
                .of_role(Role::Agent)
                .filter(|host| host.state == HostState::Leaving)
                .map(|host| entry::Event::AgentLeaving { agent: host.name.clone() });
            let live = list.of_role(Role::Entry).filter(|host| host.state == HostState::Live);
            let count = u32::try_from(live.count()).unwrap_or(u32::MAX);
            let mut events = leaving.chain([entry::Event::EntryCount { count }]);
            let all_sent =
                events.all(|event| input_sender.send_blocking(Input::Event(event)).is_ok());
            all_sent && agent_links.send_blocking(AgentLinkInput::Hosts(list.clone())).is_ok()
        })
    }

    pub(crate) fn liveness_subscriber(&self) -> LivenessSubscriber {
        let (input_sender, agent_links) = (self.input_sender.clone(), self.agent_links.clone());
        Box::new(move |node: &NodeName, liveness: Liveness| {
            let agent = node.clone();
            let suspected = liveness != Liveness::Alive;
            // Sending fails only once the entry has stopped.
            let _ = input_sender
                .send_blocking(Input::Event(entry::Event::Suspected { agent, suspected }));
            if liveness == Liveness::Dead {
                let _ = agent_links.send_blocking(AgentLinkInput::Dead(node.clone()));
            }
        })
    }

    /// Stops as planned: reports that it is not ready, accepts requests for the notice time, then
    /// closes the listener, answers every received request and ends.
    pub fn drain(mut self) {
        self.shared.draining.store(true, Ordering::Release);
        self.shared.ready.store(false, Ordering::Release);
        std::thread::sleep(self.drain_notice);
        self.stop_listening.take();
        while !self.shared.has_answered_all() || !self.is_idle() {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.stop();
    }

    fn is_idle(&self) -> bool {
        self.counters().is_none_or(|counters| counters.active == 0)
    }

    /// Stops at once; waiting callers get no answer.
    pub fn stop(mut self) {
        self.stop_listening.take();
        self.input_sender.close();
        self.agent_links.close();
        join(std::mem::take(&mut self.threads));
    }
}
