//! `dockpass submit`: submits the jobs of a file to a running entry.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use api::{JobBody, RequestBody};
use clap::ArgMatches;
use client::{EntryClient, Outcome, RequestError, new_submission_id};
use model::SubmissionId;
use testbed::{JobFile, JobSpec};

use super::{CommandError, EXIT_FAILED, parse_addresses};

/// Longest wait for the outcome of a job, slightly more than the longest deadline.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(610);

/// Submits the jobs one after the other and prints the outcome of each; fails unless all are
/// complete.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let entry = parse_addresses(matches, "entry")?;
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    let file = JobFile::load(Path::new(path)).map_err(|e| CommandError::BadInput(e.to_string()))?;
    let json = matches.get_flag("json");
    let failed = net::block_on(|tasks| async move {
        let client = EntryClient::new(entry[0], tasks.clone(), OUTCOME_TIMEOUT);
        let mut failed = 0;
        for job in &file.jobs {
            let id = new_submission_id();
            let started = Instant::now();
            let outcome = submit(&client, id, job).await?;
            failed += usize::from(!is_complete(job, &outcome));
            print_outcome(id, job, &outcome, started.elapsed(), json);
        }
        Ok::<usize, CommandError>(failed)
    })?;
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) })
}

/// Submits a repeatable job of a single task as a request, and any other as a job.
pub async fn submit(
    client: &EntryClient,
    id: SubmissionId,
    job: &JobSpec,
) -> Result<Outcome, RequestError> {
    let (service, kind) = (job.service.clone(), job.kind.clone());
    if job.repeatable && job.tasks.len() == 1 {
        let body = RequestBody {
            service,
            kind,
            task: job.tasks[0].clone(),
            deadline_ms: job.deadline_ms,
            repeatable: true,
        };
        return client.submit_request(id, &body).await;
    }
    let body = JobBody { service, kind, tasks: job.tasks.clone(), deadline_ms: job.deadline_ms };
    client.submit_job(id, &body).await
}

/// Whether the outcome holds an answer for every task of the job.
pub fn is_complete(job: &JobSpec, outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Complete(answers) if answers.len() == job.tasks.len())
}

fn print_outcome(
    id: SubmissionId,
    job: &JobSpec,
    outcome: &Outcome,
    elapsed: Duration,
    json: bool,
) {
    let elapsed_ms = elapsed.as_millis();
    if json {
        let line = match outcome {
            Outcome::Complete(answers) => serde_json::json!({
                "submission": id.to_string(), "outcome": "complete", "ms": elapsed_ms, "answers": answers,
            }),
            Outcome::Failed { status, code, verdict, message, .. } => serde_json::json!({
                "submission": id.to_string(), "outcome": "failed", "ms": elapsed_ms, "status": status,
                "code": code, "verdict": verdict.as_str(), "message": message,
            }),
        };
        return print_line!("{line}");
    }
    match outcome {
        Outcome::Complete(answers) => {
            print_line!("{id} {}/{} complete in {elapsed_ms} ms", job.service, job.kind);
            answers.iter().for_each(|answer| print_line!("  {answer}"));
        }
        Outcome::Failed { code, verdict, message, .. } => {
            print_line!("{id} {}/{} failed: {code}, {verdict}: {message}", job.service, job.kind);
        }
    }
}
