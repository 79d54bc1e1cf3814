//! What one entry and its agents carry, and what they add to a request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use fakes::{Behaviour, ServiceTime, Target};
use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use net::Client;
use telemetry::Latency;
use testbed::{Cluster, ClusterOptions};

use crate::load::{self, Done, Load};
use crate::threads;

/// The settings tree: deadlines long enough that nothing is refused for them.
const TREE: &str = "[booking]\nexpected_ms = 1\n[booking/holds]\n[fleet]\nclock_skew_ms = 20\n";
/// Threads of callers.
const CALLER_THREADS: usize = 2;
/// Requests for the direct comparison.
const DIRECT: usize = 3_000;

/// Runs the loads and prints their figures.
pub fn run(arguments: &ArgMatches) -> Result<(), String> {
    let get = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or(1);
    let time = Duration::from_secs(get("seconds"));
    let callers = get("callers") as usize / CALLER_THREADS;
    let options = ClusterOptions {
        entries: 1,
        agents: get("agents") as usize,
        slots: 128,
        service_time: ServiceTime::None,
        ..ClusterOptions::small("booking", TREE)
    };
    let cluster = Cluster::start(options).map_err(|error| error.to_string())?;
    let load = Load {
        entry: cluster.entry_address(0),
        threads: CALLER_THREADS,
        callers,
        tasks: 1,
        time,
        every: None,
    };
    println!(
        "{:<34} {:>9} {:>9} {:>8} {:>8} {:>8}",
        "load", "jobs/s", "tasks/s", "p50 ms", "p99 ms", "failed"
    );
    let direct = direct()?;
    print_latency("direct to a target, one caller", &direct);
    let one = Load { threads: 1, callers: 1, ..load };
    print_done("one task, one caller", &one, &load::run(one));
    let peak = load::run(load);
    print_done("one task, peak", &load, &peak);
    let rate = peak.whole as f64 / time.as_secs_f64() / 2.0;
    let every = Duration::from_secs_f64((CALLER_THREADS * callers) as f64 / rate);
    let half = Load { every: Some(every), ..load };
    print_done("one task, half the peak rate", &half, &load::run(half));
    let jobs = Load { tasks: 50, callers: callers.div_ceil(4), ..load };
    let before = (threads::usage(), Instant::now());
    let done = load::run(jobs);
    print_done("50 tasks, peak", &jobs, &done);
    print_usage(&before.0, before.1.elapsed(), done.whole * 50);
    cluster.stop();
    Ok(())
}

/// Response times of a target asked directly, one request after the other.
fn direct() -> Result<Latency, String> {
    let target =
        Target::start(ServiceTime::None, Behaviour::Succeed).map_err(|error| error.to_string())?;
    let address: SocketAddr = target.address();
    Ok(net::block_on(|tasks| async move {
        let client = Client::new(address, tasks);
        let mut latency = Latency::default();
        for _ in 0..DIRECT {
            let started = Instant::now();
            let body = Bytes::from_static(b"hold seat 1 of coach 7");
            let time = Duration::from_secs(5);
            if client.send(Method::POST, "/", HeaderMap::new(), body, time).await.is_ok() {
                latency.record(started.elapsed());
            }
        }
        latency
    }))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn print_latency(name: &str, latency: &Latency) {
    let (p50, p99) = (millis(latency.at(0.5)), millis(latency.at(0.99)));
    println!("{name:<34} {:>9} {:>9} {p50:>8.3} {p99:>8.3} {:>8}", "-", "-", 0);
}

fn print_done(name: &str, load: &Load, done: &Done) {
    let jobs = done.whole as f64 / load.time.as_secs_f64();
    let (p50, p99) = (millis(done.latency.at(0.5)), millis(done.latency.at(0.99)));
    let tasks = jobs * load.tasks as f64;
    println!("{name:<34} {jobs:>9.0} {tasks:>9.0} {p50:>8.3} {p99:>8.3} {:>8}", done.failed);
}

fn print_usage(before: &threads::Usage, time: Duration, tasks: u64) {
    println!("\nprocessor time by thread at 50 tasks, peak:");
    for (name, seconds) in threads::between(before, &threads::usage()) {
        let share = seconds / time.as_secs_f64() * 100.0;
        let micros = seconds * 1e6 / tasks.max(1) as f64;
        if share >= 1.0 {
            println!("{name:<18} {share:>5.0}% of a core {micros:>7.2} us a task");
        }
    }
}
