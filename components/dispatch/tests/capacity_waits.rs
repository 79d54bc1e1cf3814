//! How long jobs wait for room, and what room they count on.

mod support;

use std::time::Duration;

use dispatch::{Dispatcher, Event, Outcome, Policy, Reason, SessionId, Timing};
use wire::{Load, TaskEnd, ToEntry};

use support::{Entry, START, job};

#[test]
fn without_room_a_job_is_refused_early_and_never_starts() {
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
    assert!(entry.starts().is_empty());
}

#[test]
fn a_job_that_finds_room_before_it_is_refused_starts() {
    let mut entry = Entry::with_agents([1_000]);
    let call = entry.submit(job(2, 200));
    entry.run_for(70, &[(1, 1_000)]);
    entry.load(1, 16_000);
    assert_eq!(entry.starts().len(), 2);
    entry.run_for(200, &[(1, 16_000)]);
    assert_eq!(entry.answer(call), None, "what has begun is finished");
}

#[test]
fn while_no_target_takes_work_a_job_waits_for_as_long_as_it_can_be_in_time() {
    let mut entry = Entry::with_agents([0]);
    let closed = Load { open: false, ..entry.load_of(16_000) };
    entry.handle(Event::FromAgent(SessionId(1), ToEntry::Load(closed)));
    let call = entry.submit(job(2, 200));
    entry.run_for(150, &[]);
    assert_eq!(entry.answer(call), None, "nobody knows whether room is short");
    entry.load(1, 16_000);
    assert_eq!(entry.starts().len(), 2);
}

#[test]
fn a_stopping_entry_takes_only_what_ends_though_its_estimate_is_far_too_low() {
    // It was thought to take 556 ms and took longer than the 950 ms that were left.
    assert!(!job(4, 556).ends_within(Duration::from_millis(950)));
    assert!(job(4, 180).ends_within(Duration::from_millis(950)));
}

#[test]
fn room_that_has_just_come_is_used_before_a_job_is_refused() {
    let mut entry = Entry::with_agents([1_000]);
    let call = entry.submit(job(2, 200));
    entry.run_for(70, &[(1, 1_000)]);
    // Its time is over by the event that brings room.
    entry.now = entry.now + Duration::from_millis(10);
    entry.load(1, 16_000);
    assert_eq!(entry.starts().len(), 2);
    assert_eq!(entry.answer(call), None);
}

#[test]
fn room_that_other_entries_are_thought_to_have_taken_is_not_counted() {
    let mut entry = Entry::with_agents([1_000]);
    let taken_fast = Load { taken_per_ms: 100, ..entry.load_of(2_000) };
    entry.handle(Event::FromAgent(SessionId(1), ToEntry::Load(taken_fast)));
    entry.now = entry.now + Duration::from_millis(5);
    entry.submit(job(1, 200));
    assert!(entry.starts().is_empty(), "1.5 of 2 cores are thought to be left, 1.6 are asked for");
    entry.handle(Event::FromAgent(
        SessionId(1),
        ToEntry::Load(Load { at: entry.now, ..taken_fast }),
    ));
    assert_eq!(entry.starts().len(), 1, "what was told just now counts in full");
}

#[test]
fn what_waits_takes_the_room_of_the_agent_that_tells_of_it() {
    let mut entry = Entry::with_agents([1_000, 1_000]);
    entry.submit(job(3, 200));
    entry.load(2, 3_300);
    let starts = entry.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(agent, ..)| *agent == 2));
    entry.report(&starts[0], TaskEnd::Done);
    assert_eq!(entry.starts().len(), 1, "an end frees room as well");
}

#[test]
fn parts_of_the_policy_are_switched_off_by_name() {
    let mut policy = Policy::default();
    assert!(policy.disable("early-refusal"));
    assert_eq!(policy, Policy { early_refusal: false, ..Policy::default() });
    assert!(!policy.disable("no-such-part"));
}

#[test]
fn without_early_refusal_a_job_waits_for_as_long_as_it_can_be_in_time() {
    let mut entry = Entry::new();
    let policy = Policy { early_refusal: false, ..Policy::default() };
    entry.dispatcher = Dispatcher::new(Timing::default(), START).with_policy(policy);
    entry.agent(1, 1_000, &[]);
    let call = entry.submit(job(2, 200));
    entry.run_for(150, &[(1, 1_000)]);
    assert_eq!(entry.answer(call), None);
    entry.run_for(30, &[(1, 1_000)]);
    assert!(matches!(entry.answer(call), Some(Outcome::NotRun { .. })));
}

#[test]
fn not_run_is_never_said_of_a_job_that_an_agent_has() {
    let mut entry = Entry::with_agents([1_700]);
    let call = entry.submit(job(2, 200));
    assert_eq!(entry.starts().len(), 1, "one fits, one waits");
    entry.run_for(4_900, &[(1, 0)]);
    assert_eq!(entry.answer(call), None);
    entry.run_for(100, &[(1, 0)]);
    assert_eq!(entry.answer(call), Some(Outcome::MayHaveRun(Reason::Deadline)));
    assert_eq!(entry.stops().len(), 1, "what is left is stopped");
}
