//! Writes the dispatcher's events to the log.

use dispatch::{HallsSource, LogEvent, Outcome};
use serde_json::{Value, json};

use crate::event_log::{Budget, EventLog};

/// Returns the name of an outcome and its reason, which is empty for outcomes without one.
pub(super) fn outcome_and_reason(outcome: Outcome) -> (&'static str, &'static str) {
    match outcome {
        Outcome::Completed => ("completed", ""),
        Outcome::Failed(reason) => ("failed", reason.as_str()),
        Outcome::Cancelled => ("cancelled", ""),
        Outcome::NotRun { reason, .. } => ("not-run", reason.as_str()),
        Outcome::MayHaveRun(reason) => ("may-have-run", reason.as_str()),
    }
}

fn halls_source(source: HallsSource) -> Value {
    match source {
        HallsSource::Keeper => json!("keeper"),
        HallsSource::Agent(session) => json!({"agent_session": session.0}),
    }
}

/// Writes an event as one log line.
pub(super) fn write_event(log: &EventLog, event: &LogEvent) {
    match event {
        LogEvent::Breach(breach) => {
            log.line("breach", Budget::Full, || json!({"breach": breach.to_string()}));
        }
        LogEvent::AgentKnown { agent, service, capacity } => {
            log.line("agent-known", Budget::Full, || {
                json!({"agent": agent.as_str(), "service": &**service,
                    "capacity": capacity.to_string()})
            });
        }
        LogEvent::AgentLost { agent, reason, tasks } => {
            log.line("agent-lost", Budget::Full, || {
                json!({"agent": agent.as_ref().map(model::NodeName::as_str), "why": reason,
                "tasks": tasks})
            })
        }
        LogEvent::AgentOpen { agent, open } => {
            log.line("agent-open", Budget::Full, || json!({"agent": agent.as_str(), "open": open}))
        }
        LogEvent::Halls { halls, source } => log.line("halls", Budget::Full, || {
            json!({"revision": halls.revision, "emptied": halls.to_string(),
                "from": halls_source(*source)})
        }),
        LogEvent::Paused { gap_ms } => {
            log.line("paused", Budget::Full, || json!({"gap_ms": gap_ms}));
        }
        LogEvent::Admitted { job, queue, tasks, objective_ms, waiting, requirement, affinity } => {
            log.line("admitted", Budget::Sampled, || {
                json!({"job": job.as_str(), "queue": &**queue, "tasks": tasks,
                    "objective_ms": objective_ms, "waiting": waiting,
                    "requires": requirement, "data_at": affinity})
            });
        }
        LogEvent::Refused { job, reason } => log.line(
            "refused",
            Budget::Full,
            || json!({"job": job.as_str(), "reason": reason.as_str()}),
        ),
        LogEvent::Placed { task, run, agent, free, age_ms, data } => {
            log.line("placed", Budget::Sampled, || {
                let mut line = json!({"job": task.job.as_str(), "task": task.index, "run": run,
                    "agent": agent.as_str(), "free": free.to_string(), "age_ms": age_ms});
                if let Some(data) = data {
                    line["data"] = json!(data.as_str());
                }
                line
            });
        }
        LogEvent::TaskEnded { task, agent, end, failures } => {
            log.line("task-ended", Budget::Full, || {
                json!({"job": task.job.as_str(), "task": task.index, "agent": agent.as_str(),
                    "end": format!("{end:?}"), "failures": failures})
            });
        }
        LogEvent::Answered { outcome, .. } => {
            let (kind, budget) = match outcome {
                Outcome::Completed => ("completed", Budget::Sampled),
                _ => ("answered", Budget::Full),
            };
            log.line(kind, budget, || answered_fields(event));
        }
    }
}

fn answered_fields(event: &LogEvent) -> Value {
    let LogEvent::Answered {
        job,
        queue,
        outcome,
        took_ms,
        objective_ms,
        tasks,
        starts,
        waited_ms,
        targets,
    } = event
    else {
        return json!({});
    };
    let (outcome_name, reason) = outcome_and_reason(*outcome);
    json!({"job": job.as_str(), "queue": &**queue, "outcome": outcome_name, "reason": reason,
        "took_ms": took_ms, "objective_ms": objective_ms, "tasks": tasks, "starts": starts,
        "waited_ms": waited_ms, "open": targets.open, "most_free": targets.most_free.to_string(),
        "oldest_ms": targets.oldest_ms, "waiting": targets.waiting})
}
