//! Many detectors in virtual time: deaths are found, stalls cost nothing, the load stays flat.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use membership::{Detector, Event, Message, Status, Timing};
use model::{NodeName, Time};

const START: Time = Time::from_millis(1_000_000);
/// One way of a message.
const HOP: Duration = Duration::from_millis(1);

/// Detectors that exchange messages.
struct Fleet {
    now: Time,
    nodes: BTreeMap<NodeName, Detector>,
    silent: HashSet<NodeName>,
    frames: BinaryHeap<Reverse<(Time, u64)>>,
    contents: HashMap<u64, (NodeName, NodeName, Message)>,
    timers: BTreeSet<(Time, NodeName)>,
    planned: HashMap<NodeName, Time>,
    sequence: u64,
    bytes: u64,
    /// Who was declared dead, by whom, when.
    deaths: Vec<(NodeName, NodeName, Time)>,
}

fn name(number: usize) -> NodeName {
    NodeName::new(&format!("agent-{number:03}"))
}

impl Fleet {
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
            frames: BinaryHeap::new(),
            contents: HashMap::new(),
            timers: (0..count).map(|number| (START, name(number))).collect(),
            planned: HashMap::new(),
            sequence: 0,
            bytes: 0,
            deaths: Vec::new(),
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.deliver();
            self.tick_due();
            let frame = self.frames.peek().map_or(end, |Reverse((time, _))| *time);
            let timer = self.timers.first().map_or(end, |(time, _)| *time);
            self.now = frame.min(timer).min(end).max(self.now + Duration::from_micros(1));
        }
    }

    /// Ticks the nodes whose timers are due; a silent one is looked at again later.
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
            let mut out = Vec::new();
            let now = self.now;
            self.nodes.get_mut(&name).unwrap().tick(now, &mut out);
            self.act(&name, out);
            self.plan(&name);
        }
    }

    /// Plans a node's next tick.
    fn plan(&mut self, name: &NodeName) {
        let due = self.nodes[name].next_timer().max(self.now + Duration::from_micros(1));
        if let Some(old) = self.planned.insert(name.clone(), due) {
            self.timers.remove(&(old, name.clone()));
        }
        self.timers.insert((due, name.clone()));
    }

    fn deliver(&mut self) {
        while self.frames.peek().is_some_and(|Reverse((time, _))| *time <= self.now) {
            let Reverse((_, sequence)) = self.frames.pop().unwrap();
            let (from, to, message) = self.contents.remove(&sequence).unwrap();
            if self.silent.contains(&to) {
                continue;
            }
            let mut out = Vec::new();
            let now = self.now;
            self.nodes.get_mut(&to).unwrap().handle(now, &from, message, &mut out);
            self.act(&to, out);
            self.plan(&to);
        }
    }

    fn act(&mut self, from: &NodeName, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Send(to, message) => {
                    self.bytes += bincode::serialized_size(&message).unwrap();
                    self.sequence += 1;
                    self.frames.push(Reverse((self.now + HOP, self.sequence)));
                    self.contents.insert(self.sequence, (from.clone(), to, message));
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
fn a_dead_node_is_found_by_all_and_nobody_else_is() {
    let mut fleet = Fleet::new(100);
    fleet.run_for(Duration::from_secs(5));
    fleet.silent.insert(name(42));
    fleet.run_for(Duration::from_secs(15));
    let finders: HashSet<&NodeName> = fleet.deaths.iter().map(|(_, finder, _)| finder).collect();
    assert!(fleet.deaths.iter().all(|(dead, _, _)| *dead == name(42)));
    assert_eq!(finders.len(), 99);
}

#[test]
fn a_stall_of_three_seconds_kills_nobody() {
    let mut fleet = Fleet::new(50);
    fleet.run_for(Duration::from_secs(5));
    for stalled in [3, 17] {
        fleet.silent.insert(name(stalled));
    }
    fleet.run_for(Duration::from_secs(3));
    fleet.silent.clear();
    fleet.run_for(Duration::from_secs(15));
    assert_eq!(fleet.deaths, []);
    let alive = |node: &Detector| node.liveness(&name(3)) != Some(Status::Dead);
    assert!(fleet.nodes.values().all(alive));
}

#[test]
fn a_node_that_comes_back_is_alive_again_everywhere() {
    let mut fleet = Fleet::new(20);
    fleet.run_for(Duration::from_secs(2));
    fleet.silent.insert(name(7));
    fleet.run_for(Duration::from_secs(15));
    fleet.silent.clear();
    let mut next_life = Detector::new(name(7), 2, 7, Timing::default(), fleet.now);
    next_life.set_members((0..20).map(name));
    fleet.nodes.insert(name(7), next_life);
    fleet.run_for(Duration::from_secs(20));
    for (other, node) in &fleet.nodes {
        if *other != name(7) {
            assert_eq!(node.liveness(&name(7)), Some(Status::Alive), "at {other}");
        }
    }
}

#[test]
fn the_load_of_a_node_does_not_grow_with_the_fleet() {
    let rate = |count: usize| {
        let mut fleet = Fleet::new(count);
        fleet.run_for(Duration::from_secs(10));
        fleet.bytes as f64 / count as f64 / 10.0
    };
    let (small, large) = (rate(10), rate(200));
    assert!(large < small * 1.2, "{small} B/s at 10 nodes, {large} B/s at 200");
}
