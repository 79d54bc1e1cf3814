//! Starts that a target carries out long after their job was cancelled, or after whoever ordered them is gone.

mod support;

use model::JobId;
use runner::{EndReason, Event, RunKey, StartReply, StopReply};
use support::{Agent, SESSION};
use wire::ToAgent;

/// Longest time from an order to when a target carries it out, in ms.
const LATEST: u64 = 12_000;

/// An agent that has a start of which the target says nothing.
fn with_unanswered_start() -> (Agent, RunKey) {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    agent.starts.clear();
    (agent, start.key)
}

/// The target lists nothing for a while.
fn nothing_for(agent: &mut Agent, millis: u64) {
    for _ in 0..millis / 1_000 {
        agent.run_for(1_000);
        agent.hold(&[], &[]);
    }
}

/// The target has carried the start out after all: it is stopped in the moment in which that is listed, and
/// its lease is renewed no more until it has ended.
fn is_stopped_once_listed(agent: &mut Agent, key: &RunKey) {
    agent.stops.clear();
    agent.hold(&[key], &[]);
    assert_eq!(agent.stops.iter().map(|stop| &stop.key).collect::<Vec<_>>(), [key]);
    assert_eq!(agent.holds.last().expect("the next hold").deadline_ms, None, "it is let lapse");
    agent.handle(Event::StopAnswered(key.clone(), StopReply::NoAnswer));
    agent.stops.clear();
    agent.hold(&[key], &[]);
    assert_eq!(agent.stops.len(), 1, "it is stopped until it has ended");
    agent.hold(&[], &[(1, key, EndReason::Stopped)]);
    assert!(agent.holds.last().expect("the next hold").deadline_ms.is_some());
}

/// Users saw tasks of cancelled jobs run where targets had left orders unanswered.
#[test]
fn a_start_of_a_cancelled_job_that_is_carried_out_late_is_stopped() {
    for late in [2_000, 5_000, LATEST] {
        let (mut agent, key) = with_unanswered_start();
        agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("a"))));
        agent.handle(Event::StopAnswered(key.clone(), StopReply::NoAnswer));
        nothing_for(&mut agent, late);
        is_stopped_once_listed(&mut agent, &key);
    }
}

/// The same where the entry that started the task is gone for good, and with it whoever would be told of a cancel.
#[test]
fn a_start_whose_entry_is_gone_is_stopped_however_late_it_is_carried_out() {
    for late in [2_000, 5_000, LATEST] {
        let (mut agent, key) = with_unanswered_start();
        agent.handle(Event::SessionClosed(SESSION));
        agent.handle(Event::StopAnswered(key.clone(), StopReply::NoAnswer));
        nothing_for(&mut agent, late);
        is_stopped_once_listed(&mut agent, &key);
    }
}

/// A cancel that comes after the start was proven gone, by an entry that never had the job.
#[test]
fn a_job_that_was_cancelled_elsewhere_starts_nothing_for_as_long_as_clients_send_again() {
    let mut agent = Agent::new();
    agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("a"))));
    nothing_for(&mut agent, LATEST);
    agent.ask("a", 1, 0);
    assert!(agent.starts.is_empty());
}
