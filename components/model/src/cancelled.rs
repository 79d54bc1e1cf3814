//! Recently cancelled jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{JobId, Time};

/// How long a cancelled job is remembered, since its submission may arrive after the cancel on a
/// slower connection. Far longer than clients wait for a job.
const RETENTION: Duration = Duration::from_secs(20);

/// The cancelled jobs with their expiry times. A job that is submitted after its cancel is refused.
#[derive(Clone, Debug, Default)]
pub struct CancelledJobs(BTreeMap<JobId, Time>);

impl CancelledJobs {
    /// Records that a job was cancelled.
    pub fn insert(&mut self, now: Time, id: &JobId) {
        self.0.insert(id.clone(), now + RETENTION);
    }

    /// Whether a job was recently cancelled.
    pub fn contains(&self, id: &JobId) -> bool {
        self.0.contains_key(id)
    }

    /// Removes the jobs whose retention period has passed.
    pub fn remove_expired(&mut self, now: Time) {
        self.0.retain(|_, expires_at| *expires_at > now);
    }
}
