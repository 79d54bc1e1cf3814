//! Ids that clients make.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::{SubmissionId, Time};
use uuid::Uuid;

/// A new submission id, made now.
pub fn new_submission_id() -> SubmissionId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    submission_id_at(since_epoch)
}

/// A submission id made this long after the Unix epoch.
pub fn submission_id_at(since_epoch: Duration) -> SubmissionId {
    let made = Time::default() + since_epoch;
    SubmissionId::from_parts(made, Uuid::new_v4().as_u128().rotate_left(64))
}
