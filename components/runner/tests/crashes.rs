//! Tasks that ran when their target crashed: told apart from those that were lost in another way.
//!
//! Users would see one job take down one target after the other. Whoever starts a task has to know under which ones targets
//! have crashed; a target that only leaves orders unanswered has not.

mod support;

use runner::{Event, HoldReply, StartReply};
use wire::{Refusal, TaskEnd};

use support::{Agent, answer, empty, leaving, numbered, started_at, target};

/// An agent where a task runs, and one has not begun yet.
fn busy() -> Agent {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.ask("b", 1, 0);
    agent
}

#[test]
fn what_ran_when_the_next_life_is_there_crashed_with_the_one_before() {
    let mut agent = busy();
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    assert!(answer(&mut agent, "t2", empty()));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Lost], "the start was not answered");
}

#[test]
fn what_ran_where_nothing_listens_any_more_crashed() {
    let mut agent = busy();
    agent.handle(Event::NoListener(target("t1")));
    agent.run_for(1_000);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Lost]);
}

#[test]
fn a_target_that_leaves_orders_unanswered_has_not_crashed() {
    let mut agent = busy();
    agent.run_for(1_000);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
    let mut agent = busy();
    agent.handle(Event::NoListener(target("t1")));
    // It listens again and takes the start: nothing had crashed.
    let start = agent.starts.pop().expect("it is on its way");
    agent.handle(Event::StartAnswered(start.key, StartReply::Accepted { clock_ms: 0 }));
    agent.run_for(1_200);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
}

#[test]
fn a_target_that_leaves_has_not_crashed() {
    let mut agent = busy();
    agent.handle(Event::TargetReported(leaving("t1", 5)));
    agent.handle(Event::NoListener(target("t1")));
    agent.run_for(1_000);
    assert!(agent.ends().iter().all(|end| *end == TaskEnd::Lost));
    let mut agent = busy();
    agent.handle(Event::TargetLeft(target("t1")));
    agent.run_for(20);
    assert!(agent.ends().iter().all(|end| *end == TaskEnd::Lost));
}

#[test]
fn a_task_under_which_the_target_crashed_does_not_start_there_again_for_a_while() {
    let mut agent = busy();
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    assert!(answer(&mut agent, "t2", empty()));
    agent.run_for(20);
    agent.starts.clear();
    assert!(started_at(&mut agent, "a").is_empty());
    agent.run_for(20);
    assert_eq!(agent.ends().last(), Some(&TaskEnd::NotRun(Refusal::CrashedTarget)));
    assert_eq!(started_at(&mut agent, "b"), [target("t2")], "that one had not begun");
    assert!(answer(&mut agent, "t2", HoldReply::NoAnswer));
    for _ in 0..210 {
        agent.run_for(100);
        answer(&mut agent, "t2", empty());
    }
    assert_eq!(started_at(&mut agent, "a"), [target("t2")]);
}
