//! Which other entries are told that a job is cancelled.
//!
//! A client cancels at any entry, and the job is another one's. An entry that has just come may be known to agents,
//! and have jobs, some moments before the others hear of it: of 64 starts of a fleet three had their cancel told to nobody
//! where keepers gather changes of their list for 700 ms instead of 50. So a cancel is also told to entries that
//! are listed a little later, and again to those that did not answer.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use model::{JobId, Time};

/// How long a cancel is told to entries that are listed only now, or that could not be reached. A keeper tells of a
/// new entry 50 ms after it has registered; where its answer is lost, the question is put again after 1.7 s.
const TOLD_FOR: Duration = Duration::from_secs(2);

/// The other entries, and the cancels that they are owed.
#[derive(Debug, Default)]
pub struct CancelNotices {
    listed: BTreeSet<SocketAddr>,
    /// Cancels of the last moments, the newest last.
    recent: VecDeque<(Time, JobId)>,
}

impl CancelNotices {
    /// A client has cancelled a job that is not here; returns the entries to tell now.
    pub fn record_cancel(&mut self, now: Time, job: &JobId) -> Vec<SocketAddr> {
        self.forget(now);
        self.recent.push_back((now, job.clone()));
        self.listed.iter().copied().collect()
    }

    /// Keepers list these other entries; returns who is to be told of which cancels.
    pub fn update_entries(
        &mut self,
        now: Time,
        entries: BTreeSet<SocketAddr>,
    ) -> Vec<(SocketAddr, JobId)> {
        self.forget(now);
        let come: Vec<SocketAddr> = entries.difference(&self.listed).copied().collect();
        self.listed = entries;
        let owed = |entry: SocketAddr| self.recent.iter().map(move |(_, job)| (entry, job.clone()));
        come.into_iter().flat_map(owed).collect()
    }

    /// Whether an entry that could not be reached is tried again.
    pub fn has_pending(&mut self, now: Time, entry: SocketAddr) -> bool {
        self.forget(now);
        self.listed.contains(&entry) && !self.recent.is_empty()
    }

    fn forget(&mut self, now: Time) {
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= TOLD_FOR) {
            self.recent.pop_front();
        }
    }
}
