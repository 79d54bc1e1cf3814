//! The node's failure detector: probes other nodes over UDP, on the port number that the node uses
//! for TCP.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use membership::{Detector, Event, HostList, Liveness, Message, Role, Timing};
use model::{NodeName, NodeRef};
use serde::{Deserialize, Serialize};
use spdlog::{info, warn};

use crate::clock::Clock;
use crate::hosts::ListSubscriber;
use crate::threads::{ThreadHandle, spawn_until};

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Capacity of the channel for host lists.
const LIST_CHANNEL_CAPACITY: usize = 16;

/// Receives changes of a node's liveness.
pub(crate) type LivenessSubscriber = Box<dyn Fn(&NodeName, Liveness) + Send>;

/// A message with the name of its sender.
#[derive(Serialize, Deserialize)]
struct Datagram {
    from: NodeName,
    message: Message,
}

/// An event that wakes the detector's thread.
enum Wake {
    /// A datagram in the buffer: its length and source address.
    Datagram(usize, SocketAddr),
    List(HostList),
    Timer,
}

/// The state of the detector's thread.
struct FailureDetector {
    name: NodeName,
    detector: Detector,
    socket: Async<UdpSocket>,
    addresses: HashMap<NodeName, SocketAddr>,
    subscribers: Vec<LivenessSubscriber>,
    clock: Clock,
    buffer: Vec<u8>,
}

/// Starts the detector at an address. Returns the subscriber that passes it the host list.
pub(crate) fn start(
    node_ref: &NodeRef,
    address: SocketAddr,
    subscribers: Vec<LivenessSubscriber>,
    stopped: Receiver<()>,
) -> io::Result<(ListSubscriber, ThreadHandle)> {
    let clock = Clock::start();
    let socket = Async::<UdpSocket>::bind(address)?;
    let (name, seed) = (node_ref.name.clone(), node_ref.incarnation.0);
    // A later process of the node starts later, so the start time is an increasing generation.
    let generation = clock.now().as_micros();
    let detector = Detector::new(name.clone(), generation, seed, Timing::default(), clock.now());
    let (lists, list_receiver) = async_channel::bounded(LIST_CHANNEL_CAPACITY);
    let failure_detector = FailureDetector {
        name,
        detector,
        socket,
        addresses: HashMap::new(),
        subscribers,
        clock,
        buffer: vec![0; MAX_DATAGRAM_BYTES],
    };
    let thread = spawn_until("probe", stopped, move |_| failure_detector.run(list_receiver))?;
    let subscriber = move |list: &HostList| send_list(&lists, list);
    Ok((Box::new(subscriber), thread))
}

/// Sends a list to the detector. A list that does not fit into the channel is dropped, as the next
/// one replaces it.
fn send_list(lists: &Sender<HostList>, list: &HostList) -> bool {
    let _ = lists.try_send(list.clone());
    !lists.is_closed()
}

impl FailureDetector {
    async fn run(mut self, lists: Receiver<HostList>) {
        loop {
            match self.wait_for_wake(&lists).await {
                Some(Wake::Datagram(length, from)) => self.handle_datagram(length, from).await,
                Some(Wake::List(list)) => self.set_list(&list),
                Some(Wake::Timer) => {
                    let mut events = Vec::new();
                    self.detector.tick(self.clock.now(), &mut events);
                    self.handle_events(events).await;
                }
                None => return,
            }
        }
    }

    async fn wait_for_wake(&mut self, lists: &Receiver<HostList>) -> Option<Wake> {
        let wait = self.detector.next_timer().since(self.clock.now());
        let (socket, buffer) = (&self.socket, &mut self.buffer);
        let datagram = async {
            match socket.recv_from(buffer).await {
                Ok((length, from)) => Some(Wake::Datagram(length, from)),
                // Includes ICMP errors for closed ports; the detector finds such a node dead by
                // timeout.
                Err(_) => Some(Wake::Timer),
            }
        };
        let list = async { lists.recv().await.ok().map(Wake::List) };
        let timer = async {
            Timer::after(wait).await;
            Some(Wake::Timer)
        };
        datagram.or(list).or(timer).await
    }

    async fn handle_datagram(&mut self, length: usize, from: SocketAddr) {
        let Ok(datagram) = bincode::deserialize::<Datagram>(&self.buffer[..length]) else { return };
        // Ignores datagrams that do not come from the listed IP address of their node.
        if self.addresses.get(&datagram.from).is_none_or(|address| address.ip() != from.ip()) {
            return;
        }
        let mut events = Vec::new();
        self.detector.handle(self.clock.now(), &datagram.from, datagram.message, &mut events);
        self.handle_events(events).await;
    }

    fn set_list(&mut self, list: &HostList) {
        // Keepers detect failures of each other through the consensus protocol.
        let probed = list.hosts.iter().filter(|host| host.role != Role::Keeper);
        let addresses: HashMap<NodeName, SocketAddr> =
            probed.map(|host| (host.name.clone(), host.address)).collect();
        if addresses != self.addresses {
            self.detector.set_members(addresses.keys().cloned());
            self.addresses = addresses;
        }
    }

    async fn handle_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Send(to, message) => self.send(&to, message).await,
                Event::LivenessChanged(node, liveness) => {
                    log_change(&self.name, &node, liveness);
                    self.subscribers.iter().for_each(|subscriber| subscriber(&node, liveness));
                }
            }
        }
    }

    async fn send(&self, to: &NodeName, message: Message) {
        let Some(address) = self.addresses.get(to) else { return };
        let datagram = Datagram { from: self.name.clone(), message };
        let bytes = bincode::serialize(&datagram).expect("a datagram serializes to bincode");
        // A send error counts as a lost datagram.
        let _ = self.socket.send_to(&bytes, *address).await;
    }
}

fn log_change(name: &NodeName, node: &NodeName, liveness: Liveness) {
    match liveness {
        Liveness::Alive => info!("{}: {} is alive", name, node),
        Liveness::Suspect => warn!("{}: {} is suspected dead", name, node),
        Liveness::Dead => warn!("{}: {} is dead", name, node),
    }
}
