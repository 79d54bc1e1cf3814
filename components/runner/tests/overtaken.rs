//! Reports of one life of a target that overtake each other.
//!
//! Users would see tasks cut off by a target that ended as it had said it would. A target says that it
//! is leaving, on a new connection, since the one before is held up; that is acknowledged; then the
//! report before arrives, in which it is ready. The agent took each report for the newest:
//! in three of these tests two reports made it start at a leaving target, or beyond the room.

mod support;

use model::Resources;
use runner::{Event, TargetReport};

use support::{Agent, leaving, numbered, started_at};

#[test]
fn a_ready_report_that_was_overtaken_does_not_open_a_leaving_target() {
    let mut agent = Agent::new();
    agent.handle(Event::Target(leaving("t1", 5)));
    agent.handle(Event::Target(numbered("t1", 4)));
    agent.run_for(10);
    assert!(!agent.open);
    assert!(started_at(&mut agent, "a").is_empty());
    assert_eq!(agent.runner.counters().late_reports, 1);
}

#[test]
fn a_target_that_said_it_is_leaving_stays_closed() {
    let mut agent = Agent::new();
    agent.handle(Event::Target(leaving("t1", 5)));
    agent.handle(Event::Target(numbered("t1", 6)));
    assert!(started_at(&mut agent, "a").is_empty(), "the answer was an acknowledgement");
}

#[test]
fn that_a_target_is_leaving_counts_also_if_a_newer_report_was_there_first() {
    let mut agent = Agent::new();
    agent.handle(Event::Target(numbered("t1", 6)));
    agent.handle(Event::Target(leaving("t1", 5)));
    assert!(started_at(&mut agent, "a").is_empty(), "the answer was an acknowledgement");
}

#[test]
fn an_overtaken_report_does_not_bring_back_an_earlier_capacity() {
    let mut agent = Agent::new();
    let small = cpu(1_600);
    agent.handle(Event::Target(TargetReport { capacity: small, ..numbered("t1", 5) }));
    agent.handle(Event::Target(numbered("t1", 4)));
    agent.ask("a", 5, 0);
    assert_eq!(agent.take_starts().len(), 1, "there is room for one");
}

fn cpu(cpu_milli: u64) -> Resources {
    Resources { cpu_milli, memory_mb: 32_768, gpu: 0 }
}
