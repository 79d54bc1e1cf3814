//! Lives of a target: it crashes and begins a new life at the same address under a new id, and then a
//! heartbeat of an earlier life arrives. What runs on the new life runs on, and the old one gets no
//! orders; whether the agent has known the earlier life, was restarted since, or never heard of it.
//!
//! All runs are seeded; `DOCKPASS_LIFE_SEEDS=FIRST..END` runs other seeds by hand.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

mod support;

use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::checks::{self, Evidence};
use support::{Answer, Fleet, StandInTarget, eventually, seeds, unix_seconds};

/// Lives of the target after its first.
const LIVES: usize = 4;
/// How long after the new life was acknowledged the late heartbeats come, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 0..600;
/// How many late heartbeats come, and with what pauses between them in milliseconds.
const LATE_BEATS: std::ops::Range<usize> = 1..4;
const BETWEEN_MS: std::ops::Range<u64> = 0..150;
/// Orders that were under way when a late heartbeat came may still arrive for so long: one standing
/// hold (170 ms), and an order that is sent again (40 ms).
const MOMENT: Duration = Duration::from_millis(300);
/// How long the tasks take that run while late heartbeats come, and how many they are.
const WORK_MS: u64 = 900;
const TASKS: u32 = 3;
const COMPLETED: &str = "{\"state\":\"completed\"}";

/// Seeds that failed once, as nearly every one did, for one cause: an agent that had not heard of an
/// earlier life took its late heartbeat for a new life. It gave up the present one for good, and all
/// that ran there; what it sent to the earlier life was refused, and it had no target from then on.
const REGRESSIONS: [u64; 1] = [3];

#[test]
fn a_late_heartbeat_of_an_earlier_life_changes_nothing() {
    let mut faults = Vec::new();
    for seed in seeds("DOCKPASS_LIFE_SEEDS", &REGRESSIONS) {
        let found = run_undisturbed(seed);
        faults.extend(found.iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// A run proves nothing in which the host held up the fleet: an entry that notices a pause of its own
/// refuses or gives up what it has, as it should. It is played anew, so often at most.
const HELD_UP_RUNS: u32 = 3;

/// One run of a seed in which the host holds up no process, if there is one; returns what was wrong.
fn run_undisturbed(seed: u64) -> Vec<String> {
    let mut faults = Vec::new();
    for _ in 0..HELD_UP_RUNS {
        let fleet = Fleet::new(1);
        faults = run(seed, &fleet);
        if faults.is_empty() || fleet.pauses() == 0 {
            break;
        }
        println!("seed {seed}: the host held up the fleet: it is played anew");
    }
    faults
}

/// How often the agent is killed and started again after the new life was heard: it knows nothing of
/// earlier lives then.
const AGENT_RESTARTS: f64 = 0.4;
/// How often there was a life between whose heartbeats have all been held up, and its clock.
const UNHEARD_LIVES: f64 = 0.3;
const UNHEARD_CLOCK_MS: std::ops::Range<u64> = 1_000..1_400;

/// A life that is over: its id, and its clock at the end.
struct EarlierLife {
    id: String,
    clock_ms: u64,
}

fn run(seed: u64, fleet: &Fleet) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let life = |number: usize| format!("i-{seed}-{number}");
    let mut target = [StandInTarget::start(fleet.target(0), fleet.agent(0), &life(0))];
    let _others = ["keeper", "entry"].map(|name| fleet.start(name));
    let mut agent = Some(fleet.start("agent0"));
    fleet.configure(7);
    fleet.until_ready();
    let mut probes = 1;
    let mut earlier = Vec::new();
    let mut faults = Vec::new();
    for number in 1..=LIVES {
        let id = life(number);
        println!("{:.3}: the target crashes and is {id}", unix_seconds());
        let clock_ms = target[0].begin_new_life(&id);
        earlier.push(EarlierLife { id: life(number - 1), clock_ms });
        if rng.random_bool(UNHEARD_LIVES) {
            let clock_ms = rng.random_range(UNHEARD_CLOCK_MS);
            earlier.push(EarlierLife { id: format!("{}-unheard", life(number)), clock_ms });
        }
        until_serving(fleet, &target[0], seed, &mut probes);
        if rng.random_bool(AGENT_RESTARTS) {
            println!("{:.3}: the agent is killed and started again", unix_seconds());
            agent.take();
            agent = Some(fleet.start("agent0"));
            until_serving(fleet, &target[0], seed, &mut probes);
        }
        faults.extend(with_late_beats(fleet, &target[0], seed, number, &earlier, &mut rng));
    }
    drop(agent);
    let twice = checks::ran_twice_at_once(&target);
    faults.extend(twice.iter().map(|task| format!("{task} ran twice at once")));
    faults
}

/// Waits until the new life was heard and serves jobs.
fn until_serving(fleet: &Fleet, target: &StandInTarget, seed: u64, probes: &mut u64) {
    eventually("the new life is acknowledged", || {
        target.seen.lock().expect("nobody panicked with it").acknowledged.is_some()
    });
    eventually("the new life serves jobs", || {
        let id = (seed << 32) | *probes;
        *probes += 1;
        fleet.job(id, 1, 20).is_some_and(|answer| answer.body == COMPLETED)
    });
}

/// Late heartbeats come while a job runs, and jobs are handed in after each.
fn with_late_beats(
    fleet: &Fleet,
    target: &StandInTarget,
    seed: u64,
    number: usize,
    earlier: &[EarlierLife],
    rng: &mut ChaCha8Rng,
) -> Vec<String> {
    let first = (seed << 32) | (number as u64) << 16;
    let mut faults = Vec::new();
    let mut late = Vec::new();
    let answer = thread::scope(|scope| {
        let job = scope.spawn(|| fleet.job(first, TASKS, WORK_MS));
        let name = format!("{first:016x}");
        eventually("the job runs", || evidence(target).starts_of(&name) == TASKS as usize);
        thread::sleep(Duration::from_millis(rng.random_range(LATE_MS)));
        for beat in 1..=rng.random_range(LATE_BEATS) {
            let life = &earlier[rng.random_range(0..earlier.len())];
            println!("{:.3}: a late heartbeat of {}", unix_seconds(), life.id);
            target.late_beat(&life.id, life.clock_ms);
            late.push((Instant::now(), life.id.clone()));
            let after = fleet.job(first + beat as u64, 1, 20);
            faults.extend(not_completed("a job after a late heartbeat", &after));
            thread::sleep(Duration::from_millis(rng.random_range(BETWEEN_MS)));
        }
        job.join().expect("no panic")
    });
    faults.extend(not_completed("a job that ran when a late heartbeat came", &answer));
    let evidence = evidence(target);
    let name = format!("{first:016x}");
    let (starts, done) = (evidence.starts_of(&name), evidence.done_by(&name, Instant::now()));
    if (starts, done) != (TASKS as usize, TASKS as usize) {
        faults.push(format!("job {name}: {starts} starts, {done} of {TASKS} tasks done"));
    }
    thread::sleep(MOMENT);
    faults.extend(misdirected(target, &late));
    faults
}

fn evidence(target: &StandInTarget) -> Evidence {
    Evidence::of(std::slice::from_ref(target))
}

fn not_completed(what: &str, answer: &Option<Answer>) -> Option<String> {
    match answer {
        Some(answer) if answer.body == COMPLETED => None,
        Some(answer) => Some(format!("{what}: {} {}", answer.status, answer.body)),
        None => Some(format!("{what}: no answer")),
    }
}

/// Orders for earlier lives that came more than a moment after each late heartbeat.
fn misdirected(target: &StandInTarget, late: &[(Instant, String)]) -> Option<String> {
    let seen = target.seen.lock().expect("nobody panicked with it");
    let first = late.first().map(|(at, _)| *at)?;
    let by_moment = |at: &Instant| late.iter().any(|(beat, _)| at >= beat && *at <= *beat + MOMENT);
    let wrong = seen.misdirected.iter().filter(|(at, _)| *at > first && !by_moment(at)).count();
    (wrong > 0).then(|| format!("{wrong} orders for earlier lives long after late heartbeats"))
}
