//! The jobs of a load: their kinds, when they are submitted, and at which entry.

use std::sync::Arc;
use std::time::Duration;

use dispatch::{JobRequest, TaskShape};
use model::{JobId, Resources, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::client::{Client, queue_name};
use super::event::SimEvent;
use super::load::{Load, WARM_UP, rack_label};
use super::simulation::{START, Simulation};

/// Standard deviation of the logarithm of the task count, the task duration and the estimate error.
const LOG_STD_DEV: f64 = 0.4;
/// The objective of a job is the duration of its longest task times `OBJECTIVE_FACTOR`, plus
/// `TARGET_LATENCY_MS`.
const OBJECTIVE_FACTOR: f64 = 1.6;
const TARGET_LATENCY_MS: f64 = 60.0;

/// Number of job kinds; each has its own priority.
pub(super) const JOB_KINDS: usize = 3;

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
    pub(super) target_cpu: [u64; 3],
    /// Mean CPU of a task, in thousandths of a core.
    task_cpu: f64,
    /// Largest deviation from the mean CPU of a task, relative to it.
    task_cpu_spread: f64,
    job_kinds: [JobKind; JOB_KINDS],
}

impl Workload {
    /// Tasks that take about a fifth of a target.
    pub const LARGE_TASKS: Self = Self {
        target_cpu: [16_000, 16_000, 24_000],
        task_cpu: 3_800.0,
        task_cpu_spread: 0.3,
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
        task_cpu_spread: 0.3,
        job_kinds: [
            JobKind { share: 0.232, tasks: 8, mean_ms: 60.0, priority: 0, worth: 4.85 },
            JobKind { share: 0.676, tasks: 2, mean_ms: 200.0, priority: 1, worth: 1.67 },
            JobKind { share: 0.092, tasks: 4, mean_ms: 900.0, priority: 2, worth: 26.7 },
        ],
    };
    /// The jobs of deployments P and Q in `docs/design/hard-load.md`: tasks of 1.5 to 1.7 cores.
    pub const HARD_LOAD: Self = Self {
        target_cpu: [16_000, 16_000, 24_000],
        task_cpu: 1_600.0,
        task_cpu_spread: 0.0625,
        job_kinds: [
            JobKind { share: 0.244, tasks: 8, mean_ms: 55.0, priority: 0, worth: 3.23 },
            JobKind { share: 0.712, tasks: 2, mean_ms: 185.0, priority: 1, worth: 1.11 },
            JobKind { share: 0.044, tasks: 4, mean_ms: 830.0, priority: 2, worth: 17.8 },
        ],
    };
}

/// Schedules the submissions of all clients; returns their number.
pub(super) fn schedule_clients(simulation: &mut Simulation, load: &Load) -> u64 {
    let capacity: u64 = simulation.agents.iter().map(|agent| agent.capacity.cpu_milli).sum();
    let cpu_time_of = |kind: &JobKind| kind.share * f64::from(kind.tasks) * kind.mean_ms;
    let mean_cpu_time =
        load.workload.job_kinds.iter().map(cpu_time_of).sum::<f64>() * load.workload.task_cpu;
    let jobs_per_ms = capacity as f64 * load.utilization / mean_cpu_time;
    // The load balancer assigns clients by a hash, so that entries get uneven shares.
    let shares: Vec<f64> = match load.entry_shares.is_empty() {
        true => (0..load.entries).map(|_| simulation.rng.random_range(0.2_f64..1.8)).collect(),
        false => load.entry_shares.iter().copied().cycle().take(load.entries).collect(),
    };
    let all_shares: f64 = shares.iter().sum();
    let mut after = 0.0;
    let mut number = 0;
    while after < load.duration.as_secs_f64() * 1e3 {
        let surge = load.surge.filter(|surge| is_during(after, surge.start, surge.duration));
        let factors = surge_factors(load, surge.map_or(1.0, |surge| surge.factor));
        let (rate_factor, factors) = match load.surge_queue {
            Some(_) => (mean_factor(&load.workload, factors), factors),
            // All queues grow alike, so that the shares of the kinds remain.
            None => (factors[0], [1.0; JOB_KINDS]),
        };
        let rate = jobs_per_ms * rate_factor;
        after -= (1.0 - simulation.rng.random::<f64>()).ln() / rate;
        number += 1;
        let submitted_at = START + WARM_UP + Duration::from_secs_f64(after / 1e3);
        let mut client = draw_client(simulation, &load.workload, factors, number, submitted_at);
        name_rack(simulation, load, after, &mut client);
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

/// Whether a time, in milliseconds from the start of the submissions, is within a period.
fn is_during(after_ms: f64, start: Duration, duration: Duration) -> bool {
    let since = after_ms - start.as_secs_f64() * 1e3;
    since >= 0.0 && since < duration.as_secs_f64() * 1e3
}

/// Returns the factor on the jobs of each kind.
fn surge_factors(load: &Load, factor: f64) -> [f64; JOB_KINDS] {
    let affected = |kind: usize| load.surge_queue.is_none_or(|queue| queue == kind);
    std::array::from_fn(|kind| if affected(kind) { factor } else { 1.0 })
}

/// Returns the factor on the rate of all jobs.
fn mean_factor(workload: &Workload, factors: [f64; JOB_KINDS]) -> f64 {
    workload.job_kinds.iter().zip(factors).map(|(kind, factor)| kind.share * factor).sum()
}

/// Lets a job of the first queue name the rack that holds its data, if the load has such jobs.
fn name_rack(simulation: &mut Simulation, load: &Load, after_ms: f64, client: &mut Client) {
    let Some(data) = load.data else { return };
    if client.request.priority == 0
        && is_during(after_ms, data.start, data.duration)
        && simulation.rng.random_bool(data.share)
    {
        client.request.shape.affinity = Some(Arc::from(rack_label(0)));
    }
}

fn draw_client(
    simulation: &mut Simulation,
    workload: &Workload,
    factors: [f64; JOB_KINDS],
    number: u32,
    submitted_at: Time,
) -> Client {
    let rng = &mut simulation.rng;
    let mut remaining_share = rng.random::<f64>() * mean_factor(workload, factors);
    let kind = workload
        .job_kinds
        .iter()
        .zip(factors)
        .find(|(candidate, factor)| {
            remaining_share -= candidate.share * factor;
            remaining_share < 0.0
        })
        .map_or(&workload.job_kinds[1], |(kind, _)| kind);
    let count = (f64::from(kind.tasks) * log_uniform_factor(rng)).round().max(1.0) as u32;
    let mean = kind.mean_ms * log_uniform_factor(rng);
    let work: Vec<(Duration, bool)> = (0..count)
        .map(|_| (Duration::from_secs_f64(mean * rng.random_range(0.85..1.15) / 1e3), false))
        .collect();
    let longest = work.iter().map(|(time, _)| *time).max().unwrap_or_default();
    let objective =
        longest.mul_f64(OBJECTIVE_FACTOR) + Duration::from_secs_f64(TARGET_LATENCY_MS / 1e3);
    let estimated_ms = (mean * log_uniform_factor(rng)) as u32;
    let spread = workload.task_cpu_spread;
    let cpu_milli = (workload.task_cpu * rng.random_range(1.0 - spread..1.0 + spread)) as u64;
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
        queue: queue_name(kind.priority),
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
