//! Commands that the target leaves unanswered, refuses or carries out late, and runs that seem
//! stuck.

mod support;

use std::sync::Arc;

use model::JobId;
use runner::{EndReason, Event, StartRefusal, StartReply, StopReply};
use wire::{Refusal, TaskEnd, ToAgent};

use support::{Agent, SESSION, START, key};

#[test]
fn unanswered_stop_is_sent_again_without_lease_renewal() {
    let mut agent = Agent::new();
    agent.request("a", 2, 0);
    let starts = agent.take_starts();
    let task = starts[0].key.task.clone();
    agent.handle(Event::FromEntry(SESSION, ToAgent::Stop(vec![task])));
    agent.handle(Event::StopAnswered(starts[0].key.clone(), StopReply::NoAnswer));
    agent.run_for(110);
    assert!(agent.stops.len() >= 2);
    agent.holds.truncate(1);
    agent.answer_outstanding_hold(&[&starts[0].key, &starts[1].key], &[]);
    assert_eq!(
        agent.holds[0].deadline_ms, None,
        "only the end of the lease is sure to stop the run"
    );
    agent.handle(Event::StopAnswered(starts[0].key.clone(), StopReply::Acknowledged));
    agent.answer_outstanding_hold(&[&starts[1].key], &[(1, &starts[0].key, EndReason::Stopped)]);
    assert!(agent.holds[0].deadline_ms.is_some());
    assert_eq!(agent.ends(), [TaskEnd::Stopped]);
}

#[test]
fn unanswered_start_is_sent_again_with_same_number() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let first = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::StartAnswered(first.key.clone(), StartReply::NoAnswer));
    let again = agent.starts.pop().expect("the start was sent again");
    assert_eq!(again.key, first.key);
    assert!(agent.stops.is_empty());
    agent.handle(Event::StartAnswered(again.key.clone(), StartReply::Accepted { clock_ms: 0 }));
    agent.answer_outstanding_hold(&[], &[(1, &first.key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

#[test]
fn refusal_is_inconclusive_after_unanswered_start() {
    let refused = |reason| StartReply::Refused { clock_ms: 0, reason };
    let refusals = [
        refused(StartRefusal::NoCapacity),
        refused(StartRefusal::StaleRun),
        StartReply::Unhealthy,
        StartReply::Invalid,
    ];
    for refusal in refusals {
        let mut agent = Agent::new();
        agent.request("a", 1, 0);
        let start = agent.starts.pop().expect("a start was sent");
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
        agent.handle(Event::StartAnswered(start.key.clone(), refusal));
        assert!(agent.reports.is_empty(), "the first start may still be carried out");
        assert_eq!(agent.stops[0].key, start.key);
        agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
        agent.answer_outstanding_hold(&[], &[(1, &start.key, EndReason::Done)]);
        assert_eq!(agent.ends(), [TaskEnd::Done], "the first start had been carried out");
    }
}

#[test]
fn never_answered_start_is_stopped_and_then_lost() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    for _ in 0..3 {
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    }
    assert_eq!(agent.stops[0].key, start.key, "the stop is for the same run");
    assert!(agent.reports.is_empty(), "the outcome is not known yet");
    agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    agent.run_for(200);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
}

#[test]
fn never_answered_start_that_ran_is_reported_done() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    for _ in 0..3 {
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    }
    agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    agent.answer_outstanding_hold(&[], &[(1, &start.key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
}

#[test]
fn stale_run_number_is_raised() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let first = agent.starts.pop().expect("a start was sent");
    let refused = |reason| StartReply::Refused { clock_ms: 0, reason };
    agent.handle(Event::StartAnswered(first.key.clone(), refused(StartRefusal::StaleRun)));
    let second = agent.starts.pop().expect("the start was sent again");
    assert!(second.key.run > first.key.run);
    agent.handle(Event::StartAnswered(second.key, refused(StartRefusal::NoCapacity)));
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Room)]);
}

#[test]
fn delayed_start_is_refused() {
    let mut agent = Agent::new();
    agent.run_for(500);
    let agent_clock = START;
    let tasks = vec![agent.task(0, 0)];
    let (job, spec) = (JobId::new("a"), Arc::from("spec"));
    agent.handle(Event::FromEntry(SESSION, ToAgent::Start { agent_clock, job, spec, tasks }));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Late)]);
}

#[test]
fn two_overdue_runs_are_stopped_but_not_a_single_one() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    agent.take_starts();
    let answer_holds = |agent: &mut Agent| {
        for number in 0..5 {
            agent.run_for(100);
            agent.holds.truncate(1);
            // Another run ends on the target in each interval.
            agent.answer_outstanding_hold(&[], &[(number + 1, &key("other", 1), EndReason::Done)]);
        }
    };
    agent.request("b", 1, 0);
    let busy = agent.take_starts();
    agent.run_for(100);
    agent.holds.truncate(1);
    agent.answer_outstanding_hold(&[], &[(1, &busy[0].key, EndReason::Done)]);
    agent.run_for(330);
    assert!(agent.stops.is_empty(), "a single overdue run continues");
    answer_holds(&mut agent);
    agent.request("c", 2, 0);
    let stuck = agent.take_starts();
    for _ in 0..5 {
        agent.run_for(90);
        agent.holds.truncate(1);
        agent.answer_outstanding_hold(&[&stuck[0].key, &stuck[1].key], &[]);
    }
    assert!(!agent.stops.is_empty(), "several runs are overdue and none ends");
}

#[test]
fn runs_are_not_overdue_while_a_hold_is_unanswered() {
    let mut agent = Agent::new();
    agent.request("a", 2, 0);
    let starts = agent.take_starts();
    agent.run_for(500);
    assert!(agent.stops.is_empty(), "the runs may have ended");
    agent.holds.truncate(1);
    agent.answer_outstanding_hold(
        &[],
        &[(1, &starts[0].key, EndReason::Done), (2, &starts[1].key, EndReason::Done)],
    );
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Done]);
    assert!(agent.open, "the target is not excluded");
}

#[test]
fn never_answered_run_is_lost_soon_after_stop() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    for _ in 0..3 {
        agent.run_for(agent.runner.timing().command_timeout.as_millis() as u64);
        agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    }
    agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
}

#[test]
fn late_end_of_lost_run_does_not_end_the_next_run() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let first = agent.take_starts();
    // The target answers nothing until its lease has expired.
    agent.run_for(2_000);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    agent.holds.truncate(1);
    agent.answer_outstanding_hold(&[], &[]);
    agent.request("a", 1, 0);
    let second = agent.starts.pop().expect("a start was sent");
    assert!(second.key.run > first[0].key.run, "the runs have different numbers");
    agent.answer_outstanding_hold(&[], &[(1, &first[0].key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "the second run has not ended");
}
