//! Breaches of what must always hold, found by checks inside the program.

use std::fmt;

use model::{JobId, NodeRef, SubmissionId, TaskKey};
use serde::{Deserialize, Serialize};

/// A condition that must always hold and did not: a bug, or a clock beyond its bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Breach {
    /// Two owners started tasks of one submission.
    TwoOwners {
        /// The task of the second start.
        key: TaskKey,
        /// Who started it first.
        first: NodeRef,
        /// Who tried to start it as well.
        second: NodeRef,
    },
    /// A task ended that was not running.
    EndedTwice(TaskKey),
    /// A task that is not repeatable was about to start again without proof.
    StartWithoutProof(TaskKey),
    /// An answer was about to be given without the answer of every task.
    PartialAnswer(SubmissionId),
    /// "Not run" was about to be said of a submission with a started task.
    FalseNotRun(SubmissionId),
    /// "Completed" was about to be said of a job with tasks that are not done.
    PartialJob(JobId),
    /// "Not run" was about to be said of a job that may have run.
    FalseNotRunJob(JobId),
    /// More tokens or tasks than slots.
    SlotsOverdrawn,
    /// Settings of a lower version were about to be applied.
    SettingsWentBack {
        /// The version in force.
        have: u64,
        /// The lower one.
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
                write!(f, "task {}/{} ended, but was not running", key.submission, key.index)
            }
            Self::StartWithoutProof(key) => {
                write!(f, "task {}/{} starts again without proof", key.submission, key.index)
            }
            Self::PartialAnswer(submission) => write!(f, "answer of {submission} is partial"),
            Self::FalseNotRun(submission) => write!(f, "'not run' said of started {submission}"),
            Self::PartialJob(job) => write!(f, "answer of job {job} is partial"),
            Self::FalseNotRunJob(job) => write!(f, "'not run' said of started job {job}"),
            Self::SlotsOverdrawn => write!(f, "more tokens or tasks than slots"),
            Self::SettingsWentBack { have, got } => {
                write!(f, "settings version {got} after {have}")
            }
        }
    }
}
