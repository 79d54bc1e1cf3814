//! Counts the messages of sessions by kind: what a node spends on other nodes, and what that grows with.

use std::cell::RefCell;
use std::collections::BTreeMap;

use super::metrics::Page;

/// The messages of all sessions of a node since its start.
#[derive(Debug, Default)]
pub(super) struct Messages {
    sent: RefCell<BTreeMap<&'static str, u64>>,
    received: RefCell<BTreeMap<&'static str, u64>>,
}

impl Messages {
    /// A message of a kind was handed to a session.
    pub fn sent(&self, kind: &'static str) {
        *self.sent.borrow_mut().entry(kind).or_default() += 1;
    }

    /// A message of a kind came over a session.
    pub fn received(&self, kind: &'static str) {
        *self.received.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Adds the counters to a page.
    pub fn fill(&self, page: &mut Page) {
        for (direction, counts) in [("sent", &self.sent), ("received", &self.received)] {
            for (kind, count) in &*counts.borrow() {
                let labels = format!("{{direction=\"{direction}\",kind=\"{kind}\"}}");
                page.value("session_messages_total", &labels, *count);
            }
        }
    }
}
