//! Simulated loads: how many jobs end in time when many entries place tasks at many targets.
//!
//! The scheduling code is the real one; only links and tasks take virtual time. Used to compare
//! policies and sizes, and by tests that guard their effect.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use model::NodeName;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use subset::{Subset, SubsetSizes};
use wire::Document;

use super::CapacityTiming;
use super::event::SimEvent;
use super::faults::Fault;
use super::load_jobs::{Workload, schedule_clients};
use super::load_results::{LoadResult, Measured, collect_result};
use super::simulation::{START, Simulation};
use super::subsets::EntrySubsets;

/// Time before the first job, in which sessions open.
pub(super) const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the last job, in which open jobs end.
const COOL_DOWN: Duration = Duration::from_secs(6);

/// A temporary increase in the rate of jobs.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Start, counted from the start of the submissions.
    pub start: Duration,
    /// Length of the increase.
    pub duration: Duration,
    /// Factor on the usual rate.
    pub factor: f64,
}

/// A temporary loss of the connections of some agents.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Start, counted from the start of the submissions.
    pub start: Duration,
    /// Length of the interruption.
    pub duration: Duration,
    /// Share of the agents that are disconnected.
    pub share: f64,
}

/// Racks of targets, and jobs whose data one of the racks holds for a while.
#[derive(Clone, Copy, Debug)]
pub struct DataDemand {
    /// Number of targets per rack, in the order of the agents. The label of a rack is `rack-` and
    /// its number from 0.
    pub targets_per_rack: usize,
    /// Share of the jobs of the first queue that name rack 0.
    pub share: f64,
    /// Start, counted from the start of the submissions.
    pub start: Duration,
    /// Length of the period.
    pub duration: Duration,
    /// Factor on the run time of such a task at a target of another rack.
    pub remote_penalty: f64,
}

/// Returns the label of the targets of a rack.
pub(super) fn rack_label(rack: usize) -> String {
    format!("rack-{rack}")
}

/// A fault at a given time of a load.
#[derive(Clone, Copy, Debug)]
pub enum LoadFault {
    /// An entry is paused.
    PauseEntry {
        /// The number of the entry.
        entry: usize,
        /// Length of the pause.
        duration: Duration,
    },
    /// An entry is killed and restarted; its connections are closed.
    RestartEntry {
        /// The number of the entry.
        entry: usize,
        /// Time from the end to the start.
        downtime: Duration,
    },
    /// An agent is killed and restarted; its target keeps running.
    RestartAgent {
        /// The number of the agent.
        agent: usize,
        /// Time from the end to the start.
        downtime: Duration,
    },
    /// A target is killed and restarted with another speed.
    RestartTarget {
        /// The number of the target's agent.
        agent: usize,
        /// Time from the end to the start.
        downtime: Duration,
        /// Run time of tasks at the new instance relative to the usual one.
        speed_factor: f64,
    },
    /// An agent is cut off from all entries.
    CutAgent {
        /// The number of the agent.
        agent: usize,
        /// Length of the interruption.
        duration: Duration,
    },
}

/// Slow links to entries, with a configuration that all agents have from the start.
#[derive(Clone, Copy, Debug)]
pub struct SlowLinks {
    /// Bandwidth of the link of one entry, in bytes per second.
    pub bytes_per_s: u64,
    /// Size of the configuration, in bytes.
    pub document_bytes: usize,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with one target.
    pub agents: usize,
    /// Sizes of the subsets of entries that agents serve; all entries if `None`.
    pub sizes: Option<SubsetSizes>,
    /// The mix of jobs.
    pub workload: Workload,
    /// Mean share of the total capacity that jobs take.
    pub utilization: f64,
    /// Period in which jobs are submitted.
    pub duration: Duration,
    /// Run time of tasks at each target relative to the usual one, assigned in turn; 1 for all if
    /// empty.
    pub speed_factors: Vec<f64>,
    /// Shares of the jobs that each entry receives, relative to each other, assigned in turn; drawn
    /// between 0.2 and 1.8 if empty.
    pub entry_shares: Vec<f64>,
    /// Racks, and jobs that name one; targets have no rack if `None`.
    pub data: Option<DataDemand>,
    /// A temporary increase in jobs.
    pub surge: Option<Surge>,
    /// The only queue, by priority, whose jobs increase in the surge; all queues if `None`.
    pub surge_queue: Option<usize>,
    /// How long after its first submission a client that is answered "not run" submits its job
    /// again, after `Retry-After` and at another entry; such clients don't return if `None`.
    pub return_period: Option<Duration>,
    /// A temporary loss of agents.
    pub cut: Option<Cut>,
    /// Faults, each with its time from the start of the submissions.
    pub faults: Vec<(Duration, LoadFault)>,
    /// Share of commands that targets leave unanswered and carry out late.
    pub unanswered: f64,
    /// Slow links to entries; messages take no transmission time if `None`.
    pub links: Option<SlowLinks>,
    /// Timing and policy of entries and agents.
    pub timing: CapacityTiming,
}

impl Default for Load {
    /// A usual load without faults, of 20 entries and 90 equal targets.
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 20,
            agents: 90,
            sizes: Some(SubsetSizes::default()),
            workload: Workload::LARGE_TASKS,
            utilization: 0.6,
            duration: Duration::from_secs(2),
            speed_factors: Vec::new(),
            entry_shares: Vec::new(),
            data: None,
            surge: None,
            surge_queue: None,
            return_period: None,
            cut: None,
            faults: Vec::new(),
            unanswered: 0.0,
            links: None,
            timing: CapacityTiming::default(),
        }
    }
}

impl Load {
    /// Deployment P of `docs/design/hard-load.md` at its usual load.
    pub fn deployment_p() -> Self {
        Self {
            entries: 7,
            agents: 65,
            sizes: None,
            workload: Workload::HARD_LOAD,
            utilization: 0.5,
            speed_factors: vec![0.8, 1.0, 1.25],
            ..Self::default()
        }
    }

    /// Deployment Q of `docs/design/hard-load.md` at its usual load.
    pub fn deployment_q() -> Self {
        Self {
            entries: 10,
            agents: 74,
            sizes: None,
            workload: Workload::HARD_LOAD,
            utilization: 0.5,
            speed_factors: vec![0.55, 1.2, 1.2, 1.2],
            entry_shares: (0..10).map(|entry| 4.0 - f64::from(entry) / 3.0).collect(),
            ..Self::default()
        }
    }

    /// Returns the agents of the slowest quarter of the targets.
    fn slowest_quarter(&self) -> Vec<usize> {
        let mut agents: Vec<usize> = (0..self.agents).collect();
        if self.speed_factors.is_empty() {
            agents.truncate(self.agents / 4);
            return agents;
        }
        let factor = |agent: usize| self.speed_factors[agent % self.speed_factors.len()];
        agents.sort_by(|a, b| factor(*b).total_cmp(&factor(*a)));
        agents.truncate(self.agents / 4);
        agents
    }
}

/// Runs a load to its end.
pub fn run_load(load: &Load) -> LoadResult {
    let rng = ChaCha8Rng::seed_from_u64(load.seed);
    let subsets = EntrySubsets::fixed(load.seed, subsets_of(load));
    let mut simulation = Simulation::empty(rng, load.timing, subsets);
    (0..load.entries).for_each(|_| simulation.add_entry());
    let capacities = load.workload.target_cpu.iter().cycle().take(load.agents);
    capacities.for_each(|cpu| simulation.add_agent(*cpu, false));
    set_up_targets(&mut simulation, load);
    limit_entry_links(&mut simulation, load);
    simulation.return_period = load.return_period;
    simulation.unanswered = load.unanswered;
    simulation.start_processes();
    let jobs = schedule_clients(&mut simulation, load);
    schedule_cuts(&mut simulation, load);
    load.faults.iter().for_each(|(after, fault)| schedule_fault(&mut simulation, *after, *fault));
    simulation.run_until(START + WARM_UP);
    let at_warm_up_end = (simulation.load_stats.messages, session_counts(&simulation));
    simulation.run_until(START + WARM_UP + load.duration);
    let measured = Measured {
        jobs,
        messages: simulation.load_stats.messages - at_warm_up_end.0,
        sessions: at_warm_up_end.1,
        slowest: load.slowest_quarter(),
        start: START + WARM_UP,
    };
    let cool_down = COOL_DOWN + load.return_period.unwrap_or_default();
    simulation.run_until(START + WARM_UP + load.duration + cool_down);
    collect_result(&mut simulation, &measured)
}

/// Assigns speeds and racks to targets.
fn set_up_targets(simulation: &mut Simulation, load: &Load) {
    for (process, factor) in simulation.agents.iter_mut().zip(load.speed_factors.iter().cycle()) {
        process.speed_factor = *factor;
    }
    let Some(data) = load.data else { return };
    simulation.remote_penalty = data.remote_penalty;
    for (agent, process) in simulation.agents.iter_mut().enumerate() {
        process.labels = vec![rack_label(agent / data.targets_per_rack.max(1)).into()];
    }
}

fn subsets_of(load: &Load) -> Vec<BTreeSet<usize>> {
    let all = || (0..load.entries).collect::<BTreeSet<usize>>();
    let Some(sizes) = load.sizes else { return vec![all(); load.agents] };
    let address = |entry: usize| SocketAddr::from(([10, 0, 0, 0], entry as u16));
    let names: Vec<NodeName> =
        (0..load.entries).map(|entry| NodeName::new(&format!("entry-{entry}"))).collect();
    let subset_of = |agent: usize| {
        let mut subset = Subset::new(NodeName::new(&format!("agent-{agent}")), sizes);
        let listed = names.iter().enumerate().map(|(entry, name)| (name, address(entry)));
        subset.update_registered(START, listed, load.agents);
        subset.select(START);
        let settled = subset.select(START + WARM_UP);
        settled.into_iter().map(|address| usize::from(address.port())).collect()
    };
    (0..load.agents).map(subset_of).collect()
}

fn limit_entry_links(simulation: &mut Simulation, load: &Load) {
    let Some(links) = load.links else { return };
    simulation.limit_links(links.bytes_per_s);
    // Random text, as documents are compressed on the wire.
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let text: String = (0..links.document_bytes).map(|_| rng.random_range('!'..='~')).collect();
    simulation.document = Some(Document::new(1, text));
}

fn schedule_cuts(simulation: &mut Simulation, load: &Load) {
    let Some(cut) = load.cut else { return };
    for agent in 0..load.agents {
        if simulation.rng.random_bool(cut.share) {
            simulation.schedule_after(
                WARM_UP + cut.start,
                SimEvent::DisconnectAgent(agent, cut.duration),
            );
        }
    }
}

fn schedule_fault(simulation: &mut Simulation, after: Duration, fault: LoadFault) {
    let event = match fault {
        LoadFault::PauseEntry { entry, duration } => {
            SimEvent::Fault(Fault::PauseEntry { entry, duration })
        }
        LoadFault::RestartEntry { entry, downtime } => {
            SimEvent::Fault(Fault::KillEntry { entry, downtime, silent: false })
        }
        LoadFault::RestartAgent { agent, downtime } => {
            SimEvent::Fault(Fault::KillAgent { agent, downtime })
        }
        LoadFault::RestartTarget { agent, downtime, speed_factor } => {
            // Run times are drawn when a run starts, so that running tasks keep theirs.
            simulation.schedule_after(WARM_UP + after, SimEvent::SetSpeed(agent, speed_factor));
            SimEvent::Fault(Fault::CrashTarget { agent, downtime })
        }
        LoadFault::CutAgent { agent, duration } => SimEvent::DisconnectAgent(agent, duration),
    };
    simulation.schedule_after(WARM_UP + after, event);
}

fn session_counts(simulation: &Simulation) -> (usize, usize) {
    let of_entry = || simulation.entries.iter().map(|entry| entry.sessions.len());
    (of_entry().min().unwrap_or(0), of_entry().max().unwrap_or(0))
}
