//! One run of keepers: virtual time, disks, and the carrying of messages.

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

/// When every run begins.
const START: Time = Time::from_millis(1_764_000_000_000);
/// The tree that every run begins with.
const TREE: &str = "[booking]\n[booking/holds]\n[matchdesk]\n[matchdesk/moves]\n";
/// Longest time between two ticks of a keeper.
const TICK: Duration = Duration::from_millis(50);

/// Something that happens at a moment.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// A message reaches a keeper.
    Message { to: usize, from: usize, message: Message },
    /// A question reaches a keeper, in a life.
    Request { to: usize, event: Event },
    /// A reply reaches the one who asked.
    Reply { call_id: CallId, reply: Reply },
    /// A question or its reply was lost, and the one who asked notices.
    RequestLost { call_id: CallId },
    /// A keeper's timers.
    Tick(usize),
    /// An operator does something.
    ReadTree(usize),
    /// A node pulls.
    Pull(usize),
    /// A node starts anew, without what it had.
    RestartNode(usize),
    /// The operator of a hall gives its next order.
    StartHallCommand(usize),
    /// An order for a hall may have got no answer.
    HallCommandTimeout(usize, u64),
    /// A fault begins.
    Fault,
    /// A dead keeper comes back.
    StartKeeper(usize),
    /// A keeper that was cut off is reached again.
    Reconnect(usize),
    /// A full disk has room again.
    FreeDisk(usize),
    /// An operator moves a keeper to another host.
    MoveKeeper,
    /// A keeper that was moved is back with its disk.
    ReturnKeeper(usize),
    /// A keeper loses its new disk as well.
    WipeAgain(usize),
    /// All keepers lose power, some of them their disks.
    PowerLoss,
    /// All are back after a loss of power; one has to lead by then.
    CheckLeader(Time),
}

/// Which keepers there are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Topology {
    /// Keepers that begin the cluster.
    initial_members: usize,
    /// All keepers; those that did not begin it join.
    count: usize,
    /// How many vote.
    pub voters: usize,
    /// Whether one that is silent for long is replaced. A lost disk then holds not even the names of the
    /// others; those that began the cluster are known from the settings.
    pub membership_changes: bool,
}

/// The arrangements that runs are drawn from.
const TOPOLOGIES: [Topology; 6] = [
    Topology { initial_members: 3, count: 3, voters: 3, membership_changes: false },
    Topology { initial_members: 5, count: 5, voters: 5, membership_changes: false },
    Topology { initial_members: 3, count: 3, voters: 3, membership_changes: true },
    Topology { initial_members: 3, count: 4, voters: 3, membership_changes: true },
    Topology { initial_members: 3, count: 5, voters: 5, membership_changes: true },
    Topology { initial_members: 3, count: 6, voters: 5, membership_changes: true },
];

/// One run.
pub(crate) struct KeeperSimulation {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub calm_start: Time,
    pub end: Time,
    pub keepers: Vec<KeeperNode>,
    pub nodes: Vec<NodeState>,
    pub checks: KeeperChecks,
    pub waiting: HashMap<CallId, Requester>,
    pub changes: u64,
    pub topology: Topology,
    /// None where nobody empties halls.
    pub halls: Option<HallCommands>,
    /// None where nobody moves keepers.
    pub moves: Option<KeeperMoves>,
    /// Whom a keeper that is no member asks, by the settings.
    pub contacts: Vec<NodeName>,
    /// No fault begins before: one has to lead first after a loss of power.
    pub faults_start: Time,
    loss_rate: f64,
    max_delay: Duration,
    next_call_id: u64,
    next_seed: u64,
    event_queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: HashMap<u64, SimEvent>,
    sequence: u64,
}

/// Runs one seed of keepers; the violations it found, if any.
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

    /// Disks that may be lost at once.
    pub fn tolerated_losses(&self) -> usize {
        self.voters / 2
    }
}

impl KeeperSimulation {
    fn new(options: &Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let topology = TOPOLOGIES[rng.random_range(0..TOPOLOGIES.len())];
        let names = topology.names();
        let tree = Tree::from_ini(TREE).expect("the run's tree is valid");
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
            waiting: HashMap::new(),
            changes: 0,
            topology,
            halls: None,
            moves: None,
            contacts: initial_members,
            faults_start: START,
            loss_rate,
            max_delay: Duration::from_micros(delay),
            next_call_id: 0,
            next_seed: options.seed << 16,
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

    pub fn schedule_after(&mut self, time: Duration, event: SimEvent) {
        self.schedule_at(self.now + time, event);
    }

    pub fn schedule_at(&mut self, time: Time, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((time, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    pub fn random_duration(&mut self, longest: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=longest.as_micros() as u64))
    }

    /// Whether a frame is lost; none is in the calm.
    pub fn loses_frame(&mut self) -> bool {
        self.now < self.calm_start && self.rng.random_bool(self.loss_rate)
    }

    /// How long a frame takes.
    pub fn frame_delay(&mut self) -> Duration {
        Duration::from_micros(50) + self.random_duration(self.max_delay)
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Message { to, from, message } => {
                let from = self.keepers[from].name.clone();
                self.deliver(to, Event::PeerMessage(from, message));
            }
            SimEvent::Request { to, event } => self.deliver(to, event),
            SimEvent::Reply { call_id, reply } => self.deliver_reply(call_id, Some(reply)),
            SimEvent::RequestLost { call_id } => self.deliver_reply(call_id, None),
            SimEvent::Tick(keeper) => {
                self.keepers[keeper].tick_at = None;
                self.deliver(keeper, Event::Tick);
            }
            SimEvent::ReadTree(operator) => self.read_tree(operator),
            SimEvent::Pull(node) => self.pull(node),
            SimEvent::RestartNode(node) => self.restart_node(node),
            SimEvent::StartHallCommand(hall) => self.start_hall_command(hall),
            SimEvent::HallCommandTimeout(hall, command) => self.retry_hall_command(hall, command),
            SimEvent::Fault => self.inject_faults(),
            SimEvent::StartKeeper(keeper) => self.start_keeper(keeper),
            SimEvent::Reconnect(keeper) => self.keepers[keeper].cut_off = false,
            SimEvent::FreeDisk(keeper) => self.free_disk(keeper),
            SimEvent::MoveKeeper => self.move_random_keeper(),
            SimEvent::ReturnKeeper(keeper) => self.return_keeper(keeper),
            SimEvent::WipeAgain(keeper) => self.wipe_again(keeper),
            SimEvent::PowerLoss => self.lose_power(),
            SimEvent::CheckLeader(due) => self.check_leader(due),
        }
    }

    /// Starts a keeper on what is on its disk.
    pub fn start_keeper(&mut self, number: usize) {
        self.next_seed += 1;
        let (seed, now) = (self.next_seed, self.now);
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
            Err(error) => self.checks.violation(now, format!("a disk can't be read: {error}")),
        }
        self.schedule_tick(number);
    }

    /// The message that is to reach a keeper first.
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

    /// Whether a keeper is sure to lead.
    pub fn has_leader(&self) -> bool {
        let keepers = self.keepers.iter().filter_map(|keeper| keeper.keeper.as_ref());
        keepers.into_iter().any(|keeper| keeper.replica().is_confirmed_leader(self.now))
    }

    fn deliver(&mut self, number: usize, event: Event) {
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
        if matches!(event, Event::HallCommand(call_id, _) if self.has_sender_disconnected(call_id))
        {
            return;
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
            Action::Send(to, message) => self.send(number, &to, message),
            Action::Respond(call_id, reply) => {
                self.maybe_lose_power(&reply);
                let frame_delay = self.frame_delay();
                if self.loses_frame() {
                    return self.schedule_after(frame_delay, SimEvent::RequestLost { call_id });
                }
                self.schedule_after(frame_delay, SimEvent::Reply { call_id, reply });
            }
            Action::Log(LogEvent::Replica(consensus::LogEvent::BecameLeader(term))) => {
                self.checks.leader_elected(self.now, &name, term);
            }
            Action::Log(LogEvent::Replica(consensus::LogEvent::Violation(violation))) => {
                self.checks.violation(self.now, format!("breach at {name}: {violation}"));
            }
            Action::Log(LogEvent::UnreadableEntry(index)) => {
                self.checks.violation(self.now, format!("{name} can't read entry {index}"));
            }
            Action::Log(LogEvent::SettingsVersion(version)) => {
                let state = self.keepers[number].keeper.as_ref().map(|k| k.state().clone());
                if let Some(state) = state.filter(|state| state.version() == version) {
                    self.checks.version_seen(self.now, version, state.tree());
                }
            }
            Action::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &NodeName, message: Message) {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.name == *to) else { return };
        if self.loses_frame() || self.keepers[from].cut_off || self.keepers[to].cut_off {
            return;
        }
        let frame_delay = self.frame_delay();
        if self.now < self.calm_start && self.rng.random_bool(0.03) {
            let later = frame_delay + self.random_duration(Duration::from_secs(2));
            let message = message.clone();
            self.schedule_after(later, SimEvent::Message { to, from, message });
        }
        self.schedule_after(frame_delay, SimEvent::Message { to, from, message });
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

    /// Asks a keeper; the one who asked notices when nothing comes back.
    pub fn send_request(
        &mut self,
        to: usize,
        requester: Requester,
        event: impl FnOnce(CallId) -> Event,
    ) -> CallId {
        self.next_call_id += 1;
        let call_id = CallId(self.next_call_id);
        self.waiting.insert(call_id, requester);
        let frame_delay = self.frame_delay();
        // A keeper that is cut off from the others may still be reached, and believe that it leads.
        let unreachable = self.keepers[to].keeper.is_none();
        if unreachable || self.loses_frame() {
            self.schedule_after(frame_delay, SimEvent::RequestLost { call_id });
            return call_id;
        }
        self.schedule_after(frame_delay, SimEvent::Request { to, event: event(call_id) });
        // A keeper that dies with the question never answers.
        self.schedule_after(Duration::from_secs(6), SimEvent::RequestLost { call_id });
        call_id
    }

    /// At the end everything works again, and nothing accepted is gone.
    fn check_end(&mut self) {
        let leader = self.keepers.iter().find_map(|keeper| {
            let keeper = keeper.keeper.as_ref()?;
            keeper.replica().is_confirmed_leader(self.now).then(|| keeper.state().version())
        });
        let Some(version) = leader else {
            return self.checks.violation(self.end, "nobody is sure to lead after the calm");
        };
        let newest = self.checks.accepted_versions().max().unwrap_or(0);
        if version < newest {
            let description = format!("version {newest} was accepted, the leader has {version}");
            self.checks.violation(self.end, description);
        }
        for number in 0..self.nodes.len() {
            let have = self.nodes[number].version();
            if have != Some(version) {
                let description = format!("node {number} has {have:?}, in force is {version}");
                self.checks.violation(self.end, description);
            }
        }
    }
}
