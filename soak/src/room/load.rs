//! A load played in virtual time: what callers get where many entries place tasks at many targets.
//!
//! The decisions are those of the product; time passes on links and in tasks alone. Used for choices of
//! policy and sizes, and for tests that hold what they gain.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{JobRequest, Outcome, TaskShape};
use model::{JobId, NodeName, Resources, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use subset::{Subset, SubsetSizes};
use wire::Document;

use super::RoomTimes;
use super::client::Client;
use super::sets::Sets;
use super::world::{Happening, START, World};

/// Processes have found each other by then.
const WARM_UP: Duration = Duration::from_secs(3);
/// Jobs are answered so long after the last came.
const COOL_DOWN: Duration = Duration::from_secs(6);
/// What part of its worth a job earns that ends after its objective.
const LATE_PART: f64 = 0.2;
/// Standard deviations of the logarithms of tasks a job, of a task's time, and of what an estimate is off.
const SPREAD: f64 = 0.4;
/// How much a job may take against its estimate, and what is added, in ms.
const STRETCH: f64 = 1.6;
const TARGET_LATENCY_MS: f64 = 60.0;

/// How many kinds of jobs there are; each has a priority of its own.
const KINDS: usize = 3;

/// One kind of jobs.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// What part of all jobs are of it.
    part: f64,
    /// Tasks of one.
    tasks: u32,
    /// A task's mean time, in ms.
    millis: f64,
    priority: u8,
    worth: f64,
}

/// What callers ask for, and the targets that it is for.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// What targets have, by turns, in thousandths of a core.
    target_cpu: [u64; 3],
    /// Mean processor of a task, in thousandths of a core.
    task_cpu: f64,
    kinds: [Kind; KINDS],
}

impl Work {
    /// A task takes a fifth of a target. The users' ticketing service, by the page of their large deployment.
    pub const LARGE_TASKS: Self = Self {
        target_cpu: [16_000, 16_000, 24_000],
        task_cpu: 3_800.0,
        kinds: [
            Kind { part: 0.244, tasks: 8, millis: 60.0, priority: 0, worth: 3.23 },
            Kind { part: 0.712, tasks: 2, millis: 200.0, priority: 1, worth: 1.11 },
            Kind { part: 0.044, tasks: 4, millis: 900.0, priority: 2, worth: 17.8 },
        ],
    };
    /// A task takes a tenth of a target, and there are twice as many long jobs. The same service some months
    /// later, by its page.
    pub const SMALL_TASKS: Self = Self {
        target_cpu: [32_000, 32_000, 48_000],
        task_cpu: 3_300.0,
        kinds: [
            Kind { part: 0.232, tasks: 8, millis: 60.0, priority: 0, worth: 4.85 },
            Kind { part: 0.676, tasks: 2, millis: 200.0, priority: 1, worth: 1.67 },
            Kind { part: 0.092, tasks: 4, millis: 900.0, priority: 2, worth: 26.7 },
        ],
    };
}

/// More jobs than usual for a while.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// When it begins, after the first job.
    pub from: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// How many times as many jobs come.
    pub times: f64,
}

/// Agents that no entry reaches for a while.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// When it begins, after the first job.
    pub from: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What part of the agents is cut off.
    pub part: f64,
}

/// Entries whose links carry little, and a configuration that every agent knows from its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowLinks {
    /// What one entry's link carries.
    pub bytes_per_s: u64,
    /// How large the configuration is.
    pub document_bytes: usize,
}

/// A load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Makes the run.
    pub seed: u64,
    /// How many entries there are.
    pub entries: usize,
    /// How many agents, each with a target.
    pub agents: usize,
    /// How many entries an agent serves; all of them where none is given.
    pub sizes: Option<SubsetSizes>,
    /// What callers ask for.
    pub work: Work,
    /// What part of all room jobs take on the mean.
    pub usage: f64,
    /// How long jobs come.
    pub span: Duration,
    /// More jobs for a while.
    pub surge: Option<Surge>,
    /// Fewer targets for a while.
    pub cut: Option<Cut>,
    /// What part of their orders targets leave unanswered and carry out late.
    pub unanswered: f64,
    /// Links that hold up what is sent to entries; none carries all at once.
    pub links: Option<SlowLinks>,
    /// The times of entries and agents.
    pub times: RoomTimes,
}

/// What callers got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadResult {
    /// Jobs handed in.
    pub jobs: u64,
    /// Completed within their objective.
    pub in_time: u64,
    /// Completed later.
    pub late: u64,
    /// Answered as not run.
    pub not_run: u64,
    /// What part of the worth of all jobs was earned,
    pub worth: f64,
    /// and of those of each priority.
    pub worth_by_priority: [f64; KINDS],
    /// Starts for each task that was started.
    pub starts_per_task: f64,
    /// Messages in sessions for each job.
    pub messages_per_job: f64,
    /// From handing in to the first start, in ms: half of the jobs, and 95 of 100.
    pub first_start_ms: (f64, f64),
    /// Sessions of each entry, fewest and most.
    pub sessions: (usize, usize),
    /// Entries that have the configuration at the end.
    pub with_document: usize,
}

impl LoadResult {
    /// The part of the jobs that ended within their objective.
    pub fn in_time_part(&self) -> f64 {
        self.in_time as f64 / self.jobs.max(1) as f64
    }
}

/// What is counted while a run goes on.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub messages: u64,
    in_time: u64,
    late: u64,
    not_run: u64,
    /// Worth that was asked for and earned, by priority.
    worth: [(f64, f64); KINDS],
    first_starts: Vec<Duration>,
}

impl Tally {
    pub fn answered(&mut self, now: Time, client: &Client, outcome: Outcome) {
        let in_time = now.since(client.first) <= client.objective;
        let earned = match outcome {
            Outcome::Completed if in_time => 1.0,
            Outcome::Completed => LATE_PART,
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

    pub fn started(&mut self, now: Time, client: &mut Client) {
        if !std::mem::replace(&mut client.begun, true) {
            self.first_starts.push(now.since(client.first));
        }
    }
}

/// Plays a load.
pub fn play_load(load: &Load) -> LoadResult {
    let rng = ChaCha8Rng::seed_from_u64(load.seed);
    let sets = Sets::fixed(load.seed, sets_of(load));
    let mut world = World::empty(rng, load.times, sets);
    (0..load.entries).for_each(|_| world.add_entry());
    let capacities = load.work.target_cpu.iter().cycle().take(load.agents);
    capacities.for_each(|cpu| world.add_agent(*cpu, false));
    slow_links(&mut world, load);
    world.unanswered = load.unanswered;
    world.start_processes();
    let jobs = hand_in(&mut world, load);
    cut_off(&mut world, load);
    world.run_until(START + WARM_UP);
    let before = (world.tally.messages, sessions(&world));
    world.run_until(START + WARM_UP + load.span);
    let messages = world.tally.messages - before.0;
    world.run_until(START + WARM_UP + load.span + COOL_DOWN);
    result(&mut world, jobs, messages, before.1)
}

fn sets_of(load: &Load) -> Vec<BTreeSet<usize>> {
    let all = || (0..load.entries).collect::<BTreeSet<usize>>();
    let Some(sizes) = load.sizes else { return vec![all(); load.agents] };
    let address = |entry: usize| SocketAddr::from(([10, 0, 0, 0], entry as u16));
    let names: Vec<NodeName> =
        (0..load.entries).map(|entry| NodeName::new(&format!("entry-{entry}"))).collect();
    let choose = |agent: usize| {
        let mut subset = Subset::new(NodeName::new(&format!("agent-{agent}")), sizes);
        let listed = names.iter().enumerate().map(|(entry, name)| (name, address(entry)));
        subset.update_registered(START, listed, load.agents);
        subset.select(START);
        let settled = subset.select(START + WARM_UP);
        settled.into_iter().map(|address| usize::from(address.port())).collect()
    };
    (0..load.agents).map(choose).collect()
}

/// Draws the clients; returns how many there are.
fn hand_in(world: &mut World, load: &Load) -> u64 {
    let room: u64 = world.agents.iter().map(|agent| agent.capacity.cpu_milli).sum();
    let work_of = |kind: &Kind| kind.part * f64::from(kind.tasks) * kind.millis;
    let job_work = load.work.kinds.iter().map(work_of).sum::<f64>() * load.work.task_cpu;
    let per_ms = room as f64 * load.usage / job_work;
    // The balancer hands clients out by a hash, so that entries get uneven shares.
    let shares: Vec<f64> =
        (0..load.entries).map(|_| world.rng.random_range(0.2_f64..1.8)).collect();
    let all_shares: f64 = shares.iter().sum();
    let mut after = 0.0;
    let mut number = 0;
    while after < load.span.as_secs_f64() * 1e3 {
        let surge = load.surge.filter(|surge| {
            let since = after - surge.from.as_secs_f64() * 1e3;
            since >= 0.0 && since < surge.span.as_secs_f64() * 1e3
        });
        let rate = per_ms * surge.map_or(1.0, |surge| surge.times);
        after -= (1.0 - world.rng.random::<f64>()).ln() / rate;
        number += 1;
        let first = START + WARM_UP + Duration::from_secs_f64(after / 1e3);
        let mut client = draw(world, &load.work, number, first);
        let mut share = world.rng.random_range(0.0..all_shares);
        let entry = shares.iter().position(|own| {
            share -= own;
            share < 0.0
        });
        client.entry = Some(entry.unwrap_or(0));
        let id = client.request.id.clone();
        world.clients.insert(id.clone(), client);
        world.at_time(first, Happening::Submit(id));
    }
    u64::from(number)
}

fn draw(world: &mut World, work_mix: &Work, number: u32, first: Time) -> Client {
    let rng = &mut world.rng;
    let mut kind = rng.random::<f64>();
    let kind = work_mix
        .kinds
        .iter()
        .find(|candidate| {
            kind -= candidate.part;
            kind < 0.0
        })
        .unwrap_or(&work_mix.kinds[1]);
    let count = (f64::from(kind.tasks) * spread(rng)).round().max(1.0) as u32;
    let mean = kind.millis * spread(rng);
    let work: Vec<(Duration, bool)> = (0..count)
        .map(|_| (Duration::from_secs_f64(mean * rng.random_range(0.85..1.15) / 1e3), false))
        .collect();
    let longest = work.iter().map(|(time, _)| *time).max().unwrap_or_default();
    let objective = longest.mul_f64(STRETCH) + Duration::from_secs_f64(TARGET_LATENCY_MS / 1e3);
    let estimated_ms = (mean * spread(rng)) as u32;
    let cpu_milli = (work_mix.task_cpu * rng.random_range(0.7..1.3)) as u64;
    let shape = TaskShape {
        count,
        resources: Resources { cpu_milli, memory_mb: 64, gpu: 0 },
        estimated_ms,
        requirement: None,
        affinity: None,
        max_per_target: None,
    };
    let known = Duration::from_millis(u64::from(estimated_ms)).mul_f64(STRETCH)
        + Duration::from_secs_f64(TARGET_LATENCY_MS / 1e3);
    let request = JobRequest {
        id: JobId::new(&format!("{number:016x}")),
        queue: "queue".into(),
        service: "work".into(),
        spec: "spec".into(),
        shape,
        priority: kind.priority,
        max_attempts: 4,
        objective: known,
        deadline: objective * 3,
    };
    let mut client = Client::with_request(request, work, first);
    client.objective = objective;
    client.worth = kind.worth;
    client
}

/// A factor whose logarithm is spread evenly, with the spread's standard deviation.
fn spread(rng: &mut ChaCha8Rng) -> f64 {
    let half_width = SPREAD * 3.0_f64.sqrt();
    rng.random_range(-half_width..half_width).exp()
}

fn slow_links(world: &mut World, load: &Load) {
    let Some(links) = load.links else { return };
    world.limit_links(links.bytes_per_s);
    // It travels packed: what is told apart by nothing takes its length on a link.
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let text: String = (0..links.document_bytes).map(|_| rng.random_range('!'..='~')).collect();
    world.document = Some(Document::new(1, text));
}

fn cut_off(world: &mut World, load: &Load) {
    let Some(cut) = load.cut else { return };
    for agent in 0..load.agents {
        if world.rng.random_bool(cut.part) {
            world.at(WARM_UP + cut.from, Happening::CutOff(agent, cut.span));
        }
    }
}

fn sessions(world: &World) -> (usize, usize) {
    let of_entry = || world.entries.iter().map(|entry| entry.sessions.len());
    (of_entry().min().unwrap_or(0), of_entry().max().unwrap_or(0))
}

fn result(world: &mut World, jobs: u64, messages: u64, sessions: (usize, usize)) -> LoadResult {
    let counters: Vec<_> = world
        .entries
        .iter()
        .filter_map(|entry| entry.dispatcher.as_ref())
        .map(|dispatcher| dispatcher.counters())
        .collect();
    let starts: u64 = counters.iter().map(|counters| counters.starts).sum();
    let tally = &mut world.tally;
    tally.first_starts.sort_unstable();
    let at = |part: f64| {
        let index = (tally.first_starts.len() as f64 * part) as usize;
        tally.first_starts.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
    };
    let (asked, earned) = tally
        .worth
        .iter()
        .fold((0.0, 0.0), |(asked, earned), kind| (asked + kind.0, earned + kind.1));
    LoadResult {
        jobs,
        worth: earned / asked,
        worth_by_priority: tally.worth.map(|(asked, earned)| earned / asked),
        in_time: tally.in_time,
        late: tally.late,
        not_run: tally.not_run,
        starts_per_task: starts as f64 / world.checks.summary.started.max(1) as f64,
        messages_per_job: messages as f64 / jobs.max(1) as f64,
        first_start_ms: (at(0.5), at(0.95)),
        sessions,
        with_document: world.with_document(),
    }
}
