//! Targets that announce their end while runs are active. Guards against tasks that start elsewhere
//! while the leaving target still works on them: an announced end is not an end.

mod support;

use model::Time;
use runner::{EndReason, Event, HoldReply, RunKey, StartReply, StopReply, Timing};
use wire::{Refusal, TaskEnd, ToAgent};

use support::{Agent, SESSION, answer, no_runs, numbered_report, start_task, target};

/// Longest time from an acknowledged stop until the run has ended: the duration of a stop and the
/// delay until its end is listed.
const MAX_STOP_MS: u64 = 90;

/// An agent with two active runs, and their keys.
fn agent_with_two_runs() -> (Agent, Vec<RunKey>) {
    let mut agent = Agent::new();
    agent.request("a", 2, 0);
    let keys: Vec<RunKey> = agent.take_starts().into_iter().map(|start| start.key).collect();
    agent.answer_outstanding_hold(&[&keys[0], &keys[1]], &[]);
    agent.run_for(20);
    (agent, keys)
}

/// The earliest time by which a lease renewed at `renewed_at` is certainly over, by a clock that is
/// 2% slow.
fn lease_end(renewed_at: Time) -> Time {
    renewed_at + Timing::default().lease.mul_f64(1.02)
}

#[test]
fn runs_are_active_until_the_lease_of_a_left_target_ends() {
    let (mut agent, _) = agent_with_two_runs();
    let renewed_at = agent.now;
    assert!(agent.holds.last().is_some_and(|hold| hold.deadline_ms.is_some()));
    agent.handle(Event::TargetLeft(target("t1")));
    agent.run_for(10);
    assert!(!agent.open, "the target gets no new work");
    while agent.now < lease_end(renewed_at) {
        assert_eq!(agent.ends(), [], "{:?} after the leave", agent.now.since(renewed_at));
        agent.run_for(10);
    }
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
    assert!(start_task(&mut agent, "b").is_empty());
}

#[test]
fn runs_of_a_left_target_are_stopped_and_end_by_the_acknowledged_stop() {
    let (mut agent, keys) = agent_with_two_runs();
    agent.handle(Event::TargetLeft(target("t1")));
    let stopped: Vec<RunKey> = agent.stops.drain(..).map(|stop| stop.key).collect();
    assert_eq!(stopped, keys);
    agent.handle(Event::StopAnswered(keys[0].clone(), StopReply::Acknowledged));
    agent.run_for(Timing::default().stop_duration.as_millis() as u64);
    assert_eq!(agent.ends(), [], "the target takes this long to stop a run");
    agent.run_for(MAX_STOP_MS);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "only the acknowledged stop shows an end");
}

#[test]
fn end_that_a_left_target_lists_counts() {
    let (mut agent, keys) = agent_with_two_runs();
    agent.handle(Event::TargetLeft(target("t1")));
    agent.answer_outstanding_hold(&[&keys[1]], &[(1, &keys[0], EndReason::Done)]);
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
    agent.answer_outstanding_hold(&[], &[(2, &keys[1], EndReason::Stopped)]);
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Stopped]);
    agent.holds.clear();
    agent.run_for(200);
    assert!(agent.holds.is_empty(), "a target that has left and runs nothing gets no commands");
}

/// A process that ends may close its listener before its tasks have ended.
#[test]
fn refused_connection_after_a_leave_does_not_end_the_runs() {
    let (mut agent, _) = agent_with_two_runs();
    let renewed_at = agent.now;
    agent.handle(Event::TargetLeft(target("t1")));
    while agent.now < lease_end(renewed_at) {
        agent.handle(Event::NoListener(target("t1")));
        answer(&mut agent, "t1", HoldReply::NoAnswer);
        agent.run_for(10);
        assert_eq!(agent.ends(), [], "{:?} after the leave", agent.now.since(renewed_at));
    }
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost], "a planned end is not a crash");
}

#[test]
fn lease_is_not_renewed_after_a_leave() {
    let (mut agent, keys) = agent_with_two_runs();
    agent.handle(Event::TargetLeft(target("t1")));
    for _ in 0..40 {
        agent.answer_outstanding_hold(&[&keys[0], &keys[1]], &[]);
        agent.run_for(20);
        let Some(hold) = agent.holds.last() else { break };
        assert_eq!(hold.deadline_ms, None);
    }
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
    agent.handle(Event::TargetReported(numbered_report("t1", 90)));
    assert!(start_task(&mut agent, "b").is_empty(), "the leave is final");
}

#[test]
fn start_in_flight_is_stopped_when_the_target_leaves() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::TargetLeft(target("t1")));
    agent.handle(Event::StartAnswered(start.key.clone(), StartReply::NoAnswer));
    agent.run_for(200);
    assert!(agent.starts.is_empty(), "the start is not sent again");
    assert!(agent.stops.iter().all(|stop| stop.key == start.key) && !agent.stops.is_empty());
    assert_eq!(agent.ends(), [], "the start may have been carried out");
    agent.handle(Event::StopAnswered(start.key, StopReply::Acknowledged));
    agent.run_for(2 * MAX_STOP_MS);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
}

#[test]
fn waiting_tasks_are_refused_at_once() {
    let mut agent = Agent::new();
    agent.request("running", 5, 0);
    agent.take_starts();
    agent.request("waiting", 1, 0);
    agent.handle(Event::TargetLeft(target("t1")));
    agent.run_for(10);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Closed)]);
}

#[test]
fn leave_of_an_idle_target_ends_it_at_once() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetLeft(target("t1")));
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut agent, "t2", no_runs()));
    assert_eq!(start_task(&mut agent, "a"), [target("t2")]);
}

#[test]
fn another_instance_at_the_address_ends_the_runs_of_a_left_target() {
    let (mut agent, _) = agent_with_two_runs();
    agent.handle(Event::TargetLeft(target("t1")));
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    agent.run_for(20);
    assert_eq!(agent.ends(), [], "a report does not show that t2 listens");
    assert!(answer(&mut agent, "t2", no_runs()));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
    assert_eq!(start_task(&mut agent, "b"), [target("t2")]);

    let (mut agent, keys) = agent_with_two_runs();
    agent.handle(Event::TargetLeft(target("t1")));
    agent.handle(Event::StopAnswered(keys[0].clone(), StopReply::OtherInstance));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
}

/// The acknowledgement of a deregistration may get lost, so that the target sends it again.
#[test]
fn repeated_leave_has_no_further_effect() {
    let (mut agent, keys) = agent_with_two_runs();
    agent.handle(Event::TargetLeft(target("t1")));
    agent.handle(Event::TargetLeft(target("t1")));
    assert_eq!(agent.stops.len(), keys.len());
    agent.run_for(100);
    assert_eq!(agent.ends(), []);
    agent.run_for(1_000);
    agent.handle(Event::TargetLeft(target("t1")));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
}

/// A cancel that crosses the leave stops the runs once, and their ends are reported as before.
#[test]
fn cancel_after_a_leave_waits_for_the_end_of_the_runs() {
    let (mut agent, keys) = agent_with_two_runs();
    agent.handle(Event::TargetLeft(target("t1")));
    let cancel = ToAgent::Cancel(keys[0].task.job.clone());
    agent.handle(Event::FromEntry(SESSION, cancel));
    assert_eq!(agent.stops.len(), keys.len());
    agent.run_for(200);
    assert_eq!(agent.ends(), []);
    agent.run_for(1_000);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
}
