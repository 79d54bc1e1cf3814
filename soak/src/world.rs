//! One run: virtual time, and the carrying of messages between the state machines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, CallId, Reply, Request};
use entry::{Connection, Entry, Event, OwnerCall, Ticket};
use execution::TaskOutcome;
use model::{NodeRef, SubmissionId, TaskKey, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use settings::{Catalog, Edit, SectionPath, Tree};
use wire::{HelloRequest, RelayReply, RelayRequest};

use crate::checks::{Checks, Summary, Violation, answer_to};
use crate::network::{Behaviour, Called, Network, called, event, session};
use crate::nodes::{AgentNode, Caller, EntryNode, Node};

/// When every run begins.
const START: Time = Time::from_millis(1_764_000_000_000);
/// Bound on the difference between clocks.
pub(crate) const CLOCK_SKEW: Duration = Duration::from_millis(40);
/// Longest time that a call to a dead entry takes to fail.
const PEER_FAILURE: Duration = Duration::from_millis(200);
/// How often each node's clock ticks without a timer.
const TICK: Duration = Duration::from_millis(250);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Makes the run.
    pub seed: u64,
    /// How long faults happen.
    pub faulty: Duration,
    /// How long the run goes on without faults, until everything has to work again.
    pub calm: Duration,
    /// Prints everything that has this text in it, such as a submission's id.
    pub trace: Option<String>,
}

impl Options {
    /// A run of the usual length.
    pub fn new(seed: u64) -> Self {
        Self { seed, faulty: Duration::from_secs(25), calm: Duration::from_secs(15), trace: None }
    }
}

/// Something that happens at a moment.
#[derive(Debug)]
pub(crate) enum Happening {
    /// Something reaches an entry, in a life.
    ToEntry(usize, u64, Event),
    /// Something reaches an agent, in a life.
    ToAgent(usize, u64, agent::Event),
    /// An agent's reply reaches its entry.
    Reply { link: u64, call: CallId, reply: Reply },
    /// An entry tries to reach an agent.
    Dial(usize, usize),
    /// A target ends a task, of an agent in a life.
    TargetEnds(usize, u64, TaskKey, TaskOutcome),
    /// Another entry's outcome reaches the entry that relayed.
    PeerReply(usize, u64, OwnerCall, SubmissionId, Option<RelayReply>),
    /// A tick of an entry's timers.
    EntryTick(usize),
    /// A tick of an agent's timers.
    AgentTick(usize),
    /// A client makes a new submission.
    NewSubmission,
    /// A client submits again.
    Resubmit(SubmissionId),
    /// A client asks for an outcome.
    Fetch(SubmissionId),
    /// A fault begins.
    Fault,
    /// A dead entry comes back.
    EntryStarts(usize),
    /// A dead agent comes back.
    AgentStarts(usize),
    /// A leaving agent ends, in a life, once nothing runs at its target.
    AgentLeft(usize, u64),
    /// Settings reach a node: entry (true) or agent.
    Settings(bool, usize, u64),
    /// The platform's list tells an entry that an agent's host leaves, in a life.
    ListedLeaving(usize, usize, u64),
}

/// One run.
pub(crate) struct World {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub calm_from: Time,
    pub end: Time,
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub network: Network,
    pub behaviour: Behaviour,
    pub checks: Checks,
    pub catalogs: Vec<Arc<Catalog>>,
    tree: Tree,
    happenings: BinaryHeap<Reverse<(Time, u64)>>,
    waiting: HashMap<u64, Happening>,
    sequence: u64,
    next_ticket: u64,
    trace: Option<String>,
}

/// Runs one seed; the violations it found, if any.
pub fn run(options: Options) -> Result<Summary, Vec<Violation>> {
    let mut world = World::new(options);
    world.start();
    world.go_on();
    world.check_end();
    if world.checks.violations.is_empty() {
        Ok(world.checks.summary)
    } else {
        Err(world.checks.violations)
    }
}

impl World {
    fn new(options: Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let agents = rng.random_range(4..=8);
        let racks = rng.random_range(3..=4);
        let slots = rng.random_range(1..=4);
        let entries = rng.random_range(2..=4);
        let behaviour = Behaviour {
            delay: Duration::from_micros(rng.random_range(300..20_000)),
            doubled: rng.random_range(0.0..0.15),
            overtaking: rng.random_range(0.0..0.1),
            late_after_break: rng.random_range(0.0..1.0),
        };
        let members: Vec<String> =
            (0..agents).map(|number| format!("a{number}@r{}", number % racks)).collect();
        let tree = format!(
            "[booking]\nexpected_ms = 150\n[booking/holds]\n[booking/lookups]\nretry_percent = 50\n\
             [fleet]\nclaim_view = {}\nclock_skew_ms = {}\nretention_ms = 15000\n\
             token_lease_ms = 1500\nsettings_age_max_ms = 100000\n",
            members.join(" "),
            CLOCK_SKEW.as_millis()
        );
        let tree = Tree::from_ini(&tree).expect("the run's tree is valid");
        let agent_node = |number: usize| AgentNode {
            node: Node::new(&format!("a{number}"), number as u64 + 1),
            rack: format!("r{}", number % racks),
            slots,
            at_target: 0,
            leaving_since: None,
            target_down_until: START,
        };
        let entry_node = |number: usize| EntryNode {
            node: Node::new(&format!("e{number}"), number as u64 + 101),
            callers: HashMap::new(),
            settings: 1,
        };
        Self {
            rng,
            now: START,
            calm_from: START + options.faulty,
            end: START + options.faulty + options.calm,
            entries: (0..entries).map(entry_node).collect(),
            agents: (0..agents).map(agent_node).collect(),
            network: Network::default(),
            behaviour,
            checks: Checks::default(),
            catalogs: vec![Arc::new(Catalog::new(1, &tree))],
            tree,
            happenings: BinaryHeap::new(),
            waiting: HashMap::new(),
            sequence: 0,
            next_ticket: 0,
            trace: options.trace,
        }
    }

    fn start(&mut self) {
        (0..self.agents.len()).for_each(|agent| self.start_agent(agent));
        (0..self.entries.len()).for_each(|entry| self.start_entry(entry));
        self.after(Duration::from_millis(500), Happening::NewSubmission);
        self.after(Duration::from_secs(1), Happening::Fault);
    }

    fn go_on(&mut self) {
        while let Some(Reverse((time, sequence))) = self.happenings.pop() {
            if time > self.end {
                return;
            }
            self.now = time;
            if let Some(happening) = self.waiting.remove(&sequence) {
                self.happen(happening);
            }
        }
    }

    /// Plans something.
    pub fn at(&mut self, time: Time, happening: Happening) {
        self.sequence += 1;
        self.happenings.push(Reverse((time, self.sequence)));
        self.waiting.insert(self.sequence, happening);
    }

    /// Plans something after a while.
    pub fn after(&mut self, time: Duration, happening: Happening) {
        self.at(self.now + time, happening);
    }

    /// A random time up to a bound.
    pub fn within(&mut self, longest: Duration) -> Duration {
        let micros = longest.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(0..=micros))
    }

    /// Prints what is traced.
    fn trace(&self, what: &str, node: usize, thing: &dyn std::fmt::Debug) {
        let Some(wanted) = &self.trace else { return };
        let text = format!("{thing:?}");
        if text.contains(wanted) {
            println!("{} {what} {node}: {text}", self.now);
        }
    }

    fn happen(&mut self, happening: Happening) {
        self.trace("happens", 0, &happening);
        match happening {
            Happening::ToEntry(entry, life, event) => self.to_entry(entry, life, event),
            Happening::ToAgent(agent, life, event) => self.to_agent(agent, life, event),
            Happening::Reply { link, call, reply } => self.reply_arrives(link, call, reply),
            Happening::Dial(entry, agent) => self.dial(entry, agent),
            Happening::TargetEnds(agent, life, key, outcome) => {
                self.target_ends(agent, life, key, outcome);
            }
            Happening::PeerReply(entry, life, call, submission, reply) => {
                self.to_entry(entry, life, Event::Relayed { call, submission, reply });
            }
            Happening::EntryTick(entry) => {
                self.entries[entry].node.tick_at = None;
                let life = self.entries[entry].node.life;
                self.to_entry(entry, life, Event::Tick);
            }
            Happening::AgentTick(agent) => {
                self.agents[agent].node.tick_at = None;
                let life = self.agents[agent].node.life;
                self.to_agent(agent, life, agent::Event::Tick);
            }
            Happening::NewSubmission => self.new_submission(),
            Happening::Resubmit(id) => self.resubmit(id),
            Happening::Fetch(id) => self.fetch(id),
            Happening::Fault => self.fault(),
            Happening::EntryStarts(entry) => self.start_entry(entry),
            Happening::AgentStarts(agent) => self.start_agent(agent),
            Happening::AgentLeft(agent, life) => self.agent_left(agent, life),
            Happening::Settings(to_entry, node, version) => {
                self.settings_arrive(to_entry, node, version);
            }
            Happening::ListedLeaving(entry, agent, life) => {
                self.listed_leaving(entry, agent, life);
            }
        }
    }

    // Entries.

    /// Starts an entry's next life.
    pub fn start_entry(&mut self, number: usize) {
        let ahead = self.within(CLOCK_SKEW);
        let version = self.catalogs.len() as u64;
        let entry = &mut self.entries[number];
        if entry.node.machine.is_some() {
            return;
        }
        entry.node.life += 1;
        entry.node.clock_ahead = ahead;
        entry.node.stalled_until = self.now;
        let setup = entry::Setup { node: entry.node.reference(), hall: "h".to_owned() };
        entry.node.machine = Some(Entry::new(setup));
        entry.settings = version;
        let life = entry.node.life;
        let catalog = self.catalogs[version as usize - 1].clone();
        self.to_entry(number, life, Event::Settings { catalog });
        let count = self.entries.len() as u32;
        self.to_entry(number, life, Event::Entries { count });
        for agent in 0..self.agents.len() {
            let wait = self.within(Duration::from_millis(20));
            self.after(wait, Happening::Dial(number, agent));
        }
    }

    /// Hands an event to an entry, now or once it stands still no more.
    pub fn to_entry(&mut self, number: usize, life: u64, event: Event) {
        let entry = &mut self.entries[number];
        if entry.node.life != life || entry.node.machine.is_none() {
            return;
        }
        if entry.node.stalled_until > self.now {
            let until = entry.node.stalled_until;
            return self.at(until, Happening::ToEntry(number, life, event));
        }
        let local = entry.node.local(self.now);
        let Some(machine) = &mut entry.node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(local, event, &mut actions);
        for action in actions {
            self.entry_acts(number, action);
        }
        self.plan_entry_tick(number);
    }

    fn plan_entry_tick(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.entries[number].node;
        let Some(machine) = &node.machine else { return };
        let due = machine.next_timer().map_or(now + TICK, |local| local - node.clock_ahead);
        let due = due.max(now + Duration::from_micros(1)).min(now + TICK);
        if node.tick_at.is_none_or(|planned| due < planned) {
            node.tick_at = Some(due);
            self.at(due, Happening::EntryTick(number));
        }
    }

    fn entry_acts(&mut self, number: usize, action: entry::Action) {
        use entry::Action;
        self.trace("entry", number, &action);
        match action {
            Action::Respond { ticket, reply } => self.respond(number, ticket, reply),
            Action::Claim { holder, request } => {
                self.call_by_name(number, &holder, Request::Claim(request));
            }
            Action::Lookup { holder, submission } => {
                self.call_by_name(number, &holder, Request::Lookup(submission));
            }
            Action::Settle { agent, request } => {
                self.call_by_name(number, &agent, Request::Settle(request));
            }
            Action::Start { agent, connection, request } => {
                self.call_on(number, &agent, connection, Request::Start(request));
            }
            Action::Sync { agent, connection, request } => {
                self.call_on(number, &agent, connection, Request::Sync(request));
            }
            Action::Relay { call, owner, request } => self.relay(number, call, &owner, request),
            Action::Fetch { call, owner, submission } => {
                self.fetch_at(number, call, &owner, submission);
            }
            Action::News(entry::News::Breach(breach)) => {
                self.checks.violation(self.now, format!("breach at an entry: {breach}"));
            }
            Action::Decide(_) | Action::News(_) => {}
        }
    }

    fn agent_number(&self, name: &model::NodeName) -> usize {
        let number = self.agents.iter().position(|agent| agent.node.name == *name);
        number.expect("entries know only agents of the run")
    }

    fn call_by_name(&mut self, entry: usize, agent: &model::NodeName, request: Request) {
        let agent = self.agent_number(agent);
        match self.network.between(entry, agent) {
            Some(link) => self.call(link, request),
            None => self.call_fails(entry, agent, 0, called(&request)),
        }
    }

    fn call_on(
        &mut self,
        entry: usize,
        agent: &model::NodeName,
        connection: Connection,
        request: Request,
    ) {
        let agent = self.agent_number(agent);
        if self.network.link(connection.0).open {
            self.call(connection.0, request);
        } else {
            self.call_fails(entry, agent, connection.0, called(&request));
        }
    }

    /// Sends a call; now and then twice.
    fn call(&mut self, link: u64, request: Request) {
        let call = self.network.call(link, called(&request));
        let (agent, life) = {
            let link = self.network.link(link);
            (link.agent, link.agent_life)
        };
        let to_agent = |request| {
            let session = session(link);
            agent::Event::Call { session, call, request }
        };
        let arrival = self.network.arrival(link, true, &self.behaviour, &mut self.rng, self.now);
        if self.rng.random_bool(self.behaviour.doubled) {
            let later = arrival + self.within(Duration::from_secs(2));
            let copy = to_agent(request.clone());
            self.at(later, Happening::ToAgent(agent, life, copy));
        }
        self.at(arrival, Happening::ToAgent(agent, life, to_agent(request)));
    }

    fn call_fails(&mut self, entry: usize, agent: usize, link: u64, call: Called) {
        let life = self.entries[entry].node.life;
        let name = self.agents[agent].node.name.clone();
        if let Some(event) = event(&name, link, call, None) {
            self.after(Duration::from_micros(100), Happening::ToEntry(entry, life, event));
        }
    }

    fn reply_arrives(&mut self, link: u64, call: CallId, reply: Reply) {
        let Some(called) = self.network.answered(link, call) else { return };
        let (entry, life, agent) = {
            let link = self.network.link(link);
            (link.entry, link.entry_life, link.agent)
        };
        let name = self.agents[agent].node.name.clone();
        if let Some(event) = event(&name, link, called, Some(reply)) {
            self.to_entry(entry, life, event);
        }
    }

    /// An entry connects to an agent, or finds its process dead.
    fn dial(&mut self, entry: usize, agent: usize) {
        let node = &self.entries[entry].node;
        if node.machine.is_none() || self.network.between(entry, agent).is_some() {
            return;
        }
        let (life, reference) = (node.life, node.reference());
        if self.agents[agent].node.machine.is_none() {
            let agent_name = self.agents[agent].node.name.clone();
            self.to_entry(entry, life, Event::Dead { agent: agent_name });
            let wait = Duration::from_millis(200);
            return self.after(wait, Happening::Dial(entry, agent));
        }
        let agent_life = self.agents[agent].node.life;
        let link = self.network.open((entry, life), (agent, agent_life), self.now);
        self.call(link, Request::Hello(HelloRequest { entry: reference }));
    }

    /// A connection breaks: calls on it fail, and each side learns of it.
    pub fn break_link(&mut self, id: u64) {
        let link = self.network.link(id).clone();
        let agent_name = self.agents[link.agent].node.name.clone();
        for call in self.network.close(id) {
            if let Some(event) = event(&agent_name, id, call, None) {
                let wait = self.within(Duration::from_millis(5));
                self.after(wait, Happening::ToEntry(link.entry, link.entry_life, event));
            }
        }
        let down = Event::Down { agent: agent_name, connection: Connection(id) };
        let wait = self.within(Duration::from_millis(5));
        self.after(wait, Happening::ToEntry(link.entry, link.entry_life, down));
        // Frames on their way may reach the agent before it learns of the break, or not at all.
        let late = self.rng.random_bool(self.behaviour.late_after_break);
        let learns = if late { Duration::from_secs(3) } else { Duration::ZERO };
        let wait = self.within(learns);
        let closed = agent::Event::Closed { session: session(id) };
        self.after(wait, Happening::ToAgent(link.agent, link.agent_life, closed));
        let wait = Duration::from_millis(50) + self.within(Duration::from_millis(300));
        self.after(wait, Happening::Dial(link.entry, link.agent));
    }

    // Callers.

    /// Submits or asks at an entry.
    pub fn ask(&mut self, entry: usize, caller: Caller, ask: impl FnOnce(Ticket) -> Event) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let node = &mut self.entries[entry];
        let life = node.node.life;
        node.callers.insert(ticket, caller);
        let wait = self.within(self.behaviour.delay);
        self.after(wait, Happening::ToEntry(entry, life, ask(ticket)));
    }

    fn respond(&mut self, entry: usize, ticket: Ticket, reply: RelayReply) {
        match self.entries[entry].callers.remove(&ticket) {
            Some(Caller::Client { id, asked, deadline }) => {
                self.client_answered(id, asked, deadline, &reply);
            }
            Some(Caller::Peer { entry, life, call, id }) => {
                let wait = self.within(self.behaviour.delay);
                self.after(wait, Happening::PeerReply(entry, life, call, id, Some(reply)));
            }
            None => self.checks.violation(self.now, "an outcome was given twice".to_owned()),
        }
    }

    fn relay(&mut self, from: usize, call: OwnerCall, owner: &NodeRef, request: RelayRequest) {
        let id = request.submission;
        self.to_peer(from, call, owner, id, |ticket| Event::Submit {
            ticket,
            request,
            relayed: true,
        });
    }

    fn fetch_at(
        &mut self,
        from: usize,
        call: OwnerCall,
        owner: &NodeRef,
        submission: SubmissionId,
    ) {
        self.to_peer(from, call, owner, submission, |ticket| Event::Fetch {
            ticket,
            submission,
            relayed: true,
        });
    }

    fn to_peer(
        &mut self,
        from: usize,
        call: OwnerCall,
        owner: &NodeRef,
        id: SubmissionId,
        ask: impl FnOnce(Ticket) -> Event,
    ) {
        let life = self.entries[from].node.life;
        let to = self.entries.iter().position(|entry| entry.node.name == owner.name);
        match to.filter(|to| self.entries[*to].node.machine.is_some()) {
            Some(to) => self.ask(to, Caller::Peer { entry: from, life, call, id }, ask),
            None => {
                let wait = self.within(PEER_FAILURE);
                self.after(wait, Happening::PeerReply(from, life, call, id, None));
            }
        }
    }

    // Agents.

    /// Starts an agent's next life.
    pub fn start_agent(&mut self, number: usize) {
        let ahead = self.within(CLOCK_SKEW);
        let version = self.catalogs.len() as u64;
        let fleet = Arc::new(self.catalogs[version as usize - 1].fleet().clone());
        let now = self.now;
        let agent = &mut self.agents[number];
        if agent.node.machine.is_some() {
            return;
        }
        agent.node.life += 1;
        agent.node.clock_ahead = ahead;
        agent.node.stalled_until = now;
        agent.at_target = 0;
        agent.leaving_since = None;
        let setup = agent::Setup {
            node: agent.node.reference(),
            service: "booking".to_owned(),
            hall: "h".to_owned(),
            rack: agent.rack.clone(),
            slots: agent.slots,
            started: agent.node.local(now),
        };
        agent.node.machine = Some(Agent::new(setup, version, fleet));
        self.plan_agent_tick(number);
    }

    /// Hands an event to an agent, now or once it stands still no more.
    pub fn to_agent(&mut self, number: usize, life: u64, event: agent::Event) {
        let agent = &mut self.agents[number];
        if agent.node.life != life || agent.node.machine.is_none() {
            return;
        }
        if agent.node.stalled_until > self.now {
            let until = agent.node.stalled_until;
            return self.at(until, Happening::ToAgent(number, life, event));
        }
        let local = agent.node.local(self.now);
        let Some(machine) = &mut agent.node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(local, event, &mut actions);
        for action in actions {
            self.agent_acts(number, action);
        }
        self.plan_agent_tick(number);
    }

    fn plan_agent_tick(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.agents[number].node;
        let Some(machine) = &node.machine else { return };
        let due = machine.next_timer().map_or(now + TICK, |local| local - node.clock_ahead);
        let due = due.max(now + Duration::from_micros(1)).min(now + TICK);
        if node.tick_at.is_none_or(|planned| due < planned) {
            node.tick_at = Some(due);
            self.at(due, Happening::AgentTick(number));
        }
    }

    fn agent_acts(&mut self, number: usize, action: agent::Action) {
        self.trace("agent", number, &action);
        match action {
            agent::Action::Reply { call, reply } => self.agent_replies(call, reply),
            agent::Action::Run { key, task, .. } => self.target_takes(number, key, &task),
            agent::Action::News(agent::News::Breach(breach)) => {
                self.checks.violation(self.now, format!("breach at an agent: {breach}"));
            }
            agent::Action::News(_) => {}
        }
    }

    fn agent_replies(&mut self, call: CallId, reply: Reply) {
        let Some(link) = self.network.owner(call) else { return };
        let arrival = self.network.arrival(link, false, &self.behaviour, &mut self.rng, self.now);
        if self.rng.random_bool(self.behaviour.doubled) {
            let later = arrival + self.within(Duration::from_secs(2));
            self.at(later, Happening::Reply { link, call, reply: reply.clone() });
        }
        self.at(arrival, Happening::Reply { link, call, reply });
    }

    /// A target gets a task.
    fn target_takes(&mut self, number: usize, key: TaskKey, task: &str) {
        let (now, life) = (self.now, self.agents[number].node.life);
        let agent = &mut self.agents[number];
        agent.at_target += 1;
        if agent.at_target > agent.slots {
            self.checks.violation(now, format!("target {number} has more tasks than slots"));
        }
        if self.agents[number].leaving_since.is_some_and(|since| since < now) {
            self.checks.violation(now, format!("leaving target {number} got new work"));
        }
        if self.agents[number].target_down_until > now {
            let outcome = TaskOutcome::NeverSent("refused".to_owned());
            let wait = Duration::from_millis(1);
            return self.after(wait, Happening::TargetEnds(number, life, key, outcome));
        }
        self.checks.started(now, key.submission, key.index);
        let outcome = match self.rng.random_range(0..200) {
            0 => TaskOutcome::Failed("status 500".to_owned()),
            1 => TaskOutcome::Lost("broke off".to_owned()),
            _ => TaskOutcome::Answer(answer_to(task).into()),
        };
        let straggles = self.rng.random_bool(0.01);
        let longest = if straggles { 5_000 } else { 500 };
        let time = Duration::from_millis(self.rng.random_range(20..longest));
        self.after(time, Happening::TargetEnds(number, life, key, outcome));
    }

    fn target_ends(&mut self, number: usize, life: u64, key: TaskKey, outcome: TaskOutcome) {
        if self.agents[number].node.life == life {
            self.agents[number].at_target -= 1;
        }
        self.to_agent(number, life, agent::Event::Ended { key, outcome });
    }

    // Settings.

    /// Changes the settings; every node gets them within a few seconds.
    pub fn change_settings(&mut self, edits: Vec<Edit>) {
        let Ok(tree) = self.tree.with(&edits) else { return };
        self.tree = tree;
        let version = self.catalogs.len() as u64 + 1;
        self.catalogs.push(Arc::new(Catalog::new(version, &self.tree)));
        for entry in 0..self.entries.len() {
            let wait = self.within(Duration::from_secs(3));
            self.after(wait, Happening::Settings(true, entry, version));
        }
        for agent in 0..self.agents.len() {
            let wait = self.within(Duration::from_secs(3));
            self.after(wait, Happening::Settings(false, agent, version));
        }
    }

    /// The members of the claim view, and the path of its section.
    pub fn claim_view(&self) -> (SectionPath, Vec<String>) {
        let newest = &self.catalogs[self.catalogs.len() - 1];
        (SectionPath::fleet(), newest.fleet().claim_view.clone())
    }

    fn settings_arrive(&mut self, to_entry: bool, number: usize, version: u64) {
        let catalog = self.catalogs[version as usize - 1].clone();
        if to_entry {
            // A node's link hands on rising versions only.
            if self.entries[number].settings >= version {
                return;
            }
            self.entries[number].settings = version;
            let life = self.entries[number].node.life;
            return self.to_entry(number, life, Event::Settings { catalog });
        }
        let life = self.agents[number].node.life;
        let known = self.agents[number].node.machine.as_ref().map(Agent::settings_version);
        if known.is_some_and(|known| known < version) {
            let fleet = Arc::new(catalog.fleet().clone());
            self.to_agent(number, life, agent::Event::Settings { version, fleet });
        }
    }
}
