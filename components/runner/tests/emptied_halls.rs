//! An agent whose data hall operators empty and refill.

mod support;

use runner::{Event, SessionId};
use wire::{EmptiedHalls, Refusal, TaskEnd, ToAgent};

use support::{Agent, SESSION, report};

/// The data hall in the target's reports.
const TARGET_HALL: &str = "hall";

fn emptied_halls(revision: u64, halls: &[&str]) -> EmptiedHalls {
    let halls = halls.iter().map(|hall| hall.parse().expect("a valid hall name")).collect();
    EmptiedHalls { revision, halls }
}

#[test]
fn emptied_hall_starts_nothing_and_finishes_active_runs() {
    let mut agent = Agent::new();
    agent.request("running", 2, 0);
    let running = agent.take_starts();
    assert_eq!(running.len(), 2);
    agent.handle(Event::Halls(emptied_halls(1, &[TARGET_HALL])));
    agent.run_for(20);
    assert!(!agent.open, "entries receive the closed load");
    agent.request("crossed", 1, 0);
    agent.run_for(20);
    assert_eq!(agent.starts.len(), 0, "a start in flight is not carried out");
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Closed)], "the task is reported as not run");
    assert_eq!(agent.stops.len(), 0, "active runs are not stopped");
    agent.handle(Event::Halls(emptied_halls(2, &[])));
    agent.run_for(20);
    assert!(agent.open);
    agent.request("after", 1, 0);
    assert_eq!(agent.take_starts().len(), 1);
}

#[test]
fn waiting_task_is_refused_when_hall_is_emptied() {
    let mut agent = Agent::new();
    agent.request("running", 5, 0);
    agent.take_starts();
    agent.request("waiting", 1, 0);
    assert_eq!(agent.ends(), [], "the task waits for capacity");
    agent.handle(Event::Halls(emptied_halls(1, &["other", TARGET_HALL])));
    agent.handle(Event::Tick);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Closed)]);
}

#[test]
fn older_revision_has_no_effect() {
    let mut agent = Agent::new();
    agent.handle(Event::Halls(emptied_halls(5, &[TARGET_HALL])));
    let late = ToAgent::Halls(emptied_halls(4, &[]));
    agent.handle(Event::FromEntry(SESSION, late));
    agent.handle(Event::Halls(emptied_halls(5, &[])));
    agent.run_for(20);
    assert!(!agent.open);
    agent.handle(Event::FromEntry(SESSION, ToAgent::Halls(emptied_halls(6, &[]))));
    agent.run_for(20);
    assert!(agent.open);
}

#[test]
fn emptied_hall_applies_to_later_target() {
    let mut agent = Agent::new();
    agent.handle(Event::Halls(emptied_halls(1, &[TARGET_HALL])));
    agent.handle(Event::TargetLeft(support::target("t1")));
    agent.handle(Event::TargetReported(report("t2", 5_000)));
    agent.answer_outstanding_hold(&[], &[]);
    agent.run_for(40);
    agent.request("job", 1, 0);
    assert_eq!(agent.starts.len(), 0);
}

#[test]
fn emptied_halls_are_forwarded_to_all_entries_but_the_sender() {
    let mut agent = Agent::new();
    let other = SessionId(2);
    agent.handle(Event::SessionOpened(other));
    agent.handle(Event::FromEntry(SESSION, ToAgent::Halls(emptied_halls(1, &["north"]))));
    assert_eq!(agent.halls_sent, [(other, emptied_halls(1, &["north"]))]);
    agent.handle(Event::Halls(emptied_halls(2, &[])));
    assert_eq!(
        agent.halls_sent[1..],
        [(SESSION, emptied_halls(2, &[])), (other, emptied_halls(2, &[]))]
    );
}
