//! How long jobs wait for capacity, and which capacity counts as free.

mod support;

use std::time::Duration;

use dispatch::{Dispatcher, Event, Outcome, Policy, Reason, SessionId, Timing};
use wire::{Load, TaskEnd, ToEntry};

use support::{Entry, START, job};

#[test]
fn without_capacity_a_job_is_refused_early_and_never_starts() {
    let mut entry = Entry::with_agents([1_000]);
    let call = entry.submit(job(2, 200));
    entry.run_for(70, &[(1, 1_000)]);
    assert_eq!(entry.answer(call), None);
    entry.run_for(20, &[(1, 1_000)]);
    let Some(Outcome::NotRun { reason: Reason::NoCapacity, retry_after }) = entry.answer(call)
    else {
        panic!("{:?}", entry.answer(call));
    };
    assert!(retry_after > Duration::ZERO);
    entry.run_for(500, &[(1, 16_000)]);
    assert!(entry.take_starts().is_empty());
}

#[test]
fn a_job_that_finds_capacity_before_it_is_refused_starts() {
    let mut entry = Entry::with_agents([1_000]);
    let call = entry.submit(job(2, 200));
    entry.run_for(70, &[(1, 1_000)]);
    entry.report_load(1, 16_000);
    assert_eq!(entry.take_starts().len(), 2);
    entry.run_for(200, &[(1, 16_000)]);
    assert_eq!(entry.answer(call), None, "a started job is not refused");
}

#[test]
fn while_no_target_accepts_work_a_job_waits_as_long_as_it_can_end_in_time() {
    let mut entry = Entry::with_agents([0]);
    let closed = Load { open: false, ..entry.load_with(16_000) };
    entry.handle(Event::FromAgent(SessionId(1), ToEntry::Load(closed)));
    let call = entry.submit(job(2, 200));
    entry.run_for(150, &[]);
    assert_eq!(entry.answer(call), None, "capacity is not known to be short");
    entry.report_load(1, 16_000);
    assert_eq!(entry.take_starts().len(), 2);
}

#[test]
fn a_job_certainly_ends_in_time_only_if_a_multiple_of_its_objective_fits() {
    // A job that takes several times its estimate would not end in the time left.
    assert!(!job(4, 556).ends_within(Duration::from_millis(950)));
    assert!(job(4, 180).ends_within(Duration::from_millis(950)));
}

#[test]
fn new_capacity_is_used_before_a_job_is_refused() {
    let mut entry = Entry::with_agents([1_000]);
    let call = entry.submit(job(2, 200));
    entry.run_for(70, &[(1, 1_000)]);
    // The wait ends with the event that brings capacity.
    entry.now = entry.now + Duration::from_millis(10);
    entry.report_load(1, 16_000);
    assert_eq!(entry.take_starts().len(), 2);
    assert_eq!(entry.answer(call), None);
}

#[test]
fn capacity_that_other_entries_have_probably_taken_is_not_counted() {
    let mut entry = Entry::with_agents([1_000]);
    let taken_fast = Load { taken_per_ms: 100, ..entry.load_with(2_000) };
    entry.handle(Event::FromAgent(SessionId(1), ToEntry::Load(taken_fast)));
    entry.now = entry.now + Duration::from_millis(5);
    entry.submit(job(1, 200));
    assert!(entry.take_starts().is_empty(), "an estimated 1.5 cores are free, 1.6 are needed");
    entry.handle(Event::FromAgent(
        SessionId(1),
        ToEntry::Load(Load { at: entry.now, ..taken_fast }),
    ));
    assert_eq!(entry.take_starts().len(), 1, "a new load counts in full");
}

#[test]
fn queued_tasks_use_the_capacity_that_an_agent_reports() {
    let mut entry = Entry::with_agents([1_000, 1_000]);
    entry.submit(job(3, 200));
    entry.report_load(2, 3_300);
    let starts = entry.take_starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(agent, ..)| *agent == 2));
    entry.report_end(&starts[0], TaskEnd::Done);
    assert_eq!(entry.take_starts().len(), 1, "an ended task frees capacity as well");
}

#[test]
fn parts_of_the_policy_are_disabled_by_name() {
    let mut policy = Policy::default();
    assert!(policy.disable("early-refusal"));
    assert_eq!(policy, Policy { early_refusal: false, ..Policy::default() });
    assert!(!policy.disable("no-such-part"));
}

#[test]
fn without_early_refusal_a_job_waits_as_long_as_it_can_end_in_time() {
    let mut entry = Entry::new();
    let policy = Policy { early_refusal: false, ..Policy::default() };
    entry.dispatcher = Dispatcher::new(Timing::default(), START).with_policy(policy);
    entry.add_agent(1, 1_000, &[]);
    let call = entry.submit(job(2, 200));
    entry.run_for(150, &[(1, 1_000)]);
    assert_eq!(entry.answer(call), None);
    entry.run_for(30, &[(1, 1_000)]);
    assert!(matches!(entry.answer(call), Some(Outcome::NotRun { .. })));
}

#[test]
fn a_job_placed_at_an_agent_is_never_answered_not_run() {
    let mut entry = Entry::with_agents([1_700]);
    let call = entry.submit(job(2, 200));
    assert_eq!(entry.take_starts().len(), 1, "one task fits, one waits");
    entry.run_for(4_900, &[(1, 0)]);
    assert_eq!(entry.answer(call), None);
    entry.run_for(100, &[(1, 0)]);
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::Deadline)));
    assert_eq!(entry.take_stops().len(), 1, "the placed task is stopped");
}
