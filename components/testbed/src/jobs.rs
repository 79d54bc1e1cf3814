//! Files of jobs to submit.

use std::path::Path;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a file of jobs can't be used.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// It can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is not the JSON that it should be.
    #[error("{0}: {1}")]
    BadJson(String, serde_json::Error),
    /// A job has no task.
    #[error("{0}: job {1} has no task")]
    NoTask(String, usize),
}

/// One job of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The service.
    pub service: String,
    /// The kind below it.
    pub kind: String,
    /// The tasks' texts.
    pub tasks: Vec<Arc<str>>,
    /// Time to the answer, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once; only for a single task.
    #[serde(default)]
    pub repeatable: bool,
}

/// Jobs in the order in which they are submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobFile {
    /// The jobs.
    pub jobs: Vec<JobSpec>,
}

impl JobFile {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, JobFileError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobFileError::Unreadable(name.clone(), error))?;
        Self::parse(&name, &text)
    }

    /// Reads text; `name` stands for it in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, JobFileError> {
        let jobs: Vec<JobSpec> = serde_json::from_str(text)
            .map_err(|error| JobFileError::BadJson(name.to_owned(), error))?;
        match jobs.iter().position(|job| job.tasks.is_empty()) {
            Some(number) => Err(JobFileError::NoTask(name.to_owned(), number)),
            None => Ok(Self { jobs }),
        }
    }
}
