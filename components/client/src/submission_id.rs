//! Creates submission ids on the client's side.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::{SubmissionId, Time};
use uuid::Uuid;

/// Creates a submission id with the current time. A clock before the Unix epoch counts as the
/// epoch.
pub fn new_submission_id() -> SubmissionId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    submission_id_at(since_epoch)
}

/// Creates a submission id with the given time since the Unix epoch and a random part.
pub fn submission_id_at(since_epoch: Duration) -> SubmissionId {
    let created_at = Time::default() + since_epoch;
    // `from_parts` uses only the upper bits. The rotation keeps the fixed version bits out of them,
    // and `from_parts` overwrites the fixed variant bits.
    SubmissionId::from_parts(created_at, Uuid::new_v4().as_u128().rotate_left(64))
}
