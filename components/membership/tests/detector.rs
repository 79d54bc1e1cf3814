//! Simulates many failure detectors in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use membership::{Detector, Event, Message, Status, Timing};
use model::{NodeName, Time};

const START: Time = Time::from_millis(1_000_000);
/// One-way latency of a message.
const LATENCY: Duration = Duration::from_millis(1);

/// A simulated cluster of detectors that exchange messages.
struct Cluster {
    now: Time,
    nodes: BTreeMap<NodeName, Detector>,
    /// Nodes that neither handle messages nor run timers.
    silent: HashSet<NodeName>,
    deliveries: BinaryHeap<Reverse<(Time, u64)>>,
    in_flight: HashMap<u64, (NodeName, NodeName, Message)>,
    timers: BTreeSet<(Time, NodeName)>,
    scheduled: HashMap<NodeName, Time>,
    sequence: u64,
    sent_bytes: u64,
    /// The node declared dead, the node that declared it dead, and the time.
    deaths: Vec<(NodeName, NodeName, Time)>,
}

fn name(number: usize) -> NodeName {
    NodeName::new(&format!("agent-{number:03}"))
}

impl Cluster {
    fn new(count: usize) -> Self {
        let mut nodes = BTreeMap::new();
        for number in 0..count {
            let offset = Duration::from_micros(number as u64 * 499_000 / count as u64);
            let seed = number as u64;
            let timing = Timing::default();
            let mut detector = Detector::new(name(number), 1, seed, timing, START + offset);
            detector.set_members((0..count).map(name));
            nodes.insert(name(number), detector);
        }
        Self {
            now: START,
            nodes,
            silent: HashSet::new(),
            deliveries: BinaryHeap::new(),
            in_flight: HashMap::new(),
            timers: (0..count).map(|number| (START, name(number))).collect(),
            scheduled: HashMap::new(),
            sequence: 0,
            sent_bytes: 0,
            deaths: Vec::new(),
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.deliver();
            self.tick_due();
            let delivery = self.deliveries.peek().map_or(end, |Reverse((time, _))| *time);
            let timer = self.timers.first().map_or(end, |(time, _)| *time);
            self.now = delivery.min(timer).min(end).max(self.now + Duration::from_micros(1));
        }
    }

    /// Ticks the nodes whose timers are due. The timers of silent nodes are rescheduled.
    fn tick_due(&mut self) {
        while let Some((time, name)) = self.timers.first().cloned() {
            if time > self.now {
                return;
            }
            self.timers.pop_first();
            if self.silent.contains(&name) {
                self.timers.insert((self.now + Duration::from_millis(10), name));
                continue;
            }
            let mut events = Vec::new();
            let now = self.now;
            self.nodes.get_mut(&name).unwrap().tick(now, &mut events);
            self.apply_events(&name, events);
            self.schedule(&name);
        }
    }

    /// Schedules a node's next tick.
    fn schedule(&mut self, name: &NodeName) {
        let due = self.nodes[name].next_timer().max(self.now + Duration::from_micros(1));
        if let Some(old) = self.scheduled.insert(name.clone(), due) {
            self.timers.remove(&(old, name.clone()));
        }
        self.timers.insert((due, name.clone()));
    }

    fn deliver(&mut self) {
        while self.deliveries.peek().is_some_and(|Reverse((time, _))| *time <= self.now) {
            let Reverse((_, sequence)) = self.deliveries.pop().unwrap();
            let (from, to, message) = self.in_flight.remove(&sequence).unwrap();
            if self.silent.contains(&to) {
                continue;
            }
            let mut events = Vec::new();
            let now = self.now;
            self.nodes.get_mut(&to).unwrap().handle(now, &from, message, &mut events);
            self.apply_events(&to, events);
            self.schedule(&to);
        }
    }

    fn apply_events(&mut self, from: &NodeName, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Send(to, message) => {
                    self.sent_bytes += bincode::serialized_size(&message).unwrap();
                    self.sequence += 1;
                    self.deliveries.push(Reverse((self.now + LATENCY, self.sequence)));
                    self.in_flight.insert(self.sequence, (from.clone(), to, message));
                }
                Event::LivenessChanged(node, Status::Dead) => {
                    self.deaths.push((node, from.clone(), self.now));
                }
                Event::LivenessChanged(..) => {}
            }
        }
    }
}

#[test]
fn all_nodes_declare_only_the_silent_node_dead() {
    let mut cluster = Cluster::new(100);
    cluster.run_for(Duration::from_secs(5));
    cluster.silent.insert(name(42));
    cluster.run_for(Duration::from_secs(15));
    let observers: HashSet<&NodeName> =
        cluster.deaths.iter().map(|(_, observer, _)| observer).collect();
    assert!(cluster.deaths.iter().all(|(dead, _, _)| *dead == name(42)));
    assert_eq!(observers.len(), 99);
}

#[test]
fn paused_nodes_are_not_declared_dead() {
    let mut cluster = Cluster::new(50);
    cluster.run_for(Duration::from_secs(5));
    for paused in [3, 17] {
        cluster.silent.insert(name(paused));
    }
    cluster.run_for(Duration::from_secs(3));
    cluster.silent.clear();
    cluster.run_for(Duration::from_secs(15));
    assert_eq!(cluster.deaths, []);
    let not_dead = |node: &Detector| node.liveness(&name(3)) != Some(Status::Dead);
    assert!(cluster.nodes.values().all(not_dead));
}

#[test]
fn restarted_node_is_alive_at_all_nodes() {
    let mut cluster = Cluster::new(20);
    cluster.run_for(Duration::from_secs(2));
    cluster.silent.insert(name(7));
    cluster.run_for(Duration::from_secs(15));
    cluster.silent.clear();
    let mut restarted = Detector::new(name(7), 2, 7, Timing::default(), cluster.now);
    restarted.set_members((0..20).map(name));
    cluster.nodes.insert(name(7), restarted);
    cluster.run_for(Duration::from_secs(20));
    for (other, node) in &cluster.nodes {
        if *other != name(7) {
            assert_eq!(node.liveness(&name(7)), Some(Status::Alive), "at {other}");
        }
    }
}

#[test]
fn traffic_per_node_is_independent_of_cluster_size() {
    let rate = |count: usize| {
        let mut cluster = Cluster::new(count);
        cluster.run_for(Duration::from_secs(10));
        cluster.sent_bytes as f64 / count as f64 / 10.0
    };
    let (small, large) = (rate(10), rate(200));
    assert!(large < small * 1.2, "{small} B/s at 10 nodes, {large} B/s at 200");
}
