//! Tracks which other entries must be notified of a cancelled job.
//!
//! A client may cancel at any entry, while its job runs at another one. An entry that has just
//! started may be known to agents and have jobs before other entries have received its address. So
//! a cancel is also sent to entries that are listed shortly afterwards, and again to entries that
//! did not answer.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use model::{JobId, Time};

/// How long a cancel is sent to newly listed or unreachable entries. Must be longer than the time
/// that the list of entries takes to spread: a keeper reports a new entry 50 ms after it has
/// registered, and a request whose reply is lost is repeated after 1.7 s.
const NOTICE_RETENTION: Duration = Duration::from_secs(2);

/// The other entries and the recent cancels to send them.
#[derive(Debug, Default)]
pub struct CancelNotices {
    entries: BTreeSet<SocketAddr>,
    /// Recent cancels, oldest first.
    recent: VecDeque<(Time, JobId)>,
}

impl CancelNotices {
    /// Records a client's cancel of a job that is not known here. Returns the entries to notify
    /// now.
    pub fn record_cancel(&mut self, now: Time, job: &JobId) -> Vec<SocketAddr> {
        self.expire(now);
        self.recent.push_back((now, job.clone()));
        self.entries.iter().copied().collect()
    }

    /// Replaces the list of other entries. Returns the recent cancels to send to entries that are
    /// new in it.
    pub fn update_entries(
        &mut self,
        now: Time,
        entries: BTreeSet<SocketAddr>,
    ) -> Vec<(SocketAddr, JobId)> {
        self.expire(now);
        let added: Vec<SocketAddr> = entries.difference(&self.entries).copied().collect();
        self.entries = entries;
        let pending =
            |entry: SocketAddr| self.recent.iter().map(move |(_, job)| (entry, job.clone()));
        added.into_iter().flat_map(pending).collect()
    }

    /// Whether an entry that could not be reached should be tried again.
    pub fn has_pending(&mut self, now: Time, entry: SocketAddr) -> bool {
        self.expire(now);
        self.entries.contains(&entry) && !self.recent.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= NOTICE_RETENTION) {
            self.recent.pop_front();
        }
    }
}
