//! The state of a run of keepers, its event queue, and the delivery of messages.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use consensus::{Message, Record, Replica, Timing};
use keeper::{Action, CallId, Event, Keeper, LogEvent, Reply, initial_records};
use model::{NodeName, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use settings::Tree;

use super::checks::{KeeperChecks, KeeperSummary};
use super::disks::KeeperNode;
use super::halls::HallCommands;
use super::moves::KeeperMoves;
use super::nodes::NodeState;
use super::operators::Requester;
use crate::{Options, Violation};

/// Time at the start of each run.
const START: Time = Time::from_millis(1_764_000_000_000);
/// Settings at the start of each run.
const TREE: &str = "[booking]\n[booking/holds]\n[matchdesk]\n[matchdesk/moves]\n";
/// Longest interval between two ticks of a keeper.
const TICK: Duration = Duration::from_millis(50);

/// A scheduled event.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// A message of another keeper arrives.
    Message { to: usize, from: usize, message: Message },
    /// A request arrives at a keeper.
    Request { to: usize, event: Event },
    /// A reply arrives at the sender of the request.
    Reply { call_id: CallId, reply: Reply },
    /// The sender of a request finds that it gets no reply.
    RequestLost { call_id: CallId },
    /// The timer of a keeper.
    Tick(usize),
    /// An operator reads the settings to change them.
    ReadTree(usize),
    /// A node pulls settings.
    Pull(usize),
    /// A node restarts without settings.
    RestartNode(usize),
    /// The operator of a hall starts its next command.
    StartHallCommand(usize),
    /// The timeout of a hall command, with its number.
    HallCommandTimeout(usize, u64),
    /// An observer reads the emptied halls.
    ReadHalls,
    /// Injects faults.
    Fault,
    /// A stopped keeper starts.
    StartKeeper(usize),
    /// The isolation of a keeper ends.
    Reconnect(usize),
    /// A full disk accepts writes again.
    FreeDisk(usize),
    /// An operator replaces a keeper.
    MoveKeeper,
    /// A replaced keeper returns with its old disk.
    ReturnKeeper(usize),
    /// A keeper loses its disk for the second time.
    WipeAgain(usize),
    /// All keepers lose power, and some of them their disks.
    PowerLoss,
    /// Checks for a leader after a power loss, up to the given deadline.
    CheckLeader(Time),
}

/// The size and the members of a cluster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Topology {
    /// Number of keepers that bootstrap the cluster.
    initial_members: usize,
    /// Number of all keepers; the others join the cluster.
    count: usize,
    /// Number of voters.
    pub voters: usize,
    /// Whether keepers that stay unreachable are replaced as voters. An empty disk then has no
    /// member names, and its keeper joins the cluster through its contacts.
    pub membership_changes: bool,
}

/// The topologies from which each run draws one.
const TOPOLOGIES: [Topology; 6] = [
    Topology { initial_members: 3, count: 3, voters: 3, membership_changes: false },
    Topology { initial_members: 5, count: 5, voters: 5, membership_changes: false },
    Topology { initial_members: 3, count: 3, voters: 3, membership_changes: true },
    Topology { initial_members: 3, count: 4, voters: 3, membership_changes: true },
    Topology { initial_members: 3, count: 5, voters: 5, membership_changes: true },
    Topology { initial_members: 3, count: 6, voters: 5, membership_changes: true },
];

/// A run of keepers.
pub(crate) struct KeeperSimulation {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub calm_start: Time,
    pub end: Time,
    pub keepers: Vec<KeeperNode>,
    pub nodes: Vec<NodeState>,
    pub checks: KeeperChecks,
    pub open_requests: HashMap<CallId, Requester>,
    /// Number of changes that operators created; the source of their ids.
    pub changes: u64,
    pub topology: Topology,
    /// `None` in runs without hall commands.
    pub halls: Option<HallCommands>,
    /// `None` in runs without moves.
    pub moves: Option<KeeperMoves>,
    /// The keepers that a keeper contacts while it knows no members.
    pub contacts: Vec<NodeName>,
    /// Faults are injected only from this time on. After a power loss, it is the deadline for
    /// a leader until one is elected.
    pub faults_start: Time,
    loss_rate: f64,
    max_delay: Duration,
    last_call_id: u64,
    /// Seed of the keeper that started last.
    last_seed: u64,
    /// Times and sequence numbers of the events in `scheduled`.
    event_queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: HashMap<u64, SimEvent>,
    sequence: u64,
}

/// Runs one seed of keepers; returns its counters, or the violations found.
pub fn run_keepers(options: &Options) -> Result<KeeperSummary, Vec<Violation>> {
    let mut simulation = KeeperSimulation::new(options);
    simulation.start();
    if options.halls {
        simulation.set_up_halls(options.seed);
    }
    if options.moves {
        simulation.set_up_moves(options.seed);
    }
    simulation.run_to_end();
    simulation.check_end();
    simulation.check_halls_end();
    match simulation.checks.violations.is_empty() {
        true => Ok(simulation.checks.summary),
        false => Err(simulation.checks.violations),
    }
}

impl Topology {
    fn names(&self) -> Vec<NodeName> {
        (0..self.count).map(|number| NodeName::new(&format!("k{number}"))).collect()
    }

    pub fn empty_disk(&self) -> Vec<Record> {
        let members = if self.membership_changes { Vec::new() } else { self.names() };
        Replica::blank_records(members)
    }

    fn timing(&self) -> Timing {
        let voters = self.membership_changes.then_some(self.voters);
        Timing { voters, ..Timing::default() }
    }

    /// Returns the number of disks that may be lost at once.
    pub fn tolerated_losses(&self) -> usize {
        self.voters / 2
    }
}

impl KeeperSimulation {
    fn new(options: &Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let topology = TOPOLOGIES[rng.random_range(0..TOPOLOGIES.len())];
        let names = topology.names();
        let tree = Tree::from_ini(TREE).expect("the initial settings are valid");
        let initial_members = names[..topology.initial_members].to_vec();
        let records = initial_records(initial_members.clone(), tree);
        let disk = |name: &NodeName| match initial_members.contains(name) {
            true => records.clone(),
            false => topology.empty_disk(),
        };
        let keeper = |name: &NodeName| KeeperNode::new(name.clone(), disk(name), START);
        let (loss_rate, delay) = (rng.random_range(0.0..0.05), rng.random_range(300..15_000));
        Self {
            now: START,
            calm_start: START + options.fault_period,
            end: START + options.fault_period + options.calm_period,
            keepers: names.iter().map(keeper).collect(),
            nodes: (0..3).map(|_| NodeState::default()).collect(),
            checks: KeeperChecks::default(),
            open_requests: HashMap::new(),
            changes: 0,
            topology,
            halls: None,
            moves: None,
            contacts: initial_members,
            faults_start: START,
            loss_rate,
            max_delay: Duration::from_micros(delay),
            last_call_id: 0,
            last_seed: options.seed << 16,
            event_queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            sequence: 0,
            rng,
        }
    }

    fn start(&mut self) {
        (0..self.keepers.len()).for_each(|keeper| self.start_keeper(keeper));
        for operator in 0..3 {
            self.schedule_after(Duration::from_secs(2), SimEvent::ReadTree(operator));
        }
        for node in 0..self.nodes.len() {
            self.schedule_after(Duration::from_secs(1), SimEvent::Pull(node));
        }
        self.schedule_after(Duration::from_secs(3), SimEvent::Fault);
    }

    fn run_to_end(&mut self) {
        while let Some(Reverse((time, sequence))) = self.event_queue.pop() {
            if time > self.end {
                return;
            }
            self.now = time;
            if let Some(event) = self.scheduled.remove(&sequence) {
                self.handle_event(event);
            }
        }
    }

    pub fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    pub fn schedule_at(&mut self, time: Time, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((time, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    pub fn random_duration(&mut self, longest: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=longest.as_micros() as u64))
    }

    /// Draws whether a message is lost; none is in the period without faults.
    pub fn loses_message(&mut self) -> bool {
        self.now < self.calm_start && self.rng.random_bool(self.loss_rate)
    }

    /// Draws the delay of a message.
    pub fn message_delay(&mut self) -> Duration {
        Duration::from_micros(50) + self.random_duration(self.max_delay)
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Message { to, from, message } => {
                let from = self.keepers[from].name.clone();
                self.deliver_to_keeper(to, Event::PeerMessage(from, message));
            }
            SimEvent::Request { to, event } => self.deliver_to_keeper(to, event),
            SimEvent::Reply { call_id, reply } => self.deliver_reply(call_id, Some(reply)),
            SimEvent::RequestLost { call_id } => self.deliver_reply(call_id, None),
            SimEvent::Tick(keeper) => {
                self.keepers[keeper].tick_at = None;
                self.deliver_to_keeper(keeper, Event::Tick);
            }
            SimEvent::ReadTree(operator) => self.read_tree(operator),
            SimEvent::Pull(node) => self.pull_settings(node),
            SimEvent::RestartNode(node) => self.restart_node(node),
            SimEvent::StartHallCommand(hall) => self.start_hall_command(hall),
            SimEvent::HallCommandTimeout(hall, command) => self.retry_hall_command(hall, command),
            SimEvent::ReadHalls => self.read_halls(),
            SimEvent::Fault => self.inject_faults(),
            SimEvent::StartKeeper(keeper) => self.start_keeper(keeper),
            SimEvent::Reconnect(keeper) => self.keepers[keeper].isolated = false,
            SimEvent::FreeDisk(keeper) => self.free_disk(keeper),
            SimEvent::MoveKeeper => self.move_random_keeper(),
            SimEvent::ReturnKeeper(keeper) => self.return_keeper(keeper),
            SimEvent::WipeAgain(keeper) => self.wipe_again(keeper),
            SimEvent::PowerLoss => self.lose_power(),
            SimEvent::CheckLeader(due) => self.check_leader(due),
        }
    }

    /// Starts a keeper with the records on its disk.
    pub fn start_keeper(&mut self, number: usize) {
        self.last_seed += 1;
        let (seed, now) = (self.last_seed, self.now);
        let (timing, contacts) = (self.topology.timing(), self.contacts.clone());
        let keeper = &mut self.keepers[number];
        if keeper.keeper.is_some() || keeper.removed {
            return;
        }
        let disk = keeper.disk.clone();
        keeper.refused_actions.clear();
        match Keeper::recover(keeper.name.clone(), disk, timing, seed, now) {
            Ok(mut recovered) => {
                recovered.set_contacts(contacts);
                keeper.keeper = Some(recovered);
            }
            Err(error) => self
                .checks
                .violation(now, format!("keeper {number} cannot recover from its disk: {error}")),
        }
        self.schedule_tick(number);
    }

    /// Returns the next message that would arrive at a keeper.
    pub fn next_message(&self, number: usize) -> Option<Event> {
        let scheduled_at = self.event_queue.iter().map(|Reverse(scheduled_at)| *scheduled_at);
        let messages =
            scheduled_at.filter_map(|scheduled_at| match self.scheduled.get(&scheduled_at.1) {
                Some(SimEvent::Message { to, from, message }) if *to == number => {
                    let from = self.keepers[*from].name.clone();
                    Some((scheduled_at, Event::PeerMessage(from, message.clone())))
                }
                _ => None,
            });
        messages.min_by_key(|(scheduled_at, _)| *scheduled_at).map(|(_, event)| event)
    }

    /// Whether any keeper is a confirmed leader.
    pub fn has_leader(&self) -> bool {
        let keepers = self.keepers.iter().filter_map(|keeper| keeper.keeper.as_ref());
        keepers.into_iter().any(|keeper| keeper.replica().is_confirmed_leader(self.now))
    }

    fn deliver_to_keeper(&mut self, number: usize, event: Event) {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        if keeper.keeper.is_none() {
            return;
        }
        if keeper.stalled_until > now {
            let until = keeper.stalled_until;
            if !matches!(event, Event::Tick) {
                self.schedule_at(until, SimEvent::Request { to: number, event });
            }
            return self.schedule_tick(number);
        }
        let Some(machine) = &mut self.keepers[number].keeper else { return };
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        for action in self.store_or_refuse(number, actions) {
            self.apply_action(number, action);
        }
        self.schedule_tick(number);
    }

    fn apply_action(&mut self, number: usize, action: Action) {
        let name = self.keepers[number].name.to_string();
        match action {
            Action::Store(_) | Action::Rewrite(_) => {}
            Action::Send(to, message) => self.send_message(number, &to, message),
            Action::Respond(call_id, reply) => {
                self.maybe_lose_power(&reply);
                let message_delay = self.message_delay();
                if self.loses_message() {
                    return self.schedule_after(message_delay, SimEvent::RequestLost { call_id });
                }
                self.schedule_after(message_delay, SimEvent::Reply { call_id, reply });
            }
            Action::Log(LogEvent::Replica(consensus::LogEvent::BecameLeader(term))) => {
                self.checks.leader_elected(self.now, &name, term);
            }
            Action::Log(LogEvent::Replica(consensus::LogEvent::Violation(violation))) => {
                self.checks.violation(
                    self.now,
                    format!("keeper {name} reports an invariant violation: {violation}"),
                );
            }
            Action::Log(LogEvent::UnreadableEntry(index)) => {
                self.checks
                    .violation(self.now, format!("keeper {name} cannot decode log entry {index}"));
            }
            Action::Log(LogEvent::SettingsVersion(version)) => {
                let state = self.keepers[number].keeper.as_ref().map(|k| k.state().clone());
                if let Some(state) = state.filter(|state| state.version() == version) {
                    self.checks.version_observed(self.now, version, state.tree());
                }
            }
            Action::Log(_) => {}
        }
    }

    fn send_message(&mut self, from: usize, to: &NodeName, message: Message) {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.name == *to) else { return };
        if self.loses_message() || self.keepers[from].isolated || self.keepers[to].isolated {
            return;
        }
        let message_delay = self.message_delay();
        if self.now < self.calm_start && self.rng.random_bool(0.03) {
            let later = message_delay + self.random_duration(Duration::from_secs(2));
            let message = message.clone();
            self.schedule_after(later, SimEvent::Message { to, from, message });
        }
        self.schedule_after(message_delay, SimEvent::Message { to, from, message });
    }

    fn schedule_tick(&mut self, number: usize) {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        let Some(machine) = &keeper.keeper else { return };
        let due = machine.next_timer().unwrap_or(now + TICK).min(now + TICK);
        let due = due.max(now + Duration::from_micros(1));
        let due = due.max(keeper.stalled_until);
        if keeper.tick_at.is_none_or(|scheduled_at| due < scheduled_at) {
            keeper.tick_at = Some(due);
            self.schedule_at(due, SimEvent::Tick(number));
        }
    }

    /// Sends a request to a keeper; the sender gets a timeout if no reply arrives.
    pub fn send_request(
        &mut self,
        to: usize,
        requester: Requester,
        event: impl FnOnce(CallId) -> Event,
    ) {
        self.send_delayed_request(to, requester, Duration::ZERO, event);
    }

    /// Sends a request that the network holds up for `held`; the sender is not told.
    pub fn send_delayed_request(
        &mut self,
        to: usize,
        requester: Requester,
        held: Duration,
        event: impl FnOnce(CallId) -> Event,
    ) {
        self.last_call_id += 1;
        let call_id = CallId(self.last_call_id);
        self.open_requests.insert(call_id, requester);
        let message_delay = held + self.message_delay();
        // An isolated keeper is still reachable for clients, and may believe that it leads.
        let unreachable = self.keepers[to].keeper.is_none();
        if unreachable || self.loses_message() {
            return self.schedule_after(message_delay, SimEvent::RequestLost { call_id });
        }
        self.schedule_after(message_delay, SimEvent::Request { to, event: event(call_id) });
        // A keeper that crashes with the request never replies.
        self.schedule_after(held + Duration::from_secs(6), SimEvent::RequestLost { call_id });
    }

    /// Checks that a leader exists at the end, and that it and all nodes have every accepted
    /// change.
    fn check_end(&mut self) {
        let leader = self.keepers.iter().find_map(|keeper| {
            let keeper = keeper.keeper.as_ref()?;
            keeper.replica().is_confirmed_leader(self.now).then(|| keeper.state().version())
        });
        let Some(version) = leader else {
            return self.checks.violation(self.end, "no confirmed leader at the end of the run");
        };
        let newest = self.checks.accepted_versions().max().unwrap_or(0);
        if version < newest {
            let description =
                format!("version {newest} was accepted, but the leader has version {version}");
            self.checks.violation(self.end, description);
        }
        for number in 0..self.nodes.len() {
            let node_version = self.nodes[number].version();
            if node_version != Some(version) {
                let description = format!(
                    "node {number} has version {node_version:?}, but the leader has version {version}"
                );
                self.checks.violation(self.end, description);
            }
        }
    }
}
