//! Bodies of submissions.

use std::sync::Arc;

use model::{Code, Failure, Verdict};
use serde::{Deserialize, Serialize};

/// Longest body taken, in bytes.
pub const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Most tasks in one job, whatever the settings say.
pub const TASKS_MAX: usize = 690;
/// Longest deadline taken, in milliseconds.
const DEADLINE_MAX_MS: u64 = 600_000;

/// The body of `PUT /v1/jobs/{submission}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The service.
    pub service: String,
    /// The kind below it.
    pub kind: String,
    /// The tasks' texts, each handed to a target as it is.
    pub tasks: Vec<Arc<str>>,
    /// Time to the answer, in milliseconds; the settings' where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// The body of `PUT /v1/requests/{submission}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// The service.
    pub service: String,
    /// The kind below it.
    pub kind: String,
    /// The task's text.
    pub task: Arc<str>,
    /// Time to the answer, in milliseconds; the settings' where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once.
    #[serde(default)]
    pub repeatable: bool,
}

/// Work read from either body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The service.
    pub service: String,
    /// The kind below it.
    pub kind: String,
    /// The tasks' texts: 1 to 690.
    pub tasks: Vec<Arc<str>>,
    /// Time to the answer, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// Reads a job's body.
pub fn parse_job(body: &[u8]) -> Result<Submission, Failure> {
    let job: JobBody = serde_json::from_slice(body).map_err(bad_json)?;
    check(Submission {
        service: job.service,
        kind: job.kind,
        tasks: job.tasks,
        deadline_ms: job.deadline_ms,
        repeatable: false,
    })
}

/// Reads the body of one piece of work.
pub fn parse_request(body: &[u8]) -> Result<Submission, Failure> {
    let request: RequestBody = serde_json::from_slice(body).map_err(bad_json)?;
    check(Submission {
        service: request.service,
        kind: request.kind,
        tasks: vec![request.task],
        deadline_ms: request.deadline_ms,
        repeatable: request.repeatable,
    })
}

fn check(work: Submission) -> Result<Submission, Failure> {
    let bad = |message: &str| Err(Failure::new(Code::BadBody, Verdict::NotRun, message));
    if work.tasks.is_empty() {
        return bad("a job has at least one task");
    }
    if work.tasks.len() > TASKS_MAX {
        let message = format!("{} tasks, at most {TASKS_MAX}", work.tasks.len());
        return Err(Failure::new(Code::TooLarge, Verdict::NotRun, message));
    }
    if work.deadline_ms.is_some_and(|millis| millis == 0 || millis > DEADLINE_MAX_MS) {
        return bad("deadline_ms is 1 to 600000");
    }
    Ok(work)
}

fn bad_json(error: serde_json::Error) -> Failure {
    Failure::new(Code::BadBody, Verdict::NotRun, format!("not the JSON asked for: {error}"))
}
