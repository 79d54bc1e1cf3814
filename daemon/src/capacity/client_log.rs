//! Reports in logs and metrics how often limits on clients were applied.

use std::collections::BTreeMap;

use net::{Clients, LimitCounters, LimitReason};
use serde_json::{Map, Value, json};

use super::metrics::MetricsPage;
use crate::event_log::{Budget, EventLog};

/// Logs how often limits were applied, at most once per call.
#[derive(Default)]
pub(super) struct ClientLog {
    logged: LimitCounters,
}

impl ClientLog {
    /// Writes a line if limits were applied since the last call.
    pub fn write_changes(&mut self, clients: &Clients, log: &EventLog) {
        let counters = clients.counters();
        if counters == self.logged {
            return;
        }
        log.line("clients-limited", Budget::Full, || {
            json!({"closed": changes(&self.logged.closed, &counters.closed),
                "refused": changes(&self.logged.refused, &counters.refused),
                "held_kb": clients.used_bytes() / 1024})
        });
        self.logged = counters;
    }
}

/// The counts that have changed, by reason.
fn changes(
    before: &BTreeMap<LimitReason, u64>,
    now: &BTreeMap<LimitReason, u64>,
) -> Map<String, Value> {
    let added = |(reason, count): (&LimitReason, &u64)| {
        let added = count - before.get(reason).copied().unwrap_or(0);
        (added > 0).then(|| (reason.as_str().to_owned(), added.into()))
    };
    now.iter().filter_map(added).collect()
}

/// Adds the clients' memory and the counts of applied limits to a page.
pub(super) fn write_metrics(clients: &Clients, page: &mut MetricsPage) {
    page.value("client_bytes", "", clients.used_bytes());
    let LimitCounters { closed, refused } = clients.counters();
    for (name, counts) in
        [("client_connections_closed_total", closed), ("client_requests_refused_total", refused)]
    {
        for (reason, count) in counts {
            page.value(name, &format!("{{reason=\"{}\"}}", reason.as_str()), count);
        }
    }
}
