//! Jobs that were cancelled lately.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{JobId, Time};

/// How long a cancelled job is remembered: its client may have sent it just before, on a connection that
/// is slower. Many times as long as any client waits for a job.
const KEPT: Duration = Duration::from_secs(20);

/// The jobs, and until when each is remembered.
#[derive(Clone, Debug, Default)]
pub struct CancelledJobs(BTreeMap<JobId, Time>);

impl CancelledJobs {
    /// A job is cancelled.
    pub fn insert(&mut self, now: Time, id: &JobId) {
        self.0.insert(id.clone(), now + KEPT);
    }

    /// Whether a job was cancelled lately.
    pub fn contains(&self, id: &JobId) -> bool {
        self.0.contains_key(id)
    }

    /// Forgets what was cancelled long ago.
    pub fn remove_expired(&mut self, now: Time) {
        self.0.retain(|_, until| *until > now);
    }
}
