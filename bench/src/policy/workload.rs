//! Synthetic workloads of the clients Kyushu (booking) and Blue Mountain (shown as `matchdesk`), at
//! a given share of the capacity.

use std::time::Duration;

use model::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Virtual time at which every run starts.
pub const START: Time = Time::from_millis(1_764_000_000_000);
/// Number of targets.
pub const TARGETS: usize = 10;
/// Slots per target.
pub const SLOTS: u32 = 8;
/// Share of the jobs that the load balancer sends to each entry, in percent.
pub const ENTRY_SHARES: [u32; 3] = [50, 30, 20];
/// One-way delay between a client and an entry.
pub const CLIENT_LINK: Duration = Duration::from_millis(3);
/// Duration of a burst, and interval between the starts of two bursts.
const BURST: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(20));

/// The client whose mix of jobs is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMix {
    /// Seat holds, settlements and timetable lookups.
    Kyushu,
    /// Moves, adjudications and clock checks.
    BlueMountain,
}

/// Fault of a target during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One worker is killed after a third of the run and does not return.
    Killed,
    /// One target takes three times as long as the others for each task.
    Straggler,
}

/// Parameters of a workload.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name shown in the results.
    pub name: &'static str,
    /// The client whose mix of jobs is simulated.
    pub client_mix: ClientMix,
    /// Mean share of busy slots; above 1 for an overload.
    pub load: f64,
    /// Load during a burst as a multiple of the load outside; 1 for no bursts.
    pub burst_factor: f64,
    /// Fault of a target.
    pub fault: Fault,
    /// Time allowed until the answer of each job.
    pub deadline: Duration,
}

impl Scenario {
    /// Returns all scenarios.
    pub fn all() -> Vec<Self> {
        let scenario = |name, client_mix, load, burst_factor, fault| Self {
            name,
            client_mix,
            load,
            burst_factor,
            fault,
            deadline: Duration::from_secs(10),
        };
        let overload = scenario("kyushu 200%, 2 s", ClientMix::Kyushu, 2.0, 1.0, Fault::None);
        vec![
            scenario("kyushu 70%", ClientMix::Kyushu, 0.7, 1.0, Fault::None),
            scenario("kyushu 90%, bursts", ClientMix::Kyushu, 0.9, 3.0, Fault::None),
            scenario("kyushu 70%, killed", ClientMix::Kyushu, 0.7, 1.0, Fault::Killed),
            scenario("kyushu 70%, straggler", ClientMix::Kyushu, 0.7, 1.0, Fault::Straggler),
            scenario("matchdesk 70%", ClientMix::BlueMountain, 0.7, 1.0, Fault::None),
            scenario("matchdesk 90%, bursts", ClientMix::BlueMountain, 0.9, 3.0, Fault::None),
            Self { deadline: Duration::from_secs(2), ..overload },
        ]
    }
}

/// One job, as a client submits it.
#[derive(Clone, Debug)]
pub struct Job {
    /// When the client submits the job.
    pub submitted_at: Time,
    /// Index of the entry that receives the job.
    pub entry: usize,
    /// Service time of each task on a target without a fault.
    pub tasks: Vec<Duration>,
    /// Time allowed until the answer.
    pub deadline: Duration,
}

impl Job {
    /// Returns the lower bound of the response time: the client's round trip and the longest task.
    pub fn ideal(&self) -> Duration {
        CLIENT_LINK * 2 + self.tasks.iter().max().copied().unwrap_or_default()
    }
}

/// All jobs of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Scenario from which the jobs were generated.
    pub scenario: Scenario,
    /// Jobs in order of submission.
    pub jobs: Vec<Job>,
    /// One-way delay between an entry and a target.
    pub link: Duration,
    /// When a target is killed, in scenarios with [`Fault::Killed`].
    pub fault_at: Time,
}

impl Workload {
    /// Generates the jobs of a scenario for a run of `seconds` virtual seconds.
    pub fn new(scenario: Scenario, seconds: u64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = START + Duration::from_secs(seconds);
        let mut submitted_at = START + Duration::from_secs(1);
        let mut jobs = Vec::new();
        let slots = TARGETS as f64 * f64::from(SLOTS);
        // Lowers the load outside bursts, so that the mean is the scenario's load.
        let (burst_duration, burst_interval) = BURST;
        let burst_share = burst_duration.as_secs_f64() / burst_interval.as_secs_f64();
        let base_load = scenario.load / (1.0 + burst_share * (scenario.burst_factor - 1.0));
        while submitted_at < end {
            let job = generate_job(&scenario, submitted_at, &mut rng);
            let in_burst = submitted_at.since(START).as_millis() % burst_interval.as_millis()
                < burst_duration.as_millis();
            let load = base_load * if in_burst { scenario.burst_factor } else { 1.0 };
            let mean_seconds: f64 = mean_slot_seconds(scenario.client_mix);
            let rate = slots * load / mean_seconds;
            let uniform: f64 = rng.random_range(1e-9..1.0);
            submitted_at = submitted_at + Duration::from_secs_f64(-uniform.ln() / rate);
            jobs.push(job);
        }
        let link = match scenario.client_mix {
            ClientMix::Kyushu => Duration::from_millis(1),
            ClientMix::BlueMountain => Duration::from_micros(1_500),
        };
        let fault_at = START + Duration::from_secs(seconds / 3);
        Self { scenario, jobs, link, fault_at }
    }

    /// Returns a job's slot time as a share of the slot time of all targets during the run.
    pub fn capacity_share(&self, job: &Job) -> f64 {
        let last = self.jobs.last().map_or(START, |job| job.submitted_at);
        let capacity = TARGETS as f64 * f64::from(SLOTS) * last.since(START).as_secs_f64();
        job.tasks.iter().map(Duration::as_secs_f64).sum::<f64>() / capacity
    }

    /// Returns the service time at a target of a task that takes `task` without a fault.
    pub fn service_time_at(&self, target: usize, task: Duration) -> Duration {
        let is_straggler = self.scenario.fault == Fault::Straggler && target == 0;
        if is_straggler { task * 3 } else { task }
    }
}

/// Returns the mean slot time of a job, in seconds.
fn mean_slot_seconds(client_mix: ClientMix) -> f64 {
    // Mean number of tasks per job, from the distribution in `generate_job`.
    let tasks = match client_mix {
        ClientMix::Kyushu => (0.4 * 2.5) + 0.3 + 0.3,
        ClientMix::BlueMountain => 0.6 + (0.2 * 5.0) + 0.2,
    };
    // The factor is the mean service time of a task.
    tasks * 0.275
}

fn generate_job(scenario: &Scenario, submitted_at: Time, rng: &mut ChaCha8Rng) -> Job {
    let client_mix = scenario.client_mix;
    let job_sample: f64 = rng.random_range(0.0..1.0);
    let tasks = match client_mix {
        // Holds of one to four seats; settlements and lookups have one task.
        ClientMix::Kyushu if job_sample < 0.4 => rng.random_range(1..=4),
        ClientMix::Kyushu => 1,
        // Adjudications of two to eight games; moves and clock checks have one task.
        ClientMix::BlueMountain if job_sample < 0.6 => 1,
        ClientMix::BlueMountain if job_sample < 0.8 => rng.random_range(2..=8),
        ClientMix::BlueMountain => 1,
    };
    let entry_sample = rng.random_range(0..100);
    let entry = if entry_sample < ENTRY_SHARES[0] {
        0
    } else if entry_sample < ENTRY_SHARES[0] + ENTRY_SHARES[1] {
        1
    } else {
        2
    };
    let task = |_| Duration::from_micros(rng.random_range(50_000..500_000));
    Job { submitted_at, entry, tasks: (0..tasks).map(task).collect(), deadline: scenario.deadline }
}
