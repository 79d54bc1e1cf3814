//! Messages between entries.

use std::sync::Arc;

use model::{Failure, SubmissionId};
use serde::{Deserialize, Serialize};

/// Forwards a submission to the entry that owns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The id of the submission.
    pub submission: SubmissionId,
    /// The service that runs it.
    pub service: String,
    /// The kind of task within the service.
    pub kind: String,
    /// The texts of its tasks, in order.
    pub tasks: Vec<Arc<str>>,
    /// Time left until the deadline, in milliseconds; `None` without a deadline.
    pub deadline_ms: Option<u64>,
    /// Whether its tasks are idempotent and may run more than once.
    pub repeatable: bool,
}

/// The owner's reply: the answer of each task in order, or the failure of the submission.
pub type RelayReply = Result<Arc<[Arc<str>]>, Failure>;

/// The calls that an entry serves to other entries.
#[tarpc::service]
pub trait EntryService {
    /// Joins a submission at its owner and waits for the outcome.
    async fn relay(request: RelayRequest) -> RelayReply;
    /// Returns the outcome that the owner has retained for a submission.
    async fn fetch(submission: SubmissionId) -> RelayReply;
}
