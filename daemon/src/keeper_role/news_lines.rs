//! The keeper's changes of state as lines of the log.

use std::time::Duration;

use keeper::News;
use model::NodeName;
use serde_json::json;
use spdlog::{info, warn};

use super::peers::{Answers, Notice};
use crate::event_log::{Budget, EventLog};

/// Writes which other keepers leave messages unanswered: to the log of lines where there is one.
pub(super) fn of_peers(own: NodeName, log: Option<EventLog>) -> impl Notice + Send {
    move |keeper: &NodeName, answers: Answers| match (&log, answers) {
        (Some(log), Answers::No) => peer_line(log, "keeper-silent", keeper),
        (Some(log), Answers::Again) => peer_line(log, "keeper-answers", keeper),
        (None, Answers::No) => warn!("keeper {}: {} does not answer", own, keeper),
        (None, Answers::Again) => info!("keeper {}: {} answers again", own, keeper),
    }
}

fn peer_line(log: &EventLog, what: &'static str, keeper: &NodeName) {
    log.line(what, Budget::Full, || json!({"keeper": keeper.as_str()}));
}

/// Writes that the disk has no room, so that the keeper takes no changes and does not vote.
pub(super) fn disk_full(log: Option<&EventLog>, own: &NodeName) {
    match log {
        Some(log) => log.line("disk-full", Budget::Full, || json!({})),
        None => warn!("keeper {}: the disk has no room: takes no changes, does not vote", own),
    }
}

/// Writes that the disk has room again.
pub(super) fn disk_has_room(log: Option<&EventLog>, own: &NodeName, after: Duration) {
    let after = after.as_millis() as u64;
    match log {
        Some(log) => log.line("disk-has-room", Budget::Full, || json!({"full_ms": after})),
        None => info!("keeper {}: the disk has room again after {} ms", own, after),
    }
}

/// Writes a change of state.
pub(super) fn write(log: &EventLog, news: &News) {
    use consensus::News as Log;
    match news {
        News::Log(Log::Leads(term)) => log.line("leads", Budget::Full, || json!({"term": term})),
        News::Log(Log::StepsDown(term)) => {
            log.line("steps-down", Budget::Full, || json!({"term": term}));
        }
        News::Log(Log::Follows(leader, term)) => {
            log.line("follows", Budget::Full, || json!({"leader": leader.as_str(), "term": term}))
        }
        News::Log(Log::Members(members)) => log.line("members", Budget::Full, || {
            let members: Vec<&str> = members.iter().map(NodeName::as_str).collect();
            json!({"members": members})
        }),
        News::Log(Log::CaughtUp(index)) => {
            log.line("caught-up", Budget::Full, || json!({"index": index}));
        }
        News::Log(Log::Violation(violation)) => {
            log.line("breach", Budget::Full, || json!({"breach": violation.to_string()}));
        }
        News::Version(version) => {
            log.line("settings", Budget::Full, || json!({"version": version}));
        }
        News::Document(version) => {
            log.line("document", Budget::Full, || json!({"version": version}));
        }
        News::Nodes(count) => log.line("nodes", Budget::Full, || json!({"count": count})),
        News::Unreadable(index) => {
            log.line("entry-unreadable", Budget::Full, || json!({"index": index}));
        }
    }
}
