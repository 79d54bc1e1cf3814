//! Sessions that wait for tokens, the longest waiting first.

use std::collections::VecDeque;

use crate::Session;

/// A line of sessions; each is in it once.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    line: VecDeque<Session>,
}

impl Waiters {
    /// Adds a session at the end, unless it waits already.
    pub(crate) fn add(&mut self, session: Session) {
        if !self.line.contains(&session) {
            self.line.push_back(session);
        }
    }

    /// Takes a session out.
    pub(crate) fn remove(&mut self, session: Session) {
        self.line.retain(|waiting| *waiting != session);
    }

    /// The sessions, the longest waiting first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Session> + '_ {
        self.line.iter().copied()
    }
}
