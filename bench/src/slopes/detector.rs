//! What the failure detector costs a node, by the number of nodes.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use membership::{Detector, Event, Message, Timing};
use model::{NodeName, Time};

use super::table::{bytes_of, head, seconds_of};

const START: Time = Time::from_millis(1_764_000_000_000);
/// One way of a message.
const HOP: Duration = Duration::from_millis(1);
/// UDP and IP heads of a datagram, in bytes.
const HEADS: u64 = 28;

/// Detectors that exchange messages in virtual time.
struct Fleet {
    now: Time,
    names: Vec<NodeName>,
    nodes: HashMap<NodeName, Detector>,
    frames: BinaryHeap<Reverse<(Time, u64)>>,
    contents: HashMap<u64, (NodeName, NodeName, Message)>,
    timers: BTreeSet<(Time, NodeName)>,
    sequence: u64,
    messages: u64,
    bytes: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let names: Vec<NodeName> =
            (0..count).map(|number| NodeName::new(&format!("agent-{number:03}"))).collect();
        let mut nodes = HashMap::new();
        let mut timers = BTreeSet::new();
        for (number, name) in names.iter().enumerate() {
            let start = START + Duration::from_micros(number as u64 * 499_000 / count as u64);
            let mut node = Detector::new(name.clone(), 1, number as u64, Timing::default(), start);
            node.set_members(names.iter().cloned());
            nodes.insert(name.clone(), node);
            timers.insert((start, name.clone()));
        }
        Self {
            now: START,
            names,
            nodes,
            frames: BinaryHeap::new(),
            contents: HashMap::new(),
            timers,
            sequence: 0,
            messages: 0,
            bytes: 0,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let frame = self.frames.peek().map_or(end, |Reverse((time, _))| *time);
            let timer = self.timers.first().map_or(end, |(time, _)| *time);
            self.now = frame.min(timer).min(end).max(self.now);
            if frame <= self.now && frame < end {
                self.deliver();
            } else if timer < end {
                self.tick();
            } else {
                return;
            }
        }
    }

    fn deliver(&mut self) {
        let Some(Reverse((_, sequence))) = self.frames.pop() else { return };
        let Some((from, to, message)) = self.contents.remove(&sequence) else { return };
        let mut out = Vec::new();
        if let Some(node) = self.nodes.get_mut(&to) {
            node.handle(self.now, &from, message, &mut out);
        }
        self.act(&to, out);
    }

    fn tick(&mut self) {
        let Some((_, name)) = self.timers.pop_first() else { return };
        let mut out = Vec::new();
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&name) else { return };
        node.tick(now, &mut out);
        let due = node.next_timer().max(now + Duration::from_millis(1));
        self.timers.insert((due, name.clone()));
        self.act(&name, out);
    }

    fn act(&mut self, from: &NodeName, events: Vec<Event>) {
        for event in events {
            let Event::Send(to, message) = event else { continue };
            let size = bincode::serialized_size(&message).unwrap_or(0);
            self.bytes += size + from.as_str().len() as u64 + 8 + HEADS;
            self.messages += 1;
            self.sequence += 1;
            self.frames.push(Reverse((self.now + HOP, self.sequence)));
            self.contents.insert(self.sequence, (from.clone(), to, message));
        }
    }
}

/// Bytes, messages and processor time a second and node, calm and with a death a minute.
pub fn load() {
    head(
        "failure detector: a node's load (sent; as much is received)",
        "     nodes  messages/s   bytes/s   % of a core   bytes kept",
    );
    for count in [10, 100, 750] {
        let (bytes_kept, mut fleet) = bytes_of(|| Fleet::new(count));
        let time = Duration::from_secs(20);
        let (seconds, ()) = seconds_of(|| fleet.run_for(time));
        let node_seconds = count as f64 * time.as_secs_f64();
        println!(
            "{:>10} {:>11.2} {:>9.0} {:>13.4} {:>12.0}",
            fleet.names.len(),
            fleet.messages as f64 / node_seconds,
            fleet.bytes as f64 / node_seconds,
            seconds / node_seconds * 100.0,
            bytes_kept as f64 / count as f64,
        );
    }
}
