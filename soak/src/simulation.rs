//! One run: virtual time, and the carrying of messages between the state machines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use agent::{CallId, Reply};
use entry::{Event, OwnerCall};
use execution::TaskOutcome;
use model::{SubmissionId, TaskKey, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use settings::{Catalog, Tree};
use wire::RelayReply;

use crate::checks::{Checks, Summary, Violation};
use crate::network::{Network, NetworkConditions};
use crate::nodes::{AgentNode, EntryNode, Node};
use crate::script::{Replay, Script, Step};

/// When every run begins.
const START: Time = Time::from_millis(1_764_000_000_000);
/// Bound on the difference between clocks.
pub(crate) const CLOCK_SKEW: Duration = Duration::from_millis(40);
/// How often each node's clock ticks without a timer.
pub(crate) const TICK: Duration = Duration::from_millis(250);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Makes the run.
    pub seed: u64,
    /// How long faults happen.
    pub fault_period: Duration,
    /// How long the run goes on without faults, until everything has to work again.
    pub calm_period: Duration,
    /// Operators empty and refill halls; only runs of room and of keepers have that.
    pub halls: bool,
    /// Operators move keepers to other hosts; only runs of keepers have that.
    pub moves: bool,
    /// Targets keep their ids when they start again, have more or less room by turns, and crash under some tasks; only runs of
    /// room have that.
    pub unstable_targets: bool,
    /// Prints everything that has this text in it, such as a submission's id.
    pub trace: Option<String>,
}

impl Options {
    /// A run of the usual length.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            fault_period: Duration::from_secs(25),
            calm_period: Duration::from_secs(15),
            halls: false,
            moves: false,
            unstable_targets: false,
            trace: None,
        }
    }
}

/// Something that happens at a moment.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// Something reaches an entry, in a life.
    ToEntry(usize, u64, Event),
    /// Something reaches an agent, in a life.
    ToAgent(usize, u64, agent::Event),
    /// An agent's reply reaches its entry.
    Reply { link: u64, call: CallId, reply: Reply },
    /// An entry tries to reach an agent.
    Dial(usize, usize),
    /// A target ends a task, of an agent in a life.
    TaskEnds(usize, u64, TaskKey, TaskOutcome),
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
    /// A step of a trace.
    ScriptStep(Step),
    /// A dead entry comes back.
    StartEntry(usize),
    /// A dead agent comes back.
    StartAgent(usize),
    /// A leaving agent ends, in a life, once nothing runs at its target.
    AgentExit(usize, u64),
    /// Settings reach a node: entry (true) or agent.
    SettingsArrive(bool, usize, u64),
    /// The platform's list tells an entry that an agent's host leaves, in a life.
    HostListedLeaving(usize, usize, u64),
}

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
struct ClusterSize {
    entries: usize,
    agents: usize,
    racks: usize,
    slots: u32,
}

/// One run.
pub(crate) struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub calm_start: Time,
    pub end: Time,
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub network: Network,
    pub conditions: NetworkConditions,
    pub checks: Checks,
    pub catalogs: Vec<Arc<Catalog>>,
    pub tree: Tree,
    event_queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: HashMap<u64, SimEvent>,
    sequence: u64,
    pub next_call_id: u64,
    trace: Option<String>,
    /// The state of a trace's replay; none in a randomised run.
    pub replay: Option<Replay>,
}

/// Runs one seed; the violations it found, if any.
pub fn run(options: Options) -> Result<Summary, Vec<Violation>> {
    let mut simulation = Simulation::new(options);
    simulation.start();
    simulation.run_to_end();
    simulation.check_end();
    if simulation.checks.violations.is_empty() {
        Ok(simulation.checks.summary)
    } else {
        Err(simulation.checks.violations)
    }
}

impl Simulation {
    fn new(options: Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let size = ClusterSize {
            agents: rng.random_range(4..=8),
            racks: rng.random_range(3..=4),
            slots: rng.random_range(1..=4),
            entries: rng.random_range(2..=4),
        };
        let conditions = NetworkConditions {
            max_delay: Duration::from_micros(rng.random_range(300..20_000)),
            duplicate_rate: rng.random_range(0.0..0.15),
            reorder_rate: rng.random_range(0.0..0.1),
            late_delivery_rate: rng.random_range(0.0..1.0),
        };
        Self { rng, ..Self::with_cluster(options, size, conditions) }
    }

    fn with_cluster(options: Options, size: ClusterSize, conditions: NetworkConditions) -> Self {
        let ClusterSize { entries, agents, racks, slots } = size;
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        let members: Vec<String> =
            (0..agents).map(|number| format!("a{number}@r{}", number % racks)).collect();
        let tree = format!(
            "[booking]\nexpected_ms = 150\n[booking/holds]\n[booking/lookups]\nretry_percent = 50\n\
             [fleet]\nclaim_view = {}\nclock_skew_ms = {}\nretention_ms = 15000\n\
             token_lease_ms = 1500\nsettings_age_max_ms = 100000\nanswer_bytes_max = 65536\n",
            members.join(" "),
            CLOCK_SKEW.as_millis()
        );
        let tree = Tree::from_ini(&tree).expect("the run's tree is valid");
        let agent_node = |number: usize| AgentNode {
            node: Node::new(&format!("a{number}"), number as u64 + 1),
            rack: format!("r{}", number % racks),
            slots,
            running_tasks: 0,
            leaving_since: None,
            target_down_until: START,
        };
        let entry_node = |number: usize| EntryNode {
            node: Node::new(&format!("e{number}"), number as u64 + 101),
            callers: HashMap::new(),
            settings_version: 1,
        };
        Self {
            rng,
            now: START,
            calm_start: START + options.fault_period,
            end: START + options.fault_period + options.calm_period,
            entries: (0..entries).map(entry_node).collect(),
            agents: (0..agents).map(agent_node).collect(),
            network: Network::default(),
            conditions,
            checks: Checks::default(),
            catalogs: vec![Arc::new(Catalog::new(1, &tree))],
            tree,
            event_queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            sequence: 0,
            next_call_id: 0,
            trace: options.trace,
            replay: None,
        }
    }

    /// The world of a trace: nothing is left to chance.
    pub fn for_script(script: &Script, frame_time: Duration) -> Self {
        let time = Duration::from_millis(script.end_ms);
        let options =
            Options { fault_period: time, calm_period: Duration::ZERO, ..Options::new(0) };
        let conditions = NetworkConditions {
            max_delay: frame_time,
            duplicate_rate: 0.0,
            reorder_rate: 0.0,
            late_delivery_rate: 0.0,
        };
        let size = ClusterSize {
            entries: script.entries,
            agents: script.agents,
            racks: script.agents,
            slots: script.slots,
        };
        let mut simulation = Self::with_cluster(options, size, conditions);
        simulation.replay = Some(Replay {
            task_time: Duration::from_millis(script.task_ms),
            frames_to_drop: Vec::new(),
            ids: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        });
        simulation
    }

    /// When the run began.
    pub fn start_time(&self) -> Time {
        START
    }

    /// Starts every node.
    pub fn start_nodes(&mut self) {
        (0..self.agents.len()).for_each(|agent| self.start_agent(agent));
        (0..self.entries.len()).for_each(|entry| self.start_entry(entry));
    }

    fn start(&mut self) {
        self.start_nodes();
        self.schedule_after(Duration::from_millis(500), SimEvent::NewSubmission);
        self.schedule_after(Duration::from_secs(1), SimEvent::Fault);
    }

    /// Lets everything happen until the end.
    pub fn run_to_end(&mut self) {
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

    /// Plans something.
    pub fn schedule_at(&mut self, time: Time, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((time, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    /// Plans something after a while.
    pub fn schedule_after(&mut self, time: Duration, event: SimEvent) {
        self.schedule_at(self.now + time, event);
    }

    /// A random time up to a bound.
    pub fn random_duration(&mut self, longest: Duration) -> Duration {
        let micros = longest.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(0..=micros))
    }

    /// Prints what is traced.
    pub fn trace(&self, kind: &str, node: usize, value: &dyn std::fmt::Debug) {
        let Some(wanted) = &self.trace else { return };
        let text = format!("{value:?}");
        if text.contains(wanted) {
            println!("{} {kind} {node}: {text}", self.now);
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        self.trace("happens", 0, &event);
        match event {
            SimEvent::ToEntry(entry, incarnation, event) => {
                self.deliver_to_entry(entry, incarnation, event)
            }
            SimEvent::ToAgent(agent, incarnation, event) => {
                self.deliver_to_agent(agent, incarnation, event)
            }
            SimEvent::Reply { link, call, reply } => self.deliver_reply(link, call, reply),
            SimEvent::Dial(entry, agent) => self.dial(entry, agent),
            SimEvent::TaskEnds(agent, incarnation, key, outcome) => {
                self.task_ended(agent, incarnation, key, outcome);
            }
            SimEvent::PeerReply(entry, incarnation, call, submission, reply) => {
                self.deliver_to_entry(
                    entry,
                    incarnation,
                    Event::OwnerReplied { call, submission, reply },
                );
            }
            SimEvent::EntryTick(entry) => {
                self.entries[entry].node.tick_at = None;
                let incarnation = self.entries[entry].node.incarnation;
                self.deliver_to_entry(entry, incarnation, Event::Tick);
            }
            SimEvent::AgentTick(agent) => {
                self.agents[agent].node.tick_at = None;
                let incarnation = self.agents[agent].node.incarnation;
                self.deliver_to_agent(agent, incarnation, agent::Event::Tick);
            }
            SimEvent::NewSubmission => self.new_submission(),
            SimEvent::Resubmit(id) => self.resubmit(id),
            SimEvent::Fetch(id) => self.fetch_outcome(id),
            SimEvent::Fault => self.inject_faults(),
            SimEvent::ScriptStep(step) => self.apply_step(step),
            SimEvent::StartEntry(entry) => self.start_entry(entry),
            SimEvent::StartAgent(agent) => self.start_agent(agent),
            SimEvent::AgentExit(agent, incarnation) => self.finish_draining(agent, incarnation),
            SimEvent::SettingsArrive(to_entry, node, version) => {
                self.deliver_settings(to_entry, node, version);
            }
            SimEvent::HostListedLeaving(entry, agent, incarnation) => {
                self.list_agent_leaving(entry, agent, incarnation);
            }
        }
    }
}
