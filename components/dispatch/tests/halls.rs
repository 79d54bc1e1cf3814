//! An entry whose agents stand in halls that operators empty and refill.

mod support;

use std::time::Duration;

use dispatch::{Event, Outcome, Reason, SessionId};
use model::JobId;
use wire::{EmptiedHalls, Refusal, TaskEnd, ToAgent, ToEntry};

use support::{Entry, job};

/// Longer than an entry that has just started waits for agents to connect.
const SETTLED_MS: u64 = 2_100;

fn emptied(revision: u64, halls: &[&str]) -> EmptiedHalls {
    let halls = halls.iter().map(|hall| hall.parse().expect("a name")).collect();
    EmptiedHalls { revision, halls }
}

/// An entry with an agent in each of two halls, the first with more room.
fn entry_of_two_halls() -> Entry {
    let mut entry = Entry::new();
    entry.agent_in(1, "north", 16_000);
    entry.agent_in(2, "south", 8_000);
    entry.run_for(SETTLED_MS, &[(1, 16_000), (2, 8_000)]);
    entry.sent.clear();
    entry
}

fn numbered(number: u32) -> dispatch::JobRequest {
    dispatch::JobRequest { id: JobId::new(&format!("{number:016x}")), ..job(1, 200) }
}

#[test]
fn no_task_goes_to_an_emptied_hall_until_it_is_refilled() {
    let mut entry = entry_of_two_halls();
    entry.handle(Event::EmptiedHalls(emptied(1, &["north"])));
    entry.sent.clear();
    entry.submit(numbered(1));
    assert_eq!(entry.starts()[0].0, 2);
    entry.handle(Event::EmptiedHalls(emptied(2, &[])));
    entry.sent.clear();
    entry.submit(numbered(2));
    assert_eq!(entry.starts()[0].0, 1);
}

#[test]
fn a_start_that_crossed_the_order_is_placed_in_another_hall() {
    let mut entry = entry_of_two_halls();
    let call = entry.submit(numbered(1));
    let crossed = entry.starts();
    assert_eq!(crossed[0].0, 1);
    entry.handle(Event::EmptiedHalls(emptied(1, &["north"])));
    entry.sent.clear();
    entry.report(&crossed[0], TaskEnd::NotRun(Refusal::Closed));
    let again = entry.starts();
    assert_eq!(again[0].0, 2);
    entry.report(&again[0], TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn what_only_emptied_halls_could_run_is_refused_at_once_and_told_when_to_come_back() {
    let mut entry = entry_of_two_halls();
    // No room: the job waits.
    entry.load(1, 0);
    entry.load(2, 0);
    let waiting = entry.submit(numbered(1));
    assert_eq!(entry.answer(waiting), None);
    entry.handle(Event::EmptiedHalls(emptied(1, &["north", "south"])));
    let refused =
        Some(Outcome::NotRun { reason: Reason::HallsEmptied, retry_after: Duration::from_secs(8) });
    assert_eq!(entry.answer(waiting), refused, "it need not wait until its time is over");
    let call = entry.submit(numbered(2));
    assert_eq!(entry.answer(call), refused);
    entry.handle(Event::EmptiedHalls(emptied(2, &["north"])));
    entry.sent.clear();
    entry.load(2, 8_000);
    entry.submit(numbered(3));
    assert_eq!(entry.starts()[0].0, 2);
}

#[test]
fn an_entry_that_has_just_started_waits_for_agents_of_other_halls() {
    let mut entry = Entry::new();
    entry.agent_in(1, "north", 16_000);
    entry.handle(Event::EmptiedHalls(emptied(1, &["north"])));
    let call = entry.submit(numbered(1));
    entry.run_for(30, &[(1, 16_000)]);
    assert_eq!(entry.answer(call), None);
    entry.agent_in(2, "south", 8_000);
    let starts = entry.starts();
    assert_eq!(starts[0].0, 2);
}

#[test]
fn who_knows_the_newer_order_tells_the_other() {
    let mut entry = Entry::new();
    entry.handle(Event::EmptiedHalls(emptied(2, &["north"])));
    entry.agent_in(1, "north", 16_000);
    let told = |entry: &Entry, id: u64| {
        entry.sent.iter().any(|(to, message)| {
            *to == SessionId(id) && matches!(message, ToAgent::Halls(halls) if halls.revision == 2)
        })
    };
    assert!(told(&entry, 1), "an agent that was cut off from the keepers");
    entry.sent.clear();
    let newer = ToEntry::Halls(emptied(3, &[]));
    entry.handle(Event::FromAgent(SessionId(1), newer));
    assert_eq!(entry.dispatcher.emptied_halls().revision, 3);
    let older = ToEntry::Halls(emptied(2, &["north"]));
    entry.handle(Event::FromAgent(SessionId(1), older));
    assert_eq!(
        entry.dispatcher.emptied_halls().revision,
        3,
        "nothing falls back to an older order"
    );
    assert!(entry.sent.iter().all(|(_, message)| !matches!(message, ToAgent::Halls(_))));
}
