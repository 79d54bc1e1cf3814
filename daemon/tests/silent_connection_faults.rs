//! Open connections between processes that go silent for good, without a reset, while new ones work:
//! they are noticed and replaced in time, no task runs twice, and nothing is answered wrongly.
//!
//! The proxies silence all connections of sessions between agents and entries, of orders between
//! agents and targets, or of both, while clients hand in jobs, or hand in nothing until the
//! connections have to be replaced.
//!
//! All runs are seeded: `DOCKPASS_SILENCE_SEEDS=FIRST..END` runs other seeds by hand,
//! `DOCKPASS_SILENCE_ENTRIES` and `DOCKPASS_SILENCE_AGENTS` larger fleets.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::balancer::pause;
use support::checks::{self, Evidence};
use support::exchange::{self, Connection, Exchange, Job, Request};
use support::proxy::{Proxy, Silence};
use support::{Fleet, StandInTarget, number, seeds, unix_seconds};

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
/// How often connections go silent in a run.
const ROUNDS: usize = 4;
/// Time between them, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 100..900;
/// A silent connection is noticed and replaced within this time, and jobs are served again.
const REPLACED: Duration = Duration::from_millis(1_300);
/// How often new connections are looked for.
const POLL: Duration = Duration::from_millis(5);
/// In so many of the rounds clients hand in nothing while connections are silent: what lies idle then
/// is first used once it has to be replaced.
const QUIET_ROUNDS: f64 = 0.5;
/// Slots of a target, each of which may have had a connection of its own.
const SLOTS: u32 = 8;
/// Clients, and how long each waits for an answer: longer than any deadline.
const CLIENTS: u64 = 4;
const CLIENT_TIME: Duration = Duration::from_secs(6);
/// How long after a broken try a client sends again.
const RESEND: Duration = Duration::from_millis(1_300);
/// The longest task of a client.
const LONGEST_WORK: Duration = Duration::from_millis(200);
/// Most tries of a client.
const TRIES: u32 = 3;
/// Jobs that are handed in at each entry once silent connections have to be replaced; their tasks
/// find room beside those of the clients.
const PROBES: u64 = 3;
const PROBE_TASKS: u32 = 4;
const PROBE_MS: u64 = 40;
/// A probe is handed in at most so often where the host holds up the fleet.
const HELD_UP_TRIES: u32 = 5;
/// How long a line takes to its log, and a held-up target to take note of it.
const LOG_TIME: Duration = Duration::from_millis(100);
/// The client number of the probes.
const PROBER: u64 = 0xfff;

/// Seeds that failed once, for one cause: an agent sends orders over connections that it keeps, and went
/// on to take these after the connection of its hold had gone silent and was replaced; a start that
/// was sent three times, over three of them, was given up.
const REGRESSIONS: [u64; 1] = [4];

#[test]
fn silent_connections_are_replaced_in_time_and_nothing_is_answered_wrongly() {
    let entries = number("DOCKPASS_SILENCE_ENTRIES", ENTRIES);
    let agents = number("DOCKPASS_SILENCE_AGENTS", AGENTS);
    let mut faults = Vec::new();
    for seed in seeds("DOCKPASS_SILENCE_SEEDS", &REGRESSIONS) {
        let found = run(seed, &Fleet::with_links(entries, agents), agents);
        faults.extend(found.iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// One run; returns what was wrong.
fn run(seed: u64, fleet: &Fleet, agents: usize) -> Vec<String> {
    let targets: Vec<StandInTarget> = (0..agents)
        .map(|number| {
            StandInTarget::start(fleet.target(number), fleet.agent(number), &format!("i-{number}"))
        })
        .collect();
    let _processes: Vec<_> = fleet.names().iter().map(|name| fleet.start(name)).collect();
    fleet.configure(7);
    fleet.until_ready();
    let (over, quiet) = (AtomicBool::new(false), AtomicBool::new(false));
    let records = Mutex::default();
    let mut faults = Vec::new();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (over, quiet, records) = (&over, &quiet, &records);
            scope.spawn(move || Client::new(seed, number, fleet, records).send_on(over, quiet));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut prober = Client::new(seed, PROBER, fleet, &records);
        for _ in 0..ROUNDS {
            thread::sleep(Duration::from_millis(rng.random_range(GAP_MS)));
            if rng.random_bool(QUIET_ROUNDS) {
                quiet.store(true, Ordering::Relaxed);
                faults.extend(prober.fill(&targets));
            }
            faults.extend(silence_and_wait(fleet, &mut rng));
            faults.extend(prober.probe(&targets));
            quiet.store(false, Ordering::Relaxed);
        }
        over.store(true, Ordering::Relaxed);
    });
    let records: Vec<Record> = records.into_inner().expect("no client panicked");
    let evidence = Evidence::of(&targets);
    faults.extend(records.iter().filter_map(|record| record.fault(&evidence)));
    let twice = checks::ran_twice_at_once(&targets);
    faults.extend(twice.iter().map(|task| format!("{task} ran twice at once")));
    print_summary(&records);
    faults
}

/// Which connections go silent at once.
#[derive(Clone, Copy, Debug)]
enum Silenced {
    /// The sessions of one entry,
    Sessions,
    /// of all entries,
    AllSessions,
    /// the orders of one agent,
    Orders,
    /// of all agents,
    AllOrders,
    /// all of them.
    All,
}

/// Each as often as it stands here.
const SILENCED: [Silenced; 5] = [
    Silenced::Sessions,
    Silenced::AllSessions,
    Silenced::Orders,
    Silenced::AllOrders,
    Silenced::All,
];

/// Silences connections, and waits as long as they may take to be replaced; returns those links whose
/// connections were not.
fn silence_and_wait(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<String> {
    let sessions: Vec<&Proxy> = fleet.session_links().collect();
    let orders: Vec<&Proxy> = fleet.order_links().collect();
    let which = *SILENCED.choose(rng).expect("there are some");
    let how = if rng.random_bool(0.5) { Silence::Dropped } else { Silence::NotTaken };
    let (session, order) = (rng.random_range(0..sessions.len()), rng.random_range(0..orders.len()));
    let (sessions, orders): (&[&Proxy], &[&Proxy]) = match which {
        Silenced::Sessions => (&sessions[session..=session], &[]),
        Silenced::AllSessions => (&sessions, &[]),
        Silenced::Orders => (&[], &orders[order..=order]),
        Silenced::AllOrders => (&[], &orders),
        Silenced::All => (&sessions, &orders),
    };
    println!("{:.3}: silent: {which:?} ({session}, {order}) {how:?}", unix_seconds());
    let began = Instant::now();
    // Every session is replaced; of connections for orders only those that are needed.
    let silence = |link: &Proxy| (link.taken(), link.silence_all(how));
    let mut waiting: Vec<(&Proxy, u64, String)> = Vec::new();
    for (number, link) in sessions.iter().enumerate() {
        let (taken, silent) = silence(link);
        waiting.push((link, taken + silent, format!("sessions {number}: {silent} silent")));
    }
    for (number, link) in orders.iter().enumerate() {
        let (taken, silent) = silence(link);
        waiting.push((link, taken + silent.min(1), format!("orders {number}: {silent} silent")));
    }
    while began.elapsed() < REPLACED {
        waiting.retain(|(link, due, what)| {
            let replaced = link.taken() >= *due;
            if replaced {
                println!("{what}, replaced after {:.0?}", began.elapsed());
            }
            !replaced
        });
        thread::sleep(POLL);
    }
    let missing = |(link, due, what): &(&Proxy, u64, String)| {
        let missing = due.saturating_sub(link.taken());
        format!("{which:?} {how:?}: {what}, {missing} not replaced within {REPLACED:?}")
    };
    waiting.iter().map(missing).collect()
}

/// One try of a request.
struct Record {
    job: Job,
    attempt: u32,
    entry: usize,
    /// The time as the logs show it.
    unix_seconds: f64,
    over: Instant,
    exchange: Exchange,
}

/// A client that hands in one job after the other.
struct Client<'a> {
    seed: u64,
    number: u64,
    fleet: &'a Fleet,
    records: &'a Mutex<Vec<Record>>,
    rng: ChaCha8Rng,
    jobs: u64,
}

impl<'a> Client<'a> {
    fn new(seed: u64, number: u64, fleet: &'a Fleet, records: &'a Mutex<Vec<Record>>) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number);
        Self { seed, number, fleet, records, rng, jobs: 0 }
    }

    fn send_on(mut self, over: &AtomicBool, quiet: &AtomicBool) {
        while !over.load(Ordering::Relaxed) {
            if quiet.load(Ordering::Relaxed) {
                thread::sleep(POLL);
                continue;
            }
            let count = self.rng.random_range(1..4);
            let work_ms = self.rng.random_range(20..LONGEST_WORK.as_millis() as u64);
            let estimated_ms = work_ms / self.rng.random_range(1..=4);
            let job = self.job(count, work_ms, estimated_ms);
            for attempt in 0..TRIES {
                let entry = self.rng.random_range(0..self.fleet.entries());
                if matches!(self.send(job, attempt, entry), Some(status) if status != 504) {
                    break;
                }
                if !pause(RESEND, over) {
                    return;
                }
            }
            pause(Duration::from_millis(self.rng.random_range(0..60)), over);
        }
    }

    /// Hands in a job that fills all targets, once what the clients left there has ended: orders are
    /// sent at once over as many connections as they need.
    fn fill(&mut self, targets: &[StandInTarget]) -> Option<String> {
        thread::sleep(LONGEST_WORK);
        self.unserved("job that fills targets", 0, targets.len() as u32 * SLOTS, targets)
    }

    /// Hands in jobs at every entry, all of which are to be served; returns those that were not.
    fn probe(&mut self, targets: &[StandInTarget]) -> Vec<String> {
        let mut faults = Vec::new();
        for entry in 0..self.fleet.entries() {
            for _ in 0..PROBES {
                faults.extend(self.unserved("probe", entry, PROBE_TASKS, targets));
            }
        }
        faults
    }

    /// Hands in a job that is to be served; returns what became of it if it was not. Where the host held
    /// up a target or a process meanwhile, it is handed in anew: an order that a target had no processor
    /// to answer looks as one on a silent connection does.
    fn unserved(
        &mut self,
        what: &str,
        entry: usize,
        count: u32,
        targets: &[StandInTarget],
    ) -> Option<String> {
        let mut fault = None;
        for _ in 0..HELD_UP_TRIES {
            let (began, pauses) = (Instant::now(), self.fleet.pauses());
            let job = self.job(count, PROBE_MS, PROBE_MS);
            let at = unix_seconds();
            let status = self.send(job, 0, entry);
            if status == Some(200) {
                return None;
            }
            fault = Some(format!("{at:.3}: {what} {} at entry {entry}: {status:?}", job.name()));
            thread::sleep(LOG_TIME);
            let held_up = targets.iter().any(|target| was_held_up(target, began));
            if !held_up && self.fleet.pauses() == pauses {
                return fault;
            }
            println!("{at:.3}: the host held up the fleet: the {what} is handed in anew");
        }
        fault
    }

    fn job(&mut self, count: u32, work_ms: u64, estimated_ms: u64) -> Job {
        self.jobs += 1;
        let id = (self.seed << 32) | (self.number << 16) | self.jobs;
        Job { id, count, work_ms, estimated_ms, fails: false, deadline: None }
    }

    /// Hands in a job; returns the status of its answer.
    fn send(&self, job: Job, attempt: u32, entry: usize) -> Option<u16> {
        let unix_seconds = unix_seconds();
        let connection = Connection::open(Some(entry), self.fleet.entry_number(entry));
        let mut connection = connection.expect("entries are up, and their clients' links well");
        let exchange = connection.exchange(&Request::Job(job), Duration::ZERO, CLIENT_TIME);
        let status = match &exchange {
            Exchange::Answered(answer) => Some(answer.status),
            _ => None,
        };
        let over = Instant::now();
        let record = Record { job, attempt, entry, unix_seconds, over, exchange };
        self.records.lock().expect("no client panicked").push(record);
        status
    }
}

/// Whether a target was held up since a time.
fn was_held_up(target: &StandInTarget, since: Instant) -> bool {
    let seen = target.seen.lock().expect("nobody panicked with it");
    seen.held_up.is_some_and(|at| at >= since)
}

impl Record {
    /// What of it is not as promised.
    fn fault(&self, evidence: &Evidence) -> Option<String> {
        let wrong = match &self.exchange {
            Exchange::Answered(answer) => {
                let request = Request::Job(self.job);
                let untrue = exchange::find_fault(&request, answer, self.over, evidence);
                let untrue = untrue.or_else(|| self.ran_all_the_same(answer.status, evidence))?;
                format!("{untrue}: {} {}", answer.status, answer.body)
            }
            other => format!("{other:?}"),
        };
        let (at, job, entry) = (self.unix_seconds, &self.job, self.entry);
        let attempt = self.attempt + 1;
        Some(format!("{at:.3}, job {}, entry {entry}, try {attempt}: {wrong}: {job:?}", job.name()))
    }

    /// What was refused at the first try never runs: the client does not send it again.
    fn ran_all_the_same(&self, status: u16, evidence: &Evidence) -> Option<String> {
        let starts = evidence.starts_of(&self.job.name());
        let refused = self.attempt == 0 && status == 503;
        (refused && starts > 0).then(|| format!("said not to have run, with {starts} starts"))
    }
}

fn print_summary(records: &[Record]) {
    let [served, refused, open] = [200, 503, 504].map(|status| {
        let has = |record: &&Record| {
            matches!(&record.exchange, Exchange::Answered(answer) if answer.status == status)
        };
        records.iter().filter(has).count()
    });
    let tries = records.len();
    println!("{tries} tries: {served} with 200, {refused} with 503, {open} with 504");
}
