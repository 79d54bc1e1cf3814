//! Writes the runner's events to the log.

use runner::{HallsSource, LogEvent, SessionOffers};
use serde_json::{Value, json};
use wire::TaskEnd;

use crate::event_log::{Budget, EventLog};

fn halls_source(source: HallsSource) -> Value {
    match source {
        HallsSource::Keeper => json!("keeper"),
        HallsSource::Entry(session) => json!({"entry_session": session.0}),
    }
}

/// Writes an event as one log line.
pub(super) fn write_event(log: &EventLog, event: &LogEvent) {
    match event {
        LogEvent::InstanceAdopted { instance, fencing_token } => log.line(
            "target-found",
            Budget::Full,
            || json!({"target": instance.to_string(), "fencing_token": fencing_token}),
        ),
        LogEvent::TargetLeft { instance, active, waiting } => log.line(
            "target-left",
            Budget::Full,
            || json!({"target": instance.to_string(), "running": active, "waiting": waiting}),
        ),
        LogEvent::TargetUnreachable(instance) => {
            log.line(
                "target-unreachable",
                Budget::Full,
                || json!({"target": instance.to_string()}),
            );
        }
        LogEvent::InstanceEnded { instance, lost, evidence } => log.line(
            "target-gone",
            Budget::Full,
            || json!({"target": instance.to_string(), "lost": lost, "why": evidence.as_str()}),
        ),
        LogEvent::CandidateProbed(instance) => {
            log.line("target-asked", Budget::Full, || json!({"target": instance.to_string()}));
        }
        LogEvent::TargetReportLate { instance, sequence, present, present_sequence } => {
            let present = present.as_ref().map(ToString::to_string);
            log.line("target-report-late", Budget::Sampled, || {
                json!({"target": instance.to_string(), "sequence": sequence, "present": present,
                    "present_sequence": present_sequence})
            });
        }
        LogEvent::TargetUnresponsive(instance) => {
            log.line("target-silent", Budget::Full, || json!({"target": instance.to_string()}));
        }
        LogEvent::TargetAnsweredAgain(instance) => {
            log.line("target-heard", Budget::Full, || json!({"target": instance.to_string()}));
        }
        LogEvent::Halls { halls, emptied, source } => log.line("halls", Budget::Full, || {
            json!({"revision": halls.revision, "emptied": halls.to_string(), "own": emptied,
                "from": halls_source(*source)})
        }),
        LogEvent::TargetDraining(instance) => {
            log.line("target-drains", Budget::Full, || json!({"target": instance.to_string()}));
        }
        LogEvent::TargetExcluded { failures, for_ms } => {
            log.line(
                "target-left-out",
                Budget::Full,
                || json!({"failures": failures, "for_ms": for_ms}),
            );
        }
        LogEvent::TargetRestored => log.line("target-taken-back", Budget::Full, || json!({})),
        LogEvent::SessionOpened(session) => {
            log.line("session-opened", Budget::Full, || json!({"session": session.0}));
        }
        LogEvent::CapacityScarce { sessions, waiting_cpu_milli } => {
            log.line(
                "capacity-scarce",
                Budget::Full,
                || json!({"sessions": sessions, "waiting_cpu_milli": waiting_cpu_milli}),
            );
        }
        LogEvent::CapacityOffered { for_ms, offers } => {
            log.line("capacity-offered", Budget::Full, || {
                let of_session = |offers: &SessionOffers| {
                    json!({"session": offers.session.0, "turns": offers.turns,
                        "used": offers.used, "taken_cpu_milli": offers.taken_cpu_milli})
                };
                let offers: Vec<Value> = offers.iter().map(of_session).collect();
                json!({"for_ms": for_ms, "offers": offers})
            });
        }
        LogEvent::SessionLost { session, reason, runs } => log.line(
            "session-lost",
            Budget::Full,
            || json!({"session": session.0, "why": reason, "runs": runs}),
        ),
        LogEvent::SessionRetired(session) => {
            log.line("session-retired", Budget::Full, || json!({"session": session.0}));
        }
        LogEvent::Run { task, run, end, waited_ms, ran_ms, free } => {
            let (kind, budget) = match end {
                TaskEnd::Done => ("done", Budget::Sampled),
                _ => ("run-ended", Budget::Full),
            };
            log.line(kind, budget, || {
                json!({"job": task.job.as_str(), "task": task.index, "run": run,
                    "end": format!("{end:?}"), "waited_ms": waited_ms, "ran_ms": ran_ms,
                    "free": free.to_string()})
            });
        }
        LogEvent::Stuck { task, ran_ms, estimated_ms } => log.line("stuck", Budget::Full, || {
            json!({"job": task.job.as_str(), "task": task.index, "ran_ms": ran_ms,
                "estimated_ms": estimated_ms})
        }),
        LogEvent::StartUnanswered(task) => log.line(
            "start-silent",
            Budget::Full,
            || json!({"job": task.job.as_str(), "task": task.index}),
        ),
        LogEvent::CrashSuspected(task) => log.line(
            "crash-suspected",
            Budget::Full,
            || json!({"job": task.job.as_str(), "task": task.index}),
        ),
        LogEvent::Orphan(task) => log.line(
            "orphan",
            Budget::Full,
            || json!({"job": task.job.as_str(), "task": task.index}),
        ),
    }
}
