//! `dockpass demo`: a whole dispatcher in this process, and a file of jobs through it.

use std::io::IsTerminal;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use client::{EntryClient, Outcome, new_submission_id};
use fakes::ServiceTime;
use indicatif::ProgressBar;
use telemetry::{Latency, MessageCounts};
use testbed::{Cluster, ClusterOptions, JobFile, JobSpec};

use super::submit::{OUTCOME_TIME, is_whole, submit};
use super::{CommandError, FAILED};

/// The jobs that are submitted by default.
const JOBS: &str = include_str!("../../examples/bookings.json");
/// The settings tree that is in force by default.
const TREE: &str = include_str!("../../examples/booking.ini");
/// How long the stand-in targets take for a task.
const TIME: ServiceTime = ServiceTime::FromTaskHash { min_ms: 50, max_ms: 500 };

/// What came of one job.
struct Done {
    outcome: Outcome,
    response: Duration,
    ideal: Duration,
}

/// Runs the demo; fails unless every answer is whole.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (jobs, tree) = read_input(arguments)?;
    let service = jobs.jobs.first().map_or("booking", |job| job.service.as_str());
    let options = ClusterOptions { service_time: TIME, ..ClusterOptions::small(service, &tree) };
    // The cluster's own log would stand between the answers.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let cluster = Cluster::start(options)?;
    let json = arguments.get_flag("json");
    let progress = progress(&jobs, json);
    let done = submit_all(&cluster, &jobs, &progress)?;
    progress.finish_and_clear();
    for (job, done) in jobs.jobs.iter().zip(&done) {
        print_job(job, done, json);
    }
    let whole = jobs.jobs.iter().zip(&done).all(|(job, done)| is_whole(job, &done.outcome));
    print_summary(&cluster, &jobs, &done, json);
    cluster.stop();
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::from(FAILED) })
}

fn read_input(arguments: &ArgMatches) -> Result<(JobFile, String), CommandError> {
    let bad = |error: String| CommandError::BadInput(error);
    let jobs = match arguments.get_one::<String>("jobs") {
        Some(path) => JobFile::load(Path::new(path)),
        None => JobFile::parse("embedded jobs", JOBS),
    };
    let tree = match arguments.get_one::<String>("tree") {
        Some(path) => std::fs::read_to_string(path).map_err(|e| bad(format!("{path}: {e}")))?,
        None => TREE.to_owned(),
    };
    settings::Tree::from_ini(&tree).map_err(|error| bad(error.to_string()))?;
    Ok((jobs.map_err(|error| bad(error.to_string()))?, tree))
}

fn progress(jobs: &JobFile, json: bool) -> ProgressBar {
    match std::io::stderr().is_terminal() && !json {
        true => ProgressBar::new(jobs.jobs.len() as u64),
        false => ProgressBar::hidden(),
    }
}

/// Submits the jobs one after the other, in turn to the entries.
fn submit_all(
    cluster: &Cluster,
    jobs: &JobFile,
    progress: &ProgressBar,
) -> Result<Vec<Done>, CommandError> {
    let entries = [cluster.entry_address(0), cluster.entry_address(1)];
    net::block_on(|tasks| async move {
        let callers = entries.map(|entry| EntryClient::new(entry, tasks.clone(), OUTCOME_TIME));
        let mut all = Vec::new();
        for (number, job) in jobs.jobs.iter().enumerate() {
            let started = Instant::now();
            let outcome = submit(&callers[number % 2], new_submission_id(), job).await?;
            let response = started.elapsed();
            let ideal = job.tasks.iter().map(|task| TIME.for_task(task)).max().unwrap_or_default();
            all.push(Done { outcome, response, ideal });
            progress.inc(1);
        }
        Ok(all)
    })
}

fn over_ideal(done: &Done) -> f64 {
    done.response.as_secs_f64() / done.ideal.as_secs_f64().max(1e-9)
}

fn print_job(job: &JobSpec, done: &Done, json: bool) {
    let ratio = over_ideal(done);
    let name = format!("{}/{}", job.service, job.kind);
    let (outcome, detail) = match &done.outcome {
        Outcome::Complete(answers) => ("complete", format!("{} answers", answers.len())),
        Outcome::Failed { code, verdict, message, .. } => {
            ("failed", format!("{code}, {verdict}: {message}"))
        }
    };
    if json {
        let line = serde_json::json!({
            "kind": name, "outcome": outcome, "detail": detail,
            "response_ms": done.response.as_secs_f64() * 1e3, "over_ideal": ratio,
        });
        return say!("{line}");
    }
    let millis = done.response.as_millis();
    say!("{name:<22} {outcome:<9} {millis:>5} ms  {ratio:>6.3} x ideal  {detail}");
}

fn print_summary(cluster: &Cluster, jobs: &JobFile, done: &[Done], json: bool) {
    let mut messages = MessageCounts::default();
    cluster.entry_counters().iter().for_each(|counters| messages += counters.messages);
    cluster.agent_counters().iter().for_each(|counters| messages += counters.messages);
    let tasks: usize = jobs.jobs.iter().map(|job| job.tasks.len()).sum();
    let per_task = |count: u64| count as f64 / tasks.max(1) as f64;
    let mut ratios = Latency::default();
    // The histogram counts in microseconds: a ratio of 1 is stored as a second.
    done.iter().for_each(|done| ratios.record(Duration::from_secs_f64(over_ideal(done))));
    let at = |quantile| ratios.at(quantile).as_secs_f64();
    let (sent, wasted) = (per_task(messages.total_sent()), per_task(messages.total_wasted()));
    if json {
        let line = serde_json::json!({
            "jobs": done.len(), "tasks": tasks, "over_ideal_p50": at(0.5),
            "over_ideal_p99": at(0.99), "messages_per_task": sent, "wasted_per_task": wasted,
        });
        return say!("{line}");
    }
    say!(
        "{} jobs, {tasks} tasks: response over ideal p50 {:.3}, p99 {:.3}; \
         messages per task {sent:.2}, wasted per task {wasted:.2}",
        done.len(),
        at(0.5),
        at(0.99),
    );
}
