//! Runs in which a target crashes and restarts as a new instance at the same address, followed by
//! late heartbeats of earlier instances. Late heartbeats must not disturb the new instance.
//!
//! All runs are seeded; `DOCKPASS_LIFE_SEEDS=FIRST..END` selects other seeds.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::checks::{self, ObservedRuns};
use support::{Answer, FakeTarget, Fleet, eventually, seeds_from_env, unix_seconds};

/// Restarts of the target per run.
const RESTARTS: usize = 4;
/// Delay of the first late heartbeat in milliseconds.
const HEARTBEAT_DELAY_MS: std::ops::Range<u64> = 0..600;
/// Number of late heartbeats, and the gaps between them in milliseconds.
const LATE_HEARTBEATS: std::ops::Range<usize> = 1..4;
const HEARTBEAT_GAP_MS: std::ops::Range<u64> = 0..150;
/// Time in which commands in flight at a late heartbeat may still arrive.
const IN_FLIGHT: Duration = Duration::from_millis(300);
/// Run time and number of the tasks that run during late heartbeats.
const WORK_MS: u64 = 900;
const TASKS: u32 = 3;
const COMPLETED: &str = "{\"state\":\"completed\"}";

/// Seeds that failed when an agent took a late heartbeat of an earlier instance, unknown to it, for
/// a new one.
const REGRESSIONS: [u64; 1] = [3];

#[test]
fn a_late_heartbeat_of_an_earlier_instance_changes_nothing() {
    let mut faults = Vec::new();
    for seed in seeds_from_env("DOCKPASS_LIFE_SEEDS", &REGRESSIONS) {
        let found = run_until_undisturbed(seed);
        faults.extend(found.iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Maximum number of runs of a seed. A run is repeated if the host stalled a process, as entries
/// rightly refuse jobs after a stall.
const MAX_RUNS: u32 = 3;

/// Runs a seed until no process was stalled, if possible; returns the faults found.
fn run_until_undisturbed(seed: u64) -> Vec<String> {
    let mut faults = Vec::new();
    for _ in 0..MAX_RUNS {
        let fleet = Fleet::new(1);
        faults = run(seed, &fleet);
        if faults.is_empty() || fleet.logged_pauses() == 0 {
            break;
        }
        println!("seed {seed}: the host stalled a process; the run is repeated");
    }
    faults
}

/// Probability that the agent is killed and restarted, so that it knows no earlier instance.
const AGENT_RESTART_PROBABILITY: f64 = 0.4;
/// Probability of an earlier instance whose heartbeats were all delayed, and its clock.
const UNREPORTED_PROBABILITY: f64 = 0.3;
const UNREPORTED_CLOCK_MS: std::ops::Range<u64> = 1_000..1_400;

/// An earlier instance and its clock when it ended.
struct EarlierInstance {
    id: String,
    clock_ms: u64,
}

fn run(seed: u64, fleet: &Fleet) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let instance_id = |number: usize| format!("i-{seed}-{number}");
    let mut target =
        [FakeTarget::start(fleet.target_address(0), fleet.agent_address(0), &instance_id(0))];
    let _others = ["keeper", "entry"].map(|name| fleet.start(name));
    let mut agent = Some(fleet.start("agent0"));
    fleet.configure(7);
    fleet.wait_until_ready();
    let mut next_probe = 1;
    let mut earlier = Vec::new();
    let mut faults = Vec::new();
    for number in 1..=RESTARTS {
        let id = instance_id(number);
        println!("{:.3}: the target crashes and restarts as {id}", unix_seconds());
        let clock_ms = target[0].restart(&id);
        earlier.push(EarlierInstance { id: instance_id(number - 1), clock_ms });
        if rng.random_bool(UNREPORTED_PROBABILITY) {
            let clock_ms = rng.random_range(UNREPORTED_CLOCK_MS);
            earlier.push(EarlierInstance {
                id: format!("{}-unreported", instance_id(number)),
                clock_ms,
            });
        }
        wait_until_serving(fleet, &target[0], seed, &mut next_probe);
        if rng.random_bool(AGENT_RESTART_PROBABILITY) {
            println!("{:.3}: the agent is killed and restarted", unix_seconds());
            agent.take();
            agent = Some(fleet.start("agent0"));
            wait_until_serving(fleet, &target[0], seed, &mut next_probe);
        }
        faults.extend(run_job_with_late_heartbeats(
            fleet, &target[0], seed, number, &earlier, &mut rng,
        ));
    }
    drop(agent);
    let overlapping = checks::overlapping_runs(&target);
    faults.extend(overlapping.iter().map(|task| format!("{task} had overlapping runs")));
    faults
}

/// Waits until the agent acknowledged the new instance and it completes jobs.
fn wait_until_serving(fleet: &Fleet, target: &FakeTarget, seed: u64, next_probe: &mut u64) {
    eventually("the new instance is acknowledged", || {
        target.observed.lock().expect("the mutex is not poisoned").acknowledged.is_some()
    });
    eventually("the new instance completes jobs", || {
        let id = (seed << 32) | *next_probe;
        *next_probe += 1;
        fleet.submit_job(id, 1, 20).is_some_and(|answer| answer.body == COMPLETED)
    });
}

/// Sends late heartbeats while a job runs, and submits a job after each.
fn run_job_with_late_heartbeats(
    fleet: &Fleet,
    target: &FakeTarget,
    seed: u64,
    number: usize,
    earlier: &[EarlierInstance],
    rng: &mut ChaCha8Rng,
) -> Vec<String> {
    let first_id = (seed << 32) | (number as u64) << 16;
    let mut faults = Vec::new();
    let mut late_heartbeats = Vec::new();
    let answer = thread::scope(|scope| {
        let job = scope.spawn(|| fleet.submit_job(first_id, TASKS, WORK_MS));
        let name = format!("{first_id:016x}");
        eventually("the tasks of the job are running", || {
            observed_runs(target).starts_of(&name) == TASKS as usize
        });
        thread::sleep(Duration::from_millis(rng.random_range(HEARTBEAT_DELAY_MS)));
        for heartbeat in 1..=rng.random_range(LATE_HEARTBEATS) {
            let instance = &earlier[rng.random_range(0..earlier.len())];
            println!("{:.3}: a late heartbeat of {}", unix_seconds(), instance.id);
            target.send_late_heartbeat(&instance.id, instance.clock_ms);
            late_heartbeats.push((Instant::now(), instance.id.clone()));
            let after = fleet.submit_job(first_id + heartbeat as u64, 1, 20);
            faults.extend(completion_fault("a job after a late heartbeat", &after));
            thread::sleep(Duration::from_millis(rng.random_range(HEARTBEAT_GAP_MS)));
        }
        job.join().expect("the thread does not panic")
    });
    faults.extend(completion_fault("a job that ran during a late heartbeat", &answer));
    let observed_runs = observed_runs(target);
    let name = format!("{first_id:016x}");
    let (starts, done) =
        (observed_runs.starts_of(&name), observed_runs.done_by(&name, Instant::now()));
    if (starts, done) != (TASKS as usize, TASKS as usize) {
        faults.push(format!("job {name}: {starts} starts, {done} of {TASKS} tasks done"));
    }
    thread::sleep(IN_FLIGHT);
    faults.extend(misdirected_fault(target, &late_heartbeats));
    faults
}

fn observed_runs(target: &FakeTarget) -> ObservedRuns {
    ObservedRuns::of(std::slice::from_ref(target))
}

fn completion_fault(what: &str, answer: &Option<Answer>) -> Option<String> {
    match answer {
        Some(answer) if answer.body == COMPLETED => None,
        Some(answer) => Some(format!("{what}: {} {}", answer.status, answer.body)),
        None => Some(format!("{what}: no answer")),
    }
}

/// Reports commands for earlier instances that arrived outside the allowed time after a late
/// heartbeat.
fn misdirected_fault(target: &FakeTarget, late_heartbeats: &[(Instant, String)]) -> Option<String> {
    let observed = target.observed.lock().expect("the mutex is not poisoned");
    let first = late_heartbeats.first().map(|(at, _)| *at)?;
    let in_flight = |at: &Instant| {
        late_heartbeats
            .iter()
            .any(|(heartbeat, _)| at >= heartbeat && *at <= *heartbeat + IN_FLIGHT)
    };
    let misdirected =
        observed.misdirected.iter().filter(|(at, _)| *at > first && !in_flight(at)).count();
    (misdirected > 0)
        .then(|| format!("{misdirected} commands for earlier instances long after late heartbeats"))
}
