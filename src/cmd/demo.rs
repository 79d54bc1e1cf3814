//! `dockpass demo`: starts a cluster in this process and submits a file of jobs to it.

use std::io::IsTerminal;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use client::{EntryClient, Outcome, new_submission_id};
use fakes::ServiceTime;
use indicatif::ProgressBar;
use telemetry::{LatencyHistogram, MessageCounts};
use testbed::{Cluster, ClusterOptions, JobFile, JobSpec};

use super::submit::{OUTCOME_TIMEOUT, is_complete, submit};
use super::{CommandError, EXIT_FAILED};

/// Jobs submitted unless `--jobs` names a file.
const DEFAULT_JOBS: &str = include_str!("../../examples/bookings.json");
/// Settings tree used unless `--tree` names a file.
const DEFAULT_TREE: &str = include_str!("../../examples/booking.ini");
/// Service time of the fake targets.
const SERVICE_TIME: ServiceTime = ServiceTime::FromTaskHash { min_ms: 50, max_ms: 500 };

/// Outcome and timing of one job.
struct JobResult {
    outcome: Outcome,
    response: Duration,
    /// Service time of the longest task, a lower bound of the response time.
    ideal: Duration,
}

/// Runs the demo and prints each job's outcome and a summary; fails unless all are complete.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (jobs, tree) = read_input(matches)?;
    let service = jobs.jobs.first().map_or("booking", |job| job.service.as_str());
    let options =
        ClusterOptions { service_time: SERVICE_TIME, ..ClusterOptions::small(service, &tree) };
    // Keeps the nodes' log lines out of the printed results.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let cluster = Cluster::start(options)?;
    let json = matches.get_flag("json");
    let progress = progress_bar(&jobs, json);
    let results = submit_all(&cluster, &jobs, &progress)?;
    progress.finish_and_clear();
    for (job, result) in jobs.jobs.iter().zip(&results) {
        print_job(job, result, json);
    }
    let all_complete =
        jobs.jobs.iter().zip(&results).all(|(job, result)| is_complete(job, &result.outcome));
    print_summary(&cluster, &jobs, &results, json);
    cluster.stop();
    Ok(if all_complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) })
}

fn read_input(matches: &ArgMatches) -> Result<(JobFile, String), CommandError> {
    let invalid = |error: String| CommandError::BadInput(error);
    let jobs = match matches.get_one::<String>("jobs") {
        Some(path) => JobFile::load(Path::new(path)),
        None => JobFile::parse("embedded jobs", DEFAULT_JOBS),
    };
    let tree = match matches.get_one::<String>("tree") {
        Some(path) => std::fs::read_to_string(path).map_err(|e| invalid(format!("{path}: {e}")))?,
        None => DEFAULT_TREE.to_owned(),
    };
    settings::Tree::from_ini(&tree).map_err(|error| invalid(error.to_string()))?;
    Ok((jobs.map_err(|error| invalid(error.to_string()))?, tree))
}

fn progress_bar(jobs: &JobFile, json: bool) -> ProgressBar {
    match std::io::stderr().is_terminal() && !json {
        true => ProgressBar::new(jobs.jobs.len() as u64),
        false => ProgressBar::hidden(),
    }
}

/// Submits the jobs one after the other, alternating between the entries.
fn submit_all(
    cluster: &Cluster,
    jobs: &JobFile,
    progress: &ProgressBar,
) -> Result<Vec<JobResult>, CommandError> {
    let entries = [cluster.entry_address(0), cluster.entry_address(1)];
    net::block_on(|tasks| async move {
        let clients = entries.map(|entry| EntryClient::new(entry, tasks.clone(), OUTCOME_TIMEOUT));
        let mut results = Vec::new();
        for (index, job) in jobs.jobs.iter().enumerate() {
            let started = Instant::now();
            let outcome = submit(&clients[index % 2], new_submission_id(), job).await?;
            let response = started.elapsed();
            let ideal =
                job.tasks.iter().map(|task| SERVICE_TIME.for_task(task)).max().unwrap_or_default();
            results.push(JobResult { outcome, response, ideal });
            progress.inc(1);
        }
        Ok(results)
    })
}

fn response_ratio(result: &JobResult) -> f64 {
    result.response.as_secs_f64() / result.ideal.as_secs_f64().max(1e-9)
}

fn print_job(job: &JobSpec, result: &JobResult, json: bool) {
    let ratio = response_ratio(result);
    let name = format!("{}/{}", job.service, job.kind);
    let (outcome, detail) = match &result.outcome {
        Outcome::Complete(answers) => ("complete", format!("{} answers", answers.len())),
        Outcome::Failed { code, verdict, message, .. } => {
            ("failed", format!("{code}, {verdict}: {message}"))
        }
    };
    if json {
        let line = serde_json::json!({
            "kind": name, "outcome": outcome, "detail": detail,
            "response_ms": result.response.as_secs_f64() * 1e3, "over_ideal": ratio,
        });
        return print_line!("{line}");
    }
    let response_ms = result.response.as_millis();
    print_line!("{name:<22} {outcome:<9} {response_ms:>5} ms  {ratio:>6.3} x ideal  {detail}");
}

fn print_summary(cluster: &Cluster, jobs: &JobFile, results: &[JobResult], json: bool) {
    let mut messages = MessageCounts::default();
    cluster.entry_counters().iter().for_each(|counters| messages += counters.messages);
    cluster.agent_counters().iter().for_each(|counters| messages += counters.messages);
    let tasks: usize = jobs.jobs.iter().map(|job| job.tasks.len()).sum();
    let per_task = |count: u64| count as f64 / tasks.max(1) as f64;
    let mut ratios = LatencyHistogram::default();
    // A histogram holds only durations, so a ratio of 1 is recorded as one second.
    results
        .iter()
        .for_each(|result| ratios.record(Duration::from_secs_f64(response_ratio(result))));
    let ratio_at = |quantile| ratios.quantile(quantile).as_secs_f64();
    let (sent, wasted) = (per_task(messages.total_sent()), per_task(messages.total_wasted()));
    if json {
        let line = serde_json::json!({
            "jobs": results.len(), "tasks": tasks, "over_ideal_p50": ratio_at(0.5),
            "over_ideal_p99": ratio_at(0.99), "messages_per_task": sent, "wasted_per_task": wasted,
        });
        return print_line!("{line}");
    }
    print_line!(
        "{} jobs, {tasks} tasks: response over ideal p50 {:.3}, p99 {:.3}; \
         messages per task {sent:.2}, wasted per task {wasted:.2}",
        results.len(),
        ratio_at(0.5),
        ratio_at(0.99),
    );
}
