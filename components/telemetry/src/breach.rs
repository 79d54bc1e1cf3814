//! Invariant violations that the runtime checks report.

use std::fmt;

use model::{JobId, NodeRef, SubmissionId, TaskKey};
use serde::{Deserialize, Serialize};

/// A violated invariant. The cause is a bug, or a clock that deviates by more than the allowed
/// skew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Breach {
    /// Two entries started tasks of the same submission.
    TwoOwners {
        /// The task of the second start.
        key: TaskKey,
        /// The entry that started tasks first.
        first: NodeRef,
        /// The other entry that tried to start tasks.
        second: NodeRef,
    },
    /// A task that was not running was reported as ended.
    EndedTwice(TaskKey),
    /// A non-repeatable task was about to be retried without proof that the previous attempt did
    /// not run.
    StartWithoutProof(TaskKey),
    /// A submission was about to be answered without the results of all tasks.
    PartialAnswer(SubmissionId),
    /// A submission with a started task was about to be reported as not run.
    FalseNotRun(SubmissionId),
    /// A job with unfinished tasks was about to be reported as completed.
    PartialJob(JobId),
    /// A job that may have run was about to be reported as not run.
    FalseNotRunJob(JobId),
    /// Lent tokens and running tasks exceed the slots of the target.
    SlotsOverdrawn,
    /// Settings older than the version in force were about to be applied.
    SettingsWentBack {
        /// The version in force.
        have: u64,
        /// The older version.
        got: u64,
    },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoOwners { key, first, second } => {
                write!(f, "task {}/{} has two owners: {first}, {second}", key.submission, key.index)
            }
            Self::EndedTwice(key) => {
                write!(f, "task {}/{} ended but was not running", key.submission, key.index)
            }
            Self::StartWithoutProof(key) => {
                write!(
                    f,
                    "task {}/{} is retried without proof that it did not run",
                    key.submission, key.index
                )
            }
            Self::PartialAnswer(submission) => write!(f, "answer to {submission} is incomplete"),
            Self::FalseNotRun(submission) => write!(f, "started {submission} reported 'not run'"),
            Self::PartialJob(job) => write!(f, "unfinished job {job} reported 'completed'"),
            Self::FalseNotRunJob(job) => write!(f, "started job {job} reported 'not run'"),
            Self::SlotsOverdrawn => write!(f, "lent tokens and running tasks exceed the slots"),
            Self::SettingsWentBack { have, got } => {
                write!(f, "settings version {got} is older than version {have} in force")
            }
        }
    }
}
