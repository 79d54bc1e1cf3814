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
use super::disks::Disked;
use super::halls::HallOrders;
use super::moves::Moves;
use super::nodes::NodeState;
use super::operators::Asker;
use crate::{Options, Violation};

/// When every run begins.
const START: Time = Time::from_millis(1_764_000_000_000);
/// The tree that every run begins with.
const TREE: &str = "[booking]\n[booking/holds]\n[matchdesk]\n[matchdesk/moves]\n";
/// Longest time between two ticks of a keeper.
const TICK: Duration = Duration::from_millis(50);

/// Something that happens at a moment.
#[derive(Debug)]
pub(crate) enum Happening {
    /// A message reaches a keeper.
    Message { to: usize, from: usize, message: Message },
    /// A question reaches a keeper, in a life.
    Ask { to: usize, event: Event },
    /// A reply reaches the one who asked.
    Reply { ticket: CallId, reply: Reply },
    /// A question or its reply was lost, and the one who asked notices.
    Lost { ticket: CallId },
    /// A keeper's timers.
    Tick(usize),
    /// An operator does something.
    Operator(usize),
    /// A node pulls.
    Pull(usize),
    /// A node starts anew, without what it had.
    NodeStarts(usize),
    /// The operator of a hall gives its next order.
    NextHallOrder(usize),
    /// An order for a hall may have got no answer.
    HallOrderUnanswered(usize, u64),
    /// A fault begins.
    Fault,
    /// A dead keeper comes back.
    KeeperStarts(usize),
    /// A keeper that was cut off is reached again.
    Healed(usize),
    /// A full disk has room again.
    DiskHasRoom(usize),
    /// An operator moves a keeper to another host.
    Move,
    /// A keeper that was moved is back with its disk.
    Repaired(usize),
    /// A keeper loses its new disk as well.
    WipedAgain(usize),
    /// All keepers lose power, some of them their disks.
    PowerLoss,
    /// All are back after a loss of power; one has to lead by then.
    LeaderDue(Time),
}

/// Which keepers there are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrangement {
    /// Keepers that begin the cluster.
    founders: usize,
    /// All keepers; those that did not begin it join.
    count: usize,
    /// How many vote.
    pub voters: usize,
    /// Whether one that is silent for long is replaced. A lost disk then holds not even the names of the
    /// others; those that began the cluster are known from the settings.
    pub members_change: bool,
}

/// The arrangements that runs are drawn from.
const ARRANGEMENTS: [Arrangement; 6] = [
    Arrangement { founders: 3, count: 3, voters: 3, members_change: false },
    Arrangement { founders: 5, count: 5, voters: 5, members_change: false },
    Arrangement { founders: 3, count: 3, voters: 3, members_change: true },
    Arrangement { founders: 3, count: 4, voters: 3, members_change: true },
    Arrangement { founders: 3, count: 5, voters: 5, members_change: true },
    Arrangement { founders: 3, count: 6, voters: 5, members_change: true },
];

/// One run.
pub(crate) struct KeeperWorld {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub calm_from: Time,
    pub end: Time,
    pub keepers: Vec<Disked>,
    pub nodes: Vec<NodeState>,
    pub checks: KeeperChecks,
    pub waiting: HashMap<CallId, Asker>,
    pub changes: u64,
    pub arrangement: Arrangement,
    /// None where nobody empties halls.
    pub halls: Option<HallOrders>,
    /// None where nobody moves keepers.
    pub moves: Option<Moves>,
    /// Whom a keeper that is no member asks, by the settings.
    pub contacts: Vec<NodeName>,
    /// No fault begins before: one has to lead first after a loss of power.
    pub faults_from: Time,
    loss: f64,
    delay: Duration,
    next_ticket: u64,
    lives: u64,
    happenings: BinaryHeap<Reverse<(Time, u64)>>,
    contents: HashMap<u64, Happening>,
    sequence: u64,
}

/// Runs one seed of keepers; the violations it found, if any.
pub fn run_keepers(options: &Options) -> Result<KeeperSummary, Vec<Violation>> {
    let mut world = KeeperWorld::new(options);
    world.start();
    if options.halls {
        world.set_up_halls(options.seed);
    }
    if options.moves {
        world.set_up_moves(options.seed);
    }
    world.go_on();
    world.check_end();
    world.check_halls_end();
    match world.checks.violations.is_empty() {
        true => Ok(world.checks.summary),
        false => Err(world.checks.violations),
    }
}

impl Arrangement {
    fn names(&self) -> Vec<NodeName> {
        (0..self.count).map(|number| NodeName::new(&format!("k{number}"))).collect()
    }

    pub fn empty_disk(&self) -> Vec<Record> {
        let members = if self.members_change { Vec::new() } else { self.names() };
        Replica::blank_records(members)
    }

    fn timing(&self) -> Timing {
        let voters = self.members_change.then_some(self.voters);
        Timing { voters, ..Timing::default() }
    }

    /// Disks that may be lost at once.
    pub fn losses(&self) -> usize {
        self.voters / 2
    }
}

impl KeeperWorld {
    fn new(options: &Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let arrangement = ARRANGEMENTS[rng.random_range(0..ARRANGEMENTS.len())];
        let names = arrangement.names();
        let tree = Tree::from_ini(TREE).expect("the run's tree is valid");
        let founders = names[..arrangement.founders].to_vec();
        let records = initial_records(founders.clone(), tree);
        let disk = |name: &NodeName| match founders.contains(name) {
            true => records.clone(),
            false => arrangement.empty_disk(),
        };
        let keeper = |name: &NodeName| Disked::new(name.clone(), disk(name), START);
        let (loss, delay) = (rng.random_range(0.0..0.05), rng.random_range(300..15_000));
        Self {
            now: START,
            calm_from: START + options.faulty,
            end: START + options.faulty + options.calm,
            keepers: names.iter().map(keeper).collect(),
            nodes: (0..3).map(|_| NodeState::default()).collect(),
            checks: KeeperChecks::default(),
            waiting: HashMap::new(),
            changes: 0,
            arrangement,
            halls: None,
            moves: None,
            contacts: founders,
            faults_from: START,
            loss,
            delay: Duration::from_micros(delay),
            next_ticket: 0,
            lives: options.seed << 16,
            happenings: BinaryHeap::new(),
            contents: HashMap::new(),
            sequence: 0,
            rng,
        }
    }

    fn start(&mut self) {
        (0..self.keepers.len()).for_each(|keeper| self.start_keeper(keeper));
        for operator in 0..3 {
            self.after(Duration::from_secs(2), Happening::Operator(operator));
        }
        for node in 0..self.nodes.len() {
            self.after(Duration::from_secs(1), Happening::Pull(node));
        }
        self.after(Duration::from_secs(3), Happening::Fault);
    }

    fn go_on(&mut self) {
        while let Some(Reverse((time, sequence))) = self.happenings.pop() {
            if time > self.end {
                return;
            }
            self.now = time;
            if let Some(happening) = self.contents.remove(&sequence) {
                self.happen(happening);
            }
        }
    }

    pub fn after(&mut self, time: Duration, happening: Happening) {
        self.at(self.now + time, happening);
    }

    pub fn at(&mut self, time: Time, happening: Happening) {
        self.sequence += 1;
        self.happenings.push(Reverse((time, self.sequence)));
        self.contents.insert(self.sequence, happening);
    }

    pub fn within(&mut self, longest: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=longest.as_micros() as u64))
    }

    /// Whether a frame is lost; none is in the calm.
    pub fn loses(&mut self) -> bool {
        self.now < self.calm_from && self.rng.random_bool(self.loss)
    }

    /// How long a frame takes.
    pub fn way(&mut self) -> Duration {
        Duration::from_micros(50) + self.within(self.delay)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Message { to, from, message } => {
                let from = self.keepers[from].name.clone();
                self.deliver(to, Event::PeerMessage(from, message));
            }
            Happening::Ask { to, event } => self.deliver(to, event),
            Happening::Reply { ticket, reply } => self.replied(ticket, Some(reply)),
            Happening::Lost { ticket } => self.replied(ticket, None),
            Happening::Tick(keeper) => {
                self.keepers[keeper].tick_at = None;
                self.deliver(keeper, Event::Tick);
            }
            Happening::Operator(operator) => self.operate(operator),
            Happening::Pull(node) => self.pull(node),
            Happening::NodeStarts(node) => self.node_starts(node),
            Happening::NextHallOrder(hall) => self.next_hall_order(hall),
            Happening::HallOrderUnanswered(hall, order) => self.hall_order_unanswered(hall, order),
            Happening::Fault => self.fault(),
            Happening::KeeperStarts(keeper) => self.start_keeper(keeper),
            Happening::Healed(keeper) => self.keepers[keeper].cut_off = false,
            Happening::DiskHasRoom(keeper) => self.make_room(keeper),
            Happening::Move => self.move_any(),
            Happening::Repaired(keeper) => self.repaired(keeper),
            Happening::WipedAgain(keeper) => self.wiped_again(keeper),
            Happening::PowerLoss => self.lose_power(),
            Happening::LeaderDue(due) => self.leader_due(due),
        }
    }

    /// Starts a keeper on what is on its disk.
    pub fn start_keeper(&mut self, number: usize) {
        self.lives += 1;
        let (seed, now) = (self.lives, self.now);
        let (timing, contacts) = (self.arrangement.timing(), self.contacts.clone());
        let keeper = &mut self.keepers[number];
        if keeper.keeper.is_some() || keeper.gone {
            return;
        }
        let disk = keeper.disk.clone();
        keeper.refused.clear();
        match Keeper::recover(keeper.name.clone(), disk, timing, seed, now) {
            Ok(mut recovered) => {
                recovered.set_contacts(contacts);
                keeper.keeper = Some(recovered);
            }
            Err(error) => self.checks.violation(now, format!("a disk can't be read: {error}")),
        }
        self.plan_tick(number);
    }

    /// The message that is to reach a keeper first.
    pub fn next_message(&self, number: usize) -> Option<Event> {
        let planned = self.happenings.iter().map(|Reverse(planned)| *planned);
        let messages = planned.filter_map(|planned| match self.contents.get(&planned.1) {
            Some(Happening::Message { to, from, message }) if *to == number => {
                let from = self.keepers[*from].name.clone();
                Some((planned, Event::PeerMessage(from, message.clone())))
            }
            _ => None,
        });
        messages.min_by_key(|(planned, _)| *planned).map(|(_, event)| event)
    }

    /// Whether a keeper is sure to lead.
    pub fn someone_leads(&self) -> bool {
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
                self.at(until, Happening::Ask { to: number, event });
            }
            return self.plan_tick(number);
        }
        if matches!(event, Event::HallCommand(ticket, _) if self.has_sender_left(ticket)) {
            return;
        }
        let Some(machine) = &mut self.keepers[number].keeper else { return };
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        for action in self.store_or_refuse(number, actions) {
            self.act(number, action);
        }
        self.plan_tick(number);
    }

    fn act(&mut self, number: usize, action: Action) {
        let name = self.keepers[number].name.to_string();
        match action {
            Action::Store(_) | Action::Rewrite(_) => {}
            Action::Send(to, message) => self.send(number, &to, message),
            Action::Respond(ticket, reply) => {
                self.perhaps_lose_power(&reply);
                let way = self.way();
                if self.loses() {
                    return self.after(way, Happening::Lost { ticket });
                }
                self.after(way, Happening::Reply { ticket, reply });
            }
            Action::Log(LogEvent::Replica(consensus::LogEvent::BecameLeader(term))) => {
                self.checks.leads(self.now, &name, term);
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
                    self.checks.seen(self.now, version, state.tree());
                }
            }
            Action::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &NodeName, message: Message) {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.name == *to) else { return };
        if self.loses() || self.keepers[from].cut_off || self.keepers[to].cut_off {
            return;
        }
        let way = self.way();
        if self.now < self.calm_from && self.rng.random_bool(0.03) {
            let later = way + self.within(Duration::from_secs(2));
            let message = message.clone();
            self.after(later, Happening::Message { to, from, message });
        }
        self.after(way, Happening::Message { to, from, message });
    }

    fn plan_tick(&mut self, number: usize) {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        let Some(machine) = &keeper.keeper else { return };
        let due = machine.next_timer().unwrap_or(now + TICK).min(now + TICK);
        let due = due.max(now + Duration::from_micros(1));
        let due = due.max(keeper.stalled_until);
        if keeper.tick_at.is_none_or(|planned| due < planned) {
            keeper.tick_at = Some(due);
            self.at(due, Happening::Tick(number));
        }
    }

    /// Asks a keeper; the one who asked notices when nothing comes back.
    pub fn ask(&mut self, to: usize, asker: Asker, event: impl FnOnce(CallId) -> Event) -> CallId {
        self.next_ticket += 1;
        let ticket = CallId(self.next_ticket);
        self.waiting.insert(ticket, asker);
        let way = self.way();
        // A keeper that is cut off from the others may still be reached, and believe that it leads.
        let unreachable = self.keepers[to].keeper.is_none();
        if unreachable || self.loses() {
            self.after(way, Happening::Lost { ticket });
            return ticket;
        }
        self.after(way, Happening::Ask { to, event: event(ticket) });
        // A keeper that dies with the question never answers.
        self.after(Duration::from_secs(6), Happening::Lost { ticket });
        ticket
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
