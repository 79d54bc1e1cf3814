//! An entry as threads: one listens to callers and other entries, one decides, one talks to
//! agents.

mod decide;
mod links;
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
use telemetry::EntryCounters;

use crate::clock::Clock;
use crate::config::{EntryConfig, NodeConfig};
use crate::decisions::DecisionLog;
use crate::driver::RING;
use crate::hosts::ListSubscriber;
use crate::probe::LivenessSubscriber;
use crate::settings_link::{Subscriber, Update};
use crate::threads::{Duty, join, spawn};

use decide::{EntryDecider, Input};
use links::LinkInput;

/// How often a draining entry looks whether it is idle.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// What an entry is started with.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Who the node is.
    pub node: NodeConfig,
    /// The entry's part of the configuration.
    pub entry: EntryConfig,
    /// Its life.
    pub life: NodeRef,
    /// Where decisions go.
    pub decisions: DecisionLog,
}

/// What the threads of an entry share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Whether the balancer may send work.
    ready: AtomicBool,
    /// Whether it is leaving.
    draining: AtomicBool,
    /// Set once no more connections of callers are accepted.
    closed: AtomicBool,
    /// From then on: connections over which a request may still have to be answered.
    unfinished: AtomicU64,
}

impl Shared {
    /// Whether it has closed and every request that had come is answered. A job exists only from the
    /// moment when its request is read whole, so that to look at jobs would not do.
    fn has_answered(&self) -> bool {
        self.closed.load(Ordering::Acquire) && self.unfinished.load(Ordering::Acquire) == 0
    }
}

/// A running entry.
pub struct EntryHandle {
    address: SocketAddr,
    peer_address: SocketAddr,
    drain_notice: Duration,
    shared: Arc<Shared>,
    ring: Sender<Input>,
    links: Sender<LinkInput>,
    stop_listening: Option<Sender<()>>,
    duties: Vec<Duty>,
}

impl EntryHandle {
    /// Starts the threads.
    pub fn start(options: EntryOptions) -> io::Result<Self> {
        let clock = Clock::start();
        let listener = Async::<TcpListener>::bind(options.entry.listen)?;
        let peer_listener = Async::<TcpListener>::bind(options.entry.peer_listen)?;
        let address = listener.get_ref().local_addr()?;
        let peer_address = peer_listener.get_ref().local_addr()?;
        let shared = Arc::new(Shared::default());
        let (ring, inputs) = async_channel::bounded(RING);
        let (links, link_inputs) = async_channel::bounded(RING);
        let (stop_listening, stopped) = async_channel::bounded(1);

        let decider = EntryDecider::new(&options, shared.clone(), links.clone());
        let decide = spawn("entry-decide", move |_| crate::driver::drive(decider, inputs, clock))?;
        let life = options.life.clone();
        let events = ring.clone();
        let talk = spawn("entry-links", move |tasks| links::run(life, tasks, link_inputs, events))?;
        let callers = ring.clone();
        let listen_shared = shared.clone();
        let listen = spawn("entry-listen", move |tasks| {
            listen::run(tasks, listener, peer_listener, callers, listen_shared, stopped)
        })?;
        Ok(Self {
            address,
            peer_address,
            drain_notice: options.entry.drain_notice,
            shared,
            ring,
            links,
            stop_listening: Some(stop_listening),
            duties: vec![decide, talk, listen],
        })
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where other entries reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Whether the balancer may send work.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Acquire)
    }

    /// Its counters; none once it has stopped.
    pub fn counters(&self) -> Option<EntryCounters> {
        let (reply, status) = async_channel::bounded(1);
        self.ring.send_blocking(Input::Status(reply)).ok()?;
        status.recv_blocking().ok().map(|status| status.counters)
    }

    pub(crate) fn settings_subscriber(&self) -> Subscriber {
        let ring = self.ring.clone();
        Box::new(move |update: Update| ring.send_blocking(Input::Settings(update)).is_ok())
    }

    pub(crate) fn list_subscriber(&self) -> ListSubscriber {
        let (ring, links) = (self.ring.clone(), self.links.clone());
        Box::new(move |list: &HostList| {
            let leaving = list
                .of_role(Role::Agent)
                .filter(|host| host.state == HostState::Leaving)
                .map(|host| entry::Event::AgentLeaving { agent: host.name.clone() });
            let live = list.of_role(Role::Entry).filter(|host| host.state == HostState::Live);
            let count = u32::try_from(live.count()).unwrap_or(u32::MAX);
            let mut events = leaving.chain([entry::Event::EntryCount { count }]);
            let all_told = events.all(|event| ring.send_blocking(Input::Event(event)).is_ok());
            all_told && links.send_blocking(LinkInput::Hosts(list.clone())).is_ok()
        })
    }

    pub(crate) fn liveness_subscriber(&self) -> LivenessSubscriber {
        let (ring, links) = (self.ring.clone(), self.links.clone());
        Box::new(move |node: &NodeName, liveness: Liveness| {
            let agent = node.clone();
            let suspected = liveness != Liveness::Alive;
            // An entry that has stopped takes no news.
            let _ = ring.send_blocking(Input::Event(entry::Event::Suspected { agent, suspected }));
            if liveness == Liveness::Dead {
                let _ = links.send_blocking(LinkInput::Dead(node.clone()));
            }
        })
    }

    /// A planned stop: says that it is not ready, goes on taking requests for the notice time,
    /// then takes no more, finishes what it has and ends.
    pub fn drain(mut self) {
        self.shared.draining.store(true, Ordering::Release);
        self.shared.ready.store(false, Ordering::Release);
        std::thread::sleep(self.drain_notice);
        self.stop_listening.take();
        while !self.shared.has_answered() || !self.is_idle() {
            std::thread::sleep(DRAIN_LOOK);
        }
        self.stop();
    }

    fn is_idle(&self) -> bool {
        self.counters().is_none_or(|counters| counters.active == 0)
    }

    /// Ends at once: callers that wait get no answer.
    pub fn stop(mut self) {
        self.stop_listening.take();
        self.ring.close();
        self.links.close();
        join(std::mem::take(&mut self.duties));
    }
}
