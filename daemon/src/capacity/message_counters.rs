//! Counts session messages by direction and kind.

use std::cell::RefCell;
use std::collections::BTreeMap;

use super::metrics::MetricsPage;

/// Messages of all sessions of a node since it started.
#[derive(Debug, Default)]
pub(super) struct MessageCounters {
    sent: RefCell<BTreeMap<&'static str, u64>>,
    received: RefCell<BTreeMap<&'static str, u64>>,
}

impl MessageCounters {
    /// Counts a message handed to a session.
    pub fn record_sent(&self, kind: &'static str) {
        *self.sent.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Counts a message received from a session.
    pub fn record_received(&self, kind: &'static str) {
        *self.received.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Adds the counters to a metrics page.
    pub fn write_metrics(&self, page: &mut MetricsPage) {
        for (direction, counts) in [("sent", &self.sent), ("received", &self.received)] {
            for (kind, count) in &*counts.borrow() {
                let labels = format!("{{direction=\"{direction}\",kind=\"{kind}\"}}");
                page.value("session_messages_total", &labels, *count);
            }
        }
    }
}
