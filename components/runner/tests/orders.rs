//! Orders that the target leaves unanswered, refuses, or carries out late, and runs that seem stuck.

mod support;

use std::sync::Arc;

use model::JobId;
use runner::{EndReason, Event, StartRefusal, StartReply, StopReply};
use wire::{Refusal, TaskEnd, ToAgent};

use support::{Agent, SESSION, START, key};

#[test]
fn a_stop_that_is_not_answered_is_sent_again_and_the_lease_not_renewed() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    let task = starts[0].key.task.clone();
    agent.handle(Event::FromEntry(SESSION, ToAgent::Stop(vec![task])));
    agent.handle(Event::StopAnswered(starts[0].key.clone(), StopReply::NoAnswer));
    agent.run_for(110);
    assert!(agent.stops.len() >= 2);
    agent.holds.truncate(1);
    agent.hold(&[&starts[0].key, &starts[1].key], &[]);
    assert_eq!(agent.holds[0].deadline_ms, None, "only the end of the lease surely stops it");
    agent.handle(Event::StopAnswered(starts[0].key.clone(), StopReply::Acknowledged));
    agent.hold(&[&starts[1].key], &[(1, &starts[0].key, EndReason::Stopped)]);
    assert!(agent.holds[0].deadline_ms.is_some());
    assert_eq!(agent.ends(), [TaskEnd::Stopped]);
}

#[test]
fn a_start_without_an_answer_is_sent_again_under_the_same_number() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let first = agent.starts.pop().expect("it is started");
    agent.handle(Event::StartAnswered(first.key.clone(), StartReply::NoAnswer));
    let again = agent.starts.pop().expect("it is started again");
    assert_eq!(again.key, first.key);
    assert!(agent.stops.is_empty());
    agent.handle(Event::StartAnswered(again.key.clone(), StartReply::Accepted { clock_ms: 0 }));
    agent.hold(&[], &[(1, &first.key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

#[test]
fn a_refusal_proves_nothing_while_an_earlier_start_is_unanswered() {
    let refused = |reason| StartReply::Refused { clock_ms: 0, reason };
    let refusals = [
        refused(StartRefusal::NoCapacity),
        refused(StartRefusal::StaleRun),
        StartReply::Unhealthy,
        StartReply::Invalid,
    ];
    for refusal in refusals {
        let mut agent = Agent::new();
        agent.ask("a", 1, 0);
        let start = agent.starts.pop().expect("it is started");
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
        agent.handle(Event::StartAnswered(start.key.clone(), refusal));
        assert!(agent.reports.is_empty(), "the first start may be carried out yet");
        assert_eq!(agent.stops[0].key, start.key);
        agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
        agent.hold(&[], &[(1, &start.key, EndReason::Done)]);
        assert_eq!(agent.ends(), [TaskEnd::Done], "it had been");
    }
}

#[test]
fn a_start_that_is_never_answered_is_stopped_and_then_proven_gone() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    for _ in 0..3 {
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    }
    assert_eq!(agent.stops[0].key, start.key, "a stop of the same run");
    assert!(agent.reports.is_empty(), "nothing is known yet");
    agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    agent.run_for(200);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
}

#[test]
fn a_start_whose_answer_was_lost_counts_as_it_ended() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    for _ in 0..3 {
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    }
    agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    agent.hold(&[], &[(1, &start.key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

#[test]
fn a_run_that_was_there_before_gets_a_higher_number() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let first = agent.starts.pop().expect("it is started");
    let refused = |reason| StartReply::Refused { clock_ms: 0, reason };
    agent.handle(Event::StartAnswered(first.key.clone(), refused(StartRefusal::StaleRun)));
    let second = agent.starts.pop().expect("it is started again");
    assert!(second.key.run > first.key.run);
    agent.handle(Event::StartAnswered(second.key, refused(StartRefusal::NoCapacity)));
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Room)]);
}

#[test]
fn a_start_that_was_held_up_is_refused() {
    let mut agent = Agent::new();
    agent.run_for(500);
    let heard = START;
    let tasks = vec![agent.task(0, 0)];
    let (job, spec) = (JobId::new("a"), Arc::from("spec"));
    agent.handle(Event::FromEntry(SESSION, ToAgent::Start { heard, job, spec, tasks }));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Late)]);
}

#[test]
fn one_overdue_task_runs_on_and_two_are_taken_for_stuck() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    agent.take_starts();
    let keep_heard = |agent: &mut Agent| {
        for number in 0..5 {
            agent.run_for(100);
            agent.holds.truncate(1);
            // Something else ends there all the while.
            agent.hold(&[], &[(number + 1, &key("other", 1), EndReason::Done)]);
        }
    };
    agent.ask("b", 1, 0);
    let busy = agent.take_starts();
    agent.run_for(100);
    agent.holds.truncate(1);
    agent.hold(&[], &[(1, &busy[0].key, EndReason::Done)]);
    agent.run_for(330);
    assert!(agent.stops.is_empty(), "one alone is let run");
    keep_heard(&mut agent);
    agent.ask("c", 2, 0);
    let stuck = agent.take_starts();
    for _ in 0..5 {
        agent.run_for(90);
        agent.holds.truncate(1);
        agent.hold(&[&stuck[0].key, &stuck[1].key], &[]);
    }
    assert!(!agent.stops.is_empty(), "several overdue, and nothing ends");
}

#[test]
fn runs_are_not_taken_for_stuck_while_the_target_leaves_a_hold_unanswered() {
    let mut agent = Agent::new();
    agent.ask("a", 2, 0);
    let starts = agent.take_starts();
    agent.run_for(500);
    assert!(agent.stops.is_empty(), "they may have ended long ago");
    agent.holds.truncate(1);
    agent.hold(&[], &[(1, &starts[0].key, EndReason::Done), (2, &starts[1].key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Done]);
    assert!(agent.open, "nothing speaks against the target");
}

#[test]
fn a_run_that_was_never_answered_is_known_to_be_gone_a_tenth_of_a_second_after_its_stop() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    for _ in 0..3 {
        agent.run_for(agent.runner.timing().command_timeout.as_millis() as u64);
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    }
    agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
}

#[test]
fn a_late_end_of_a_lost_run_is_not_taken_for_that_of_the_next() {
    let mut agent = Agent::new();
    agent.ask("a", 1, 0);
    let first = agent.take_starts();
    // Nothing is heard of the target until its lease has run out.
    agent.run_for(2_000);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    agent.holds.truncate(1);
    agent.hold(&[], &[]);
    agent.ask("a", 1, 0);
    let second = agent.starts.pop().expect("it is started");
    assert!(second.key.run > first[0].key.run, "told apart");
    agent.hold(&[], &[(1, &first[0].key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "the second run has not ended");
}
