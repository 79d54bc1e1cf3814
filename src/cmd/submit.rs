//! `dockpass submit`: jobs of a file to a running entry.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use api::{JobBody, RequestBody};
use clap::ArgMatches;
use client::{EntryClient, Outcome, RequestError, new_submission_id};
use model::SubmissionId;
use testbed::{JobFile, JobSpec};

use super::{CommandError, FAILED, addresses};

/// Longest wait for an outcome.
pub const OUTCOME_TIME: Duration = Duration::from_secs(610);

/// Submits every job in order and prints its outcome.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let entry = addresses(arguments, "entry")?;
    let path = arguments.get_one::<String>("file").map_or("", String::as_str);
    let file = JobFile::load(Path::new(path)).map_err(|e| CommandError::BadInput(e.to_string()))?;
    let json = arguments.get_flag("json");
    let failed = net::block_on(|tasks| async move {
        let caller = EntryClient::new(entry[0], tasks.clone(), OUTCOME_TIME);
        let mut failed = 0;
        for job in &file.jobs {
            let id = new_submission_id();
            let started = Instant::now();
            let outcome = submit(&caller, id, job).await?;
            failed += usize::from(!is_whole(job, &outcome));
            print_outcome(id, job, &outcome, started.elapsed(), json);
        }
        Ok::<usize, CommandError>(failed)
    })?;
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::from(FAILED) })
}

/// Submits one job: as a repeatable request, or as a job.
pub async fn submit(
    caller: &EntryClient,
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
        return caller.submit_request(id, &body).await;
    }
    let body = JobBody { service, kind, tasks: job.tasks.clone(), deadline_ms: job.deadline_ms };
    caller.submit_job(id, &body).await
}

/// Whether an outcome has the answer of every task.
pub fn is_whole(job: &JobSpec, outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Complete(answers) if answers.len() == job.tasks.len())
}

fn print_outcome(id: SubmissionId, job: &JobSpec, outcome: &Outcome, time: Duration, json: bool) {
    let millis = time.as_millis();
    if json {
        let line = match outcome {
            Outcome::Complete(answers) => serde_json::json!({
                "submission": id.to_string(), "outcome": "complete", "ms": millis, "answers": answers,
            }),
            Outcome::Failed { status, code, verdict, message, .. } => serde_json::json!({
                "submission": id.to_string(), "outcome": "failed", "ms": millis, "status": status,
                "code": code, "verdict": verdict.as_str(), "message": message,
            }),
        };
        return say!("{line}");
    }
    match outcome {
        Outcome::Complete(answers) => {
            say!("{id} {}/{} complete in {millis} ms", job.service, job.kind);
            answers.iter().for_each(|answer| say!("  {answer}"));
        }
        Outcome::Failed { code, verdict, message, .. } => {
            say!("{id} {}/{} failed: {code}, {verdict}: {message}", job.service, job.kind);
        }
    }
}
