//! HTTP responses to clients.

use std::sync::Arc;

use model::{Code, Failure, SubmissionId, Verdict};
use serde::Serialize;

/// The response header with the verdict: whether the work ran.
pub const VERDICT_HEADER: &str = "dockpass-verdict";

/// Status, headers and body of an HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the verdict header; `None` if the outcome is complete.
    pub verdict: Option<Verdict>,
    /// The value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The JSON body.
    pub body: String,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum Outcome {
    Complete,
    Failed,
}

#[derive(Serialize)]
struct CompleteBody<'a> {
    submission: SubmissionText,
    outcome: Outcome,
    answers: &'a [Arc<str>],
}

#[derive(Serialize)]
struct FailedBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    submission: Option<SubmissionText>,
    outcome: Outcome,
    code: Code,
    verdict: Verdict,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Serializes a submission id in its text form.
struct SubmissionText(SubmissionId);

impl Serialize for SubmissionText {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// Returns the response for an outcome: the answers of all tasks in task order, or the failure.
///
/// # Panics
///
/// Panics if there are answers but no submission id.
pub fn outcome_response(
    submission: Option<SubmissionId>,
    outcome: &Result<Arc<[Arc<str>]>, Failure>,
) -> ApiResponse {
    match (outcome, submission) {
        (Ok(answers), Some(id)) => complete_response(id, answers),
        (Ok(_), None) => unreachable!("answers without a submission id"),
        (Err(failure), submission) => failure_response(submission, failure),
    }
}

fn complete_response(submission: SubmissionId, answers: &[Arc<str>]) -> ApiResponse {
    let submission = SubmissionText(submission);
    let body = CompleteBody { submission, outcome: Outcome::Complete, answers };
    ApiResponse { status: 200, verdict: None, retry_after: None, body: to_json(&body) }
}

fn failure_response(submission: Option<SubmissionId>, failure: &Failure) -> ApiResponse {
    let body = FailedBody {
        submission: submission.map(SubmissionText),
        outcome: Outcome::Failed,
        code: failure.code,
        verdict: failure.verdict,
        message: &failure.message,
        retry_after_ms: failure.retry_after_ms,
    };
    ApiResponse {
        status: failure_status(failure.code, failure.verdict),
        verdict: Some(failure.verdict),
        retry_after: failure.retry_after_ms.map(|millis| millis.div_ceil(1_000)),
        body: to_json(&body),
    }
}

fn to_json<T: Serialize>(body: &T) -> String {
    serde_json::to_string(body).expect("the body types always serialize")
}

/// The HTTP status of a failure. 503 is used only if the work provably did not run.
fn failure_status(code: Code, verdict: Verdict) -> u16 {
    match code {
        Code::BadBody | Code::BadId | Code::IdTooNew => 400,
        Code::NoSuchPath | Code::UnknownService | Code::UnknownKind | Code::UnknownId => 404,
        Code::IdConflict => 409,
        Code::IdTooOld | Code::AnswerDropped => 410,
        Code::TooLarge => 413,
        Code::TargetFailed | Code::TargetLost | Code::OwnerLost => 502,
        Code::DeadlinePassed | Code::NoQuorum => 504,
        Code::ServiceStopped
        | Code::Overloaded
        | Code::OverQuota
        | Code::NoTarget
        | Code::NotReady => match verdict {
            Verdict::NotRun => 503,
            Verdict::MayHaveRun | Verdict::Ran => 502,
        },
    }
}
