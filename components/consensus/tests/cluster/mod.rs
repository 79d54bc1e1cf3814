//! A simulated cluster: replicas with journals that exchange messages in virtual time.

// Not every test file uses all helpers.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use consensus::{
    Action, Entry, Event, LogEvent, Message, Payload, ProposalId, Record, Replica, Timing,
    initial_records,
};
use model::{NodeName, Time};

const START: Time = Time::from_millis(1_000_000);
const LATENCY: Duration = Duration::from_millis(2);

/// A replica with its journal.
pub struct Node {
    pub replica: Option<Replica>,
    pub disk: Vec<Record>,
    pub committed: Vec<Entry>,
}

/// The replicas, and the network between them.
pub struct Cluster {
    pub now: Time,
    pub nodes: BTreeMap<NodeName, Node>,
    pub isolated: BTreeSet<NodeName>,
    /// The replicas that a non-member asks; all if `None`.
    pub contacts: Option<Vec<NodeName>>,
    timing: Timing,
    in_flight: BinaryHeap<Reverse<(Time, u64)>>,
    messages: HashMap<u64, (NodeName, NodeName, Message)>,
    sequence: u64,
    proposals: u64,
    starts: u64,
    /// The largest total size of commands in one message, in bytes.
    pub largest_message: usize,
}

pub fn name(number: usize) -> NodeName {
    NodeName::new(&format!("k{number}"))
}

fn command_bytes(message: &Message) -> usize {
    let Message::Append { entries, .. } = message else { return 0 };
    let bytes = |entry: &Entry| match &entry.payload {
        Payload::Command(command) => command.len(),
        _ => 0,
    };
    entries.iter().map(bytes).sum()
}

impl Cluster {
    /// A cluster whose members never change.
    pub fn new(count: usize) -> Self {
        Self::with_timing(count, Timing::default())
    }

    /// `founders` replicas found the cluster and the others join; up to `voters` replicas vote.
    /// Joining replicas know only the founders.
    pub fn with_founders(founders: usize, voters: usize, count: usize) -> Self {
        let timing = Timing { voters: Some(voters), ..Timing::default() };
        let mut cluster = Self::with_timing(founders, timing);
        cluster.contacts = Some((1..=founders).map(name).collect());
        (founders + 1..=count).for_each(|number| cluster.add_blank(&name(number)));
        cluster
    }

    /// A cluster that maintains `count` voters.
    pub fn with_voters(count: usize) -> Self {
        Self::with_timing(count, Timing { voters: Some(count), ..Timing::default() })
    }

    fn with_timing(count: usize, timing: Timing) -> Self {
        let members: Vec<NodeName> = (1..=count).map(name).collect();
        let records = initial_records(members.clone(), b"state".to_vec());
        let node = |name: &NodeName| {
            let node = Node { replica: None, disk: records.clone(), committed: Vec::new() };
            (name.clone(), node)
        };
        let nodes = members.iter().map(node).collect();
        let mut cluster = Self {
            now: START,
            nodes,
            isolated: BTreeSet::new(),
            contacts: None,
            timing,
            in_flight: BinaryHeap::new(),
            messages: HashMap::new(),
            sequence: 0,
            proposals: 0,
            starts: 0,
            largest_message: 0,
        };
        members.iter().for_each(|name| cluster.start(name));
        cluster
    }

    pub fn start(&mut self, name: &NodeName) {
        self.starts += 1;
        let node = self.nodes.get_mut(name).unwrap();
        let replica =
            Replica::recover(name.clone(), node.disk.clone(), self.timing, self.starts, self.now);
        let mut replica = replica.unwrap();
        let all = || self.nodes.keys().cloned().collect();
        replica.set_contacts(self.contacts.clone().unwrap_or_else(all));
        let node = self.nodes.get_mut(name).unwrap();
        node.committed = replica.recovered_entries();
        node.replica = Some(replica);
    }

    /// Starts a replica on an empty disk.
    pub fn add_blank(&mut self, name: &NodeName) {
        let disk = Replica::blank_records(Vec::new());
        let node = Node { replica: None, disk, committed: Vec::new() };
        self.nodes.insert(name.clone(), node);
        self.start(name);
    }

    pub fn kill(&mut self, name: &NodeName) {
        self.nodes.get_mut(name).unwrap().replica = None;
    }

    /// Cuts the power while the next message is processed: only the first `kept` unsynced records
    /// are stored, and no later action is executed.
    pub fn lose_power(&mut self, name: &NodeName, kept: usize) {
        let now = self.now;
        let to_replica = self.messages.iter().filter(|(_, (_, to, _))| to == name);
        let next = to_replica.map(|(sequence, _)| *sequence).min();
        let message = next.and_then(|sequence| self.messages.get(&sequence).cloned());
        let node = self.nodes.get_mut(name).unwrap();
        let mut actions = Vec::new();
        if let (Some(replica), Some((from, _, message))) = (&mut node.replica, message) {
            replica.handle(now, Event::Message { from, message }, &mut actions);
        }
        let mut unsynced = actions.into_iter().flat_map(|action| match action {
            Action::Store(records) => records,
            _ => Vec::new(),
        });
        node.disk.extend(unsynced.by_ref().take(kept));
        node.replica = None;
    }

    pub fn lose_disk(&mut self, name: &NodeName) {
        self.nodes.get_mut(name).unwrap().disk = Replica::blank_records(Vec::new());
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            while self.in_flight.peek().is_some_and(|Reverse((time, _))| *time <= self.now) {
                let Reverse((_, sequence)) = self.in_flight.pop().unwrap();
                let Some((from, to, message)) = self.messages.remove(&sequence) else { continue };
                self.handle(&to, Event::Message { from, message });
            }
            let names: Vec<NodeName> = self.nodes.keys().cloned().collect();
            for name in &names {
                self.handle(name, Event::Tick);
            }
        }
    }

    pub fn handle(&mut self, name: &NodeName, event: Event) -> Vec<Action> {
        let now = self.now;
        // The replica was removed for good.
        let Some(node) = self.nodes.get_mut(name) else { return Vec::new() };
        let Some(replica) = &mut node.replica else { return Vec::new() };
        let mut actions = Vec::new();
        replica.handle(now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Store(records) => node.disk.extend(records.clone()),
                Action::Rewrite(records) => node.disk = records.clone(),
                Action::Commit(entry) => node.committed.push(entry.clone()),
                Action::Log(LogEvent::Violation(violation)) => panic!("{name}: {violation}"),
                _ => {}
            }
        }
        for action in &actions {
            if let Action::Send(to, message) = action {
                self.send(name, to, message.clone());
            }
        }
        actions
    }

    /// Drops all messages in transit.
    pub fn drop_messages(&mut self) {
        self.messages.clear();
    }

    pub fn send(&mut self, from: &NodeName, to: &NodeName, message: Message) {
        if self.isolated.contains(from) || self.isolated.contains(to) {
            return;
        }
        self.largest_message = self.largest_message.max(command_bytes(&message));
        self.sequence += 1;
        self.in_flight.push(Reverse((self.now + LATENCY, self.sequence)));
        self.messages.insert(self.sequence, (from.clone(), to.clone(), message));
    }

    pub fn replica(&self, name: &NodeName) -> &Replica {
        self.nodes[name].replica.as_ref().expect("the replica is running")
    }

    /// The confirmed leader; asserts that there is at most one.
    pub fn leader(&self) -> Option<NodeName> {
        let confirmed = |(_, node): &(&NodeName, &Node)| {
            node.replica.as_ref().is_some_and(|replica| replica.is_confirmed_leader(self.now))
        };
        let leaders: Vec<NodeName> =
            self.nodes.iter().filter(confirmed).map(|(name, _)| name.clone()).collect();
        assert!(leaders.len() <= 1, "{leaders:?} are confirmed leaders at the same time");
        leaders.into_iter().next()
    }

    /// Proposes a command; returns whether the leader commits it within 50 ms.
    pub fn propose(&mut self, command: &[u8]) -> bool {
        let Some(leader) = self.leader() else { return false };
        self.proposals += 1;
        let id = ProposalId(self.proposals);
        self.handle(&leader, Event::Propose { id, command: command.to_vec() });
        self.run_for(Duration::from_millis(50));
        self.has_committed(&leader, command)
    }

    pub fn has_committed(&self, name: &NodeName, command: &[u8]) -> bool {
        let matches = |entry: &Entry| entry.payload == Payload::Command(command.to_vec());
        self.nodes[name].committed.iter().any(matches)
    }
}

/// Long enough for an election.
pub const ELECTION: Duration = Duration::from_secs(3);
