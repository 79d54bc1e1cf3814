//! Tests of the reports of waiting work to agents.

use std::time::Duration;

use dispatch::{Dispatcher, Event, JobRequest, Policy, SessionId, Timing};
use model::JobId;
use support::{Entry, START, job};
use wire::{Demand, MAX_DEMAND_ROWS, ToAgent};

mod support;

/// A job that waits for longer than the tests take.
fn waiting_job(id: &str, count: u32, priority: u8) -> JobRequest {
    let objective = Duration::from_secs(60);
    JobRequest { id: JobId::new(id), priority, objective, deadline: objective, ..job(count, 1_000) }
}

/// An entry with full agents, of which the first one reads demand.
fn entry_with_full_agents() -> Entry {
    let mut entry = Entry::with_agents([0, 0]);
    entry.handle(Event::AgentReadsDemand(SessionId(1)));
    entry
}

/// The demands and the number of heartbeats sent to an agent.
fn messages(entry: &Entry, agent: u64) -> (Vec<Vec<Demand>>, usize) {
    let to_agent = || entry.sent.iter().filter(|(id, _)| id.0 == agent).map(|(_, sent)| sent);
    let demands = to_agent().filter_map(|message| match message {
        ToAgent::Demand { waiting, .. } => Some(waiting.clone()),
        _ => None,
    });
    let heartbeats = to_agent().filter(|message| matches!(message, ToAgent::Heartbeat { .. }));
    (demands.collect(), heartbeats.count())
}

/// Guards against an agent of an old build that is sent a message which it cannot read, and against
/// messages in addition to heartbeats.
#[test]
fn demand_replaces_heartbeats_to_agents_that_read_it() {
    let mut entry = entry_with_full_agents();
    entry.submit(waiting_job("a", 3, 1));
    entry.sent.clear();
    entry.run_for(1_200, &[(1, 0), (2, 0)]);
    let (demands, heartbeats) = messages(&entry, 1);
    assert_eq!(heartbeats, 0);
    assert_eq!(messages(&entry, 2), (Vec::new(), demands.len()));
    let last = demands.last().unwrap();
    assert_eq!((last.len(), last[0].priority, last[0].tasks, last[0].cpu_milli), (1, 1, 3, 4_800));
    // The latest start is a second and the overhead before the end of the objective.
    assert!((57_600..57_990).contains(&last[0].due_ms), "{last:?}");
}

/// Guards against a claim that is kept after the work has been placed.
#[test]
fn a_report_without_work_follows_when_nothing_waits_any_more() {
    let mut entry = entry_with_full_agents();
    entry.submit(waiting_job("a", 2, 0));
    entry.run_for(300, &[(1, 0), (2, 0)]);
    entry.sent.clear();
    entry.run_for(300, &[(1, 0), (2, 16_000)]);
    let (demands, _) = messages(&entry, 1);
    assert_eq!(demands.last(), Some(&Vec::new()));
}

/// Guards against the demand of a busy entry that expires because each start takes the place of a
/// heartbeat.
#[test]
fn demand_is_repeated_between_frequent_starts() {
    let mut entry = entry_with_full_agents();
    entry.submit(JobRequest {
        shape: dispatch::TaskShape { requirement: Some("big".into()), ..job(1, 1_000).shape },
        ..waiting_job("other", 1, 2)
    });
    entry.add_agent(3, 0, &["big"]);
    entry.handle(Event::AgentReadsDemand(SessionId(3)));
    entry.submit(waiting_job("large", 40, 1));
    entry.sent.clear();
    let mut last_demand = None;
    for step in 0..40 {
        // Capacity for one task at the first agent, which starts one of the waiting ones.
        entry.run_for(30, &[(1, 1_600), (2, 0), (3, 0)]);
        let (demands, _) = messages(&entry, 1);
        if !demands.is_empty() {
            last_demand = Some(step);
        }
        let age = step - last_demand.unwrap_or(0);
        assert!(age * 30 <= 300, "no demand for {} ms at step {step}", age * 30);
        entry.sent.clear();
    }
}

/// Guards against claims to targets that the waiting tasks cannot use.
#[test]
fn demand_counts_the_tasks_that_the_target_can_run() {
    let mut entry = entry_with_full_agents();
    entry.add_agent(3, 0, &["big"]);
    entry.handle(Event::AgentReadsDemand(SessionId(3)));
    let shape = dispatch::TaskShape { requirement: Some("big".into()), ..job(4, 1_000).shape };
    entry.submit(JobRequest { shape, ..waiting_job("a", 4, 0) });
    entry.submit(waiting_job("b", 2, 1));
    entry.sent.clear();
    entry.run_for(400, &[(1, 0), (2, 0), (3, 0)]);
    let tasks = |agent| -> Vec<u32> {
        let (demands, _) = messages(&entry, agent);
        demands.last().unwrap().iter().map(|demand| demand.tasks).collect()
    };
    assert_eq!(tasks(1), [2]);
    assert_eq!(tasks(3), [4, 2]);
}

/// Guards against messages that grow with the number of priorities.
#[test]
fn demand_has_a_bounded_number_of_rows() {
    let mut entry = entry_with_full_agents();
    for priority in 0..9 {
        entry.submit(waiting_job(&format!("{priority}"), 1, priority));
    }
    entry.run_for(400, &[(1, 0), (2, 0)]);
    let (demands, _) = messages(&entry, 1);
    let rows: Vec<_> =
        demands.last().unwrap().iter().map(|demand| (demand.priority, demand.tasks)).collect();
    assert_eq!(rows.len(), MAX_DEMAND_ROWS);
    assert_eq!(rows, [(0, 1), (1, 1), (2, 1), (3, 6)]);
}

/// Guards against a switch that does not restore the heartbeats.
#[test]
fn without_the_part_agents_get_heartbeats() {
    let mut entry = Entry::new();
    let policy = Policy { report_demand: false, ..Policy::default() };
    entry.dispatcher = Dispatcher::new(Timing::default(), START).with_policy(policy);
    entry.add_agent(1, 0, &[]);
    entry.handle(Event::AgentReadsDemand(SessionId(1)));
    entry.submit(waiting_job("a", 1, 0));
    entry.run_for(600, &[(1, 0)]);
    let (demands, heartbeats) = messages(&entry, 1);
    assert!(demands.is_empty() && heartbeats >= 2);
}
