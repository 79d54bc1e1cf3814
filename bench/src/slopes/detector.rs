//! CPU time, memory and network load of the failure detector per node, by the number of nodes.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use membership::{Detector, Event, Message, Timing};
use model::{NodeName, Time};

use super::table::{measure_bytes, measure_seconds, print_header};

const START: Time = Time::from_millis(1_764_000_000_000);
/// One-way delay of a message.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// Size of the UDP and IP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// Failure detectors that exchange messages in virtual time, without loss.
struct Simulation {
    now: Time,
    names: Vec<NodeName>,
    nodes: HashMap<NodeName, Detector>,
    /// Arrival time and sequence number of each message in transit, the next one first.
    arrivals: BinaryHeap<Reverse<(Time, u64)>>,
    /// Sender, receiver and content of each message in transit, by sequence number.
    in_transit: HashMap<u64, (NodeName, NodeName, Message)>,
    timers: BTreeSet<(Time, NodeName)>,
    sequence: u64,
    messages_sent: u64,
    bytes_sent: u64,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let names: Vec<NodeName> =
            (0..count).map(|index| NodeName::new(&format!("agent-{index:03}"))).collect();
        let mut nodes = HashMap::new();
        let mut timers = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            let start = START + Duration::from_micros(index as u64 * 499_000 / count as u64);
            let mut node = Detector::new(name.clone(), 1, index as u64, Timing::default(), start);
            node.set_members(names.iter().cloned());
            nodes.insert(name.clone(), node);
            timers.insert((start, name.clone()));
        }
        Self {
            now: START,
            names,
            nodes,
            arrivals: BinaryHeap::new(),
            in_transit: HashMap::new(),
            timers,
            sequence: 0,
            messages_sent: 0,
            bytes_sent: 0,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let arrival = self.arrivals.peek().map_or(end, |Reverse((time, _))| *time);
            let timer = self.timers.first().map_or(end, |(time, _)| *time);
            self.now = arrival.min(timer).min(end).max(self.now);
            if arrival <= self.now && arrival < end {
                self.deliver();
            } else if timer < end {
                self.tick();
            } else {
                return;
            }
        }
    }

    fn deliver(&mut self) {
        let Some(Reverse((_, sequence))) = self.arrivals.pop() else { return };
        let Some((from, to, message)) = self.in_transit.remove(&sequence) else { return };
        let mut events = Vec::new();
        if let Some(node) = self.nodes.get_mut(&to) {
            node.handle(self.now, &from, message, &mut events);
        }
        self.send_all(&to, events);
    }

    fn tick(&mut self) {
        let Some((_, name)) = self.timers.pop_first() else { return };
        let mut events = Vec::new();
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&name) else { return };
        node.tick(now, &mut events);
        let due = node.next_timer().max(now + Duration::from_millis(1));
        self.timers.insert((due, name.clone()));
        self.send_all(&name, events);
    }

    fn send_all(&mut self, from: &NodeName, events: Vec<Event>) {
        for event in events {
            let Event::Send(to, message) = event else { continue };
            let size = bincode::serialized_size(&message).unwrap_or(0);
            self.bytes_sent += size + from.as_str().len() as u64 + 8 + HEADER_BYTES;
            self.messages_sent += 1;
            self.sequence += 1;
            self.arrivals.push(Reverse((self.now + LINK_DELAY, self.sequence)));
            self.in_transit.insert(self.sequence, (from.clone(), to, message));
        }
    }
}

/// Measures messages, bytes, CPU time and memory per node in a cluster without failures.
pub fn measure_load() {
    print_header(
        "failure detector: a node's load (sent; as much is received)",
        "     nodes  messages/s   bytes/s   % of a core   bytes kept",
    );
    for count in [10, 100, 750] {
        let (memory_bytes, mut simulation) = measure_bytes(|| Simulation::new(count));
        let time = Duration::from_secs(20);
        let (seconds, ()) = measure_seconds(|| simulation.run_for(time));
        let node_seconds = count as f64 * time.as_secs_f64();
        println!(
            "{:>10} {:>11.2} {:>9.0} {:>13.4} {:>12.0}",
            simulation.names.len(),
            simulation.messages_sent as f64 / node_seconds,
            simulation.bytes_sent as f64 / node_seconds,
            seconds / node_seconds * 100.0,
            memory_bytes as f64 / count as f64,
        );
    }
}
