//! The state of a run, its event queue, and the dispatch of events.

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

/// Time at the start of each run.
const START: Time = Time::from_millis(1_764_000_000_000);
/// Bound on the difference between the clocks of nodes.
pub(crate) const CLOCK_SKEW: Duration = Duration::from_millis(40);
/// Longest interval between two ticks of a node.
pub(crate) const TICK: Duration = Duration::from_millis(250);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the period in which faults are injected; runs of capacity have a fixed one.
    pub fault_period: Duration,
    /// Length of the final period without faults, in which everything has to recover; runs of
    /// capacity have a fixed one.
    pub calm_period: Duration,
    /// Whether operators empty and refill halls; only for runs of capacity or keepers.
    pub halls: bool,
    /// Whether operators replace keepers; only for runs of keepers.
    pub moves: bool,
    /// Whether targets keep their ids over restarts, change their capacity, and crash under some
    /// tasks; only for runs of capacity.
    pub unstable_targets: bool,
    /// Whether targets differ in speed, entries in their share of the jobs, jobs name a rack, and
    /// refused clients return; only for runs of capacity.
    pub uneven: bool,
    /// Whether targets leave while tasks may run on them; only for runs of capacity.
    pub leaves: bool,
    /// Prints all events that contain this text, such as the id of a submission; not for runs of
    /// keepers.
    pub trace: Option<String>,
}

impl Options {
    /// Creates the parameters of a run of the default length.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            fault_period: Duration::from_secs(25),
            calm_period: Duration::from_secs(15),
            halls: false,
            moves: false,
            unstable_targets: false,
            uneven: false,
            leaves: false,
            trace: None,
        }
    }
}

/// A scheduled event. Where an event has the incarnation of a process, it is dropped if the process
/// has restarted since.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// An event for an entry, with its incarnation.
    ToEntry(usize, u64, Event),
    /// An event for an agent, with its incarnation.
    ToAgent(usize, u64, agent::Event),
    /// The reply of an agent arrives at the entry.
    Reply { link: u64, call: CallId, reply: Reply },
    /// An entry connects to an agent.
    Dial(usize, usize),
    /// A task ends at the target of an agent, with the incarnation of the agent.
    TaskEnds(usize, u64, TaskKey, TaskOutcome),
    /// The reply of an entry arrives at the entry that relayed a request.
    PeerReply(usize, u64, OwnerCall, SubmissionId, Option<RelayReply>),
    /// The timer of an entry.
    EntryTick(usize),
    /// The timer of an agent.
    AgentTick(usize),
    /// A client creates a submission.
    NewSubmission,
    /// A client sends a submission again.
    Resubmit(SubmissionId),
    /// A client fetches an outcome.
    Fetch(SubmissionId),
    /// Injects faults.
    Fault,
    /// A step of a script.
    ScriptStep(Step),
    /// A stopped entry starts.
    StartEntry(usize),
    /// A stopped agent starts.
    StartAgent(usize),
    /// A draining agent stops if its target runs nothing, with its incarnation.
    AgentExit(usize, u64),
    /// Settings of a version arrive at a node: an entry if `true`, otherwise an agent.
    SettingsArrive(bool, usize, u64),
    /// An entry receives that the platform lists an agent's host as leaving, with the agent's
    /// incarnation.
    HostListedLeaving(usize, usize, u64),
}

/// The size of a cluster.
#[derive(Clone, Copy, Debug)]
struct ClusterSize {
    entries: usize,
    agents: usize,
    racks: usize,
    slots: u32,
}

/// A run with scheduling by slots.
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
    /// The settings by version; the first version is 1.
    pub catalogs: Vec<Arc<Catalog>>,
    /// The newest settings.
    pub tree: Tree,
    /// Times and sequence numbers of the events in `scheduled`.
    event_queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: HashMap<u64, SimEvent>,
    sequence: u64,
    pub last_call_id: u64,
    trace: Option<String>,
    /// The state of a script's replay; `None` in randomised runs.
    pub replay: Option<Replay>,
}

/// Runs one seed; returns its counters, or the violations found.
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
        let tree = Tree::from_ini(&tree).expect("the initial settings are valid");
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
            last_call_id: 0,
            trace: options.trace,
            replay: None,
        }
    }

    /// Creates the simulation of a script, without random faults.
    pub fn for_script(script: &Script, max_frame_delay: Duration) -> Self {
        let time = Duration::from_millis(script.end_ms);
        let options =
            Options { fault_period: time, calm_period: Duration::ZERO, ..Options::new(0) };
        let conditions = NetworkConditions {
            max_delay: max_frame_delay,
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

    pub fn start_time(&self) -> Time {
        START
    }

    /// Starts all entries and agents.
    pub fn start_nodes(&mut self) {
        (0..self.agents.len()).for_each(|agent| self.start_agent(agent));
        (0..self.entries.len()).for_each(|entry| self.start_entry(entry));
    }

    fn start(&mut self) {
        self.start_nodes();
        self.schedule_after(Duration::from_millis(500), SimEvent::NewSubmission);
        self.schedule_after(Duration::from_secs(1), SimEvent::Fault);
    }

    /// Handles all events up to the end of the run.
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

    pub fn schedule_at(&mut self, time: Time, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((time, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    pub fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Draws a duration up to a bound.
    pub fn random_duration(&mut self, longest: Duration) -> Duration {
        let micros = longest.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(0..=micros))
    }

    /// Prints an event or action if it contains the text to trace.
    pub fn trace_event(&self, kind: &str, node: usize, event: &dyn std::fmt::Debug) {
        let Some(wanted) = &self.trace else { return };
        let text = format!("{event:?}");
        if text.contains(wanted) {
            println!("{} {kind} {node}: {text}", self.now);
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        self.trace_event("event", 0, &event);
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
