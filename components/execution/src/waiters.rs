//! The queue of sessions that wait for tokens.

use std::collections::VecDeque;

use crate::Session;

/// A queue of sessions without duplicates.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    queue: VecDeque<Session>,
}

impl Waiters {
    /// Appends a session unless it is in the queue already.
    pub(crate) fn add(&mut self, session: Session) {
        if !self.queue.contains(&session) {
            self.queue.push_back(session);
        }
    }

    /// Removes a session from the queue.
    pub(crate) fn remove(&mut self, session: Session) {
        self.queue.retain(|waiting| *waiting != session);
    }

    /// The sessions, the longest waiting first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Session> + '_ {
        self.queue.iter().copied()
    }
}
