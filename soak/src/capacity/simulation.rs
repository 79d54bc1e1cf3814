//! The state of a run, its event queue, and the dispatch of events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dispatch::{CallId, Dispatcher};
use keeper::DocumentFetch;
use model::{JobId, NodeName, Resources, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runner::{HoldCommand, Runner, TargetInstance};
use wire::Document;

use super::CapacityTiming;
use super::checks::{CapacitySummary, Checks};
use super::client::Client;
use super::entry_link::EntryLink;
use super::event::{Call, SimEvent};
use super::faults::Fault;
use super::halls::HallCommands;
use super::load_results::LoadStats;
use super::session::Session;
use super::subsets::EntrySubsets;
use super::target::{Behavior, MAX_LEASE, Target};
use super::uneven::Uneven;
use super::unstable_targets::UnstableTargets;
use crate::checks::Violation;
use crate::simulation::Options;

pub(super) const START: Time = Time::from_millis(1_000_000);
/// Period in which faults are injected.
pub(super) const FAULT_PERIOD: Duration = Duration::from_secs(8);
/// Start of the period without faults.
pub(super) const CALM_START: Duration = Duration::from_millis(13_500);
/// Time by which all jobs are submitted.
const CALM_END: Duration = Duration::from_millis(15_500);
/// End of the run, unless clients that have submitted again late still wait for an answer.
const RUN_END: Duration = Duration::from_secs(24);
/// Time after the last deadline in which nothing of the jobs may run any more.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Interval at which targets end the runs that are due.
pub(super) const TARGET_TICK: Duration = Duration::from_millis(5);
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The hall of all targets in runs without hall commands.
pub(super) const DEFAULT_HALL: &str = "hall";
pub(super) const DIAL_INTERVAL: Duration = Duration::from_millis(120);

/// Distinguishes the random choice of builds from the others of a seed.
const OLD_BUILD_SEED: u64 = 0x6F6C_6462_7569_6C64;

pub(super) struct EntryProcess {
    pub dispatcher: Option<Dispatcher>,
    pub incarnation: u64,
    pub paused_until: Time,
    /// Indexes of the open sessions, by their ids at the entry.
    pub sessions: BTreeMap<u64, usize>,
    /// Jobs of open requests.
    pub jobs: BTreeMap<CallId, JobId>,
    /// Last id of a session or a call.
    pub last_id: u64,
    /// `None` where messages take no transmission time.
    pub link: Option<EntryLink>,
    pub fetch: DocumentFetch,
}

pub(super) struct AgentProcess {
    pub runner: Option<Runner>,
    pub incarnation: u64,
    pub paused_until: Time,
    pub target: Option<Target>,
    /// Number of target instances that were started.
    pub target_instances: u64,
    pub capacity: Resources,
    pub slow_clock: bool,
    /// Indexes of the open sessions, by their ids at the agent.
    pub sessions: BTreeMap<u64, usize>,
    /// Last id of a session.
    pub last_id: u64,
    /// When the agent received the drain notice of its target.
    pub draining_since: Option<Time>,
    /// Run time of tasks at the target, relative to the usual one.
    pub speed_factor: f64,
    /// The target's labels.
    pub labels: Vec<Arc<str>>,
    /// The hold command that waits at the target.
    pub waiting_hold: Option<(Call, HoldCommand)>,
}

impl AgentProcess {
    /// The target, if it accepts commands.
    pub fn listening_target(&mut self) -> Option<&mut Target> {
        self.target.as_mut().filter(|target| !target.is_closed)
    }
}

pub(super) struct Simulation {
    pub(super) now: Time,
    pub(super) rng: ChaCha8Rng,
    pub(super) event_queue: BTreeMap<(Time, u64), SimEvent>,
    pub(super) sequence: u64,
    pub(super) entries: Vec<EntryProcess>,
    pub(super) agents: Vec<AgentProcess>,
    pub(super) sessions: Vec<Session>,
    /// When the link between an entry and an agent carries messages again.
    pub(super) cut_until: BTreeMap<(usize, usize), Time>,
    pub(super) clients: BTreeMap<JobId, Client>,
    pub(super) checks: Checks,
    /// Numbers of the calls without an answer.
    pub(super) open_calls: BTreeSet<u64>,
    pub(super) trace: Option<String>,
    pub(super) timing: CapacityTiming,
    pub(super) subsets: EntrySubsets,
    pub(super) load_stats: LoadStats,
    /// The configuration that agents have from the start.
    pub(super) document: Option<Document>,
    /// `None` in runs without hall commands.
    pub(super) halls: Option<HallCommands>,
    /// `None` in runs with stable targets.
    pub(super) unstable_targets: Option<UnstableTargets>,
    /// `None` in runs with equal targets and entries.
    pub(super) uneven: Option<Uneven>,
    /// Share of commands that targets leave unanswered and carry out late.
    pub(super) unanswered: f64,
    /// Factor on the run time of tasks at targets without the label that their job names.
    pub(super) remote_penalty: f64,
    /// How long after its first submission a client that is answered "not run" submits its job
    /// again; such clients don't return if `None`.
    pub(super) return_period: Option<Duration>,
    pub(super) old_builds: OldBuilds,
}

/// Entries and agents of a build that knows no reports of waiting work.
#[derive(Clone, Debug, Default)]
pub(super) struct OldBuilds {
    pub entries: BTreeSet<usize>,
    pub agents: BTreeSet<usize>,
}

impl OldBuilds {
    /// Draws the builds of a run: all new in half of the runs, and mixed in the others. Separate
    /// from the other random choices, so that these don't depend on the builds.
    fn draw(seed: u64, entries: usize, agents: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ OLD_BUILD_SEED);
        let share = if rng.random_bool(0.5) { 0.0 } else { 0.4 };
        let mut draw = |count| (0..count).filter(|_| rng.random_bool(share)).collect();
        Self { entries: draw(entries), agents: draw(agents) }
    }
}

impl Simulation {
    /// Creates the run of a seed: a small cluster with random faults and jobs.
    pub fn new(options: &Options, timing: CapacityTiming) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let entries = rng.random_range(2..=3);
        let agents = rng.random_range(3..=6);
        let subsets = EntrySubsets::new(options.seed, entries, agents);
        let mut simulation =
            Self { trace: options.trace.clone(), ..Self::empty(rng, timing, subsets) };
        (0..entries).for_each(|_| simulation.add_entry());
        for _ in 0..agents {
            let cpu_milli = simulation.rng.random_range(8_000..24_000);
            let slow_clock = simulation.rng.random_bool(0.3);
            simulation.add_agent(cpu_milli, slow_clock);
        }
        simulation.old_builds = OldBuilds::draw(options.seed, entries, agents);
        simulation.start_processes();
        simulation.schedule_faults_and_jobs();
        if options.halls {
            simulation.set_up_halls(options.seed);
        }
        if options.unstable_targets {
            simulation.timing.agent.max_lease = MAX_LEASE;
            simulation.set_up_unstable_targets(options.seed);
        }
        if options.uneven {
            simulation.set_up_uneven(options.seed);
        }
        if options.leaves {
            simulation.set_up_leaves(options.seed);
        }
        simulation
    }

    /// Creates a simulation without processes and clients.
    pub fn empty(rng: ChaCha8Rng, timing: CapacityTiming, subsets: EntrySubsets) -> Self {
        Self {
            now: START,
            rng,
            event_queue: BTreeMap::new(),
            sequence: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            sessions: Vec::new(),
            cut_until: BTreeMap::new(),
            clients: BTreeMap::new(),
            checks: Checks::default(),
            open_calls: BTreeSet::new(),
            trace: None,
            timing,
            subsets,
            load_stats: LoadStats::default(),
            document: None,
            halls: None,
            unstable_targets: None,
            uneven: None,
            unanswered: 0.0,
            remote_penalty: 1.0,
            return_period: None,
            old_builds: OldBuilds::default(),
        }
    }

    pub fn add_entry(&mut self) {
        self.entries.push(EntryProcess {
            dispatcher: None,
            incarnation: 0,
            paused_until: START,
            sessions: BTreeMap::new(),
            jobs: BTreeMap::new(),
            last_id: 0,
            link: None,
            fetch: DocumentFetch::default(),
        });
    }

    pub fn add_agent(&mut self, cpu_milli: u64, slow_clock: bool) {
        self.agents.push(AgentProcess {
            runner: None,
            incarnation: 0,
            paused_until: START,
            target: None,
            target_instances: 0,
            capacity: Resources { cpu_milli, memory_mb: 32_768, gpu: 0 },
            slow_clock,
            sessions: BTreeMap::new(),
            last_id: 0,
            draining_since: None,
            speed_factor: 1.0,
            labels: Vec::new(),
            waiting_hold: None,
        });
    }

    /// Starts all processes; agents connect to the entries that they may serve.
    pub fn start_processes(&mut self) {
        for entry in 0..self.entries.len() {
            self.schedule_after(Duration::ZERO, SimEvent::StartEntry(entry));
        }
        for agent in 0..self.agents.len() {
            self.schedule_after(Duration::ZERO, SimEvent::StartTarget(agent));
            self.schedule_after(Duration::ZERO, SimEvent::StartAgent(agent));
            self.schedule_after(Duration::from_millis(10), SimEvent::Heartbeat(agent));
            for entry in 0..self.entries.len() {
                if self.subsets.may_serve(agent, entry) {
                    self.schedule_after(Duration::from_millis(5), SimEvent::Dial(agent, entry));
                }
            }
        }
        self.schedule_after(TARGET_TICK, SimEvent::AdvanceTargets);
    }

    fn schedule_faults_and_jobs(&mut self) {
        let (entries, agents) = (self.entries.len(), self.agents.len());
        let faults = self.rng.random_range(0..14);
        for _ in 0..faults {
            let fault = Fault::draw(&mut self.rng, entries, agents);
            let after =
                Duration::from_millis(self.rng.random_range(500..FAULT_PERIOD.as_millis() as u64));
            self.schedule_after(after, SimEvent::Fault(fault));
        }
        let mut number = 0;
        for (from, to, after_faults) in [(300, 9_000, false), (0, 2_000, true)] {
            let base = if after_faults { CALM_START } else { Duration::ZERO };
            let count = if after_faults { 12 } else { self.rng.random_range(40..220) };
            for _ in 0..count {
                number += 1;
                let after = base + Duration::from_millis(self.rng.random_range(from..to));
                let client = Client::new(number, &mut self.rng, START + after, after_faults);
                let id = client.request.id.clone();
                self.clients.insert(id.clone(), client);
                self.schedule_after(after, SimEvent::Submit(id));
            }
        }
        debug_assert!(CALM_END > CALM_START);
        self.set_up_subsets();
    }

    /// Handles all events up to `end`; later ones stay scheduled.
    pub fn run_until(&mut self, end: Time) {
        while let Some(next) = self.event_queue.first_entry()
            && next.key().0 <= end
        {
            let ((time, _), event) = next.remove_entry();
            self.now = time;
            self.handle_event(event);
        }
    }

    /// Runs to the end and returns the counters, or the violations found.
    pub fn run(mut self) -> Result<CapacitySummary, Vec<Violation>> {
        self.run_until(START + RUN_END);
        while let Some(deadline) = self.latest_deadline() {
            self.run_until(deadline + SETTLE_TIME);
        }
        self.check_end();
        match self.checks.violations.is_empty() {
            true => Ok(self.checks.summary),
            false => Err(self.checks.violations),
        }
    }

    /// The latest deadline of the open requests that have not reached theirs.
    fn latest_deadline(&self) -> Option<Time> {
        let open = self.clients.values().filter(|client| client.pending_call.is_some());
        let deadlines = open.map(|client| client.last_submitted + client.request.deadline);
        deadlines.filter(|deadline| *deadline >= self.now).max()
    }

    fn check_end(&mut self) {
        self.check_halls_end();
        let now = self.now;
        let mut failures = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let active = entry.dispatcher.as_ref().map_or(0, Dispatcher::active_jobs);
            if active > 0 {
                failures.push(format!("entry {index} has {active} open jobs at the end"));
            }
        }
        for (index, agent) in self.agents.iter().enumerate() {
            let runs = agent.target.as_ref().map_or(0, |target| target.runs.len());
            let idle = agent.runner.as_ref().is_none_or(Runner::is_idle);
            if runs > 0 || !idle {
                failures.push(format!(
                    "agent {index} has {runs} runs at its target at the end, idle: {idle}"
                ));
            }
        }
        for client in self.clients.values().filter(|client| client.pending_call.is_some()) {
            failures.push(format!("job {} has no answer at the end", client.request.id));
        }
        failures.into_iter().for_each(|description| self.checks.violation(now, description));
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    pub(super) fn schedule_at(&mut self, time: Time, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.insert((time, self.sequence), event);
    }

    pub(super) fn network_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..2_500))
    }

    pub(super) fn trace_event(&self, text: impl FnOnce() -> String) {
        if let Some(wanted) = &self.trace {
            let text = text();
            if text.contains(wanted) {
                println!("{} {text}", self.now);
            }
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::EntryTick(entry, incarnation) => {
                let paused_until = self.entries[entry].paused_until;
                if paused_until > self.now {
                    self.schedule_at(paused_until, SimEvent::EntryTick(entry, incarnation));
                } else if self.entries[entry].incarnation == incarnation {
                    self.deliver_to_entry(entry, dispatch::Event::Tick);
                    let process = &self.entries[entry];
                    if let Some(dispatcher) = &process.dispatcher {
                        let due = dispatcher.next_timer(self.now.max(process.paused_until));
                        self.schedule_at(due, SimEvent::EntryTick(entry, incarnation));
                    }
                }
            }
            SimEvent::AgentTick(agent, incarnation) => {
                let paused_until = self.agents[agent].paused_until;
                if paused_until > self.now {
                    self.schedule_at(paused_until, SimEvent::AgentTick(agent, incarnation));
                } else if self.agents[agent].incarnation == incarnation {
                    self.deliver_to_agent(agent, runner::Event::Tick);
                    let process = &self.agents[agent];
                    if let Some(runner) = &process.runner {
                        let due = runner.next_timer(self.now.max(process.paused_until));
                        self.schedule_at(due, SimEvent::AgentTick(agent, incarnation));
                    }
                }
            }
            SimEvent::Packet(session, packet) => self.deliver_packet(session, packet),
            SimEvent::SegmentSent(entry) => self.link_segment_sent(entry),
            SimEvent::PartTimeout(entry, incarnation) => self.part_timed_out(entry, incarnation),
            SimEvent::Start(call, command, late) => self.start_at_target(call, command, late),
            SimEvent::Stop(call, command, late) => self.stop_at_target(call, &command, late),
            SimEvent::Hold(call, command) => self.hold_at_target(call, command),
            SimEvent::HoldTimeout(call) => self.hold_timed_out(call),
            SimEvent::StartAnswered(call, key, reply) => {
                self.deliver_answer(call, runner::Event::StartAnswered(key, reply));
            }
            SimEvent::StopAnswered(call, key, reply) => {
                self.deliver_answer(call, runner::Event::StopAnswered(key, reply));
            }
            SimEvent::HoldAnswered(call, command, reply) => {
                self.deliver_answer(call, runner::Event::HoldAnswered(command.target, reply));
            }
            SimEvent::AdvanceTargets => self.advance_targets(),
            SimEvent::Heartbeat(agent) => self.send_heartbeat(agent),
            SimEvent::DelayedReport(agent, report) => self.deliver_report(agent, report),
            SimEvent::Dial(agent, entry) => self.dial(agent, entry),
            SimEvent::DisconnectAgent(agent, duration) => {
                let until = self.now + duration;
                (0..self.entries.len()).for_each(|entry| {
                    self.cut_until.insert((entry, agent), until);
                });
            }
            SimEvent::HallCommand(hall, takes_work) => self.apply_hall_command(hall, takes_work),
            SimEvent::HallNotice { is_entry, number, emptied } => {
                self.deliver_hall_notice(is_entry, number, emptied);
            }
            SimEvent::ChangeSubset(agent, all) => self.change_subset(agent, all),
            SimEvent::Cancel(id) => self.cancel_job(&id),
            SimEvent::CancelNotice(entry, incarnation, job) => {
                self.deliver_cancel(entry, incarnation, job)
            }
            SimEvent::Submit(id) => self.submit_job(&id),
            SimEvent::QueuedSubmit(entry, incarnation, call_id, request) => {
                let paused_until = self.entries[entry].paused_until;
                if paused_until > self.now {
                    self.schedule_at(
                        paused_until,
                        SimEvent::QueuedSubmit(entry, incarnation, call_id, request),
                    );
                } else if self.entries[entry].incarnation == incarnation {
                    self.deliver_to_entry(entry, dispatch::Event::Submit(call_id, request));
                }
            }
            SimEvent::ClientDisconnected(entry, incarnation, call_id) => {
                let paused_until = self.entries[entry].paused_until;
                if paused_until > self.now {
                    self.schedule_at(
                        paused_until,
                        SimEvent::ClientDisconnected(entry, incarnation, call_id),
                    );
                } else if self.entries[entry].incarnation == incarnation {
                    self.deliver_to_entry(entry, dispatch::Event::ClientDisconnected(call_id));
                }
            }
            SimEvent::ClientTimeout(id, tries) => self.client_timed_out(&id, tries),
            SimEvent::Fault(fault) => self.inject_fault(fault),
            SimEvent::StartEntry(entry) => {
                let process = &mut self.entries[entry];
                process.incarnation += 1;
                process.fetch = DocumentFetch::default();
                let dispatcher = Dispatcher::new(self.timing.entry, self.now);
                let dispatcher = dispatcher.with_policy(self.timing.policy);
                process.dispatcher = Some(dispatcher.with_remote_penalty(self.remote_penalty));
                let incarnation = process.incarnation;
                self.schedule_after(Duration::ZERO, SimEvent::EntryTick(entry, incarnation));
                self.schedule_hall_notice(true, entry);
            }
            SimEvent::StartAgent(agent) => {
                let process = &mut self.agents[agent];
                process.incarnation += 1;
                process.waiting_hold = None;
                let name = NodeName::new(&format!("agent-{agent}"));
                process.runner = Some(Runner::new(name, self.timing.agent, self.now));
                let incarnation = process.incarnation;
                self.schedule_after(Duration::ZERO, SimEvent::AgentTick(agent, incarnation));
                self.schedule_hall_notice(false, agent);
                if let Some(document) = self.document.clone() {
                    self.deliver_to_agent(agent, runner::Event::Document(document));
                }
            }
            SimEvent::StartTarget(agent) => {
                // Two crashes in one downtime schedule two starts. The second one replaces a
                // running instance, which counts as a crash.
                self.checks.target_crashed(self.agents[agent].target.as_ref());
                self.redraw_speed(agent);
                let process = &mut self.agents[agent];
                process.target_instances += 1;
                process.draining_since = None;
                let name = format!("t{agent}");
                let (instance, capacity) = (process.target_instances, process.capacity);
                let labels = process.labels.clone();
                let hall =
                    self.halls.as_ref().map_or(DEFAULT_HALL, |_| HallCommands::of_agent(agent));
                let id = match &self.unstable_targets {
                    Some(_) => TargetInstance {
                        id: name.into(),
                        started_ms: Some(self.now.as_micros() / 1_000),
                    },
                    None => TargetInstance::from_id(format!("{name}#{instance}")),
                };
                let mut target = Target::new(id, capacity, process.slow_clock, self.now);
                target.hall = hall;
                target.labels = labels;
                if let Some(unstable) = &self.unstable_targets {
                    target.enforces_capacity = unstable.enforces_capacity(agent);
                }
                process.target = Some(target);
                process.waiting_hold = None;
            }
            SimEvent::NoListener(agent, incarnation, target) => {
                self.deliver_no_listener(agent, incarnation, target)
            }
            SimEvent::SetSpeed(agent, factor) => self.agents[agent].speed_factor = factor,
            SimEvent::Resize(agent, percent) => self.resize_target(agent, percent),
            SimEvent::CrashTarget(agent, instance) => self.crash_target(agent, &instance),
            SimEvent::Leave(leave, step) => self.leave(leave, step),
            SimEvent::Deregistration(agent, instance) => {
                self.deliver_deregistration(agent, instance)
            }
            SimEvent::RestoreBehavior(agent) => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.behavior = Behavior::Normal;
                }
            }
            SimEvent::RestoreAnswers(agent) => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.unresponsive = false;
                }
            }
        }
    }
}
