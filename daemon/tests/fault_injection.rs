//! Seeded runs of real processes under overlapping faults: signals to processes, link faults,
//! silent connections, large configurations over slow links, and targets that leave.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::checks::{self, ObservedRuns};
use support::fake_target::Leave;
use support::process::FaultyProcess;
use support::proxy::{Direction, Fault, Proxy, Silence};
use support::{FakeTarget, Fleet, eventually, number_from_env, seeds_from_env, unix_seconds};

const COMPLETED: &str = "{\"state\":\"completed\"}";
const AGENTS: usize = 3;
/// Entries of a fleet with proxies.
const ENTRIES: usize = 2;
/// Time during which faults are injected.
const FAULTS_TIME: Duration = Duration::from_secs(4);
/// Delay before a client retries a request.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
const CLIENTS: u64 = 6;
/// Timeout of a client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of tries per job.
const MAX_TRIES: u32 = 3;

/// Seeds that failed when the fake target expired leases only on incoming commands.
const REGRESSIONS: [u64; 3] = [128, 137, 149];
/// Seeds that failed with link faults.
const LINK_REGRESSIONS: [u64; 0] = [];
/// Seeds that failed with silent connections.
const SILENT_REGRESSIONS: [u64; 0] = [];
/// Seeds that failed with large configurations.
const LARGE_REGRESSIONS: [u64; 0] = [];
/// Seeds that failed when an agent took a deregistration for the end of the target's runs.
const LEAVE_REGRESSIONS: [u64; 2] = [2, 6];

/// Kind of faults injected into the links of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkFaults {
    None,
    /// Links delay data, hold it back or reset connections.
    Mixed,
    /// Connections go silent permanently.
    Silent,
    /// Links are slow while large configurations are sent.
    Slow,
}

/// The clients of a run, and its faults besides signals to processes.
struct Scenario {
    link_faults: LinkFaults,
    /// Whether targets leave and are replaced, over and over.
    leaves: bool,
    clients: u64,
    /// Run time of tasks in milliseconds.
    work_ms: Range<u64>,
    /// Time between faults of processes and links in milliseconds.
    fault_gap_ms: Range<u64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            link_faults: LinkFaults::None,
            leaves: false,
            clients: CLIENTS,
            work_ms: 20..300,
            fault_gap_ms: 50..400,
        }
    }
}

#[test]
fn jobs_get_correct_answers_under_signals() {
    for seed in seeds_from_env("DOCKPASS_FAULT_SEEDS", &REGRESSIONS) {
        run(seed, &Fleet::new(AGENTS), &Scenario::default());
    }
}

/// Guards against tasks that start elsewhere while a target that has deregistered works on them.
#[test]
fn jobs_get_correct_answers_under_signals_and_leaves() {
    let mut runs_at_leave = 0;
    for seed in seeds_from_env("DOCKPASS_LEAVE_SEEDS", &LEAVE_REGRESSIONS) {
        let agents = number_from_env("DOCKPASS_LEAVE_AGENTS", AGENTS);
        let clients = number_from_env("DOCKPASS_LEAVE_CLIENTS", CLIENTS as usize) as u64;
        let scenario = Scenario {
            leaves: true,
            clients,
            work_ms: 100..900,
            fault_gap_ms: 300..1_000,
            ..Scenario::default()
        };
        runs_at_leave += run(seed, &Fleet::with_entries(ENTRIES, agents), &scenario);
    }
    assert!(runs_at_leave > 0, "no target left with active runs");
}

#[test]
fn jobs_get_correct_answers_under_signals_and_faulty_links() {
    for seed in seeds_from_env("DOCKPASS_LINK_SEEDS", &LINK_REGRESSIONS) {
        run_with_proxies(seed, LinkFaults::Mixed);
    }
}

#[test]
fn jobs_get_correct_answers_under_signals_and_silent_connections() {
    for seed in seeds_from_env("DOCKPASS_SILENT_SEEDS", &SILENT_REGRESSIONS) {
        run_with_proxies(seed, LinkFaults::Silent);
    }
}

#[test]
fn jobs_get_correct_answers_under_signals_and_large_configurations() {
    for seed in seeds_from_env("DOCKPASS_LARGE_SEEDS", &LARGE_REGRESSIONS) {
        run_with_proxies(seed, LinkFaults::Slow);
    }
}

fn run_with_proxies(seed: u64, link_faults: LinkFaults) {
    let entries = number_from_env("DOCKPASS_LINK_ENTRIES", ENTRIES);
    let agents = number_from_env("DOCKPASS_LINK_AGENTS", AGENTS);
    let clients = number_from_env("DOCKPASS_LINK_CLIENTS", CLIENTS as usize) as u64;
    let scenario = Scenario { link_faults, clients, ..Scenario::default() };
    run(seed, &Fleet::with_proxies(entries, agents), &scenario);
}

/// Runs a seed and checks its answers; returns the number of runs that targets had when they left.
fn run(seed: u64, fleet: &Fleet, scenario: &Scenario) -> usize {
    let agents = fleet.names().iter().filter(|name| name.starts_with("agent")).count();
    let mut targets: Vec<FakeTarget> = (0..agents)
        .map(|number| {
            FakeTarget::start(
                fleet.target_address(number),
                fleet.agent_address(number),
                &format!("i-{number}"),
            )
        })
        .collect();
    let start = |name| FaultyProcess::start(fleet, name);
    let mut processes: Vec<FaultyProcess> = fleet.names().into_iter().map(start).collect();
    let mut configurations = Configurations { sent: FIRST_VERSION, acknowledged: FIRST_VERSION };
    fleet.configure(FIRST_VERSION);
    fleet.wait_until_ready();
    let finished = AtomicBool::new(false);
    let answers = Answers::default();
    let runs_at_leave = AtomicUsize::new(0);
    thread::scope(|scope| {
        for client in 0..scenario.clients {
            let (finished, answers, work_ms) = (&finished, &answers, &scenario.work_ms);
            scope.spawn(move || submit_jobs(fleet, seed, client, work_ms, finished, answers));
        }
        for (number, target) in targets.iter_mut().enumerate().filter(|_| scenario.leaves) {
            let (finished, runs_at_leave) = (&finished, &runs_at_leave);
            scope.spawn(move || leave_repeatedly(target, seed, number, finished, runs_at_leave));
        }
        inject_faults(fleet, &mut processes, seed, scenario, &mut configurations);
        finished.store(true, Ordering::Relaxed);
    });
    recover_all(fleet, &mut processes);
    fleet.wait_until_ready();
    fleet.wait_for_version(configurations.acknowledged);
    let mut id = 0xcafe_0000;
    eventually("jobs are completed after the faults", || {
        id += 1;
        fleet.submit_job(id, 3, 50).is_some_and(|answer| answer.body == COMPLETED)
    });
    let observed_runs = ObservedRuns::of(&targets);
    let completed = answers.completed.into_inner().expect("no client panicked");
    assert!(!completed.is_empty(), "seed {seed}: no job was completed");
    for (id, count, at) in completed {
        let done = observed_runs.done_by(&id, at);
        assert!(
            done >= count,
            "seed {seed}: job {id} reported completed with {done} of {count} tasks done"
        );
    }
    for id in answers.not_run.lock().expect("no client panicked").iter() {
        let starts = observed_runs.starts_of(id);
        assert_eq!(starts, 0, "seed {seed}: job {id} was refused but its tasks were started");
    }
    let overlapping = checks::overlapping_runs(&targets);
    assert!(overlapping.is_empty(), "seed {seed}: tasks with overlapping runs: {overlapping:?}");
    runs_at_leave.into_inner()
}

/// Answers that clients received.
#[derive(Default)]
struct Answers {
    /// Completed jobs: identifier, number of tasks, and time of the answer.
    completed: Mutex<Vec<(String, usize, Instant)>>,
    /// Jobs refused at their first try, which must never run.
    not_run: Mutex<Vec<String>>,
}

/// Submits jobs one after the other; retries those without an answer or that may have run.
fn submit_jobs(
    fleet: &Fleet,
    seed: u64,
    client: u64,
    work_ms: &Range<u64>,
    finished: &AtomicBool,
    answers: &Answers,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + client);
    let mut number = 0;
    while !finished.load(Ordering::Relaxed) {
        number += 1;
        let id = (seed << 32) | (client << 16) | number;
        let (count, work_ms) = (rng.random_range(1..5), rng.random_range(work_ms.clone()));
        for attempt in 0..MAX_TRIES {
            let entry = (client as usize + attempt as usize) % fleet.entry_count();
            let answer = fleet.submit_job_within(entry, id, count, work_ms, CLIENT_TIMEOUT);
            match answer.map(|answer| (answer.status, answer.body)) {
                Some((200, body)) => {
                    // No task fails here, so no other body is correct.
                    assert_eq!(body, COMPLETED, "seed {seed}, job {id:016x}");
                    let mut completed = answers.completed.lock().expect("no client panicked");
                    completed.push((format!("{id:016x}"), count as usize, Instant::now()));
                    break;
                }
                Some((503, _)) => {
                    if attempt == 0 {
                        let mut not_run = answers.not_run.lock().expect("no client panicked");
                        not_run.push(format!("{id:016x}"));
                    }
                    break;
                }
                Some((504, _)) | None => thread::sleep(RETRY_DELAY),
                Some(other) => panic!("seed {seed}, job {id:016x}: {other:?}"),
            }
        }
    }
}

/// Times from the deregistration of a target to its end, in milliseconds; the last one exceeds the
/// lease of its runs.
const END_DELAYS_MS: [u64; 4] = [0, 20, 300, 1_200];

/// How long a target that is to leave waits for runs.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Lets a target leave and start again as the next instance until the run is finished; counts the
/// runs that it had when it deregistered.
fn leave_repeatedly(
    target: &mut FakeTarget,
    seed: u64,
    number: usize,
    finished: &AtomicBool,
    runs_at_leave: &AtomicUsize,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + 500 + number as u64);
    let mut instance = 0;
    while !finished.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(200..1_200)));
        let idle_since = Instant::now();
        while target.active_runs() == 0 && idle_since.elapsed() < MAX_IDLE_TIME {
            thread::sleep(Duration::from_millis(10));
        }
        let end_delay_ms = END_DELAYS_MS[rng.random_range(0..END_DELAYS_MS.len())];
        let leave = Leave {
            drain: Duration::from_millis(rng.random_range(0..400)),
            end_delay: Duration::from_millis(end_delay_ms),
            closes_listener: rng.random_bool(0.3),
        };
        println!("{:.3}: target {number}: {leave:?}", unix_seconds());
        runs_at_leave.fetch_add(target.leave(leave), Ordering::Relaxed);
        thread::sleep(Duration::from_millis(rng.random_range(100..800)));
        instance += 1;
        target.restart(&format!("i-{number}-{instance}"));
    }
}

/// Injects faults one after the other, without waiting for recovery.
fn inject_faults(
    fleet: &Fleet,
    processes: &mut [FaultyProcess],
    seed: u64,
    scenario: &Scenario,
    configurations: &mut Configurations,
) {
    let link_faults = scenario.link_faults;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let started = Instant::now();
    while started.elapsed() < FAULTS_TIME {
        thread::sleep(Duration::from_millis(rng.random_range(scenario.fault_gap_ms.clone())));
        for process in processes.iter_mut() {
            process.recover(fleet, Instant::now());
        }
        let downtime = Duration::from_millis(rng.random_range(100..1_200));
        if link_faults != LinkFaults::None && rng.random_bool(LINK_FAULT_PROBABILITY) {
            match link_faults {
                LinkFaults::Silent => silence_connections(fleet, &mut rng),
                LinkFaults::Slow if rng.random_bool(0.5) => {
                    configurations.send_large(fleet, rng.random_range(100_000..3_000_000));
                }
                LinkFaults::Slow => slow_link(fleet, &mut rng, Instant::now() + 2 * downtime),
                _ => inject_link_fault(fleet, &mut rng, Instant::now() + downtime),
            }
            continue;
        }
        let process = &mut processes[rng.random_range(0..processes.len())];
        process.inject(rng.random_range(0..3), Instant::now() + downtime);
    }
}

/// Version of the initial configuration.
const FIRST_VERSION: u64 = 7;

/// Versions of the configurations sent.
struct Configurations {
    sent: u64,
    /// Highest acknowledged version, which must reach every entry.
    acknowledged: u64,
}

impl Configurations {
    /// Sends the next version with padding.
    fn send_large(&mut self, fleet: &Fleet, padding: usize) {
        self.sent += 1;
        let acknowledged = fleet.try_configure(self.sent, padding);
        println!("{:.3}: version {}, acknowledged: {acknowledged}", unix_seconds(), self.sent);
        if acknowledged {
            self.acknowledged = self.sent;
        }
    }
}

/// Limits a link so that a large configuration takes seconds.
fn slow_link(fleet: &Fleet, rng: &mut ChaCha8Rng, until: Instant) {
    let number = rng.random_range(0..fleet.proxies().len());
    let bytes_per_s = rng.random_range(250_000..4_000_000);
    println!("{:.3}: link {number}: {bytes_per_s} bytes a second", unix_seconds());
    fleet.proxies()[number].inject(Fault::Slow(bytes_per_s), Direction::Both, until);
}

/// Probability that an injected fault is a link fault, in runs with link faults.
const LINK_FAULT_PROBABILITY: f64 = 0.6;

fn inject_link_fault(fleet: &Fleet, rng: &mut ChaCha8Rng, until: Instant) {
    let number = rng.random_range(0..fleet.proxies().len());
    let link = &fleet.proxies()[number];
    let fault = match rng.random_range(0..5) {
        0 => Fault::Delayed(Duration::from_millis(rng.random_range(5..300))),
        1 => Fault::Reset,
        _ => Fault::HeldBack,
    };
    let direction = match rng.random_range(0..3) {
        0 => Direction::ToServer,
        1 => Direction::ToClient,
        _ => Direction::Both,
    };
    println!("{:.3}: link {number}: {fault:?} {direction:?}", unix_seconds());
    link.inject(fault, direction, until);
}

/// Silences one or all connections between agents and an entry, or between an agent and its target.
fn silence_connections(fleet: &Fleet, rng: &mut ChaCha8Rng) {
    let of_sessions = rng.random_bool(0.5);
    let proxies: Vec<&Proxy> = match of_sessions {
        true => fleet.session_proxies().collect(),
        false => fleet.command_proxies().collect(),
    };
    let number = rng.random_range(0..proxies.len());
    let silence = if rng.random_bool(0.5) { Silence::Dropped } else { Silence::NotRead };
    let all = rng.random_bool(0.5);
    let kind = if of_sessions { "sessions" } else { "commands" };
    println!("{:.3}: {kind} {number}: {silence:?}, all: {all}", unix_seconds());
    match all {
        true => {
            proxies[number].silence_all(silence);
        }
        false => proxies[number].silence_one(silence, |open| rng.random_range(0..open)),
    }
}

fn recover_all(fleet: &Fleet, processes: &mut [FaultyProcess]) {
    fleet.proxies().iter().for_each(Proxy::clear_fault);
    for process in processes {
        let later = Instant::now() + Duration::from_secs(60);
        process.recover_at.get_or_insert(later);
        process.recover(fleet, later);
    }
}
