//! Seeded runs in which open connections between processes go silent permanently while new ones
//! work. Silent connections must be replaced in time, without overlapping runs or wrong answers.
//!
//! `DOCKPASS_SILENCE_SEEDS=FIRST..END` selects other seeds, `DOCKPASS_SILENCE_ENTRIES` and
//! `DOCKPASS_SILENCE_AGENTS` the size of the fleet.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::balancer::sleep_unless_finished;
use support::checks::{self, ObservedRuns};
use support::exchange::{self, Connection, Exchange, Job, Request};
use support::proxy::{Proxy, Silence};
use support::{FakeTarget, Fleet, number_from_env, seeds_from_env, unix_seconds};

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
/// Rounds per run; connections go silent once in each.
const ROUNDS: usize = 4;
/// Time between rounds in milliseconds.
const GAP_MS: std::ops::Range<u64> = 100..900;
/// Time in which a silent connection is replaced.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Interval at which new connections are checked.
const POLL: Duration = Duration::from_millis(5);
/// Probability that clients pause during a round, so that idle connections are first used once they
/// have to be replaced.
const QUIET_PROBABILITY: f64 = 0.5;
/// Task slots of a target, each of which may use its own connection.
const SLOTS: u32 = 8;
/// Number of clients, and their timeout, which is longer than any deadline.
const CLIENTS: u64 = 4;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before a client retries a request.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Run time of the longest task of a client.
const LONGEST_TASK: Duration = Duration::from_millis(200);
/// Maximum number of tries per job.
const MAX_TRIES: u32 = 3;
/// Jobs submitted to each entry after the replacement time. Their tasks fit into the capacity that
/// the clients' tasks leave free.
const PROBES: u64 = 3;
const PROBE_TASKS: u32 = 4;
const PROBE_MS: u64 = 40;
/// Maximum number of tries of a probe if the host stalls processes.
const MAX_PROBES: u32 = 5;
/// Time until a log line is written and a stalled target records the stall.
const LOG_DELAY: Duration = Duration::from_millis(100);
/// Client number of the prober.
const PROBER: u64 = 0xfff;

/// Seeds that failed when an agent kept using silent connections for commands after replacing the
/// connection of its hold.
const REGRESSIONS: [u64; 1] = [4];

#[test]
fn silent_connections_are_replaced_in_time_and_answers_are_correct() {
    let entries = number_from_env("DOCKPASS_SILENCE_ENTRIES", ENTRIES);
    let agents = number_from_env("DOCKPASS_SILENCE_AGENTS", AGENTS);
    let mut faults = Vec::new();
    for seed in seeds_from_env("DOCKPASS_SILENCE_SEEDS", &REGRESSIONS) {
        let found = run(seed, &Fleet::with_proxies(entries, agents), agents);
        faults.extend(found.iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Runs one seed; returns the faults found.
fn run(seed: u64, fleet: &Fleet, agents: usize) -> Vec<String> {
    let targets: Vec<FakeTarget> = (0..agents)
        .map(|number| {
            FakeTarget::start(
                fleet.target_address(number),
                fleet.agent_address(number),
                &format!("i-{number}"),
            )
        })
        .collect();
    let _processes: Vec<_> = fleet.names().iter().map(|name| fleet.start(name)).collect();
    fleet.configure(7);
    fleet.wait_until_ready();
    let (finished, quiet) = (AtomicBool::new(false), AtomicBool::new(false));
    let records = Mutex::default();
    let mut faults = Vec::new();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (finished, quiet, records) = (&finished, &quiet, &records);
            scope.spawn(move || {
                Client::new(seed, number, fleet, records).run_requests(finished, quiet)
            });
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut prober = Client::new(seed, PROBER, fleet, &records);
        for _ in 0..ROUNDS {
            thread::sleep(Duration::from_millis(rng.random_range(GAP_MS)));
            if rng.random_bool(QUIET_PROBABILITY) {
                quiet.store(true, Ordering::Relaxed);
                faults.extend(prober.fill_targets(&targets));
            }
            faults.extend(silence_and_wait(fleet, &mut rng));
            faults.extend(prober.probe(&targets));
            quiet.store(false, Ordering::Relaxed);
        }
        finished.store(true, Ordering::Relaxed);
    });
    let records: Vec<Record> = records.into_inner().expect("no client panicked");
    let observed_runs = ObservedRuns::of(&targets);
    faults.extend(records.iter().filter_map(|record| record.fault(&observed_runs)));
    let overlapping = checks::overlapping_runs(&targets);
    faults.extend(overlapping.iter().map(|task| format!("{task} had overlapping runs")));
    print_summary(&records);
    faults
}

/// The connections that go silent together.
#[derive(Clone, Copy, Debug)]
enum SilencedLinks {
    /// Agent sessions of one entry.
    Sessions,
    /// Agent sessions of all entries.
    AllSessions,
    /// Command connections of one agent.
    Commands,
    /// Command connections of all agents.
    AllCommands,
    /// All of these connections.
    All,
}

/// Links from which each round chooses with equal probability.
const SILENCED: [SilencedLinks; 5] = [
    SilencedLinks::Sessions,
    SilencedLinks::AllSessions,
    SilencedLinks::Commands,
    SilencedLinks::AllCommands,
    SilencedLinks::All,
];

/// Silences connections and waits for the replacement time; returns the links whose connections
/// were not replaced.
fn silence_and_wait(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<String> {
    let sessions: Vec<&Proxy> = fleet.session_proxies().collect();
    let commands: Vec<&Proxy> = fleet.command_proxies().collect();
    let silenced = *SILENCED.choose(rng).expect("the list is not empty");
    let silence_kind = if rng.random_bool(0.5) { Silence::Dropped } else { Silence::NotRead };
    let (session, command) =
        (rng.random_range(0..sessions.len()), rng.random_range(0..commands.len()));
    let (sessions, commands): (&[&Proxy], &[&Proxy]) = match silenced {
        SilencedLinks::Sessions => (&sessions[session..=session], &[]),
        SilencedLinks::AllSessions => (&sessions, &[]),
        SilencedLinks::Commands => (&[], &commands[command..=command]),
        SilencedLinks::AllCommands => (&[], &commands),
        SilencedLinks::All => (&sessions, &commands),
    };
    println!("{:.3}: silent: {silenced:?} ({session}, {command}) {silence_kind:?}", unix_seconds());
    let started = Instant::now();
    // Every session must be replaced, but only as many command connections as are needed.
    let silence = |link: &Proxy| (link.accepted_count(), link.silence_all(silence_kind));
    let mut waiting: Vec<(&Proxy, u64, String)> = Vec::new();
    for (number, link) in sessions.iter().enumerate() {
        let (accepted, silent) = silence(link);
        waiting.push((link, accepted + silent, format!("sessions {number}: {silent} silent")));
    }
    for (number, link) in commands.iter().enumerate() {
        let (accepted, silent) = silence(link);
        waiting.push((
            link,
            accepted + silent.min(1),
            format!("commands {number}: {silent} silent"),
        ));
    }
    while started.elapsed() < REPLACE_TIMEOUT {
        waiting.retain(|(link, due, what)| {
            let replaced = link.accepted_count() >= *due;
            if replaced {
                println!("{what}, replaced after {:.0?}", started.elapsed());
            }
            !replaced
        });
        thread::sleep(POLL);
    }
    let missing = |(link, due, what): &(&Proxy, u64, String)| {
        let missing = due.saturating_sub(link.accepted_count());
        format!(
            "{silenced:?} {silence_kind:?}: {what}, {missing} not replaced within {REPLACE_TIMEOUT:?}"
        )
    };
    waiting.iter().map(missing).collect()
}

/// One try of a request: where and when it was sent, and its outcome.
struct Record {
    job: Job,
    attempt: u32,
    entry: usize,
    /// Wall-clock time of sending, as in the process logs.
    unix_seconds: f64,
    ended_at: Instant,
    exchange: Exchange,
}

/// A client that submits jobs one after the other.
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

    fn run_requests(mut self, finished: &AtomicBool, quiet: &AtomicBool) {
        while !finished.load(Ordering::Relaxed) {
            if quiet.load(Ordering::Relaxed) {
                thread::sleep(POLL);
                continue;
            }
            let count = self.rng.random_range(1..4);
            let work_ms = self.rng.random_range(20..LONGEST_TASK.as_millis() as u64);
            let estimated_ms = work_ms / self.rng.random_range(1..=4);
            let job = self.job(count, work_ms, estimated_ms);
            for attempt in 0..MAX_TRIES {
                let entry = self.rng.random_range(0..self.fleet.entry_count());
                if matches!(self.send(job, attempt, entry), Some(status) if status != 504) {
                    break;
                }
                if !sleep_unless_finished(RETRY_DELAY, finished) {
                    return;
                }
            }
            sleep_unless_finished(Duration::from_millis(self.rng.random_range(0..60)), finished);
        }
    }

    /// Submits a job that fills all targets, after the clients' tasks have ended, so that commands
    /// are sent over as many connections as possible.
    fn fill_targets(&mut self, targets: &[FakeTarget]) -> Option<String> {
        thread::sleep(LONGEST_TASK);
        self.submit_expecting_success(
            "job that fills targets",
            0,
            targets.len() as u32 * SLOTS,
            targets,
        )
    }

    /// Submits jobs to every entry; returns those that were not completed.
    fn probe(&mut self, targets: &[FakeTarget]) -> Vec<String> {
        let mut faults = Vec::new();
        for entry in 0..self.fleet.entry_count() {
            for _ in 0..PROBES {
                faults.extend(self.submit_expecting_success("probe", entry, PROBE_TASKS, targets));
            }
        }
        faults
    }

    /// Submits a job that must be completed; returns a fault otherwise. The job is retried if the
    /// host stalled a target or a process, as a stalled target looks like a silent connection.
    fn submit_expecting_success(
        &mut self,
        what: &str,
        entry: usize,
        count: u32,
        targets: &[FakeTarget],
    ) -> Option<String> {
        let mut fault = None;
        for _ in 0..MAX_PROBES {
            let (started, pauses) = (Instant::now(), self.fleet.logged_pauses());
            let job = self.job(count, PROBE_MS, PROBE_MS);
            let at = unix_seconds();
            let status = self.send(job, 0, entry);
            if status == Some(200) {
                return None;
            }
            fault = Some(format!("{at:.3}: {what} {} at entry {entry}: {status:?}", job.name()));
            thread::sleep(LOG_DELAY);
            let stalled = targets.iter().any(|target| was_stalled_since(target, started));
            if !stalled && self.fleet.logged_pauses() == pauses {
                return fault;
            }
            println!("{at:.3}: the host stalled a process; the {what} is retried");
        }
        fault
    }

    fn job(&mut self, count: u32, work_ms: u64, estimated_ms: u64) -> Job {
        self.jobs += 1;
        let id = (self.seed << 32) | (self.number << 16) | self.jobs;
        Job { id, count, work_ms, estimated_ms, fails: false, deadline: None }
    }

    /// Submits a job; returns the status of the answer.
    fn send(&self, job: Job, attempt: u32, entry: usize) -> Option<u16> {
        let unix_seconds = unix_seconds();
        let connection = Connection::open(Some(entry), self.fleet.entry_address_of(entry));
        let mut connection = connection.expect("the entry accepts connections");
        let exchange = connection.exchange(&Request::Job(job), Duration::ZERO, CLIENT_TIMEOUT);
        let status = match &exchange {
            Exchange::Answered(answer) => Some(answer.status),
            _ => None,
        };
        let ended_at = Instant::now();
        let record = Record { job, attempt, entry, unix_seconds, ended_at, exchange };
        self.records.lock().expect("no client panicked").push(record);
        status
    }
}

/// Whether the host stalled a target since a time.
fn was_stalled_since(target: &FakeTarget, since: Instant) -> bool {
    let observed = target.observed.lock().expect("the mutex is not poisoned");
    observed.stalled_at.is_some_and(|at| at >= since)
}

impl Record {
    /// Returns the fault of a wrong or missing answer.
    fn fault(&self, observed_runs: &ObservedRuns) -> Option<String> {
        let problem = match &self.exchange {
            Exchange::Answered(answer) => {
                let request = Request::Job(self.job);
                let fault = exchange::find_fault(&request, answer, self.ended_at, observed_runs);
                let fault =
                    fault.or_else(|| self.ran_despite_refusal(answer.status, observed_runs))?;
                format!("{fault}: {} {}", answer.status, answer.body)
            }
            other => format!("{other:?}"),
        };
        let (at, job, entry) = (self.unix_seconds, &self.job, self.entry);
        let attempt = self.attempt + 1;
        Some(format!(
            "{at:.3}, job {}, entry {entry}, try {attempt}: {problem}: {job:?}",
            job.name()
        ))
    }

    /// A job refused at its first try must never run, as the client does not retry it.
    fn ran_despite_refusal(&self, status: u16, observed_runs: &ObservedRuns) -> Option<String> {
        let starts = observed_runs.starts_of(&self.job.name());
        let refused = self.attempt == 0 && status == 503;
        (refused && starts > 0).then(|| format!("refused, but {starts} task runs were started"))
    }
}

fn print_summary(records: &[Record]) {
    let [served, refused, undecided] = [200, 503, 504].map(|status| {
        let has = |record: &&Record| {
            matches!(&record.exchange, Exchange::Answered(answer) if answer.status == status)
        };
        records.iter().filter(has).count()
    });
    let tries = records.len();
    println!("{tries} tries: {served} with 200, {refused} with 503, {undecided} with 504");
}
