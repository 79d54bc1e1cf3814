//! Crowds of clients that don't behave, played against one process of a fleet beside ordinary
//! requests.

pub mod crowd;
pub mod memory;
pub mod scripts;
pub mod slots_fleet;
pub mod traffic;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::support::{Process, number_from_env};
use crowd::{Crowd, Script};
use memory::Memory;
use traffic::Traffic;

/// Environment variable with the number of seconds that each crowd presses.
const PRESS_VARIABLE: &str = "DOCKPASS_CROWD_SECONDS";
/// Environment variable with the only crowd to play.
const ONLY_VARIABLE: &str = "DOCKPASS_CROWD";
const PRESS_SECONDS: usize = 2;
/// Interval at which the memory of the process is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two crowds, in which the process closes the connections of the first.
const PAUSE: Duration = Duration::from_millis(300);
/// Least share of ordinary requests that are served beside a crowd, in percent.
const MIN_SERVED_PERCENT: usize = 90;

/// Most bytes that a process may log per second: a few kinds of short lines at their budget.
const MAX_LOG_BYTES_PER_SECOND: u64 = 1_000_000;

/// Crowds take several processors, so only one plays at a time.
static PLAYING: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program plays a crowd, and allows this process and those that
/// it starts as many open files as the system does.
pub fn play_alone() -> MutexGuard<'static, ()> {
    let files = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: files.maximum, ..files };
    setrlimit(Resource::Nofile, raised).expect("the limit may be raised to its maximum");
    PLAYING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A number of connections that play the same script.
pub struct CrowdSpec {
    pub name: &'static str,
    pub connections: usize,
    pub script: Script,
}

/// The process under test.
pub struct Door<'a> {
    pub name: &'static str,
    /// Where the crowds connect.
    pub address: SocketAddr,
    /// All addresses on which the process listens for clients.
    pub listens: Vec<SocketAddr>,
    /// Memory of the machine of the process.
    pub memory_mb: u64,
    /// Starts the process and waits until it serves.
    pub start: Box<dyn Fn() -> Process + Sync + 'a>,
    /// Sends one ordinary request; returns whether it was served.
    pub request: Box<dyn Fn(u64) -> bool + Sync + 'a>,
    /// Checks that must answer once a second, as a load balancer's; it tolerates one miss.
    pub check: Box<dyn Fn() -> bool + Sync + 'a>,
}

/// What was seen while a crowd pressed.
struct Row {
    name: &'static str,
    connections: usize,
    peak: Memory,
    /// Whether the process ended or was stopped for its memory.
    ended: bool,
    served: usize,
    sent: usize,
    median: Duration,
    checks_answered: usize,
    checks: usize,
    most_missed_checks: usize,
    log_bytes_per_second: u64,
}

impl Row {
    fn print(&self, door: &str) {
        println!(
            "| {door} | {} | {} | {}{} | {} | {} of {} | {} | {} of {} | {} |",
            self.connections,
            self.name,
            self.peak.total_mb(),
            if self.ended { ", **ended**" } else { "" },
            self.peak.unread_mb(),
            self.served,
            self.sent,
            self.median.as_millis(),
            self.checks_answered,
            self.checks,
            self.log_bytes_per_second / 1_000
        );
    }

    /// Returns what must not happen beside a crowd.
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut record = |fault: String| faults.push(format!("{}: {fault}", self.name));
        if self.ended {
            record(format!("the process ended at {} MB", self.peak.total_mb()));
        }
        if self.served * 100 < self.sent * MIN_SERVED_PERCENT {
            record(format!("{} of {} ordinary requests served", self.served, self.sent));
        }
        if self.log_bytes_per_second > MAX_LOG_BYTES_PER_SECOND {
            record(format!("{} bytes logged per second", self.log_bytes_per_second));
        }
        if self.most_missed_checks >= 2 {
            record(format!("{} checks missed in a row", self.most_missed_checks));
        }
        faults
    }
}

/// Plays each crowd against the process, beside ordinary requests, and prints a table. Fails if the
/// process ends, needs more memory than its machine has or leaves ordinary requests unserved.
pub fn play(door: &Door, crowds: Vec<CrowdSpec>) {
    let press = Duration::from_secs(number_from_env(PRESS_VARIABLE, PRESS_SECONDS) as u64);
    play_for(door, crowds, press);
}

/// Like [`play`]; each crowd presses for the given time.
pub fn play_for(door: &Door, crowds: Vec<CrowdSpec>, press: Duration) {
    let only = std::env::var(ONLY_VARIABLE).ok();
    println!(
        "| door | connections | clients | peak MB | of it unread MB | served | median ms | checks | log KB/s |"
    );
    let mut process = (door.start)();
    let mut faults = Vec::new();
    let calm = play_one(door, &mut process, press, None);
    calm.print(door.name);
    faults.extend(calm.faults());
    for crowd in crowds {
        if only.as_ref().is_some_and(|only| !crowd.name.contains(only.as_str())) {
            continue;
        }
        thread::sleep(PAUSE);
        let row = play_one(door, &mut process, press, Some(crowd));
        row.print(door.name);
        faults.extend(row.faults());
        if row.ended {
            drop(process);
            process = (door.start)();
        }
    }
    assert!(faults.is_empty(), "{}: {faults:#?}", door.name);
}

fn play_one(door: &Door, process: &mut Process, press: Duration, crowd: Option<CrowdSpec>) -> Row {
    let finished = AtomicBool::new(false);
    let (name, connections) =
        crowd.as_ref().map_or(("calm", 0), |crowd| (crowd.name, crowd.connections));
    thread::scope(|scope| {
        let traffic = scope.spawn(|| Traffic::run(&door.request, &finished));
        let checks = scope.spawn(|| traffic::check_every_second(&door.check, &finished));
        let crowd = crowd.map(|crowd| Crowd::start(door.address, crowd.connections, crowd.script));
        let log_before = process.log_bytes();
        let (peak, ended) = watch(door, process, press);
        let logged = process.log_bytes() - log_before;
        finished.store(true, Ordering::Relaxed);
        let traffic = traffic.join().expect("the thread does not panic");
        let checks = checks.join().expect("the thread does not panic");
        drop(crowd);
        Row {
            name,
            connections,
            peak,
            ended,
            served: traffic.served(),
            sent: traffic.sent(),
            median: traffic.median(),
            checks_answered: checks.iter().filter(|answered| **answered).count(),
            checks: checks.len(),
            log_bytes_per_second: logged / press.as_secs().max(1),
            most_missed_checks: traffic::longest_miss(&checks),
        }
    })
}

/// Watches the memory of a process for a time; stops the process if it needs more than its machine
/// has. Returns the peak, and whether the process has ended.
fn watch(door: &Door, process: &mut Process, time: Duration) -> (Memory, bool) {
    let started = Instant::now();
    let mut peak = Memory::default();
    while started.elapsed() < time {
        let memory = Memory::of_process(process.id(), &door.listens);
        let Some(memory) = memory.filter(|_| process.is_running()) else { return (peak, true) };
        if memory.total() > peak.total() {
            peak = memory;
        }
        if memory.total_mb() >= door.memory_mb {
            process.kill();
            return (peak, true);
        }
        thread::sleep(WATCH_INTERVAL);
    }
    (peak, false)
}
