//! A short seeded run of real processes under signals: killed, stopped by plan, paused and started
//! again, in series that overlap, while clients hand in jobs and send again what broke.
//!
//! `DOCKPASS_FAULT_SEEDS=FIRST..END` runs other seeds by hand.

mod room_support;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use room_support::{Fleet, Process, StandInTarget, eventually};

const COMPLETED: &str = "{\"state\":\"completed\"}";
const AGENTS: usize = 3;
/// How long faults strike.
const TROUBLED: Duration = Duration::from_secs(4);
/// How long after a broken try a client sends again.
const RESEND: Duration = Duration::from_millis(1_300);
const CLIENTS: u64 = 6;
/// How long a client waits for an answer.
const CLIENT_TIME: Duration = Duration::from_secs(4);
/// Most tries of a client.
const TRIES: u32 = 3;

/// A process that faults strike, or that is away for a moment.
struct Struck {
    name: &'static str,
    process: Option<Process>,
    back_at: Option<Instant>,
    paused: bool,
}

/// Seeds that failed once, all three for one cause in the stand-in: it let a lease run out only when
/// it was asked, so that what had lapsed while its agent was away seemed to run on.
const REGRESSIONS: [u64; 3] = [128, 137, 149];
/// The seed of every run of the tests besides.
const SEED: u64 = 1;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("DOCKPASS_FAULT_SEEDS") else {
        return [SEED].into_iter().chain(REGRESSIONS).collect();
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    let first: u64 = first.parse().expect("a number");
    (first..end.parse().expect("a number")).collect()
}

#[test]
fn jobs_are_answered_truly_under_signals() {
    for seed in seeds() {
        run(seed);
    }
}

fn run(seed: u64) {
    let fleet = Fleet::new(AGENTS);
    let targets: Vec<StandInTarget> = (0..AGENTS)
        .map(|number| {
            StandInTarget::start(fleet.target(number), fleet.agent(number), &format!("i-{number}"))
        })
        .collect();
    let mut struck: Vec<Struck> = ["entry", "agent0", "agent1", "agent2", "keeper"]
        .into_iter()
        .map(|name| Struck { name, process: Some(fleet.start(name)), back_at: None, paused: false })
        .collect();
    fleet.configure(7);
    fleet.until_ready();
    let stop = AtomicBool::new(false);
    let completed = AtomicU64::new(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, stop, completed) = (&fleet, &stop, &completed);
            scope.spawn(move || hand_in(fleet, seed, client, stop, completed));
        }
        strike(&fleet, &mut struck, seed);
        stop.store(true, Ordering::Relaxed);
    });
    bring_back(&fleet, &mut struck);
    fleet.until_ready();
    let mut id = 0xcafe_0000;
    eventually("jobs are served after the faults", || {
        id += 1;
        fleet.job(id, 3, 50).is_some_and(|answer| answer.body == COMPLETED)
    });
    assert!(completed.load(Ordering::Relaxed) > 0, "seed {seed}: nothing was served");
    let twice = StandInTarget::ran_twice_at_once(&targets);
    assert!(twice.is_empty(), "seed {seed}: run twice at once: {twice:?}");
}

/// Hands in one job after the other; sends again what broke off or may have run.
fn hand_in(fleet: &Fleet, seed: u64, client: u64, stop: &AtomicBool, completed: &AtomicU64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + client);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = (seed << 32) | (client << 16) | number;
        let (count, work_ms) = (rng.random_range(1..5), rng.random_range(20..300));
        for _ in 0..TRIES {
            let answer = fleet.job_within(id, count, work_ms, CLIENT_TIME);
            match answer.map(|answer| (answer.status, answer.body)) {
                Some((200, body)) => {
                    // The stand-ins fail nothing, so that nothing else is true.
                    assert_eq!(body, COMPLETED, "seed {seed}, job {id:016x}");
                    completed.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                Some((503, _)) => break,
                Some((504, _)) | None => thread::sleep(RESEND),
                Some(other) => panic!("seed {seed}, job {id:016x}: {other:?}"),
            }
        }
    }
}

/// Strikes one process after the other, without waiting for the last to be back.
fn strike(fleet: &Fleet, struck: &mut [Struck], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let began = Instant::now();
    while began.elapsed() < TROUBLED {
        thread::sleep(Duration::from_millis(rng.random_range(50..400)));
        for one in struck.iter_mut() {
            one.come_back(fleet, Instant::now());
        }
        let one = &mut struck[rng.random_range(0..struck.len())];
        let away = Duration::from_millis(rng.random_range(100..1_200));
        one.strike(rng.random_range(0..3), Instant::now() + away);
    }
}

fn bring_back(fleet: &Fleet, struck: &mut [Struck]) {
    for one in struck {
        let later = Instant::now() + Duration::from_secs(60);
        one.back_at.get_or_insert(later);
        one.come_back(fleet, later);
    }
}

impl Struck {
    fn strike(&mut self, how: u32, back_at: Instant) {
        if self.back_at.is_some() {
            return;
        }
        self.back_at = Some(back_at);
        match (how, &self.process) {
            (0, _) => self.process = None,
            (1, Some(process)) => process.signal("TERM"),
            (_, Some(process)) => {
                process.signal("STOP");
                self.paused = true;
            }
            (_, None) => {}
        }
    }

    fn come_back(&mut self, fleet: &Fleet, now: Instant) {
        if self.back_at.is_none_or(|at| at > now) {
            return;
        }
        self.back_at = None;
        if std::mem::take(&mut self.paused) {
            if let Some(process) = &self.process {
                process.signal("CONT");
            }
            return;
        }
        if let Some(mut process) = self.process.take()
            && process.is_up()
        {
            // It was told to stop, or never struck: it ends in its own time.
            if process.was_told_to_stop() {
                process.wait();
            } else {
                self.process = Some(process);
                return;
            }
        }
        self.process = Some(fleet.start(self.name));
    }
}
