//! The sessions of entries at an agent, with their leases and waiting token exchanges.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use execution::Session;
use model::Time;
use wire::SyncReply;

use crate::CallId;

/// The state of one entry's session.
#[derive(Clone, Debug)]
pub(crate) struct SessionState {
    /// When a message of the entry was last received, which renews the lease, or when the lease
    /// last ended, whichever is later.
    pub last_contact: Time,
    /// Exchanges that wait for a reply, oldest first.
    pub waiting: VecDeque<CallId>,
    /// The reply to the next waiting exchange, as collected so far.
    pub pending: SyncReply,
}

impl SessionState {
    /// Whether the pending reply reports anything.
    pub fn has_pending(&self) -> bool {
        self.pending != SyncReply::default()
    }
}

/// Greatest number of closed sessions that are remembered, so that a late frame reopens none.
const CLOSED_SESSIONS_MAX: usize = 1_024;

/// The open sessions and the most recently closed ones.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    open: BTreeMap<Session, SessionState>,
    closed: VecDeque<Session>,
}

impl Sessions {
    /// Opens a session or renews an open one; false if the session was closed before.
    pub fn open(&mut self, session: Session, now: Time) -> bool {
        if self.closed.contains(&session) {
            return false;
        }
        let new_state = SessionState {
            last_contact: now,
            waiting: VecDeque::new(),
            pending: SyncReply::default(),
        };
        self.open.entry(session).or_insert(new_state).last_contact = now;
        true
    }

    /// Records the time of a frame on a session; false if the session is not open.
    pub fn record_contact(&mut self, session: Session, now: Time) -> bool {
        match self.open.get_mut(&session) {
            Some(state) => {
                state.last_contact = now;
                true
            }
            None => false,
        }
    }

    pub fn get_mut(&mut self, session: Session) -> Option<&mut SessionState> {
        self.open.get_mut(&session)
    }

    /// Closes a session; false if it was not open.
    pub fn close(&mut self, session: Session) -> bool {
        self.closed.push_back(session);
        if self.closed.len() > CLOSED_SESSIONS_MAX {
            self.closed.pop_front();
        }
        self.open.remove(&session).is_some()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Session, &mut SessionState)> {
        self.open.iter_mut().map(|(session, state)| (*session, state))
    }

    /// The sessions from which nothing was received for `lease`.
    pub fn silent(&self, lease: Duration, now: Time) -> Vec<Session> {
        let silent = |(_, state): &(&Session, &SessionState)| state.last_contact + lease <= now;
        self.open.iter().filter(silent).map(|(session, _)| *session).collect()
    }

    /// The next time at which a session needs an empty reply, after `renewal` of silence, or at
    /// which its lease ends.
    pub fn next_timer(&self, renewal: Duration, lease: Duration) -> Option<Time> {
        let due = |state: &SessionState| match state.waiting.is_empty() {
            false => state.last_contact + renewal,
            true => state.last_contact + lease,
        };
        self.open.values().map(due).min()
    }
}
