//! Sessions that wait for tokens, served in turn.

use std::collections::VecDeque;

use crate::Session;

/// A round of sessions; each is in it once.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    round: VecDeque<Session>,
}

impl Waiters {
    /// Adds a session at the end, unless it waits already.
    pub(crate) fn add(&mut self, session: Session) {
        if !self.round.contains(&session) {
            self.round.push_back(session);
        }
    }

    /// Takes a session out.
    pub(crate) fn remove(&mut self, session: Session) {
        self.round.retain(|waiting| *waiting != session);
    }

    /// The session whose turn it is; it moves to the end.
    pub(crate) fn next(&mut self) -> Option<Session> {
        let session = self.round.pop_front()?;
        self.round.push_back(session);
        Some(session)
    }

    /// The sessions in the order of their turns.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Session> + '_ {
        self.round.iter().copied()
    }
}
