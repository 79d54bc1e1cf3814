//! Writes the runner's events to the log.

use runner::{HallsSource, News};
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
pub(super) fn write_event(log: &EventLog, event: &News) {
    match event {
        News::TargetFound { id, fencing_token } => log.line(
            "target-found",
            Budget::Full,
            || json!({"target": id.to_string(), "fencing_token": fencing_token}),
        ),
        News::TargetGone { id, lost } => log.line(
            "target-gone",
            Budget::Full,
            || json!({"target": id.to_string(), "lost": lost}),
        ),
        News::TargetAsked(id) => {
            log.line("target-asked", Budget::Full, || json!({"target": id.to_string()}));
        }
        News::TargetReportLate { id, sequence, present, present_sequence } => {
            let present = present.as_ref().map(ToString::to_string);
            log.line("target-report-late", Budget::Sampled, || {
                json!({"target": id.to_string(), "sequence": sequence, "present": present,
                    "present_sequence": present_sequence})
            });
        }
        News::TargetSilent(id) => {
            log.line("target-silent", Budget::Full, || json!({"target": id.to_string()}));
        }
        News::TargetHeard(id) => {
            log.line("target-heard", Budget::Full, || json!({"target": id.to_string()}));
        }
        News::Halls { halls, emptied, source } => log.line("halls", Budget::Full, || {
            json!({"revision": halls.revision, "emptied": halls.to_string(), "own": emptied,
                "from": halls_source(*source)})
        }),
        News::TargetDrains(id) => {
            log.line("target-drains", Budget::Full, || json!({"target": id.to_string()}));
        }
        News::TargetLeftOut { failures, for_ms } => {
            log.line(
                "target-left-out",
                Budget::Full,
                || json!({"failures": failures, "for_ms": for_ms}),
            );
        }
        News::TargetTakenBack => log.line("target-taken-back", Budget::Full, || json!({})),
        News::SessionOpened(session) => {
            log.line("session-opened", Budget::Full, || json!({"session": session.0}));
        }
        News::SessionLost { session, why, runs } => log.line(
            "session-lost",
            Budget::Full,
            || json!({"session": session.0, "why": why, "runs": runs}),
        ),
        News::SessionRetired(session) => {
            log.line("session-retired", Budget::Full, || json!({"session": session.0}));
        }
        News::Run { task, run, end, waited_ms, ran_ms, free } => {
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
        News::Stuck { task, ran_ms, estimated_ms } => log.line("stuck", Budget::Full, || {
            json!({"job": task.job.as_str(), "task": task.index, "ran_ms": ran_ms,
                "estimated_ms": estimated_ms})
        }),
        News::StartSilent(task) => log.line(
            "start-silent",
            Budget::Full,
            || json!({"job": task.job.as_str(), "task": task.index}),
        ),
        News::Orphan(task) => log.line(
            "orphan",
            Budget::Full,
            || json!({"job": task.job.as_str(), "task": task.index}),
        ),
    }
}
