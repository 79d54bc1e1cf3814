//! Simulated loads: how many jobs end in time when many entries place tasks at many targets.
//!
//! The scheduling code is the real one; only links and tasks take virtual time. Used to compare
//! policies and sizes, and by tests that guard their effect.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{JobRequest, Outcome, TaskShape};
use model::{JobId, NodeName, Resources, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use subset::{Subset, SubsetSizes};
use wire::Document;

use super::CapacityTiming;
use super::client::Client;
use super::simulation::{START, SimEvent, Simulation};
use super::subsets::EntrySubsets;

/// Time before the first job, in which sessions open.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the last job, in which open jobs end.
const COOL_DOWN: Duration = Duration::from_secs(6);
/// Share of its worth that a job earns when it ends after its objective.
const LATE_WORTH_SHARE: f64 = 0.2;
/// Standard deviation of the logarithm of the task count, the task duration and the estimate error.
const LOG_STD_DEV: f64 = 0.4;
/// The objective of a job is the duration of its longest task times `OBJECTIVE_FACTOR`, plus
/// `TARGET_LATENCY_MS`.
const OBJECTIVE_FACTOR: f64 = 1.6;
const TARGET_LATENCY_MS: f64 = 60.0;

/// Number of job kinds; each has its own priority.
const JOB_KINDS: usize = 3;

/// A kind of jobs.
#[derive(Clone, Copy, Debug)]
struct JobKind {
    /// Share of all jobs that are of this kind.
    share: f64,
    /// Mean number of tasks.
    tasks: u32,
    /// Mean duration of a task, in milliseconds.
    mean_ms: f64,
    priority: u8,
    worth: f64,
}

/// A mix of jobs and the size of the targets that run them.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Capacity of targets in thousandths of a core, assigned in turn.
    target_cpu: [u64; 3],
    /// Mean CPU of a task, in thousandths of a core.
    task_cpu: f64,
    job_kinds: [JobKind; JOB_KINDS],
}

impl Workload {
    /// Tasks that take about a fifth of a target.
    pub const LARGE_TASKS: Self = Self {
        target_cpu: [16_000, 16_000, 24_000],
        task_cpu: 3_800.0,
        job_kinds: [
            JobKind { share: 0.244, tasks: 8, mean_ms: 60.0, priority: 0, worth: 3.23 },
            JobKind { share: 0.712, tasks: 2, mean_ms: 200.0, priority: 1, worth: 1.11 },
            JobKind { share: 0.044, tasks: 4, mean_ms: 900.0, priority: 2, worth: 17.8 },
        ],
    };
    /// Tasks that take about a tenth of a target, with a larger share of long jobs.
    pub const SMALL_TASKS: Self = Self {
        target_cpu: [32_000, 32_000, 48_000],
        task_cpu: 3_300.0,
        job_kinds: [
            JobKind { share: 0.232, tasks: 8, mean_ms: 60.0, priority: 0, worth: 4.85 },
            JobKind { share: 0.676, tasks: 2, mean_ms: 200.0, priority: 1, worth: 1.67 },
            JobKind { share: 0.092, tasks: 4, mean_ms: 900.0, priority: 2, worth: 26.7 },
        ],
    };
}

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
    /// A temporary increase in jobs.
    pub surge: Option<Surge>,
    /// A temporary loss of agents.
    pub cut: Option<Cut>,
    /// Share of commands that targets leave unanswered and carry out late.
    pub unanswered: f64,
    /// Slow links to entries; messages take no transmission time if `None`.
    pub links: Option<SlowLinks>,
    /// Timing and policy of entries and agents.
    pub timing: CapacityTiming,
}

/// Results of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadResult {
    /// Jobs that were submitted.
    pub jobs: u64,
    /// Jobs that completed within their objective.
    pub in_time: u64,
    /// Jobs that completed after their objective.
    pub late: u64,
    /// Jobs answered as not run.
    pub not_run: u64,
    /// Earned share of the worth of all jobs.
    pub worth: f64,
    /// Earned share of the worth of the jobs of each priority.
    pub worth_by_priority: [f64; JOB_KINDS],
    /// Starts that entries sent, per task that started.
    pub starts_per_task: f64,
    /// Messages sent in sessions, per job.
    pub messages_per_job: f64,
    /// Time from the submission to the first start: median and 95th percentile, in milliseconds.
    pub first_start_ms: (f64, f64),
    /// Lowest and highest number of sessions of an entry.
    pub sessions: (usize, usize),
    /// Entries that have the configuration at the end.
    pub entries_with_document: usize,
}

impl LoadResult {
    /// Returns the share of jobs that completed within their objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.jobs.max(1) as f64
    }
}

/// Counters of a running load.
#[derive(Debug, Default)]
pub(super) struct LoadStats {
    pub messages: u64,
    in_time: u64,
    late: u64,
    not_run: u64,
    /// Submitted and earned worth, by priority.
    worth: [(f64, f64); JOB_KINDS],
    first_starts: Vec<Duration>,
}

impl LoadStats {
    pub fn job_answered(&mut self, now: Time, client: &Client, outcome: Outcome) {
        let in_time = now.since(client.first_submitted) <= client.objective;
        let earned = match outcome {
            Outcome::Completed if in_time => 1.0,
            Outcome::Completed => LATE_WORTH_SHARE,
            _ => 0.0,
        };
        match outcome {
            Outcome::Completed if in_time => self.in_time += 1,
            Outcome::Completed => self.late += 1,
            Outcome::NotRun { .. } => self.not_run += 1,
            _ => {}
        }
        let priority = usize::from(client.request.priority);
        if let Some(worth) = self.worth.get_mut(priority) {
            worth.0 += client.worth;
            worth.1 += client.worth * earned;
        }
    }

    pub fn task_started(&mut self, now: Time, client: &mut Client) {
        if !std::mem::replace(&mut client.started, true) {
            self.first_starts.push(now.since(client.first_submitted));
        }
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
    limit_entry_links(&mut simulation, load);
    simulation.unanswered = load.unanswered;
    simulation.start_processes();
    let jobs = schedule_clients(&mut simulation, load);
    schedule_cuts(&mut simulation, load);
    simulation.run_until(START + WARM_UP);
    let at_warm_up_end = (simulation.load_stats.messages, session_counts(&simulation));
    simulation.run_until(START + WARM_UP + load.duration);
    let messages = simulation.load_stats.messages - at_warm_up_end.0;
    simulation.run_until(START + WARM_UP + load.duration + COOL_DOWN);
    collect_result(&mut simulation, jobs, messages, at_warm_up_end.1)
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

/// Schedules the submissions of all clients; returns their number.
fn schedule_clients(simulation: &mut Simulation, load: &Load) -> u64 {
    let capacity: u64 = simulation.agents.iter().map(|agent| agent.capacity.cpu_milli).sum();
    let cpu_time_of = |kind: &JobKind| kind.share * f64::from(kind.tasks) * kind.mean_ms;
    let mean_cpu_time =
        load.workload.job_kinds.iter().map(cpu_time_of).sum::<f64>() * load.workload.task_cpu;
    let jobs_per_ms = capacity as f64 * load.utilization / mean_cpu_time;
    // The load balancer assigns clients by a hash, so that entries get uneven shares.
    let shares: Vec<f64> =
        (0..load.entries).map(|_| simulation.rng.random_range(0.2_f64..1.8)).collect();
    let all_shares: f64 = shares.iter().sum();
    let mut after = 0.0;
    let mut number = 0;
    while after < load.duration.as_secs_f64() * 1e3 {
        let surge = load.surge.filter(|surge| {
            let since = after - surge.start.as_secs_f64() * 1e3;
            since >= 0.0 && since < surge.duration.as_secs_f64() * 1e3
        });
        let rate = jobs_per_ms * surge.map_or(1.0, |surge| surge.factor);
        after -= (1.0 - simulation.rng.random::<f64>()).ln() / rate;
        number += 1;
        let submitted_at = START + WARM_UP + Duration::from_secs_f64(after / 1e3);
        let mut client = draw_client(simulation, &load.workload, number, submitted_at);
        let mut remaining_share = simulation.rng.random_range(0.0..all_shares);
        let entry = shares.iter().position(|own| {
            remaining_share -= own;
            remaining_share < 0.0
        });
        client.fixed_entry = Some(entry.unwrap_or(0));
        let id = client.request.id.clone();
        simulation.clients.insert(id.clone(), client);
        simulation.schedule_at(submitted_at, SimEvent::Submit(id));
    }
    u64::from(number)
}

fn draw_client(
    simulation: &mut Simulation,
    workload: &Workload,
    number: u32,
    submitted_at: Time,
) -> Client {
    let rng = &mut simulation.rng;
    let mut remaining_share = rng.random::<f64>();
    let kind = workload
        .job_kinds
        .iter()
        .find(|candidate| {
            remaining_share -= candidate.share;
            remaining_share < 0.0
        })
        .unwrap_or(&workload.job_kinds[1]);
    let count = (f64::from(kind.tasks) * log_uniform_factor(rng)).round().max(1.0) as u32;
    let mean = kind.mean_ms * log_uniform_factor(rng);
    let work: Vec<(Duration, bool)> = (0..count)
        .map(|_| (Duration::from_secs_f64(mean * rng.random_range(0.85..1.15) / 1e3), false))
        .collect();
    let longest = work.iter().map(|(time, _)| *time).max().unwrap_or_default();
    let objective =
        longest.mul_f64(OBJECTIVE_FACTOR) + Duration::from_secs_f64(TARGET_LATENCY_MS / 1e3);
    let estimated_ms = (mean * log_uniform_factor(rng)) as u32;
    let cpu_milli = (workload.task_cpu * rng.random_range(0.7..1.3)) as u64;
    let shape = TaskShape {
        count,
        resources: Resources { cpu_milli, memory_mb: 64, gpu: 0 },
        estimated_ms,
        requirement: None,
        affinity: None,
        max_per_target: None,
    };
    let estimated_objective = Duration::from_millis(u64::from(estimated_ms))
        .mul_f64(OBJECTIVE_FACTOR)
        + Duration::from_secs_f64(TARGET_LATENCY_MS / 1e3);
    let request = JobRequest {
        id: JobId::new(&format!("{number:016x}")),
        queue: "queue".into(),
        service: "work".into(),
        spec: "spec".into(),
        shape,
        priority: kind.priority,
        max_attempts: 4,
        objective: estimated_objective,
        deadline: objective * 3,
    };
    let mut client = Client::with_request(request, work, submitted_at);
    client.objective = objective;
    client.worth = kind.worth;
    client
}

/// Returns a random factor that is log-uniform around 1.
fn log_uniform_factor(rng: &mut ChaCha8Rng) -> f64 {
    let half_width = LOG_STD_DEV * 3.0_f64.sqrt();
    rng.random_range(-half_width..half_width).exp()
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

fn session_counts(simulation: &Simulation) -> (usize, usize) {
    let of_entry = || simulation.entries.iter().map(|entry| entry.sessions.len());
    (of_entry().min().unwrap_or(0), of_entry().max().unwrap_or(0))
}

fn collect_result(
    simulation: &mut Simulation,
    jobs: u64,
    messages: u64,
    sessions: (usize, usize),
) -> LoadResult {
    let counters: Vec<_> = simulation
        .entries
        .iter()
        .filter_map(|entry| entry.dispatcher.as_ref())
        .map(|dispatcher| dispatcher.counters())
        .collect();
    let starts: u64 = counters.iter().map(|counters| counters.starts_sent).sum();
    let load_stats = &mut simulation.load_stats;
    load_stats.first_starts.sort_unstable();
    let percentile = |quantile: f64| {
        let index = (load_stats.first_starts.len() as f64 * quantile) as usize;
        load_stats.first_starts.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
    };
    let (submitted, earned) = load_stats
        .worth
        .iter()
        .fold((0.0, 0.0), |(submitted, earned), kind| (submitted + kind.0, earned + kind.1));
    LoadResult {
        jobs,
        worth: earned / submitted,
        worth_by_priority: load_stats.worth.map(|(submitted, earned)| earned / submitted),
        in_time: load_stats.in_time,
        late: load_stats.late,
        not_run: load_stats.not_run,
        starts_per_task: starts as f64 / simulation.checks.summary.started.max(1) as f64,
        messages_per_job: messages as f64 / jobs.max(1) as f64,
        first_start_ms: (percentile(0.5), percentile(0.95)),
        sessions,
        entries_with_document: simulation.entries_with_document(),
    }
}
