//! Request bodies of submissions.

use std::sync::Arc;

use model::{Code, Failure, Verdict, has_more_json_values};
use serde::{Deserialize, Serialize};

/// Maximum size of a request body, in bytes.
pub const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Maximum number of tasks in a job, independent of the settings.
pub const TASKS_MAX: usize = 690;
/// Maximum number of values in a body, more than a job with [`TASKS_MAX`] tasks has.
const VALUES_MAX: usize = TASKS_MAX + 310;
/// Maximum `deadline_ms`, in milliseconds.
const DEADLINE_MAX_MS: u64 = 600_000;

/// The body of `PUT /v1/jobs/{submission}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The service's name.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// The tasks' texts, each passed to a target unchanged.
    pub tasks: Vec<Arc<str>>,
    /// Time from arrival to the answer, in milliseconds; if absent, the settings' default applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// The body of `PUT /v1/requests/{submission}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// The service's name.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// The task's text, passed to a target unchanged.
    pub task: Arc<str>,
    /// Time from arrival to the answer, in milliseconds; if absent, the settings' default applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether the task may run more than once.
    #[serde(default)]
    pub repeatable: bool,
}

/// A validated submission from either body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The service's name.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// The tasks' texts; at least one and at most [`TASKS_MAX`].
    pub tasks: Vec<Arc<str>>,
    /// Time from arrival to the answer, in milliseconds; `None` for the settings' default.
    pub deadline_ms: Option<u64>,
    /// Whether the task may run more than once.
    pub repeatable: bool,
}

/// Parses and validates the body of a job.
///
/// Fails with [`Code::BadBody`] or [`Code::TooLarge`].
pub fn parse_job(body: &[u8]) -> Result<Submission, Failure> {
    check_values(body)?;
    let job: JobBody = serde_json::from_slice(body).map_err(invalid_json)?;
    validate(Submission {
        service: job.service,
        kind: job.kind,
        tasks: job.tasks,
        deadline_ms: job.deadline_ms,
        repeatable: false,
    })
}

/// Parses and validates the body of a single-task request.
///
/// Fails with [`Code::BadBody`] or [`Code::TooLarge`].
pub fn parse_request(body: &[u8]) -> Result<Submission, Failure> {
    check_values(body)?;
    let request: RequestBody = serde_json::from_slice(body).map_err(invalid_json)?;
    validate(Submission {
        service: request.service,
        kind: request.kind,
        tasks: vec![request.task],
        deadline_ms: request.deadline_ms,
        repeatable: request.repeatable,
    })
}

/// Rejects a body with far more values than a valid one has, before they are built.
fn check_values(body: &[u8]) -> Result<(), Failure> {
    if has_more_json_values(body, VALUES_MAX) {
        let message = format!("more than {VALUES_MAX} values, at most {TASKS_MAX} tasks");
        return Err(Failure::new(Code::TooLarge, Verdict::NotRun, message));
    }
    Ok(())
}

fn validate(submission: Submission) -> Result<Submission, Failure> {
    let bad_body = |message: &str| Err(Failure::new(Code::BadBody, Verdict::NotRun, message));
    if submission.tasks.is_empty() {
        return bad_body("a job has at least one task");
    }
    if submission.tasks.len() > TASKS_MAX {
        let message = format!("{} tasks, at most {TASKS_MAX}", submission.tasks.len());
        return Err(Failure::new(Code::TooLarge, Verdict::NotRun, message));
    }
    if submission.deadline_ms.is_some_and(|millis| millis == 0 || millis > DEADLINE_MAX_MS) {
        return bad_body("deadline_ms is 1 to 600000");
    }
    Ok(submission)
}

fn invalid_json(error: serde_json::Error) -> Failure {
    Failure::new(Code::BadBody, Verdict::NotRun, format!("not the JSON asked for: {error}"))
}
