//! The keeper's changes of state as lines of the log.

use std::io;
use std::time::Duration;

use keeper::{Keeper, LogEvent};
use model::NodeName;
use serde_json::json;
use spdlog::{error, info, warn};

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

/// Writes that the nodes which a keeper remembers can't be read, stored or called.
pub(super) fn nodes_problem(log: Option<&EventLog>, what: &'static str, error: &io::Error) {
    let reason = error.to_string();
    match log {
        Some(log) => log.line(what, Budget::Full, || json!({"reason": reason})),
        None => warn!("keeper: {}: {}", what, reason),
    }
}

/// Writes what a keeper begins with.
pub(super) fn recovered(log: Option<&EventLog>, own: &NodeName, keeper: &Keeper, bytes: u64) {
    match log {
        Some(log) => log.line("recovered", Budget::Full, || {
            let replica = keeper.replica();
            let document = keeper.state().document_version();
            let (term, committed) = (replica.term(), replica.committed());
            json!({"document": document, "term": term, "committed": committed,
                "blank": replica.is_blank(), "journal_bytes": bytes})
        }),
        None => info!("keeper {}: settings {} recovered", own, keeper.version()),
    }
}

/// Writes a change of state.
pub(super) fn write(log: Option<&EventLog>, own: &NodeName, news: &LogEvent) {
    match log {
        Some(log) => write_line(log, news),
        None => write_plain(own, news),
    }
}

fn write_line(log: &EventLog, news: &LogEvent) {
    use consensus::LogEvent as Log;
    match news {
        LogEvent::Replica(Log::BecameLeader(term)) => {
            log.line("leads", Budget::Full, || json!({"term": term}))
        }
        LogEvent::Replica(Log::SteppedDown(term)) => {
            log.line("steps-down", Budget::Full, || json!({"term": term}));
        }
        LogEvent::Replica(Log::FollowsLeader(leader, term)) => {
            log.line("follows", Budget::Full, || json!({"leader": leader.as_str(), "term": term}))
        }
        LogEvent::Replica(Log::MembersChanged(members)) => {
            log.line("members", Budget::Full, || {
                let members: Vec<&str> = members.iter().map(NodeName::as_str).collect();
                json!({"members": members})
            })
        }
        LogEvent::Replica(Log::CaughtUp(index)) => {
            log.line("caught-up", Budget::Full, || json!({"index": index}));
        }
        LogEvent::Replica(Log::Violation(violation)) => {
            log.line("breach", Budget::Full, || json!({"breach": violation.to_string()}));
        }
        LogEvent::SettingsVersion(version) => {
            log.line("settings", Budget::Full, || json!({"version": version}));
        }
        LogEvent::DocumentVersion(version) => {
            log.line("document", Budget::Full, || json!({"version": version}));
        }
        LogEvent::EmptiedHalls(halls) => log.line(
            "halls",
            Budget::Full,
            || json!({"revision": halls.revision, "emptied": halls.to_string()}),
        ),
        LogEvent::RegisteredNodes(count) => {
            log.line("nodes", Budget::Full, || json!({"count": count}))
        }
        LogEvent::UnreadableEntry(index) => {
            log.line("entry-unreadable", Budget::Full, || json!({"index": index}));
        }
    }
}

fn write_plain(name: &NodeName, news: &LogEvent) {
    use consensus::LogEvent as Log;
    match news {
        LogEvent::Replica(Log::BecameLeader(term)) => {
            info!("keeper {}: leads in term {}", name, term)
        }
        LogEvent::Replica(Log::SteppedDown(term)) => {
            warn!("keeper {}: steps down in term {}", name, term);
        }
        LogEvent::Replica(Log::FollowsLeader(leader, term)) => {
            info!("keeper {}: follows {} in term {}", name, leader, term);
        }
        LogEvent::Replica(Log::CaughtUp(index)) => {
            info!("keeper {}: caught up to entry {}, votes from now on", name, index);
        }
        LogEvent::Replica(Log::Violation(violation)) => {
            error!("keeper {}: BREACH: {}", name, violation);
        }
        LogEvent::Replica(Log::MembersChanged(members)) => {
            info!("keeper {}: {} keepers vote", name, members.len());
        }
        LogEvent::DocumentVersion(version) => {
            info!("keeper {}: document {} accepted", name, version)
        }
        LogEvent::EmptiedHalls(halls) => {
            let revision = halls.revision;
            info!("keeper {}: emptied halls, revision {}: [{}]", name, revision, halls);
        }
        LogEvent::RegisteredNodes(count) => {
            info!("keeper {}: {} nodes are registered", name, count)
        }
        LogEvent::SettingsVersion(version) => {
            info!("keeper {}: settings {} accepted", name, version)
        }
        LogEvent::UnreadableEntry(index) => {
            error!("keeper {}: entry {} can't be read", name, index);
        }
    }
}
