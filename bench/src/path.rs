//! Throughput of one entry with its agents, and the latency that they add to a request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use fakes::{Behaviour, ServiceTime, Target};
use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use net::Client;
use telemetry::LatencyHistogram;
use testbed::{Cluster, ClusterOptions};

use crate::load::{self, LoadOptions, LoadResult};
use crate::threads;

/// Settings tree with a short expected duration, so that no job is refused for its deadline.
const SETTINGS_TREE: &str =
    "[booking]\nexpected_ms = 1\n[booking/holds]\n[fleet]\nclock_skew_ms = 20\n";
/// Number of threads that run callers.
const CALLER_THREADS: usize = 2;
/// Number of requests sent to a target without dockpass.
const DIRECT_REQUESTS: usize = 3_000;

/// Runs each load and prints its throughput and latency, and the CPU time by thread of the last.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let duration = Duration::from_secs(number("seconds"));
    let callers = number("callers") as usize / CALLER_THREADS;
    let options = ClusterOptions {
        entries: 1,
        agents: number("agents") as usize,
        slots: 128,
        service_time: ServiceTime::None,
        ..ClusterOptions::small("booking", SETTINGS_TREE)
    };
    let cluster = Cluster::start(options).map_err(|error| error.to_string())?;
    let load = LoadOptions {
        entry: cluster.entry_address(0),
        threads: CALLER_THREADS,
        callers,
        tasks: 1,
        duration,
        interval: None,
    };
    println!(
        "{:<34} {:>9} {:>9} {:>8} {:>8} {:>8}",
        "load", "jobs/s", "tasks/s", "p50 ms", "p99 ms", "failed"
    );
    let direct = measure_direct()?;
    print_latency("direct to a target, one caller", &direct);
    let single_caller = LoadOptions { threads: 1, callers: 1, ..load };
    print_result("one task, one caller", &single_caller, &load::run(single_caller));
    let peak = load::run(load);
    print_result("one task, peak", &load, &peak);
    let rate = peak.complete as f64 / duration.as_secs_f64() / 2.0;
    let interval = Duration::from_secs_f64((CALLER_THREADS * callers) as f64 / rate);
    let half_peak = LoadOptions { interval: Some(interval), ..load };
    print_result("one task, half the peak rate", &half_peak, &load::run(half_peak));
    let large_jobs = LoadOptions { tasks: 50, callers: callers.div_ceil(4), ..load };
    let before = (threads::usage(), Instant::now());
    let result = load::run(large_jobs);
    print_result("50 tasks, peak", &large_jobs, &result);
    print_usage(&before.0, before.1.elapsed(), result.complete * 50);
    cluster.stop();
    Ok(())
}

/// Measures the response times of a target without dockpass, for sequential requests.
fn measure_direct() -> Result<LatencyHistogram, String> {
    let target =
        Target::start(ServiceTime::None, Behaviour::Succeed).map_err(|error| error.to_string())?;
    let address: SocketAddr = target.address();
    Ok(net::block_on(|tasks| async move {
        let client = Client::new(address, tasks);
        let mut latency = LatencyHistogram::default();
        for _ in 0..DIRECT_REQUESTS {
            let started = Instant::now();
            let body = Bytes::from_static(b"hold seat 1 of coach 7");
            let timeout = Duration::from_secs(5);
            if client.send(Method::POST, "/", HeaderMap::new(), body, timeout).await.is_ok() {
                latency.record(started.elapsed());
            }
        }
        latency
    }))
}

fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn print_latency(name: &str, latency: &LatencyHistogram) {
    let (p50, p99) = (to_ms(latency.quantile(0.5)), to_ms(latency.quantile(0.99)));
    println!("{name:<34} {:>9} {:>9} {p50:>8.3} {p99:>8.3} {:>8}", "-", "-", 0);
}

fn print_result(name: &str, load: &LoadOptions, result: &LoadResult) {
    let jobs = result.complete as f64 / load.duration.as_secs_f64();
    let (p50, p99) = (to_ms(result.latency.quantile(0.5)), to_ms(result.latency.quantile(0.99)));
    let tasks = jobs * load.tasks as f64;
    println!("{name:<34} {jobs:>9.0} {tasks:>9.0} {p50:>8.3} {p99:>8.3} {:>8}", result.failed);
}

fn print_usage(before: &threads::Usage, duration: Duration, tasks: u64) {
    println!("\nCPU time by thread at 50 tasks, peak:");
    for (name, seconds) in threads::usage_between(before, &threads::usage()) {
        let share = seconds / duration.as_secs_f64() * 100.0;
        let micros = seconds * 1e6 / tasks.max(1) as f64;
        if share >= 1.0 {
            println!("{name:<18} {share:>5.0}% of a core {micros:>7.2} us a task");
        }
    }
}
