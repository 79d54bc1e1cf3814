//! Log lines of the keeper: JSON in the event log if there is one, otherwise text in the daemon's
//! log.

use std::io;
use std::time::Duration;

use keeper::{Confirmation, Keeper, LogEvent};
use model::NodeName;
use serde_json::{Value, json};
use spdlog::{error, info, warn};
use wire::HallCommand;

use super::peers::{PeerStatus, PeerStatusLogger};
use crate::event_log::{Budget, EventLog};

/// Returns a callback that logs when another keeper stops acknowledging messages or does so again.
pub(super) fn peer_status_logger(
    name: NodeName,
    log: Option<EventLog>,
) -> impl PeerStatusLogger + Send {
    move |keeper: &NodeName, status: PeerStatus| match (&log, status) {
        (Some(log), PeerStatus::Silent) => log_peer_status(log, "keeper-silent", keeper),
        (Some(log), PeerStatus::Answering) => log_peer_status(log, "keeper-answers", keeper),
        (None, PeerStatus::Silent) => {
            warn!("keeper {}: {} does not acknowledge messages", name, keeper)
        }
        (None, PeerStatus::Answering) => {
            info!("keeper {}: {} acknowledges messages again", name, keeper)
        }
    }
}

fn log_peer_status(log: &EventLog, kind: &'static str, keeper: &NodeName) {
    log.line(kind, Budget::Full, || json!({"keeper": keeper.as_str()}));
}

/// Logs that the disk is full, so that the keeper neither accepts changes nor votes.
pub(super) fn log_disk_full(log: Option<&EventLog>, name: &NodeName) {
    match log {
        Some(log) => log.line("disk-full", Budget::Full, || json!({})),
        None => warn!("keeper {}: the disk is full: accepting no changes, not voting", name),
    }
}

/// Logs that the disk is writable again.
pub(super) fn log_disk_writable(log: Option<&EventLog>, name: &NodeName, full_for: Duration) {
    let full_for = full_for.as_millis() as u64;
    match log {
        Some(log) => log.line("disk-has-room", Budget::Full, || json!({"full_ms": full_for})),
        None => info!("keeper {}: the disk is writable again after {} ms", name, full_for),
    }
}

/// Logs that the stored nodes can't be read, written or notified.
pub(super) fn log_roster_error(log: Option<&EventLog>, kind: &'static str, error: &io::Error) {
    let reason = error.to_string();
    match log {
        Some(log) => log.line(kind, Budget::Full, || json!({"reason": reason})),
        None => warn!("keeper: {}: {}", kind, reason),
    }
}

/// Logs the state that the keeper recovered from its journal.
pub(super) fn log_recovery(log: Option<&EventLog>, name: &NodeName, keeper: &Keeper, bytes: u64) {
    match log {
        Some(log) => log.line("recovered", Budget::Full, || {
            let replica = keeper.replica();
            let document = keeper.state().document_version();
            let (term, committed) = (replica.term(), replica.committed());
            json!({"document": document, "term": term, "committed": committed,
                "blank": replica.is_blank(), "journal_bytes": bytes})
        }),
        None => info!("keeper {}: recovered settings version {}", name, keeper.version()),
    }
}

/// Logs an event of the keeper.
pub(super) fn log_event(log: Option<&EventLog>, name: &NodeName, event: &LogEvent) {
    match log {
        Some(log) => write_json(log, event),
        None => write_text(name, event),
    }
}

fn write_json(log: &EventLog, event: &LogEvent) {
    use consensus::LogEvent as Log;
    match event {
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
        LogEvent::HallCommandAccepted(command, confirmation) => {
            log.line("hall-command", Budget::Full, || hall_command_fields(command, *confirmation));
        }
        LogEvent::HallCommandUnconfirmed(command, confirmation) => {
            log.line("hall-command-unconfirmed", Budget::Full, || {
                hall_command_fields(command, *confirmation)
            });
        }
        LogEvent::RegisteredNodes(count) => {
            log.line("nodes", Budget::Full, || json!({"count": count}))
        }
        LogEvent::UnreadableEntry(index) => {
            log.line("entry-unreadable", Budget::Full, || json!({"index": index}));
        }
    }
}

fn hall_command_fields(command: &HallCommand, confirmation: Option<Confirmation>) -> Value {
    let after = confirmation.map(|Confirmation(index)| index);
    json!({"hall": command.hall.as_str(), "takes_work": command.takes_work, "after": after})
}

fn write_text(name: &NodeName, event: &LogEvent) {
    use consensus::LogEvent as Log;
    match event {
        LogEvent::Replica(Log::BecameLeader(term)) => {
            info!("keeper {}: became leader in term {}", name, term)
        }
        LogEvent::Replica(Log::SteppedDown(term)) => {
            warn!("keeper {}: stepped down in term {}", name, term);
        }
        LogEvent::Replica(Log::FollowsLeader(leader, term)) => {
            info!("keeper {}: following {} in term {}", name, leader, term);
        }
        LogEvent::Replica(Log::CaughtUp(index)) => {
            info!("keeper {}: caught up to entry {}, voting from now on", name, index);
        }
        LogEvent::Replica(Log::Violation(violation)) => {
            error!("keeper {}: BREACH: {}", name, violation);
        }
        LogEvent::Replica(Log::MembersChanged(members)) => {
            info!("keeper {}: the cluster has {} voting keepers", name, members.len());
        }
        LogEvent::DocumentVersion(version) => {
            info!("keeper {}: accepted document version {}", name, version)
        }
        LogEvent::EmptiedHalls(halls) => {
            let revision = halls.revision;
            info!("keeper {}: emptied halls, revision {}: [{}]", name, revision, halls);
        }
        LogEvent::HallCommandAccepted(HallCommand { hall, takes_work }, _) => {
            info!(
                "keeper {}: accepted a command for hall {}: takes work: {}",
                name, hall, takes_work
            );
        }
        LogEvent::HallCommandUnconfirmed(HallCommand { hall, takes_work }, _) => {
            warn!(
                "keeper {}: a command for hall {} may be a late copy and needs a confirmation: \
                 takes work: {}",
                name, hall, takes_work
            );
        }
        LogEvent::RegisteredNodes(count) => {
            info!("keeper {}: {} nodes are registered", name, count)
        }
        LogEvent::SettingsVersion(version) => {
            info!("keeper {}: accepted settings version {}", name, version)
        }
        LogEvent::UnreadableEntry(index) => {
            error!("keeper {}: log entry {} can't be decoded", name, index);
        }
    }
}
