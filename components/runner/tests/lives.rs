//! Reports and orders' answers that come late, of the present life of a target and of earlier ones.
//!
//! Users would see tasks run twice, tasks begun at a target that is about to leave, and a sound
//! target that gets no more work. A report is held up by a cut; its sender crashes; another life
//! registers at the same address; then the report arrives. The agent had no record of that earlier
//! life (it had restarted since, or never heard of it), so it took it for the next one, gave up what
//! ran, and took the reports of the life that was there for late ones from then on.
//! Shown by walks.rs: at the end of 309 walks of 2,000 the life that was there got no work.

mod support;

use runner::{EndReason, Event, HoldReply, StartReply, TargetRun};
use wire::TaskEnd;

use support::{Agent, SESSION, answer, empty, leaving, numbered, started_at, target};

#[test]
fn a_late_report_of_an_earlier_life_costs_the_present_one_nothing() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    agent.handle(Event::TargetReported(numbered("t0", 900)));
    agent.run_for(20);
    assert!(agent.reports.is_empty(), "nothing is known to be lost");
    assert!(answer(&mut agent, "t0", HoldReply::OtherInstance), "the one at the address is asked");
    agent.run_for(20);
    let ended = starts.iter().zip(1..).map(|(start, number)| (number, &start.key, EndReason::Done));
    let ended: Vec<_> = ended.collect();
    agent.hold(&[], &ended);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Done]);
    agent.handle(Event::TargetReported(numbered("t1", 5)));
    assert_eq!(started_at(&mut agent, "b"), [target("t1")], "it is still the one");
}

#[test]
fn late_reports_among_those_of_the_present_life_do_not_make_the_agent_alternate() {
    let mut agent = Agent::new();
    for sequence in 1..6 {
        agent.handle(Event::TargetReported(numbered("t0", 900 + sequence)));
        agent.handle(Event::TargetReported(numbered("t1", sequence)));
        assert!(!answer(&mut agent, "t0", HoldReply::OtherInstance) || sequence == 1, "asked once");
        assert_eq!(started_at(&mut agent, &format!("b{sequence}")), [target("t1")]);
    }
    assert!(agent.reports.is_empty());
    assert_eq!(agent.runner.counters().late_reports, 5, "all are counted");
}

#[test]
fn an_earlier_life_that_was_leaving_does_not_close_the_present_one() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(leaving("t0", 900)));
    agent.run_for(10);
    assert!(agent.open);
    assert_eq!(started_at(&mut agent, "a"), [target("t1")]);
}

#[test]
fn a_late_report_that_a_new_agent_hears_first_gives_way_to_the_present_life() {
    for refused_first in [true, false] {
        let mut agent = Agent::at_target("t0", 5_000);
        agent.handle(Event::SessionOpened(SESSION));
        if refused_first {
            assert!(answer(&mut agent, "t0", HoldReply::OtherInstance));
        }
        agent.handle(Event::TargetReported(numbered("t1", 1)));
        assert!(answer(&mut agent, "t1", empty()));
        agent.handle(Event::TargetReported(numbered("t0", 900)));
        assert_eq!(started_at(&mut agent, "a"), [target("t1")]);
    }
}

#[test]
fn what_runs_is_lost_once_when_a_new_life_answers() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    agent.take_starts();
    assert!(answer(&mut agent, "t1", HoldReply::NoAnswer), "its connection broke");
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    assert!(answer(&mut agent, "t2", empty()));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Crashed]);
    answer(&mut agent, "t1", HoldReply::OtherInstance);
    agent.handle(Event::TargetReported(numbered("t1", 900)));
    assert_eq!(started_at(&mut agent, "b"), [target("t2")]);
    assert_eq!(agent.holds.len(), 1, "one hold is under way");
}

#[test]
fn a_new_life_is_taken_on_once_it_refuses_an_order_for_the_one_before() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    agent.handle(Event::StartAnswered(start.key, StartReply::OtherInstance));
    agent.run_for(10);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert!(answer(&mut agent, "t2", empty()));
    assert_eq!(started_at(&mut agent, "b"), [target("t2")]);
    let at_it = agent.holds.iter().filter(|hold| hold.target == target("t2"));
    assert_eq!(at_it.count(), 1, "one hold is under way");
}

#[test]
fn a_new_life_that_leaves_orders_unanswered_is_asked_again() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    for _ in 0..5 {
        assert!(answer(&mut agent, "t2", HoldReply::NoAnswer));
        agent.run_for(40);
    }
    assert!(answer(&mut agent, "t2", empty()));
    assert_eq!(started_at(&mut agent, "a"), [target("t2")]);
}

#[test]
fn an_answer_that_a_life_gave_before_the_next_does_not_bring_it_back() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    agent.handle(Event::TargetReported(numbered("t3", 1)));
    assert!(answer(&mut agent, "t3", empty()));
    // The second life had answered before it crashed; the answer was overtaken.
    assert!(answer(&mut agent, "t2", empty()));
    assert_eq!(started_at(&mut agent, "a"), [target("t3")]);
    agent.run_for(30);
    assert!(answer(&mut agent, "t2", HoldReply::OtherInstance), "it is asked once more");
    agent.handle(Event::TargetReported(numbered("t3", 2)));
    assert_eq!(started_at(&mut agent, "b"), [target("t3")]);
}

#[test]
fn unknown_lives_that_are_asked_are_few() {
    let mut agent = Agent::new();
    (0..100).for_each(|life| agent.handle(Event::TargetReported(numbered(&format!("x{life}"), 1))));
    let holds = agent.holds.len();
    agent.run_for(50);
    assert_eq!((agent.holds.len(), agent.reports.len()), (holds, 0));
    assert_eq!(started_at(&mut agent, "a"), [target("t1")]);
    let asked = agent.holds.iter().filter(|hold| hold.target != target("t1"));
    let mut asked: Vec<_> = asked.map(|hold| hold.target.clone()).collect();
    asked.sort();
    assert!(asked.contains(&target("x99")), "the newest is among them");
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    assert!(answer(&mut agent, "t2", empty()));
    assert_eq!(started_at(&mut agent, "b"), [target("t2")]);
}

#[test]
fn a_life_that_has_left_is_over_whenever_its_reports_come() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetLeft(target("t0")));
    agent.handle(Event::TargetReported(numbered("t0", 7)));
    assert!(!answer(&mut agent, "t0", empty()), "it is not asked");
    agent.handle(Event::TargetReported(numbered("t2", 7)));
    agent.handle(Event::TargetLeft(target("t2")));
    assert!(answer(&mut agent, "t2", HoldReply::NoAnswer));
    agent.run_for(50);
    assert!(!answer(&mut agent, "t2", empty()), "it is not asked any more");
    assert_eq!(started_at(&mut agent, "a"), [target("t1")]);
    let mut fresh = Agent::at_target("t1", 5_000);
    fresh.handle(Event::TargetLeft(target("t1")));
    fresh.holds.clear();
    fresh.handle(Event::TargetReported(numbered("t1", 7)));
    fresh.run_for(50);
    assert!(fresh.holds.is_empty());
}

#[test]
fn a_late_leave_of_an_earlier_life_costs_the_present_one_nothing() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    agent.handle(Event::TargetLeft(target("t0")));
    agent.run_for(20);
    assert!(agent.reports.is_empty());
    assert_eq!(started_at(&mut agent, "b"), [target("t1")]);
}

#[test]
fn late_answers_to_orders_for_an_earlier_life_change_nothing() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    assert!(answer(&mut agent, "t2", empty()));
    agent.ask("a", 1, 0);
    assert_eq!(agent.take_starts().len(), 1, "it runs anew");
    let run = TargetRun { task: start.key.task.clone(), run: start.key.run };
    let running = vec![run];
    let lists = HoldReply::Runs { started_ms: None, clock_ms: 90_000, running, ended: Vec::new() };
    for late in [lists, HoldReply::OtherInstance, HoldReply::StaleToken { clock_ms: 90_000 }] {
        agent.handle(Event::HoldAnswered(target("t1"), late));
    }
    for late in [StartReply::OtherInstance, StartReply::Invalid, StartReply::NoAnswer] {
        agent.handle(Event::StartAnswered(start.key.clone(), late));
    }
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "of the first run alone");
    assert!(agent.stops.is_empty());
}

#[test]
fn a_new_life_that_says_it_is_leaving_before_it_is_taken_on_gets_nothing() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(numbered("t2", 1)));
    agent.handle(Event::TargetReported(leaving("t2", 3)));
    agent.handle(Event::TargetReported(numbered("t2", 2)));
    assert!(answer(&mut agent, "t2", empty()));
    agent.run_for(10);
    assert!(started_at(&mut agent, "a").is_empty() && !agent.open);
}
