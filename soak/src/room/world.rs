//! The world of one run: processes, targets, clients, and what passes between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch::{Dispatcher, JobRequest, Outcome, Ticket};
use model::{JobId, NodeName, Resources, TaskId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runner::{HoldOrder, HoldReply, RunKey, Runner, StartOrder, StartReply, StopOrder, StopReply};

use super::RoomTimes;
use super::checks::{Checks, RoomSummary};
use super::client::{Client, RESEND, TRIES};
use super::faults::Fault;
use super::link::{Parcel, Session};
use super::target::{Manner, Target};
use crate::checks::Violation;
use crate::world::Options;

const START: Time = Time::from_millis(1_000_000);
/// Faults and jobs come for so long,
const TROUBLED: Duration = Duration::from_secs(8);
/// and jobs alone from then
const CALM_FROM: Duration = Duration::from_millis(13_500);
/// until then.
const CALM_TO: Duration = Duration::from_millis(15_500);
/// All has to be over by then.
const END: Duration = Duration::from_secs(24);
/// How long an order may take to be answered.
const ORDER_TIME: Duration = Duration::from_millis(70);
const HOLD_SLACK: Duration = Duration::from_millis(200);
const TARGET_TICK: Duration = Duration::from_millis(5);
const BEAT: Duration = Duration::from_millis(500);
const DIAL: Duration = Duration::from_millis(120);

/// What happens next.
enum Happening {
    EntryTick(usize, u64),
    AgentTick(usize, u64),
    Parcel(usize, Parcel),
    Start(Call, StartOrder, bool),
    Stop(Call, StopOrder, bool),
    Hold(Call, HoldOrder),
    HoldOver(Call),
    Started(Call, RunKey, StartReply),
    Stopped(Call, RunKey, StopReply),
    Held(Call, HoldOrder, HoldReply),
    Targets,
    Beat(usize),
    Dial(usize, usize),
    Submit(JobId),
    Unread(usize, u64, Ticket, JobRequest),
    Gone(usize, u64, Ticket),
    GiveUp(JobId, u32),
    Fault(Fault),
    EntryBack(usize),
    AgentBack(usize),
    TargetBack(usize),
    MannerOver(usize),
    MuteOver(usize),
}

/// An order of one life of an agent; it is answered once, or not in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Call {
    agent: usize,
    life: u64,
    number: u64,
}

struct EntryProcess {
    dispatcher: Option<Dispatcher>,
    life: u64,
    frozen: Time,
    sessions: BTreeMap<u64, usize>,
    jobs: BTreeMap<Ticket, JobId>,
    next: u64,
}

struct AgentProcess {
    runner: Option<Runner>,
    life: u64,
    frozen: Time,
    target: Option<Target>,
    target_lives: u64,
    capacity: Resources,
    slow_clock: bool,
    sessions: BTreeMap<u64, usize>,
    next: u64,
    /// When the agent heard that its target leaves.
    drains: Option<Time>,
    /// The hold that waits at the target.
    waiting: Option<(Call, HoldOrder)>,
}

pub(super) struct World {
    now: Time,
    rng: ChaCha8Rng,
    happenings: BTreeMap<(Time, u64), Happening>,
    sequence: u64,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentProcess>,
    sessions: Vec<Session>,
    cuts: BTreeMap<(usize, usize), Time>,
    clients: BTreeMap<JobId, Client>,
    checks: Checks,
    calls: BTreeSet<u64>,
    trace: Option<String>,
    times: RoomTimes,
}

impl World {
    pub fn new(options: &Options, times: RoomTimes) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let entries = rng.random_range(2..=3);
        let agents = rng.random_range(3..=6);
        let mut world = Self {
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
            trace: options.trace.clone(),
            times,
        };
        for _ in 0..entries {
            world.entries.push(EntryProcess {
                dispatcher: None,
                life: 0,
                frozen: START,
                sessions: BTreeMap::new(),
                jobs: BTreeMap::new(),
                next: 0,
            });
        }
        for _ in 0..agents {
            let cpu_milli = world.rng.random_range(8_000..24_000);
            let capacity = Resources { cpu_milli, memory_mb: 32_768, gpu: 0 };
            let slow_clock = world.rng.random_bool(0.3);
            world.agents.push(AgentProcess {
                runner: None,
                life: 0,
                frozen: START,
                target: None,
                target_lives: 0,
                capacity,
                slow_clock,
                sessions: BTreeMap::new(),
                next: 0,
                drains: None,
                waiting: None,
            });
        }
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for entry in 0..self.entries.len() {
            self.at(Duration::ZERO, Happening::EntryBack(entry));
        }
        for agent in 0..self.agents.len() {
            self.at(Duration::ZERO, Happening::TargetBack(agent));
            self.at(Duration::ZERO, Happening::AgentBack(agent));
            self.at(Duration::from_millis(10), Happening::Beat(agent));
            for entry in 0..self.entries.len() {
                self.at(Duration::from_millis(5), Happening::Dial(agent, entry));
            }
        }
        self.at(TARGET_TICK, Happening::Targets);
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
    }

    /// Runs to the end.
    pub fn run(mut self) -> Result<RoomSummary, Vec<Violation>> {
        let end = START + END;
        while let Some(((time, _), happening)) = self.happenings.pop_first() {
            if time > end {
                break;
            }
            self.now = time;
            self.happen(happening);
        }
        self.check_end();
        match self.checks.violations.is_empty() {
            true => Ok(self.checks.summary),
            false => Err(self.checks.violations),
        }
    }

    fn check_end(&mut self) {
        let now = self.now;
        let mut wrong = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let active = entry.dispatcher.as_ref().map_or(0, Dispatcher::active);
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

    fn at(&mut self, after: Duration, happening: Happening) {
        self.at_time(self.now + after, happening);
    }

    fn at_time(&mut self, time: Time, happening: Happening) {
        self.sequence += 1;
        self.happenings.insert((time, self.sequence), happening);
    }

    fn hop(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..2_500))
    }

    fn note(&self, text: impl FnOnce() -> String) {
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
            Happening::Start(call, order, late) => self.target_start(call, order, late),

            Happening::Stop(call, order, late) => self.target_stop(call, &order, late),

            Happening::Hold(call, order) => self.target_hold(call, order),
            Happening::HoldOver(call) => self.hold_over(call),
            Happening::Started(call, key, reply) => {
                self.answer_agent(call, runner::Event::Started(key, reply));
            }
            Happening::Stopped(call, key, reply) => {
                self.answer_agent(call, runner::Event::Stopped(key, reply));
            }
            Happening::Held(call, order, reply) => {
                self.answer_agent(call, runner::Event::Held(order.target, reply));
            }
            Happening::Targets => self.pass_targets(),
            Happening::Beat(agent) => self.beat(agent),
            Happening::Dial(agent, entry) => self.dial(agent, entry),
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
                process.dispatcher = Some(Dispatcher::new(self.times.entry, self.now));
                let life = process.life;
                self.at(Duration::ZERO, Happening::EntryTick(entry, life));
            }
            Happening::AgentBack(agent) => {
                let process = &mut self.agents[agent];
                process.life += 1;
                process.waiting = None;
                let name = NodeName::new(&format!("agent-{agent}"));
                process.runner = Some(Runner::new(name, self.times.agent, self.now));
                let life = process.life;
                self.at(Duration::ZERO, Happening::AgentTick(agent, life));
            }
            Happening::TargetBack(agent) => {
                let process = &mut self.agents[agent];
                process.target_lives += 1;
                process.drains = None;
                let name = format!("t{agent}");
                let (life, capacity) = (process.target_lives, process.capacity);
                let target = Target::new(&name, life, capacity, process.slow_clock, self.now);
                process.target = Some(target);
                process.waiting = None;
            }
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

    fn feed_entry(&mut self, entry: usize, event: dispatch::Event) {
        let process = &mut self.entries[entry];
        let Some(dispatcher) = &mut process.dispatcher else { return };
        let mut actions = Vec::new();
        dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.note(|| format!("entry {entry}: {action:?}"));
            match action {
                dispatch::Action::Send(id, message) => {
                    if let Some(session) = self.entries[entry].sessions.get(&id.0).copied() {
                        self.send(session, Parcel::ToAgent(message));
                    }
                }
                dispatch::Action::Close(id) => {
                    if let Some(session) = self.entries[entry].sessions.remove(&id.0) {
                        self.close_at_entry(session);
                    }
                }
                dispatch::Action::Answer(ticket, outcome) => self.answer(entry, ticket, outcome),
                dispatch::Action::News(_) => {}
            }
        }
    }

    fn feed_agent(&mut self, agent: usize, event: runner::Event) {
        let process = &mut self.agents[agent];
        let Some(runner) = &mut process.runner else { return };
        let mut actions = Vec::new();
        runner.handle(self.now, event, &mut actions);
        let life = process.life;
        for action in actions {
            self.note(|| format!("agent {agent}: {action:?}"));
            match action {
                runner::Action::Send(id, message) => {
                    if let Some(session) = self.agents[agent].sessions.get(&id.0).copied() {
                        self.send(session, Parcel::ToEntry(message));
                    }
                }
                runner::Action::Close(id) => {
                    if let Some(session) = self.agents[agent].sessions.remove(&id.0) {
                        self.close_at_agent(session);
                    }
                }
                runner::Action::Start(order) => {
                    let (hop, late) = self.order_time(agent);
                    let call = self.call(agent, life);
                    self.at(hop, Happening::Start(call, order.clone(), late));
                    let silent = Happening::Started(call, order.key, StartReply::Silent);
                    self.at(ORDER_TIME, silent);
                }
                runner::Action::Stop(order) => {
                    let (hop, late) = self.order_time(agent);
                    let call = self.call(agent, life);
                    self.at(hop, Happening::Stop(call, order.clone(), late));
                    let silent = Happening::Stopped(call, order.key, StopReply::Silent);
                    self.at(ORDER_TIME, silent);
                }
                runner::Action::Hold(order) => {
                    let (hop, late) = self.order_time(agent);
                    let call = self.call(agent, life);
                    if !late {
                        self.at(hop, Happening::Hold(call, order.clone()));
                    }
                    let time = order.wait + HOLD_SLACK;
                    self.at(time, Happening::Held(call, order, HoldReply::Silent));
                }
                runner::Action::News(_) => {}
            }
        }
    }

    /// How long an order takes to the target, and whether it is carried out late, unanswered.
    fn order_time(&mut self, agent: usize) -> (Duration, bool) {
        let mute = self.agents[agent].target.as_ref().is_some_and(|target| target.mute);
        if mute && self.rng.random_bool(0.6) {
            (Duration::from_millis(self.rng.random_range(2_000..9_000)), true)
        } else {
            (Duration::from_micros(self.rng.random_range(200..1_500)), false)
        }
    }

    fn call(&mut self, agent: usize, life: u64) -> Call {
        self.sequence += 1;
        self.calls.insert(self.sequence);
        Call { agent, life, number: self.sequence }
    }

    /// An answer, or its absence, reaches the agent; the first that comes counts.
    fn answer_agent(&mut self, call: Call, event: runner::Event) {
        if !self.calls.contains(&call.number) {
            return;
        }
        let process = &self.agents[call.agent];
        if process.life == call.life && process.frozen > self.now {
            let until = process.frozen;
            let again = match event {
                runner::Event::Started(key, reply) => Happening::Started(call, key, reply),
                runner::Event::Stopped(key, reply) => Happening::Stopped(call, key, reply),
                runner::Event::Held(target, reply) => {
                    let (deadline_ms, wait) = (None, Duration::ZERO);
                    let order =
                        HoldOrder { target, deadline_ms, fencing_token: 0, last_seen: 0, wait };
                    Happening::Held(call, order, reply)
                }
                _ => return,
            };
            return self.at_time(until, again);
        }
        self.calls.remove(&call.number);
        if process.life == call.life {
            self.feed_agent(call.agent, event);
        }
    }

    fn target_start(&mut self, call: Call, order: StartOrder, late: bool) {
        let agent = call.agent;
        let Some((work, fails, resources)) = self.work_of(&order.key.task) else { return };
        let now = self.now;
        let Some(target) = &mut self.agents[agent].target else { return };
        let (reply, began) = target.start(now, &order, resources, work, fails);
        if matches!(reply, StartReply::Refused { reason: runner::StartRefusal::Room, .. }) {
            self.checks.summary.no_room += 1;
        }
        if began {
            let task = &order.key.task;
            let elsewhere = self.agents.iter().enumerate().any(|(other, process)| {
                other != agent
                    && process.target.as_ref().is_some_and(|target| target.running().contains(task))
            });
            let drains = self.agents[agent].drains;
            self.note(|| format!("target {agent} starts {task}"));
            self.checks.started(now, task, elsewhere, drains);
        }
        if !late {
            let hop = self.hop();
            self.at(hop, Happening::Started(call, order.key, reply));
        }
    }

    fn work_of(&self, task: &TaskId) -> Option<(Duration, bool, Resources)> {
        let client = self.clients.get(&task.job)?;
        let (work, fails) = *client.work.get(task.index as usize)?;
        Some((work, fails, client.request.shape.resources))
    }

    fn target_stop(&mut self, call: Call, order: &StopOrder, late: bool) {
        let agent = call.agent;
        let now = self.now;
        let Some(target) = &mut self.agents[agent].target else { return };
        let reply = target.stop(now, order);
        if !late {
            let hop = self.hop();
            self.at(hop, Happening::Stopped(call, order.key.clone(), reply));
        }
    }

    fn target_hold(&mut self, call: Call, order: HoldOrder) {
        let agent = call.agent;
        let now = self.now;
        let Some(target) = &mut self.agents[agent].target else { return };
        match target.hold(now, &order, false) {
            Some(reply) => {
                let hop = self.hop();
                self.at(hop, Happening::Held(call, order, reply));
            }
            None => {
                let wait = order.wait;
                self.agents[agent].waiting = Some((call, order));
                self.at(wait, Happening::HoldOver(call));
            }
        }
    }

    fn hold_over(&mut self, call: Call) {
        let waits = |(waiting, _): &(Call, HoldOrder)| *waiting == call;
        if self.agents[call.agent].waiting.as_ref().is_some_and(waits) {
            self.answer_hold(call.agent);
        }
    }

    fn answer_hold(&mut self, agent: usize) {
        let now = self.now;
        let Some((call, order)) = self.agents[agent].waiting.take() else { return };
        let Some(target) = &mut self.agents[agent].target else { return };
        if let Some(reply) = target.hold(now, &order, true) {
            let hop = self.hop();
            self.at(hop, Happening::Held(call, order, reply));
        }
    }

    fn pass_targets(&mut self) {
        let now = self.now;
        for agent in 0..self.agents.len() {
            let Some(target) = &mut self.agents[agent].target else { continue };
            let ended = target.pass(now);
            for end in &ended {
                self.note(|| format!("target {agent}: {} ends {:?}", end.task, end.reason));
                self.checks.ended(&end.task, end.reason);
            }
            if !ended.is_empty() {
                self.answer_hold(agent);
            }
        }
        self.at(TARGET_TICK, Happening::Targets);
    }

    fn beat(&mut self, agent: usize) {
        let now = self.now;
        let process = &mut self.agents[agent];
        let report = process.target.as_ref().map(|target| target.report(now));
        let awake = process.runner.is_some() && process.frozen <= now;
        if let Some(report) = report.filter(|_| awake) {
            if report.draining {
                process.drains.get_or_insert(now);
            }
            self.feed_agent(agent, runner::Event::Target(report));
        }
        self.at(BEAT, Happening::Beat(agent));
    }

    fn dial(&mut self, agent: usize, entry: usize) {
        self.at(DIAL, Happening::Dial(agent, entry));
        let now = self.now;
        let is_up = self.entries[entry].dispatcher.is_some()
            && self.agents[agent].runner.is_some()
            && self.entries[entry].frozen <= now
            && self.agents[agent].frozen <= now;
        let cut = self.cuts.get(&(entry, agent)).is_some_and(|until| *until > now);
        let connected = self.agents[agent]
            .sessions
            .values()
            .any(|session| self.sessions[*session].entry == entry);
        if !is_up || cut || connected {
            return;
        }
        let number = self.sessions.len();
        self.sessions.push(Session {
            entry,
            agent,
            open_at_entry: true,
            open_at_agent: true,
            last_to_entry: now,
            last_to_agent: now,
        });
        self.entries[entry].next += 1;
        self.agents[agent].next += 1;
        let (at_entry, at_agent) = (self.entries[entry].next, self.agents[agent].next);
        self.entries[entry].sessions.insert(at_entry, number);
        self.agents[agent].sessions.insert(at_agent, number);
        self.feed_entry(entry, dispatch::Event::AgentOpened(dispatch::SessionId(at_entry)));
        self.feed_agent(agent, runner::Event::SessionOpened(runner::SessionId(at_agent)));
    }

    /// Sends in a session: in order, and not before a cut is over.
    fn send(&mut self, number: usize, parcel: Parcel) {
        let hop = self.hop();
        let session = self.sessions[number];
        let cut = self.cuts.get(&(session.entry, session.agent)).copied().unwrap_or_default();
        let to_agent = matches!(parcel, Parcel::ToAgent(_) | Parcel::CloseAtAgent);
        let session = &mut self.sessions[number];
        let last = if to_agent { &mut session.last_to_agent } else { &mut session.last_to_entry };
        let arrives = (self.now.max(cut) + hop).max(*last);
        *last = arrives;
        self.at_time(arrives, Happening::Parcel(number, parcel));
    }

    fn close_at_entry(&mut self, number: usize) {
        self.sessions[number].open_at_entry = false;
        self.send(number, Parcel::CloseAtAgent);
    }

    fn close_at_agent(&mut self, number: usize) {
        self.sessions[number].open_at_agent = false;
        self.send(number, Parcel::CloseAtEntry);
    }

    fn deliver(&mut self, number: usize, parcel: Parcel) {
        let Session { entry, agent, open_at_entry, open_at_agent, .. } = self.sessions[number];
        let to_agent = matches!(parcel, Parcel::ToAgent(_) | Parcel::CloseAtAgent);
        let frozen = if to_agent { self.agents[agent].frozen } else { self.entries[entry].frozen };
        if frozen > self.now {
            return self.at_time(frozen, Happening::Parcel(number, parcel));
        }
        let find = |sessions: &BTreeMap<u64, usize>| {
            sessions.iter().find(|(_, session)| **session == number).map(|(id, _)| *id)
        };
        match parcel {
            Parcel::ToAgent(message) if open_at_agent => {
                let Some(id) = find(&self.agents[agent].sessions) else { return };
                let event = runner::Event::FromEntry(runner::SessionId(id), message);
                self.feed_agent(agent, event);
            }
            Parcel::ToEntry(message) if open_at_entry => {
                let Some(id) = find(&self.entries[entry].sessions) else { return };
                let event = dispatch::Event::FromAgent(dispatch::SessionId(id), message);
                self.feed_entry(entry, event);
            }
            Parcel::CloseAtAgent if open_at_agent => {
                self.sessions[number].open_at_agent = false;
                let Some(id) = find(&self.agents[agent].sessions) else { return };
                self.agents[agent].sessions.remove(&id);
                self.feed_agent(agent, runner::Event::SessionClosed(runner::SessionId(id)));
            }
            Parcel::CloseAtEntry if open_at_entry => {
                self.sessions[number].open_at_entry = false;
                let Some(id) = find(&self.entries[entry].sessions) else { return };
                self.entries[entry].sessions.remove(&id);
                self.feed_entry(entry, dispatch::Event::AgentClosed(dispatch::SessionId(id)));
            }
            _ => {}
        }
    }

    fn submit(&mut self, id: &JobId) {
        let entry = self.rng.random_range(0..self.entries.len());
        let Some(client) = self.clients.get_mut(id) else { return };
        client.tries += 1;
        let tries = client.tries;
        let process = &mut self.entries[entry];
        if process.dispatcher.is_none() {
            // No connection: it tries again.
            if tries < TRIES {
                self.at(RESEND, Happening::Submit(id.clone()));
            }
            return;
        }
        process.next += 1;
        let ticket = process.next;
        process.jobs.insert(Ticket(ticket), id.clone());
        client.at = Some((entry, ticket));
        let request = client.request.clone();
        self.checks.submitted(self.now, id, request.shape.count, request.max_attempts);
        self.at(request.deadline, Happening::GiveUp(id.clone(), tries));
        let frozen = self.entries[entry].frozen;
        if frozen > self.now {
            // It lies unread for so long.
            let life = self.entries[entry].life;
            return self.at_time(frozen, Happening::Unread(entry, life, Ticket(ticket), request));
        }
        self.feed_entry(entry, dispatch::Event::Submit(Ticket(ticket), request));
    }

    /// The client's time is over.
    fn give_up(&mut self, id: &JobId, tries: u32) {
        let Some(client) = self.clients.get_mut(id).filter(|client| client.tries == tries) else {
            return;
        };
        let Some((entry, ticket)) = client.at.take() else { return };
        let process = &mut self.entries[entry];
        process.jobs.remove(&Ticket(ticket));
        let (frozen, life) = (process.frozen, process.life);
        let seen = frozen.max(self.now);
        self.at_time(seen, Happening::Gone(entry, life, Ticket(ticket)));
        self.send_again(id);
    }

    fn send_again(&mut self, id: &JobId) {
        let tries = self.clients.get(id).map_or(TRIES, |client| client.tries);
        if tries < TRIES {
            self.at(RESEND, Happening::Submit(id.clone()));
        }
    }

    fn answer(&mut self, entry: usize, ticket: Ticket, outcome: Outcome) {
        let Some(id) = self.entries[entry].jobs.remove(&ticket) else { return };
        let now = self.now;
        self.checks.answered(now, &id, outcome);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.at = None;
        let calm = client.calm && now.since(client.first) < client.request.deadline;
        match outcome {
            Outcome::Completed if calm => self.checks.summary.calm += 1,
            Outcome::MayHaveRun(_) => self.send_again(&id),
            _ => {}
        }
    }

    fn strike(&mut self, fault: Fault) {
        self.checks.summary.faults += 1;
        self.note(|| format!("fault {fault:?}"));
        match fault {
            Fault::KillEntry { entry, down, silent } => self.kill_entry(entry, down, silent),
            Fault::KillAgent { agent, down } => self.kill_agent(agent, down),
            Fault::FreezeEntry { entry, span } => {
                let until = self.now + span;
                let frozen = &mut self.entries[entry].frozen;
                *frozen = until.max(*frozen);
            }
            Fault::FreezeAgent { agent, span } => {
                let until = self.now + span;
                let frozen = &mut self.agents[agent].frozen;
                *frozen = until.max(*frozen);
            }
            Fault::CrashTarget { agent, down } => {
                self.agents[agent].target = None;
                self.at(down, Happening::TargetBack(agent));
            }
            Fault::Cut { entry, agent, span } => {
                self.cuts.insert((entry, agent), self.now + span);
            }
            Fault::Reset { entry, agent } => self.reset(entry, agent),
            Fault::Manner { agent, manner, span } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.manner = manner;
                    self.at(span, Happening::MannerOver(agent));
                }
            }
            Fault::Mute { agent, span } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.mute = true;
                    self.at(span, Happening::MuteOver(agent));
                }
            }
            Fault::Leave { agent, span } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.draining = true;
                }
                let down = Duration::from_millis(500);
                self.at(
                    span + Duration::from_secs(1),
                    Happening::Fault(Fault::CrashTarget { agent, down }),
                );
            }
        }
    }

    fn kill_entry(&mut self, entry: usize, down: Duration, silent: bool) {
        let process = &mut self.entries[entry];
        if process.dispatcher.take().is_none() {
            return;
        }
        process.life += 1;
        process.frozen = self.now;
        let sessions = std::mem::take(&mut process.sessions);
        let jobs: BTreeSet<JobId> = std::mem::take(&mut process.jobs).into_values().collect();
        for session in sessions.into_values() {
            self.sessions[session].open_at_entry = false;
            if !silent {
                self.send(session, Parcel::CloseAtAgent);
            }
        }
        for id in jobs {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if client.at.take().is_some() {
                self.send_again(&id);
            }
        }
        self.at(down, Happening::EntryBack(entry));
    }

    fn kill_agent(&mut self, agent: usize, down: Duration) {
        let process = &mut self.agents[agent];
        if process.runner.take().is_none() {
            return;
        }
        process.life += 1;
        process.frozen = self.now;
        let sessions = std::mem::take(&mut process.sessions);
        for session in sessions.into_values() {
            self.sessions[session].open_at_agent = false;
            self.send(session, Parcel::CloseAtEntry);
        }
        self.at(down, Happening::AgentBack(agent));
    }

    fn reset(&mut self, entry: usize, agent: usize) {
        let find = |session: &Session| session.entry == entry && session.agent == agent;
        let Some(number) = self.sessions.iter().rposition(find) else { return };
        self.send(number, Parcel::CloseAtAgent);
        self.send(number, Parcel::CloseAtEntry);
    }
}
