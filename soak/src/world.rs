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
use crate::network::{Behaviour, Network};
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
    /// A step of a trace.
    Step(Step),
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

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
struct Size {
    entries: usize,
    agents: usize,
    racks: usize,
    slots: u32,
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
    pub tree: Tree,
    happenings: BinaryHeap<Reverse<(Time, u64)>>,
    waiting: HashMap<u64, Happening>,
    sequence: u64,
    pub next_ticket: u64,
    trace: Option<String>,
    /// The state of a trace's replay; none in a randomised run.
    pub replay: Option<Replay>,
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
        let size = Size {
            agents: rng.random_range(4..=8),
            racks: rng.random_range(3..=4),
            slots: rng.random_range(1..=4),
            entries: rng.random_range(2..=4),
        };
        let behaviour = Behaviour {
            delay: Duration::from_micros(rng.random_range(300..20_000)),
            doubled: rng.random_range(0.0..0.15),
            overtaking: rng.random_range(0.0..0.1),
            late_after_break: rng.random_range(0.0..1.0),
        };
        Self { rng, ..Self::with(options, size, behaviour) }
    }

    fn with(options: Options, size: Size, behaviour: Behaviour) -> Self {
        let Size { entries, agents, racks, slots } = size;
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
            calm_from: START + options.fault_period,
            end: START + options.fault_period + options.calm_period,
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
            replay: None,
        }
    }

    /// The world of a trace: nothing is left to chance.
    pub fn for_script(script: &Script, frame_time: Duration) -> Self {
        let time = Duration::from_millis(script.end_ms);
        let options =
            Options { fault_period: time, calm_period: Duration::ZERO, ..Options::new(0) };
        let behaviour =
            Behaviour { delay: frame_time, doubled: 0.0, overtaking: 0.0, late_after_break: 0.0 };
        let size = Size {
            entries: script.entries,
            agents: script.agents,
            racks: script.agents,
            slots: script.slots,
        };
        let mut world = Self::with(options, size, behaviour);
        world.replay = Some(Replay {
            task_time: Duration::from_millis(script.task_ms),
            losses: Vec::new(),
            ids: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        });
        world
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
        self.after(Duration::from_millis(500), Happening::NewSubmission);
        self.after(Duration::from_secs(1), Happening::Fault);
    }

    /// Lets everything happen until the end.
    pub fn go_on(&mut self) {
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
    pub fn trace(&self, description: &str, node: usize, thing: &dyn std::fmt::Debug) {
        let Some(wanted) = &self.trace else { return };
        let text = format!("{thing:?}");
        if text.contains(wanted) {
            println!("{} {description} {node}: {text}", self.now);
        }
    }

    fn happen(&mut self, happening: Happening) {
        self.trace("happens", 0, &happening);
        match happening {
            Happening::ToEntry(entry, life, event) => self.deliver_to_entry(entry, life, event),
            Happening::ToAgent(agent, life, event) => self.deliver_to_agent(agent, life, event),
            Happening::Reply { link, call, reply } => self.reply_arrives(link, call, reply),
            Happening::Dial(entry, agent) => self.dial(entry, agent),
            Happening::TargetEnds(agent, life, key, outcome) => {
                self.target_ends(agent, life, key, outcome);
            }
            Happening::PeerReply(entry, life, call, submission, reply) => {
                self.deliver_to_entry(entry, life, Event::OwnerReplied { call, submission, reply });
            }
            Happening::EntryTick(entry) => {
                self.entries[entry].node.tick_at = None;
                let life = self.entries[entry].node.life;
                self.deliver_to_entry(entry, life, Event::Tick);
            }
            Happening::AgentTick(agent) => {
                self.agents[agent].node.tick_at = None;
                let life = self.agents[agent].node.life;
                self.deliver_to_agent(agent, life, agent::Event::Tick);
            }
            Happening::NewSubmission => self.new_submission(),
            Happening::Resubmit(id) => self.resubmit(id),
            Happening::Fetch(id) => self.fetch(id),
            Happening::Fault => self.fault(),
            Happening::Step(step) => self.step(step),
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
}
