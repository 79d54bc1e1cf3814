//! The world of one run: its state, and what happens next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch::{CallId, Dispatcher, JobRequest};
use keeper::DocumentFetch;
use model::{JobId, NodeName, Resources, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runner::{
    HoldCommand, HoldReply, RunKey, Runner, StartCommand, StartReply, StopCommand, StopReply,
    TargetInstance, TargetReport,
};
use wire::{Document, EmptiedHalls};

use super::RoomTimes;
use super::checks::{Checks, RoomSummary};
use super::client::Client;
use super::entry_link::EntryLink;
use super::faults::Fault;
use super::halls::Halls;
use super::link::{Parcel, Session};
use super::load::Tally;
use super::restless::RestlessTargets;
use super::sets::Sets;
use super::target::{LONGEST_LEASE, Manner, Target};
use crate::checks::Violation;
use crate::world::Options;

pub(super) const START: Time = Time::from_millis(1_000_000);
/// Faults and jobs come for so long,
pub(super) const TROUBLED: Duration = Duration::from_secs(8);
/// and jobs alone from then
pub(super) const CALM_FROM: Duration = Duration::from_millis(13_500);
/// until then.
const CALM_TO: Duration = Duration::from_millis(15_500);
/// All has to be over by then.
const END: Duration = Duration::from_secs(24);
pub(super) const TARGET_TICK: Duration = Duration::from_millis(5);
pub(super) const BEAT: Duration = Duration::from_millis(500);
/// The hall of all targets where nobody empties halls.
pub(super) const ONE_HALL: &str = "hall";
pub(super) const DIAL: Duration = Duration::from_millis(120);

/// What happens next.
pub(super) enum Happening {
    EntryTick(usize, u64),
    AgentTick(usize, u64),
    Parcel(usize, Parcel),
    /// The link of an entry has carried a segment.
    LinkSent(usize),
    /// A part of the configuration may be late at one life of an entry.
    PartLate(usize, u64),
    Start(Call, StartCommand, bool),
    Stop(Call, StopCommand, bool),
    Hold(Call, HoldCommand),
    HoldOver(Call),
    Started(Call, RunKey, StartReply),
    Stopped(Call, RunKey, StopReply),
    Held(Call, HoldCommand, HoldReply),
    Targets,
    Beat(usize),
    /// A report of a target that was held up on its way.
    LateReport(usize, TargetReport),
    Dial(usize, usize),
    /// No entry reaches an agent for a while.
    CutOff(usize, Duration),
    /// An agent is to serve other entries, or all.
    Choose(usize, bool),
    /// An order for a hall is acknowledged: its targets take work, or none.
    OrderHall(usize, bool),
    /// A keeper tells an entry, or an agent, which halls are emptied.
    HallsTold {
        is_entry: bool,
        number: usize,
        emptied: EmptiedHalls,
    },
    Cancel(JobId),
    /// One life of an entry is told that a job is cancelled.
    CancelTold(usize, u64, JobId),
    Submit(JobId),
    Unread(usize, u64, CallId, JobRequest),
    Gone(usize, u64, CallId),
    GiveUp(JobId, u32),
    Fault(Fault),
    EntryBack(usize),
    AgentBack(usize),
    TargetBack(usize),
    MannerOver(usize),
    MuteOver(usize),
    /// A target has another room, in percent of what it had at first.
    Resize(usize, u64),
    /// One life of an agent finds that nothing listens at the address of its target.
    NoListener(usize, u64, TargetInstance),
    /// A task crashes the life of its target in which it began.
    CrashUnder(usize, TargetInstance),
}

/// An order of one life of an agent; it is answered once, or not in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Call {
    pub agent: usize,
    pub life: u64,
    pub number: u64,
}

pub(super) struct EntryProcess {
    pub dispatcher: Option<Dispatcher>,
    pub life: u64,
    pub frozen: Time,
    pub sessions: BTreeMap<u64, usize>,
    pub jobs: BTreeMap<CallId, JobId>,
    pub next: u64,
    /// None where all arrives at once, however much it is.
    pub link: Option<EntryLink>,
    pub fetch: DocumentFetch,
}

pub(super) struct AgentProcess {
    pub runner: Option<Runner>,
    pub life: u64,
    pub frozen: Time,
    pub target: Option<Target>,
    pub target_lives: u64,
    pub capacity: Resources,
    pub slow_clock: bool,
    pub sessions: BTreeMap<u64, usize>,
    pub next: u64,
    /// When the agent heard that its target leaves.
    pub drains: Option<Time>,
    /// The hold that waits at the target.
    pub waiting: Option<(Call, HoldCommand)>,
}

pub(super) struct World {
    pub(super) now: Time,
    pub(super) rng: ChaCha8Rng,
    pub(super) happenings: BTreeMap<(Time, u64), Happening>,
    pub(super) sequence: u64,
    pub(super) entries: Vec<EntryProcess>,
    pub(super) agents: Vec<AgentProcess>,
    pub(super) sessions: Vec<Session>,
    pub(super) cuts: BTreeMap<(usize, usize), Time>,
    pub(super) clients: BTreeMap<JobId, Client>,
    pub(super) checks: Checks,
    pub(super) calls: BTreeSet<u64>,
    pub(super) trace: Option<String>,
    pub(super) times: RoomTimes,
    pub(super) sets: Sets,
    pub(super) tally: Tally,
    /// What agents know from their start.
    pub(super) document: Option<Document>,
    /// None where nobody empties halls.
    pub(super) halls: Option<Halls>,
    /// None where targets are what they were at first.
    pub(super) restless: Option<RestlessTargets>,
    /// What part of their orders targets leave unanswered and carry out late.
    pub(super) unanswered: f64,
}

impl World {
    /// The run that a seed makes: few entries and agents, and faults.
    pub fn new(options: &Options, times: RoomTimes) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let entries = rng.random_range(2..=3);
        let agents = rng.random_range(3..=6);
        let sets = Sets::new(options.seed, entries, agents);
        let mut world = Self { trace: options.trace.clone(), ..Self::empty(rng, times, sets) };
        (0..entries).for_each(|_| world.add_entry());
        for _ in 0..agents {
            let cpu_milli = world.rng.random_range(8_000..24_000);
            let slow_clock = world.rng.random_bool(0.3);
            world.add_agent(cpu_milli, slow_clock);
        }
        world.start_processes();
        world.set_up();
        if options.halls {
            world.set_up_halls(options.seed);
        }
        if options.restless {
            world.times.agent.max_lease = LONGEST_LEASE;
            world.set_up_restless(options.seed);
        }
        world
    }

    /// A world without processes and clients.
    pub fn empty(rng: ChaCha8Rng, times: RoomTimes, sets: Sets) -> Self {
        Self {
            now: START,
            rng,
            happenings: BTreeMap::new(),
            sequence: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            sessions: Vec::new(),
            cuts: BTreeMap::new(),
            clients: BTreeMap::new(),
            checks: Checks::default(),
            calls: BTreeSet::new(),
            trace: None,
            times,
            sets,
            tally: Tally::default(),
            document: None,
            halls: None,
            restless: None,
            unanswered: 0.0,
        }
    }

    pub fn add_entry(&mut self) {
        self.entries.push(EntryProcess {
            dispatcher: None,
            life: 0,
            frozen: START,
            sessions: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next: 0,
            link: None,
            fetch: DocumentFetch::default(),
        });
    }

    pub fn add_agent(&mut self, cpu_milli: u64, slow_clock: bool) {
        self.agents.push(AgentProcess {
            runner: None,
            life: 0,
            frozen: START,
            target: None,
            target_lives: 0,
            capacity: Resources { cpu_milli, memory_mb: 32_768, gpu: 0 },
            slow_clock,
            sessions: BTreeMap::new(),
            next: 0,
            drains: None,
            waiting: None,
        });
    }

    /// Starts all processes; agents connect to the entries that they may serve.
    pub fn start_processes(&mut self) {
        for entry in 0..self.entries.len() {
            self.at(Duration::ZERO, Happening::EntryBack(entry));
        }
        for agent in 0..self.agents.len() {
            self.at(Duration::ZERO, Happening::TargetBack(agent));
            self.at(Duration::ZERO, Happening::AgentBack(agent));
            self.at(Duration::from_millis(10), Happening::Beat(agent));
            for entry in 0..self.entries.len() {
                if self.sets.may_serve(agent, entry) {
                    self.at(Duration::from_millis(5), Happening::Dial(agent, entry));
                }
            }
        }
        self.at(TARGET_TICK, Happening::Targets);
    }

    fn set_up(&mut self) {
        let (entries, agents) = (self.entries.len(), self.agents.len());
        let faults = self.rng.random_range(0..14);
        for _ in 0..faults {
            let fault = Fault::draw(&mut self.rng, entries, agents);
            let after =
                Duration::from_millis(self.rng.random_range(500..TROUBLED.as_millis() as u64));
            self.at(after, Happening::Fault(fault));
        }
        let mut number = 0;
        for (from, to, calm) in [(300, 9_000, false), (0, 2_000, true)] {
            let base = if calm { CALM_FROM } else { Duration::ZERO };
            let count = if calm { 12 } else { self.rng.random_range(40..220) };
            for _ in 0..count {
                number += 1;
                let after = base + Duration::from_millis(self.rng.random_range(from..to));
                let client = Client::new(number, &mut self.rng, START + after, calm);
                let id = client.request.id.clone();
                self.clients.insert(id.clone(), client);
                self.at(after, Happening::Submit(id));
            }
        }
        debug_assert!(CALM_TO > CALM_FROM);
        self.set_up_sets();
    }

    /// Runs for a time. What happens later stays to happen.
    pub fn run_until(&mut self, end: Time) {
        while let Some(next) = self.happenings.first_entry()
            && next.key().0 <= end
        {
            let ((time, _), happening) = next.remove_entry();
            self.now = time;
            self.happen(happening);
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Result<RoomSummary, Vec<Violation>> {
        self.run_until(START + END);
        self.check_end();
        match self.checks.violations.is_empty() {
            true => Ok(self.checks.summary),
            false => Err(self.checks.violations),
        }
    }

    fn check_end(&mut self) {
        self.check_halls_end();
        let now = self.now;
        let mut wrong = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let active = entry.dispatcher.as_ref().map_or(0, Dispatcher::active_jobs);
            if active > 0 {
                wrong.push(format!("entry {index} has {active} jobs at the end"));
            }
        }
        for (index, agent) in self.agents.iter().enumerate() {
            let runs = agent.target.as_ref().map_or(0, |target| target.runs.len());
            let idle = agent.runner.as_ref().is_none_or(Runner::is_idle);
            if runs > 0 || !idle {
                wrong.push(format!("agent {index}: {runs} runs at the end, idle: {idle}"));
            }
        }
        for client in self.clients.values().filter(|client| client.at.is_some()) {
            wrong.push(format!("{} is not answered", client.request.id));
        }
        wrong.into_iter().for_each(|what| self.checks.violation(now, what));
    }

    pub(super) fn at(&mut self, after: Duration, happening: Happening) {
        self.at_time(self.now + after, happening);
    }

    pub(super) fn at_time(&mut self, time: Time, happening: Happening) {
        self.sequence += 1;
        self.happenings.insert((time, self.sequence), happening);
    }

    pub(super) fn hop(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..2_500))
    }

    pub(super) fn note(&self, text: impl FnOnce() -> String) {
        if let Some(wanted) = &self.trace {
            let text = text();
            if text.contains(wanted) {
                println!("{} {text}", self.now);
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::EntryTick(entry, life) => {
                let frozen = self.entries[entry].frozen;
                if frozen > self.now {
                    self.at_time(frozen, Happening::EntryTick(entry, life));
                } else if self.entries[entry].life == life {
                    self.feed_entry(entry, dispatch::Event::Tick);
                    let process = &self.entries[entry];
                    if let Some(dispatcher) = &process.dispatcher {
                        let due = dispatcher.next_timer(self.now.max(process.frozen));
                        self.at_time(due, Happening::EntryTick(entry, life));
                    }
                }
            }
            Happening::AgentTick(agent, life) => {
                let frozen = self.agents[agent].frozen;
                if frozen > self.now {
                    self.at_time(frozen, Happening::AgentTick(agent, life));
                } else if self.agents[agent].life == life {
                    self.feed_agent(agent, runner::Event::Tick);
                    let process = &self.agents[agent];
                    if let Some(runner) = &process.runner {
                        let due = runner.next_timer(self.now.max(process.frozen));
                        self.at_time(due, Happening::AgentTick(agent, life));
                    }
                }
            }
            Happening::Parcel(session, parcel) => self.deliver(session, parcel),
            Happening::LinkSent(entry) => self.link_sent(entry),
            Happening::PartLate(entry, life) => self.part_late(entry, life),
            Happening::Start(call, order, late) => self.target_start(call, order, late),

            Happening::Stop(call, order, late) => self.target_stop(call, &order, late),

            Happening::Hold(call, order) => self.target_hold(call, order),
            Happening::HoldOver(call) => self.hold_over(call),
            Happening::Started(call, key, reply) => {
                self.answer_agent(call, runner::Event::StartAnswered(key, reply));
            }
            Happening::Stopped(call, key, reply) => {
                self.answer_agent(call, runner::Event::StopAnswered(key, reply));
            }
            Happening::Held(call, order, reply) => {
                self.answer_agent(call, runner::Event::HoldAnswered(order.target, reply));
            }
            Happening::Targets => self.pass_targets(),
            Happening::Beat(agent) => self.beat(agent),
            Happening::LateReport(agent, report) => self.report(agent, report),
            Happening::Dial(agent, entry) => self.dial(agent, entry),
            Happening::CutOff(agent, span) => {
                let until = self.now + span;
                (0..self.entries.len()).for_each(|entry| {
                    self.cuts.insert((entry, agent), until);
                });
            }
            Happening::OrderHall(hall, takes_work) => self.order_hall(hall, takes_work),
            Happening::HallsTold { is_entry, number, emptied } => {
                self.halls_told(is_entry, number, emptied);
            }
            Happening::Choose(agent, all) => self.choose(agent, all),
            Happening::Cancel(id) => self.cancel(&id),
            Happening::CancelTold(entry, life, job) => self.cancel_told(entry, life, job),
            Happening::Submit(id) => self.submit(&id),
            Happening::Unread(entry, life, ticket, request) => {
                let frozen = self.entries[entry].frozen;
                if frozen > self.now {
                    self.at_time(frozen, Happening::Unread(entry, life, ticket, request));
                } else if self.entries[entry].life == life {
                    self.feed_entry(entry, dispatch::Event::Submit(ticket, request));
                }
            }
            Happening::Gone(entry, life, ticket) => {
                let frozen = self.entries[entry].frozen;
                if frozen > self.now {
                    self.at_time(frozen, Happening::Gone(entry, life, ticket));
                } else if self.entries[entry].life == life {
                    self.feed_entry(entry, dispatch::Event::Abandon(ticket));
                }
            }
            Happening::GiveUp(id, tries) => self.give_up(&id, tries),
            Happening::Fault(fault) => self.strike(fault),
            Happening::EntryBack(entry) => {
                let process = &mut self.entries[entry];
                process.life += 1;
                process.fetch = DocumentFetch::default();
                let dispatcher = Dispatcher::new(self.times.entry, self.now);
                process.dispatcher = Some(dispatcher.with_policy(self.times.policy));
                let life = process.life;
                self.at(Duration::ZERO, Happening::EntryTick(entry, life));
                self.tell_halls_soon(true, entry);
            }
            Happening::AgentBack(agent) => {
                let process = &mut self.agents[agent];
                process.life += 1;
                process.waiting = None;
                let name = NodeName::new(&format!("agent-{agent}"));
                process.runner = Some(Runner::new(name, self.times.agent, self.now));
                let life = process.life;
                self.at(Duration::ZERO, Happening::AgentTick(agent, life));
                self.tell_halls_soon(false, agent);
                if let Some(document) = self.document.clone() {
                    self.feed_agent(agent, runner::Event::Document(document));
                }
            }
            Happening::TargetBack(agent) => {
                // Where it crashed once more while it was down, this life takes the place of the one before.
                self.checks.crashed(self.agents[agent].target.as_ref());
                let process = &mut self.agents[agent];
                process.target_lives += 1;
                process.drains = None;
                let name = format!("t{agent}");
                let (life, capacity) = (process.target_lives, process.capacity);
                let hall = self.halls.as_ref().map_or(ONE_HALL, |_| Halls::of_agent(agent));
                let id = match &self.restless {
                    Some(_) => TargetInstance {
                        id: name.into(),
                        started_ms: Some(self.now.as_micros() / 1_000),
                    },
                    None => TargetInstance::from_id(format!("{name}#{life}")),
                };
                let mut target = Target::new(id, capacity, process.slow_clock, self.now);
                target.hall = hall;
                if let Some(restless) = &self.restless {
                    target.guards_room = restless.guards_room(agent);
                }
                process.target = Some(target);
                process.waiting = None;
            }
            Happening::NoListener(agent, life, target) => self.no_listener(agent, life, target),
            Happening::Resize(agent, percent) => self.resize(agent, percent),
            Happening::CrashUnder(agent, life) => self.crash_under(agent, &life),
            Happening::MannerOver(agent) => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.manner = Manner::Sound;
                }
            }
            Happening::MuteOver(agent) => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.mute = false;
                }
            }
        }
    }
}
