//! The sessions of entries at an agent: leases and waiting token exchanges.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use execution::Session;
use model::Time;
use wire::SyncReply;

use crate::CallId;

/// One entry's session.
#[derive(Clone, Debug)]
pub(crate) struct SessionState {
    /// When the entry was last heard of on it.
    pub heard: Time,
    /// Exchanges that wait for news, oldest first.
    pub waiting: VecDeque<CallId>,
    /// News that no exchange took yet.
    pub news: SyncReply,
}

impl SessionState {
    /// Whether there is something to tell.
    pub fn has_news(&self) -> bool {
        self.news != SyncReply::default()
    }
}

/// Closed sessions that are remembered, so that a late frame does not open one anew.
const CLOSED_KEPT: usize = 1_024;

/// All sessions, by number.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    open: BTreeMap<Session, SessionState>,
    closed: VecDeque<Session>,
}

impl Sessions {
    /// Opens a session, or hears of an open one; false for one that was closed.
    pub fn open(&mut self, session: Session, now: Time) -> bool {
        if self.closed.contains(&session) {
            return false;
        }
        let fresh =
            SessionState { heard: now, waiting: VecDeque::new(), news: SyncReply::default() };
        self.open.entry(session).or_insert(fresh).heard = now;
        true
    }

    /// Notes a frame on a session; false for one that is not open.
    pub fn hear(&mut self, session: Session, now: Time) -> bool {
        match self.open.get_mut(&session) {
            Some(state) => {
                state.heard = now;
                true
            }
            None => false,
        }
    }

    pub fn get_mut(&mut self, session: Session) -> Option<&mut SessionState> {
        self.open.get_mut(&session)
    }

    /// Closes a session; false where none was open.
    pub fn close(&mut self, session: Session) -> bool {
        self.closed.push_back(session);
        if self.closed.len() > CLOSED_KEPT {
            self.closed.pop_front();
        }
        self.open.remove(&session).is_some()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Session, &mut SessionState)> {
        self.open.iter_mut().map(|(session, state)| (*session, state))
    }

    /// Sessions silent for longer than the lease.
    pub fn silent(&self, lease: Duration, now: Time) -> Vec<Session> {
        let silent = |(_, state): &(&Session, &SessionState)| state.heard + lease <= now;
        self.open.iter().filter(silent).map(|(session, _)| *session).collect()
    }

    /// The next moment at which something is due: an answer without news after `renewal` of
    /// silence, or the end of a lease.
    pub fn next_timer(&self, renewal: Duration, lease: Duration) -> Option<Time> {
        let due = |state: &SessionState| match state.waiting.is_empty() {
            false => state.heard + renewal,
            true => state.heard + lease,
        };
        self.open.values().map(due).min()
    }
}
