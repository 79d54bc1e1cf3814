//! Failures of requests, with what is known about their execution.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The code of a failure. The texts are part of the public API and stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The body is not JSON of the expected form.
    BadBody,
    /// The path contains no valid submission id.
    BadId,
    /// The path or the method does not exist.
    NoSuchPath,
    /// The body or the number of tasks exceeds a limit.
    TooLarge,
    /// The settings define no such service.
    UnknownService,
    /// The settings define no such kind for the service.
    UnknownKind,
    /// The service is stopped.
    ServiceStopped,
    /// The submission id is older than the retention period, so a recorded outcome may have
    /// expired.
    IdTooOld,
    /// The creation time of the submission id is in the future.
    IdTooNew,
    /// The submission id was used before with different content.
    IdConflict,
    /// No submission with this id is known, or its owner could not be determined.
    UnknownId,
    /// The job has ended, but its answer was evicted.
    AnswerDropped,
    /// Too few claim holders replied to decide which entry owns the submission.
    NoQuorum,
    /// The entry that owns the submission is unreachable, or no longer has its outcome.
    OwnerLost,
    /// The estimated completion of the job is past its deadline.
    Overloaded,
    /// The team exceeds its quota.
    OverQuota,
    /// No target of the service accepts work.
    NoTarget,
    /// The entry is shutting down or not ready.
    NotReady,
    /// The deadline passed before the submission had an outcome, or can no longer be met.
    DeadlinePassed,
    /// The target returned an error.
    TargetFailed,
    /// The target or its agent was lost while the task may have been running.
    TargetLost,
}

impl Code {
    /// The code as it appears in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadBody => "bad-body",
            Self::BadId => "bad-id",
            Self::NoSuchPath => "no-such-path",
            Self::TooLarge => "too-large",
            Self::UnknownService => "unknown-service",
            Self::UnknownKind => "unknown-kind",
            Self::ServiceStopped => "service-stopped",
            Self::IdTooOld => "id-too-old",
            Self::IdTooNew => "id-too-new",
            Self::IdConflict => "id-conflict",
            Self::UnknownId => "unknown-id",
            Self::AnswerDropped => "answer-dropped",
            Self::NoQuorum => "no-quorum",
            Self::OwnerLost => "owner-lost",
            Self::Overloaded => "overloaded",
            Self::OverQuota => "over-quota",
            Self::NoTarget => "no-target",
            Self::NotReady => "not-ready",
            Self::DeadlinePassed => "deadline-passed",
            Self::TargetFailed => "target-failed",
            Self::TargetLost => "target-lost",
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The failure code.
    pub code: Code,
    /// What is known about whether the tasks ran.
    pub verdict: Verdict,
    /// A human-readable description.
    pub message: String,
    /// The delay after which a refused client should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure without a retry delay.
    pub fn new(code: Code, verdict: Verdict, message: impl Into<String>) -> Self {
        Self { code, verdict, message: message.into(), retry_after_ms: None }
    }

    /// Sets the delay after which the client should retry.
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.verdict, self.message)
    }
}
