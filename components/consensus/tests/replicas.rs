//! Replicas that exchange messages in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use consensus::{
    Action, Entry, Event, Message, News, Payload, ProposalId, Record, Replica, Timing,
    initial_records,
};
use model::{NodeName, Time};

const START: Time = Time::from_millis(1_000_000);
const HOP: Duration = Duration::from_millis(2);

/// One replica with its disk.
struct Node {
    replica: Option<Replica>,
    disk: Vec<Record>,
    committed: Vec<Entry>,
}

/// Replicas, and which of them can't be reached.
struct Cluster {
    now: Time,
    nodes: BTreeMap<NodeName, Node>,
    cut: BTreeSet<NodeName>,
    frames: BinaryHeap<Reverse<(Time, u64)>>,
    contents: HashMap<u64, (NodeName, NodeName, Message)>,
    sequence: u64,
    proposals: u64,
    lives: u64,
}

fn name(number: usize) -> NodeName {
    NodeName::new(&format!("k{number}"))
}

impl Cluster {
    fn new(count: usize) -> Self {
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
            cut: BTreeSet::new(),
            frames: BinaryHeap::new(),
            contents: HashMap::new(),
            sequence: 0,
            proposals: 0,
            lives: 0,
        };
        members.iter().for_each(|name| cluster.start(name));
        cluster
    }

    fn start(&mut self, name: &NodeName) {
        self.lives += 1;
        let node = self.nodes.get_mut(name).unwrap();
        let replica = Replica::recover(
            name.clone(),
            node.disk.clone(),
            Timing::default(),
            self.lives,
            self.now,
        );
        node.replica = Some(replica.unwrap());
        node.committed.clear();
    }

    fn kill(&mut self, name: &NodeName) {
        self.nodes.get_mut(name).unwrap().replica = None;
    }

    fn lose_disk(&mut self, name: &NodeName) {
        let members = self.nodes.keys().cloned().collect();
        self.nodes.get_mut(name).unwrap().disk = Replica::blank_records(members);
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            while self.frames.peek().is_some_and(|Reverse((time, _))| *time <= self.now) {
                let Reverse((_, sequence)) = self.frames.pop().unwrap();
                let (from, to, message) = self.contents.remove(&sequence).unwrap();
                self.handle(&to, Event::Message { from, message });
            }
            let names: Vec<NodeName> = self.nodes.keys().cloned().collect();
            for name in &names {
                self.handle(name, Event::Tick);
            }
        }
    }

    fn handle(&mut self, name: &NodeName, event: Event) -> Vec<Action> {
        let now = self.now;
        let node = self.nodes.get_mut(name).unwrap();
        let Some(replica) = &mut node.replica else { return Vec::new() };
        let mut actions = Vec::new();
        replica.handle(now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Store(records) => node.disk.extend(records.clone()),
                Action::Rewrite(records) => node.disk = records.clone(),
                Action::Commit(entry) => node.committed.push(entry.clone()),
                Action::News(News::Violation(violation)) => panic!("{name}: {violation}"),
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

    fn send(&mut self, from: &NodeName, to: &NodeName, message: Message) {
        if self.cut.contains(from) || self.cut.contains(to) {
            return;
        }
        self.sequence += 1;
        self.frames.push(Reverse((self.now + HOP, self.sequence)));
        self.contents.insert(self.sequence, (from.clone(), to.clone(), message));
    }

    fn replica(&self, name: &NodeName) -> &Replica {
        self.nodes[name].replica.as_ref().expect("it lives")
    }

    /// The replica that is sure to lead; at most one is.
    fn leader(&self) -> Option<NodeName> {
        let sure = |(_, node): &(&NodeName, &Node)| {
            node.replica.as_ref().is_some_and(|replica| replica.is_sure(self.now))
        };
        let leaders: Vec<NodeName> =
            self.nodes.iter().filter(sure).map(|(name, _)| name.clone()).collect();
        assert!(leaders.len() <= 1, "{leaders:?} are sure at once");
        leaders.into_iter().next()
    }

    /// Proposes a command at the leader and waits until it is committed there.
    fn propose(&mut self, command: &[u8]) -> bool {
        let Some(leader) = self.leader() else { return false };
        self.proposals += 1;
        let id = ProposalId(self.proposals);
        self.handle(&leader, Event::Propose { id, command: command.to_vec() });
        self.run_for(Duration::from_millis(50));
        self.has(&leader, command)
    }

    fn has(&self, name: &NodeName, command: &[u8]) -> bool {
        let is = |entry: &Entry| entry.payload == Payload::Command(command.to_vec());
        self.nodes[name].committed.iter().any(is)
    }
}

const ELECTION: Duration = Duration::from_secs(3);

#[test]
fn one_leader_commits_on_all() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"a"));
    cluster.run_for(Duration::from_millis(300));
    assert!((1..=3).all(|number| cluster.has(&name(number), b"a")));
}

#[test]
fn a_single_replica_leads_alone() {
    let mut cluster = Cluster::new(1);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"a"));
}

#[test]
fn committed_entries_survive_the_leader_and_restarts() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"a"));
    let first = cluster.leader().unwrap();
    cluster.kill(&first);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"b"));
    cluster.start(&first);
    cluster.run_for(ELECTION);
    for number in 1..=3 {
        assert!(cluster.has(&name(number), b"b"), "k{number} lacks b");
    }
}

#[test]
fn a_leader_cut_off_for_ten_minutes_accepts_nothing_and_is_not_sure() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let old = cluster.leader().unwrap();
    cluster.cut.insert(old.clone());
    cluster.run_for(Duration::from_millis(700));
    assert_ne!(cluster.leader(), Some(old.clone()));
    cluster.run_for(ELECTION);
    let new = cluster.leader().unwrap();
    assert_ne!(new, old);
    let id = ProposalId(99);
    cluster.handle(&old, Event::Propose { id, command: b"stale".to_vec() });
    cluster.run_for(Duration::from_secs(600));
    assert!(!cluster.has(&old, b"stale"));
    assert!(cluster.propose(b"fresh"));
    cluster.cut.clear();
    cluster.run_for(ELECTION);
    assert!(cluster.has(&old, b"fresh") && !cluster.has(&old, b"stale"));
}

#[test]
fn a_stalled_leader_is_not_sure_when_it_wakes() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let old = cluster.leader().unwrap();
    let later = cluster.now + Duration::from_secs(600);
    assert!(!cluster.replica(&old).is_sure(later));
}

#[test]
fn a_replica_with_a_lost_disk_does_not_vote_until_it_has_caught_up() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let leader = cluster.leader().unwrap();
    let others: Vec<NodeName> = (1..=3).map(name).filter(|name| *name != leader).collect();
    // Only the leader and the first other have the entry.
    cluster.cut.insert(others[1].clone());
    assert!(cluster.propose(b"kept"));
    // The first other loses its disk, the leader dies, the one without the entry comes back.
    cluster.kill(&others[0]);
    cluster.lose_disk(&others[0]);
    cluster.kill(&leader);
    cluster.cut.clear();
    cluster.start(&others[0]);
    cluster.run_for(Duration::from_secs(30));
    assert_eq!(cluster.leader(), None, "a leader without the entry was elected");
    assert!(cluster.replica(&others[0]).is_blank());
    cluster.start(&leader);
    cluster.run_for(ELECTION + ELECTION);
    assert!(cluster.propose(b"next"));
    assert!((1..=3).all(|number| cluster.has(&name(number), b"kept")));
    assert!(!cluster.replica(&others[0]).is_blank());
}

#[test]
fn two_disks_lost_one_after_the_other_lose_nothing() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"kept"));
    for number in [1, 2] {
        cluster.kill(&name(number));
        cluster.lose_disk(&name(number));
        cluster.run_for(ELECTION);
        cluster.start(&name(number));
        cluster.run_for(ELECTION);
        assert!(!cluster.replica(&name(number)).is_blank(), "k{number} has not caught up");
    }
    cluster.kill(&name(3));
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"next"));
    // Followers learn of the commit with the next sign of the leader.
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.has(&name(1), b"next") && cluster.has(&name(2), b"next"));
    let snapshot_or_entry = |number: usize| {
        cluster.has(&name(number), b"kept") || cluster.replica(&name(number)).snapshot().index > 1
    };
    assert!(snapshot_or_entry(1) && snapshot_or_entry(2));
}

#[test]
fn a_follower_far_behind_gets_a_snapshot() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let leader = cluster.leader().unwrap();
    let behind = (1..=3).map(name).find(|name| *name != leader).unwrap();
    cluster.cut.insert(behind.clone());
    for number in 0..20u8 {
        assert!(cluster.propose(&[number]));
    }
    let mut actions = Vec::new();
    let node = cluster.nodes.get_mut(&leader).unwrap();
    node.replica.as_mut().unwrap().compact(b"twenty".to_vec(), &mut actions);
    let Some(Action::Rewrite(records)) = actions.pop() else { panic!("no rewrite") };
    node.disk = records;
    cluster.cut.clear();
    cluster.run_for(ELECTION);
    assert_eq!(cluster.replica(&behind).snapshot().state, b"twenty");
    assert!(cluster.propose(b"after"));
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.has(&behind, b"after"));
}
