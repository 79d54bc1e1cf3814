//! What entries say to each other.

use std::sync::Arc;

use model::{Failure, SubmissionId};
use serde::{Deserialize, Serialize};

/// Hands a submission to the entry that owns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The submission.
    pub submission: SubmissionId,
    /// Its service.
    pub service: String,
    /// Its kind.
    pub kind: String,
    /// Its tasks' texts.
    pub tasks: Vec<Arc<str>>,
    /// Time left, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// The owner's answer: every task's answer in order, or why there is none.
pub type RelayReply = Result<Arc<[Arc<str>]>, Failure>;

/// An entry's side of the connection from another entry.
#[tarpc::service]
pub trait EntryService {
    /// Joins a submission at its owner and waits for its outcome.
    async fn relay(request: RelayRequest) -> RelayReply;
    /// The kept outcome of a submission at its owner.
    async fn fetch(submission: SubmissionId) -> RelayReply;
}
