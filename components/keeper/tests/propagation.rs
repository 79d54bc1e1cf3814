//! Propagation of a document from the keepers to all watching nodes, with simulated processing
//! times.
//!
//! Guards against slow propagation and against one keeper serving all nodes. `DOCKPASS_NODES` sets
//! the number of nodes for manual runs (with `--nocapture`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use consensus::Timing;
use keeper::{
    Action, CallId, DocumentFetch, DocumentSource, Event, FetchStep, Keeper, Reply, initial_records,
};
use model::{Incarnation, NodeName, Time};
use settings::Tree;
use wire::{Document, NodeInfo, NodeRole, PartRequest, WatchRequest};

const START: Time = Time::from_millis(1_000_000);
const KEEPERS: usize = 9;
const NODES: usize = 300;
/// One-way latency between two hosts.
const LATENCY: Duration = Duration::from_micros(1_400);
/// Time that a keeper needs to read or write a message.
const MESSAGE_TIME: Duration = Duration::from_micros(40);
/// Additional time for each 10 kB of a message.
const TIME_PER_10_KB: Duration = Duration::from_micros(60);
/// Time of a disk sync.
const SYNC_TIME: Duration = Duration::from_millis(9);
/// Interval between two ticks of a keeper.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the document.
const DOCUMENT_BYTES: usize = 10_000;

enum SimEvent {
    /// The keeper receives an event.
    Keeper(usize, Event),
    /// The node receives a reply from the keeper.
    Node(usize, usize, Reply),
    /// The keeper's timers are checked.
    Tick(usize),
}

#[derive(Default)]
struct Node {
    fetch: DocumentFetch,
    received_at: Option<Time>,
    /// The revision of the list that the node has from each keeper.
    revisions: [u64; KEEPERS],
}

/// Numbers of messages that a keeper has sent.
#[derive(Clone, Copy, Default, Debug)]
struct Sent {
    answers: u64,
    parts: u64,
    peer_messages: u64,
}

struct Simulation {
    now: Time,
    schedule: BTreeMap<(Time, u64), SimEvent>,
    sequence: u64,
    keepers: Vec<Keeper>,
    /// When each keeper has processed the events received so far.
    busy_until: Vec<Time>,
    sent: Vec<Sent>,
    nodes: Vec<Node>,
    /// The node that made each call; `None` for the operator.
    callers: BTreeMap<CallId, Option<usize>>,
    /// When the operator received the acknowledgement of the latest document.
    acknowledged: Option<Time>,
}

fn keeper_name(number: usize) -> NodeName {
    NodeName::new(&format!("k{number}"))
}

fn keeper_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7_101))
}

fn node_info(number: usize) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(&format!("n{number}")),
        role: NodeRole::Agent,
        address: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 7_101)),
        incarnation: Incarnation(1),
        service: "work".into(),
    }
}

impl Simulation {
    fn new(nodes: usize) -> Self {
        let names: Vec<NodeName> = (0..KEEPERS).map(keeper_name).collect();
        let records = initial_records(names.clone(), Tree::default());
        let recover = |number: usize| {
            let seed = number as u64 + 1;
            Keeper::recover(names[number].clone(), records.clone(), Timing::default(), seed, START)
                .expect("the records are valid")
        };
        let mut simulation = Self {
            now: START,
            schedule: BTreeMap::new(),
            sequence: 0,
            keepers: (0..KEEPERS).map(recover).collect(),
            busy_until: vec![START; KEEPERS],
            sent: vec![Sent::default(); KEEPERS],
            nodes: (0..nodes).map(|_| Node::default()).collect(),
            callers: BTreeMap::new(),
            acknowledged: None,
        };
        (0..KEEPERS)
            .for_each(|keeper| simulation.schedule_after(Duration::ZERO, SimEvent::Tick(keeper)));
        for node in 0..nodes {
            for keeper in 0..KEEPERS {
                // Nodes start within the first second, and each contacts the keepers in a different
                // order.
                let after = (node * 7 + keeper * 131) % 1_000;
                simulation.watch(Duration::from_millis(after as u64), node, keeper, 0, 0);
            }
        }
        simulation
    }

    fn schedule_after(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        self.schedule.insert((self.now + after, self.sequence), event);
    }

    fn register_call(&mut self, caller: Option<usize>) -> CallId {
        self.sequence += 1;
        let call = CallId(self.sequence);
        self.callers.insert(call, caller);
        call
    }

    fn watch(&mut self, after: Duration, node: usize, keeper: usize, document: u64, revision: u64) {
        let call = self.register_call(Some(node));
        let request = WatchRequest {
            node: node_info(node),
            document,
            revision: Some(revision),
            halls: 0,
            keepers: 0,
        };
        self.schedule_after(after + LATENCY, SimEvent::Keeper(keeper, Event::Watch(call, request)));
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.schedule.first_entry()
            && next.key().0 <= end
        {
            let ((time, _), event) = next.remove_entry();
            self.now = time;
            match event {
                SimEvent::Keeper(keeper, event) => self.keeper_handles(keeper, event),
                SimEvent::Node(node, keeper, reply) => self.node_receives(node, keeper, reply),
                SimEvent::Tick(keeper) => {
                    self.keeper_handles(keeper, Event::Tick);
                    self.schedule_after(TICK_INTERVAL, SimEvent::Tick(keeper));
                }
            }
        }
        self.now = end;
    }

    fn keeper_handles(&mut self, keeper: usize, event: Event) {
        let mut done = self.busy_until[keeper].max(self.now) + MESSAGE_TIME;
        let mut actions = Vec::new();
        self.keepers[keeper].handle(done, event, &mut actions);
        let mut sync_time = Duration::ZERO;
        for action in actions {
            match action {
                Action::Store(_) | Action::Rewrite(_) => sync_time = SYNC_TIME,
                Action::Send(to, message) => {
                    done = done + MESSAGE_TIME;
                    self.sent[keeper].peer_messages += 1;
                    let to = (0..KEEPERS).find(|number| keeper_name(*number) == to);
                    let event = Event::PeerMessage(keeper_name(keeper), message);
                    let arrives = (done + sync_time + LATENCY).since(self.now);
                    self.schedule_after(arrives, SimEvent::Keeper(to.expect("a keeper"), event));
                }
                Action::Respond(call, reply) => {
                    done = done + MESSAGE_TIME;
                    match &reply {
                        Reply::Part(_) => {
                            done = done + TIME_PER_10_KB;
                            self.sent[keeper].parts += 1;
                        }
                        _ => self.sent[keeper].answers += 1,
                    }
                    let arrives = (done + sync_time + LATENCY).since(self.now);
                    match self.callers.remove(&call) {
                        Some(Some(node)) => {
                            self.schedule_after(arrives, SimEvent::Node(node, keeper, reply))
                        }
                        _ if reply == Reply::Replaced => {
                            self.acknowledged = Some(self.now + arrives)
                        }
                        _ => {}
                    }
                }
                Action::Log(_) => {}
            }
        }
        self.busy_until[keeper] = done;
    }

    fn node_receives(&mut self, node: usize, keeper: usize, reply: Reply) {
        let source = DocumentSource::Keeper(keeper_address(keeper));
        let now = self.now;
        let fetch = &mut self.nodes[node].fetch;
        let mut step = match reply {
            Reply::Watch(reply) => {
                let step = fetch.version_offered(now, source, reply.version);
                let revisions = &mut self.nodes[node].revisions;
                if let Some(update) = reply.nodes {
                    revisions[keeper] = update.revision();
                }
                let revision = revisions[keeper];
                self.watch(Duration::ZERO, node, keeper, reply.version, revision);
                step
            }
            Reply::Part(part) => fetch.part_answered(now, source, part),
            other => panic!("unexpected reply: {other:?}"),
        };
        while let Some(next) = step.take() {
            match next {
                FetchStep::Request(source, request) => self.request_part(node, source, request),
                FetchStep::Complete(..) => {
                    self.nodes[node].received_at = Some(now);
                    step = self.nodes[node].fetch.next_step(now);
                }
            }
        }
    }

    fn request_part(&mut self, node: usize, source: DocumentSource, request: PartRequest) {
        let keeper = (0..KEEPERS)
            .find(|number| DocumentSource::Keeper(keeper_address(*number)) == source)
            .expect("a keeper");
        let call = self.register_call(Some(node));
        self.schedule_after(LATENCY, SimEvent::Keeper(keeper, Event::FetchPart(call, request)));
    }

    fn leader(&self) -> usize {
        let leads = |keeper: &Keeper| keeper.is_confirmed_leader(self.now);
        self.keepers.iter().position(leads).expect("there is a leader")
    }

    /// Replaces the document; returns the time from the acknowledgement to its arrival at each
    /// node, sorted.
    fn replace(&mut self, version: u64) -> Vec<Duration> {
        self.sent = vec![Sent::default(); KEEPERS];
        self.nodes.iter_mut().for_each(|node| node.received_at = None);
        let call = self.register_call(None);
        let document = Document::new(version, "x".repeat(DOCUMENT_BYTES));
        let leader = self.leader();
        self.schedule_after(
            LATENCY,
            SimEvent::Keeper(leader, Event::ReplaceDocument(call, document)),
        );
        self.acknowledged = None;
        self.run_for(Duration::from_secs(1));
        let acknowledged = self.acknowledged.expect("the change is acknowledged");
        let took =
            |node: &Node| node.received_at.expect("the document has arrived").since(acknowledged);
        let mut all: Vec<Duration> = self.nodes.iter().map(took).collect();
        all.sort();
        all
    }
}

fn nodes() -> usize {
    std::env::var("DOCKPASS_NODES").ok().and_then(|text| text.parse().ok()).unwrap_or(NODES)
}

/// A new document must reach 99 % of the nodes within 150 ms of the acknowledgement, and no keeper
/// may send more than twice its share of the parts.
#[test]
fn a_document_reaches_all_nodes_with_the_load_shared_by_all_keepers() {
    let nodes = nodes();
    let mut simulation = Simulation::new(nodes);
    simulation.run_for(Duration::from_secs(4));
    for version in [5, 9] {
        let took = simulation.replace(version);
        let parts: Vec<u64> = simulation.sent.iter().map(|sent| sent.parts).collect();
        let p99 = took[nodes * 99 / 100];
        println!(
            "{nodes} nodes: half of them within {:?}, 99 of 100 within {p99:?}",
            took[nodes / 2]
        );
        println!(
            "parts sent by each keeper {parts:?}; leader {:?}",
            simulation.sent[simulation.leader()]
        );
        assert!(p99 <= Duration::from_millis(150), "{p99:?}");
        let share = nodes.div_ceil(KEEPERS) as u64;
        assert!(parts.iter().all(|sent| *sent <= 2 * share), "{parts:?}");
        assert_eq!(parts.iter().sum::<u64>(), nodes as u64, "each node is sent the document once");
    }
}
