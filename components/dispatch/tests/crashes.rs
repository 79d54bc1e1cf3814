//! A job whose task crashes its targets must not take down one target after another, even if it is
//! submitted again at another entry.

mod support;

use dispatch::{Event, Outcome, Reason, SessionId};
use model::{JobId, TaskId};
use wire::{Refusal, TaskEnd, ToEntry};

use support::{Entry, job};

const AGENTS: [(u64, u64); 3] = [(1, 16_000), (2, 16_000), (3, 16_000)];
const FAILED: Option<Outcome> = Some(Outcome::Failed(Reason::CrashesTargets));

fn entry() -> Entry {
    Entry::with_agents(AGENTS.map(|(_, cpu)| cpu))
}

/// Reports that an agent's target crashed under the first task of a job, whichever entry started
/// it.
fn report_crash(entry: &mut Entry, agent: u64, id: &JobId) {
    let task = TaskId { job: id.clone(), index: 0 };
    let report = ToEntry::TargetCrashed(vec![task]);
    entry.handle(Event::FromAgent(SessionId(agent), report));
}

#[test]
fn a_job_fails_once_a_task_has_crashed_two_targets() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    let first = entry.take_starts().remove(0);
    entry.report_end(&first, TaskEnd::Crashed);
    assert_eq!(entry.answer(call), None, "the task may have run beside the cause");
    let second = entry.take_starts().remove(0);
    assert_ne!(first.0, second.0);
    entry.report_end(&second, TaskEnd::Crashed);
    assert_eq!(entry.answer(call), FAILED);
    entry.run_for(500, &AGENTS);
    assert!(entry.take_starts().is_empty());
}

#[test]
fn a_crash_reported_twice_counts_once() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    let first = entry.take_starts().remove(0);
    report_crash(&mut entry, first.0, &first.1);
    entry.report_end(&first, TaskEnd::Crashed);
    report_crash(&mut entry, first.0, &first.1);
    let second = entry.take_starts().remove(0);
    entry.report_end(&second, TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
}

#[test]
fn crashes_at_another_entry_count_until_they_expire() {
    let mut entry = entry();
    let request = job(1, 200);
    report_crash(&mut entry, 1, &request.id);
    report_crash(&mut entry, 2, &request.id);
    let call = entry.submit(request.clone());
    assert_eq!(entry.answer(call), FAILED);
    assert!(entry.take_starts().is_empty());
    entry.run_for(20_500, &AGENTS);
    let later = entry.submit(request);
    assert_eq!(entry.answer(later), None, "crashes expire");
}

#[test]
fn a_start_refused_after_a_crash_counts_as_a_crash() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    let mut agents = Vec::new();
    for _ in 0..2 {
        let start = entry.take_starts().remove(0);
        entry.report_end(&start, TaskEnd::NotRun(Refusal::CrashedTarget));
        agents.push(start.0);
    }
    assert_ne!(agents[0], agents[1], "an agent that refused the task is avoided");
    assert_eq!(entry.answer(call), FAILED);
}

/// Starting the task again at the only agent, which refuses it, would keep both busy in a loop.
#[test]
fn a_task_is_not_restarted_at_the_only_agent_it_crashed() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(job(1, 200));
    let start = entry.take_starts().remove(0);
    entry.report_end(&start, TaskEnd::Crashed);
    entry.run_for(100, &AGENTS[..1]);
    assert!(entry.take_starts().is_empty());
    entry.run_for(5_000, &AGENTS[..1]);
    assert!(entry.answer(call).is_some(), "the client gets an answer");
}

#[test]
fn lost_tasks_do_not_count_as_crashes() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    for _ in 0..3 {
        let start = entry.take_starts().remove(0);
        entry.report_end(&start, TaskEnd::Lost);
    }
    assert_eq!(entry.answer(call), None);
}
