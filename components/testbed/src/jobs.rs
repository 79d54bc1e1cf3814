//! JSON files of jobs to submit.

use std::path::Path;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a job file can't be loaded.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// The file (name) can't be read (I/O error).
    #[error("cannot read job file {0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file (name) is not a JSON array of [`JobSpec`] (parse error).
    #[error("invalid job file {0}: {1}")]
    InvalidJson(String, serde_json::Error),
    /// A job of the file (name) at this index, from 0, has no tasks.
    #[error("invalid job file {0}: the job at index {1} has no tasks")]
    NoTasks(String, usize),
}

/// One job of a job file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Name of the service.
    pub service: String,
    /// Name of the service's job kind.
    pub kind: String,
    /// Text of each task, as sent to the target.
    pub tasks: Vec<Arc<str>>,
    /// Time allowed until the answer, in milliseconds; the kind's setting applies if absent.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the task may run more than once; ignored for jobs of several tasks.
    #[serde(default)]
    pub repeatable: bool,
}

/// The contents of a job file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobFile {
    /// The jobs, in the order of submission.
    pub jobs: Vec<JobSpec>,
}

impl JobFile {
    /// Reads and parses the job file at `path`.
    pub fn load(path: &Path) -> Result<Self, JobFileError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobFileError::Unreadable(name.clone(), error))?;
        Self::parse(&name, &text)
    }

    /// Parses the text of a job file; `name` identifies the text in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, JobFileError> {
        let jobs: Vec<JobSpec> = serde_json::from_str(text)
            .map_err(|error| JobFileError::InvalidJson(name.to_owned(), error))?;
        match jobs.iter().position(|job| job.tasks.is_empty()) {
            Some(index) => Err(JobFileError::NoTasks(name.to_owned(), index)),
            None => Ok(Self { jobs }),
        }
    }
}
