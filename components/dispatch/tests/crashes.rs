//! Jobs with a task that crashes the targets which start it.
//!
//! Users would see one job take down one target after the other, with all that ran there, and come back at another entry to go
//! on with it.

mod support;

use dispatch::{Event, Outcome, Reason, SessionId};
use model::{JobId, TaskId};
use wire::{Refusal, TaskEnd, ToEntry};

use support::{Entry, job};

const AGENTS: [(u64, u64); 3] = [(1, 16_000), (2, 16_000), (3, 16_000)];
const GIVEN_UP: Option<Outcome> = Some(Outcome::Failed(Reason::CrashesTargets));

fn entry() -> Entry {
    Entry::with_agents(AGENTS.map(|(_, cpu)| cpu))
}

/// An agent tells that its target has crashed under the first task of a job, whichever entry's it was.
fn crash_told(entry: &mut Entry, agent: u64, id: &JobId) {
    let task = TaskId { job: id.clone(), index: 0 };
    let told = ToEntry::TargetCrashed(vec![task]);
    entry.handle(Event::FromAgent(SessionId(agent), told));
}

#[test]
fn a_task_is_given_up_after_the_second_target_that_crashed_under_it() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    let first = entry.starts().remove(0);
    entry.report(&first, TaskEnd::Crashed);
    assert_eq!(entry.answer(call), None, "it may only have stood beside the cause");
    let second = entry.starts().remove(0);
    assert_ne!(first.0, second.0);
    entry.report(&second, TaskEnd::Crashed);
    assert_eq!(entry.answer(call), GIVEN_UP);
    entry.run_for(500, &AGENTS);
    assert!(entry.starts().is_empty());
}

#[test]
fn one_crash_that_is_told_again_counts_once() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    let first = entry.starts().remove(0);
    crash_told(&mut entry, first.0, &first.1);
    entry.report(&first, TaskEnd::Crashed);
    crash_told(&mut entry, first.0, &first.1);
    let second = entry.starts().remove(0);
    entry.report(&second, TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn crashes_of_an_earlier_try_at_another_entry_count() {
    let mut entry = entry();
    let request = job(1, 200);
    crash_told(&mut entry, 1, &request.id);
    crash_told(&mut entry, 2, &request.id);
    let call = entry.submit(request.clone());
    assert_eq!(entry.answer(call), GIVEN_UP);
    assert!(entry.starts().is_empty());
    entry.run_for(20_500, &AGENTS);
    let later = entry.submit(request);
    assert_eq!(entry.answer(later), None, "it is forgotten after a while");
}

#[test]
fn an_agent_that_refuses_a_task_its_target_has_crashed_under_tells_of_a_crash() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    let mut asked = Vec::new();
    for _ in 0..2 {
        let start = entry.starts().remove(0);
        entry.report(&start, TaskEnd::NotRun(Refusal::CrashedTarget));
        asked.push(start.0);
    }
    assert_ne!(asked[0], asked[1], "one that refused is not asked again");
    assert_eq!(entry.answer(call), GIVEN_UP);
}

/// The only agent that is left refuses the task: asking it again at once, over and over, would keep both busy for nothing.
#[test]
fn a_task_waits_where_the_only_agent_has_refused_it() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(1, 200));
    let start = entry.starts().remove(0);
    entry.report(&start, TaskEnd::Crashed);
    entry.run_for(100, &AGENTS[..1]);
    assert!(entry.starts().is_empty());
    entry.run_for(5_000, &AGENTS[..1]);
    assert!(entry.answer(call).is_some(), "its client is told in the end");
}

#[test]
fn tasks_lost_in_another_way_are_not_blamed() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    for _ in 0..3 {
        let start = entry.starts().remove(0);
        entry.report(&start, TaskEnd::Lost);
    }
    assert_eq!(entry.answer(call), None);
}
