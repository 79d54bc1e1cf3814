//! An agent whose hall operators empty and refill.

mod support;

use runner::{Event, SessionId};
use wire::{EmptiedHalls, Refusal, TaskEnd, ToAgent};

use support::{Agent, SESSION, report};

/// The hall of the target, as its reports name it.
const OWN: &str = "hall";

fn emptied(revision: u64, halls: &[&str]) -> EmptiedHalls {
    let halls = halls.iter().map(|hall| hall.parse().expect("a name")).collect();
    EmptiedHalls { revision, halls }
}

#[test]
fn an_emptied_hall_starts_nothing_and_ends_what_runs() {
    let mut agent = Agent::new();
    agent.ask("running", 2, 0);
    let running = agent.take_starts();
    assert_eq!(running.len(), 2);
    agent.handle(Event::Halls(emptied(1, &[OWN])));
    agent.run_for(20);
    assert!(!agent.open, "its entries are told");
    agent.ask("crossed", 1, 0);
    agent.run_for(20);
    assert_eq!(agent.starts.len(), 0, "a start that crossed the order is not carried out");
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Closed)], "and is known not to have run");
    assert_eq!(agent.stops.len(), 0, "what runs ends in its own time");
    agent.handle(Event::Halls(emptied(2, &[])));
    agent.run_for(20);
    assert!(agent.open);
    agent.ask("after", 1, 0);
    assert_eq!(agent.take_starts().len(), 1);
}

#[test]
fn what_waits_goes_elsewhere_at_once() {
    let mut agent = Agent::new();
    agent.ask("running", 5, 0);
    agent.take_starts();
    agent.ask("waiting", 1, 0);
    assert_eq!(agent.ends(), [], "there is no room");
    agent.handle(Event::Halls(emptied(1, &["other", OWN])));
    agent.handle(Event::Tick);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Closed)]);
}

#[test]
fn nothing_falls_back_to_an_older_order() {
    let mut agent = Agent::new();
    agent.handle(Event::Halls(emptied(5, &[OWN])));
    let late = ToAgent::Halls(emptied(4, &[]));
    agent.handle(Event::FromEntry(SESSION, late));
    agent.handle(Event::Halls(emptied(5, &[])));
    agent.run_for(20);
    assert!(!agent.open);
    agent.handle(Event::FromEntry(SESSION, ToAgent::Halls(emptied(6, &[]))));
    agent.run_for(20);
    assert!(agent.open);
}

#[test]
fn an_order_holds_for_a_target_that_comes_later() {
    let mut agent = Agent::new();
    agent.handle(Event::Halls(emptied(1, &[OWN])));
    agent.handle(Event::TargetLeft(support::target("t1")));
    agent.handle(Event::TargetReported(report("t2", 5_000)));
    agent.hold(&[], &[]);
    agent.run_for(40);
    agent.ask("job", 1, 0);
    assert_eq!(agent.starts.len(), 0);
}

#[test]
fn an_order_is_passed_on_to_every_entry_but_the_one_that_told_it() {
    let mut agent = Agent::new();
    let other = SessionId(2);
    agent.handle(Event::SessionOpened(other));
    agent.handle(Event::FromEntry(SESSION, ToAgent::Halls(emptied(1, &["north"]))));
    assert_eq!(agent.halls_told, [(other, emptied(1, &["north"]))]);
    agent.handle(Event::Halls(emptied(2, &[])));
    assert_eq!(agent.halls_told[1..], [(SESSION, emptied(2, &[])), (other, emptied(2, &[]))]);
}
