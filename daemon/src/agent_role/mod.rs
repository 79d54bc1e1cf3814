//! An agent as threads: one serves entries, one decides, one talks to the target.

mod decide;
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
use crate::driver::RING;
use crate::hosts::ListSubscriber;
use crate::settings_link::{Subscriber, Update};
use crate::threads::{Duty, join, spawn};

use decide::{AgentDecider, Input};

/// How often a draining agent looks whether it is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// Time for the last answers to reach the entries before the connections close.
const DRAIN_LINGER: Duration = Duration::from_millis(300);

/// What an agent is started with.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Who the node is.
    pub node: NodeConfig,
    /// The agent's part of the configuration.
    pub agent: AgentConfig,
    /// Its life.
    pub life: NodeRef,
}

/// What the threads of an agent share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Nothing runs, and nothing new is taken.
    drained: AtomicBool,
    /// Calls that are not answered yet, token exchanges left out.
    calls: AtomicU64,
}

/// A running agent.
pub struct AgentHandle {
    address: SocketAddr,
    name: NodeName,
    shared: Arc<Shared>,
    ring: Sender<Input>,
    duties: Vec<Duty>,
}

impl AgentHandle {
    /// Starts the threads. Calls are taken once the first settings have come.
    pub fn start(options: AgentOptions) -> io::Result<Self> {
        let clock = Clock::start();
        let listener = Async::<TcpListener>::bind(options.agent.listen)?;
        let address = listener.get_ref().local_addr()?;
        let shared = Arc::new(Shared::default());
        let (ring, inputs) = async_channel::bounded(RING);
        let (runs, to_run) = async_channel::bounded(RING);
        let (open, opened) = async_channel::bounded(1);

        let decider = AgentDecider::new(&options, shared.clone(), runs, open, clock);
        let decide = spawn("agent-decide", move |_| crate::driver::drive(decider, inputs, clock))?;
        let ended = ring.clone();
        let target = options.agent.clone();
        let run =
            spawn("agent-target", move |tasks| target::run(tasks, target, to_run, ended, clock))?;
        let calls = ring.clone();
        let serve_shared = shared.clone();
        let serve = spawn("agent-serve", move |tasks| {
            serve::run(tasks, listener, calls, serve_shared, opened)
        })?;
        let name = options.node.name;
        Ok(Self { address, name, shared, ring, duties: vec![decide, run, serve] })
    }

    /// Where entries reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its counters; none before the first settings or once it has stopped.
    pub fn counters(&self) -> Option<AgentCounters> {
        let (reply, counters) = async_channel::bounded(1);
        self.ring.send_blocking(Input::Counters(reply)).ok()?;
        counters.recv_blocking().ok()
    }

    pub(crate) fn settings_subscriber(&self) -> Subscriber {
        let ring = self.ring.clone();
        Box::new(move |update: Update| ring.send_blocking(Input::Settings(update)).is_ok())
    }

    /// Watches the list for the agent's own leaving.
    pub(crate) fn list_subscriber(&self) -> ListSubscriber {
        let (ring, name) = (self.ring.clone(), self.name.clone());
        Box::new(move |list: &HostList| {
            let own = list.of_role(Role::Agent).find(|host| host.name == name);
            match own.map(|host| host.state) {
                Some(HostState::Leaving) => ring.send_blocking(Input::Leave).is_ok(),
                _ => !ring.is_closed(),
            }
        })
    }

    /// Takes no new work from now on; what runs goes on.
    pub fn leave(&self) {
        // A stopped agent takes no work either.
        let _ = self.ring.send_blocking(Input::Leave);
    }

    /// A planned stop: takes no new work, finishes what runs, and ends.
    pub fn drain(self) {
        self.leave();
        let drained = || self.shared.drained.load(Ordering::Acquire);
        while !(drained() && self.shared.calls.load(Ordering::Acquire) == 0) {
            if self.ring.is_closed() {
                break;
            }
            std::thread::sleep(DRAIN_LOOK);
        }
        std::thread::sleep(DRAIN_LINGER);
        self.stop();
    }

    /// Ends at once.
    pub fn stop(mut self) {
        self.ring.close();
        join(std::mem::take(&mut self.duties));
    }
}
