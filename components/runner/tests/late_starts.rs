//! Starts that a target carries out long after their job was cancelled, or after the entry that
//! requested them is gone.

mod support;

use model::JobId;
use runner::{EndReason, Event, RunKey, StartReply, StopReply};
use support::{Agent, SESSION};
use wire::ToAgent;

/// Longest delay until a target carries out a command, in ms.
const MAX_DELAY_MS: u64 = 12_000;

/// An agent with a start that the target has not answered.
fn agent_with_unanswered_start() -> (Agent, RunKey) {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    agent.starts.clear();
    (agent, start.key)
}

/// Lets time pass while the target lists no runs.
fn list_nothing_for(agent: &mut Agent, millis: u64) {
    for _ in 0..millis / 1_000 {
        agent.run_for(1_000);
        agent.answer_outstanding_hold(&[], &[]);
    }
}

/// Checks that a run which the target lists after all is stopped repeatedly until it has ended, and
/// that the lease is not renewed meanwhile.
fn assert_stopped_once_listed(agent: &mut Agent, key: &RunKey) {
    agent.stops.clear();
    agent.answer_outstanding_hold(&[key], &[]);
    assert_eq!(agent.stops.iter().map(|stop| &stop.key).collect::<Vec<_>>(), [key]);
    assert_eq!(
        agent.holds.last().expect("a hold is outstanding").deadline_ms,
        None,
        "the lease is left to expire"
    );
    agent.handle(Event::StopAnswered(key.clone(), StopReply::NoAnswer));
    agent.stops.clear();
    agent.answer_outstanding_hold(&[key], &[]);
    assert_eq!(agent.stops.len(), 1, "the stop is sent again until the run has ended");
    agent.answer_outstanding_hold(&[], &[(1, key, EndReason::Stopped)]);
    assert!(agent.holds.last().expect("a hold is outstanding").deadline_ms.is_some());
}

/// Guards against tasks of cancelled jobs that run after the target left their start unanswered.
#[test]
fn late_start_of_cancelled_job_is_stopped() {
    for late in [2_000, 5_000, MAX_DELAY_MS] {
        let (mut agent, key) = agent_with_unanswered_start();
        agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("a"))));
        agent.handle(Event::StopAnswered(key.clone(), StopReply::NoAnswer));
        list_nothing_for(&mut agent, late);
        assert_stopped_once_listed(&mut agent, &key);
    }
}

/// Guards against tasks that run after the entry that requested them is gone.
#[test]
fn late_start_of_lost_session_is_stopped() {
    for late in [2_000, 5_000, MAX_DELAY_MS] {
        let (mut agent, key) = agent_with_unanswered_start();
        agent.handle(Event::SessionClosed(SESSION));
        agent.handle(Event::StopAnswered(key.clone(), StopReply::NoAnswer));
        list_nothing_for(&mut agent, late);
        assert_stopped_once_listed(&mut agent, &key);
    }
}

/// The cancellation arrives from an entry that never had the job, long before the start.
#[test]
fn job_cancelled_at_another_entry_stays_refused() {
    let mut agent = Agent::new();
    agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("a"))));
    list_nothing_for(&mut agent, MAX_DELAY_MS);
    agent.request("a", 1, 0);
    assert!(agent.starts.is_empty());
}
