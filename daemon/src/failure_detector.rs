//! The node's failure detector on UDP, at the port of its other address.

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

/// Longest datagram taken, in bytes.
const DATAGRAM: usize = 2_048;
/// Lists that wait to be taken.
const LISTS: usize = 16;

/// Takes news of a node.
pub(crate) type LivenessSubscriber = Box<dyn Fn(&NodeName, Liveness) + Send>;

/// A message with its sender.
#[derive(Serialize, Deserialize)]
struct Datagram {
    from: NodeName,
    message: Message,
}

/// What the detector's thread wakes for.
enum Wake {
    Datagram(usize, SocketAddr),
    List(HostList),
    Timer,
}

/// The detector's thread.
struct Prober {
    name: NodeName,
    detector: Detector,
    socket: Async<UdpSocket>,
    addresses: HashMap<NodeName, SocketAddr>,
    subscribers: Vec<LivenessSubscriber>,
    clock: Clock,
    buffer: Vec<u8>,
}

/// Starts the detector at an address; returns how it gets the platform's list.
pub(crate) fn start(
    node_ref: &NodeRef,
    address: SocketAddr,
    subscribers: Vec<LivenessSubscriber>,
    stopped: Receiver<()>,
) -> io::Result<(ListSubscriber, ThreadHandle)> {
    let clock = Clock::start();
    let socket = Async::<UdpSocket>::bind(address)?;
    let (name, seed) = (node_ref.name.clone(), node_ref.incarnation.0);
    // Later lives start later, so that the time of the start counts them up.
    let generation = clock.now().as_micros();
    let detector = Detector::new(name.clone(), generation, seed, Timing::default(), clock.now());
    let (lists, to_take) = async_channel::bounded(LISTS);
    let prober = Prober {
        name,
        detector,
        socket,
        addresses: HashMap::new(),
        subscribers,
        clock,
        buffer: vec![0; DATAGRAM],
    };
    let thread = spawn_until("probe", stopped, move |_| prober.run(to_take))?;
    let subscriber = move |list: &HostList| send_list(&lists, list);
    Ok((Box::new(subscriber), thread))
}

/// A list that finds no room is left out: a newer one follows.
fn send_list(lists: &Sender<HostList>, list: &HostList) -> bool {
    let _ = lists.try_send(list.clone());
    !lists.is_closed()
}

impl Prober {
    async fn run(mut self, lists: Receiver<HostList>) {
        loop {
            match self.next(&lists).await {
                Some(Wake::Datagram(length, from)) => self.datagram(length, from).await,
                Some(Wake::List(list)) => self.set_list(&list),
                Some(Wake::Timer) => {
                    let mut events = Vec::new();
                    self.detector.tick(self.clock.now(), &mut events);
                    self.act(events).await;
                }
                None => return,
            }
        }
    }

    async fn next(&mut self, lists: &Receiver<HostList>) -> Option<Wake> {
        let wait = self.detector.next_timer().since(self.clock.now());
        let (socket, buffer) = (&self.socket, &mut self.buffer);
        let datagram = async {
            match socket.recv_from(buffer).await {
                Ok((length, from)) => Some(Wake::Datagram(length, from)),
                // A port that nobody listens on is reported here; its node is found dead soon.
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

    async fn datagram(&mut self, length: usize, from: SocketAddr) {
        let Ok(datagram) = bincode::deserialize::<Datagram>(&self.buffer[..length]) else { return };
        // Only nodes on the list are listened to.
        if self.addresses.get(&datagram.from).is_none_or(|address| address.ip() != from.ip()) {
            return;
        }
        let mut events = Vec::new();
        self.detector.handle(self.clock.now(), &datagram.from, datagram.message, &mut events);
        self.act(events).await;
    }

    fn set_list(&mut self, list: &HostList) {
        // Keepers have an eye on each other by themselves.
        let probed = list.hosts.iter().filter(|host| host.role != Role::Keeper);
        let addresses: HashMap<NodeName, SocketAddr> =
            probed.map(|host| (host.name.clone(), host.address)).collect();
        if addresses != self.addresses {
            self.detector.set_members(addresses.keys().cloned());
            self.addresses = addresses;
        }
    }

    async fn act(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Send(to, message) => self.send(&to, message).await,
                Event::Changed(node, liveness) => {
                    log_change(&self.name, &node, liveness);
                    self.subscribers.iter().for_each(|subscriber| subscriber(&node, liveness));
                }
            }
        }
    }

    async fn send(&self, to: &NodeName, message: Message) {
        let Some(address) = self.addresses.get(to) else { return };
        let datagram = Datagram { from: self.name.clone(), message };
        let bytes = bincode::serialize(&datagram).expect("plain structs become bincode");
        // A datagram that can't be sent is as one that is lost.
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
