//! An entry whose agents are in halls that operators empty and refill.

mod support;

use std::time::Duration;

use dispatch::{Event, Outcome, Reason, SessionId};
use model::JobId;
use wire::{EmptiedHalls, Refusal, TaskEnd, ToAgent, ToEntry};

use support::{Entry, job};

/// Longer than the time after which the known agents are taken to be complete.
const SETTLED_MS: u64 = 2_100;

fn emptied(revision: u64, halls: &[&str]) -> EmptiedHalls {
    let halls = halls.iter().map(|hall| hall.parse().expect("valid hall name")).collect();
    EmptiedHalls { revision, halls }
}

/// An entry with one agent in each of two halls. The first has more free capacity.
fn entry_of_two_halls() -> Entry {
    let mut entry = Entry::new();
    entry.add_agent_in(1, "north", 16_000);
    entry.add_agent_in(2, "south", 8_000);
    entry.run_for(SETTLED_MS, &[(1, 16_000), (2, 8_000)]);
    entry.sent.clear();
    entry
}

fn numbered_job(number: u32) -> dispatch::JobRequest {
    dispatch::JobRequest { id: JobId::new(&format!("{number:016x}")), ..job(1, 200) }
}

#[test]
fn no_task_is_placed_in_an_emptied_hall_until_it_is_refilled() {
    let mut entry = entry_of_two_halls();
    entry.handle(Event::EmptiedHalls(emptied(1, &["north"])));
    entry.sent.clear();
    entry.submit(numbered_job(1));
    assert_eq!(entry.take_starts()[0].0, 2);
    entry.handle(Event::EmptiedHalls(emptied(2, &[])));
    entry.sent.clear();
    entry.submit(numbered_job(2));
    assert_eq!(entry.take_starts()[0].0, 1);
}

#[test]
fn a_task_refused_in_an_emptied_hall_is_placed_elsewhere() {
    let mut entry = entry_of_two_halls();
    let call = entry.submit(numbered_job(1));
    let refused = entry.take_starts();
    assert_eq!(refused[0].0, 1);
    entry.handle(Event::EmptiedHalls(emptied(1, &["north"])));
    entry.sent.clear();
    entry.report_end(&refused[0], TaskEnd::NotRun(Refusal::Closed));
    let restarted = entry.take_starts();
    assert_eq!(restarted[0].0, 2);
    entry.report_end(&restarted[0], TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn jobs_that_only_emptied_halls_could_run_are_refused_with_a_retry_delay() {
    let mut entry = entry_of_two_halls();
    // Without free capacity the job waits.
    entry.report_load(1, 0);
    entry.report_load(2, 0);
    let waiting = entry.submit(numbered_job(1));
    assert_eq!(entry.answer(waiting), None);
    entry.handle(Event::EmptiedHalls(emptied(1, &["north", "south"])));
    let refused =
        Some(Outcome::NotRun { reason: Reason::HallsEmptied, retry_after: Duration::from_secs(8) });
    assert_eq!(entry.answer(waiting), refused, "the job is refused before its deadline");
    let call = entry.submit(numbered_job(2));
    assert_eq!(entry.answer(call), refused);
    entry.handle(Event::EmptiedHalls(emptied(2, &["north"])));
    entry.sent.clear();
    entry.report_load(2, 8_000);
    entry.submit(numbered_job(3));
    assert_eq!(entry.take_starts()[0].0, 2);
}

#[test]
fn a_new_entry_waits_for_agents_of_other_halls() {
    let mut entry = Entry::new();
    entry.add_agent_in(1, "north", 16_000);
    entry.handle(Event::EmptiedHalls(emptied(1, &["north"])));
    let call = entry.submit(numbered_job(1));
    entry.run_for(30, &[(1, 16_000)]);
    assert_eq!(entry.answer(call), None);
    entry.add_agent_in(2, "south", 8_000);
    let starts = entry.take_starts();
    assert_eq!(starts[0].0, 2);
}

#[test]
fn entry_and_agent_exchange_the_newer_set_of_emptied_halls() {
    let mut entry = Entry::new();
    entry.handle(Event::EmptiedHalls(emptied(2, &["north"])));
    entry.add_agent_in(1, "north", 16_000);
    let received = |entry: &Entry, id: u64| {
        entry.sent.iter().any(|(to, message)| {
            *to == SessionId(id) && matches!(message, ToAgent::Halls(halls) if halls.revision == 2)
        })
    };
    assert!(received(&entry, 1), "the agent has an older set");
    entry.sent.clear();
    let newer = ToEntry::Halls(emptied(3, &[]));
    entry.handle(Event::FromAgent(SessionId(1), newer));
    assert_eq!(entry.dispatcher.emptied_halls().revision, 3);
    let older = ToEntry::Halls(emptied(2, &["north"]));
    entry.handle(Event::FromAgent(SessionId(1), older));
    assert_eq!(entry.dispatcher.emptied_halls().revision, 3, "an older set is ignored");
    assert!(entry.sent.iter().all(|(_, message)| !matches!(message, ToAgent::Halls(_))));
}
