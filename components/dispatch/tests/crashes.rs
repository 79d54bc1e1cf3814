//! A job whose task crashes its targets must not take down one target after another, even if it is
//! submitted again at another entry.

mod support;

use std::time::Duration;

use dispatch::{Event, JobRequest, Outcome, Reason, SessionId};
use model::{JobId, TaskId, Time};
use wire::{Refusal, SuspectedTask, TaskEnd, ToEntry};

use support::{Entry, job};

const AGENTS: [(u64, u64); 3] = [(1, 16_000), (2, 16_000), (3, 16_000)];
const FAILED: Option<Outcome> = Some(Outcome::Failed(Reason::CrashesTargets));
const MAY_HAVE_RUN: Option<Outcome> = Some(Outcome::MayHaveRun(Reason::CrashesTargets));

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

/// Reports that the first task of a job may have run when an agent's target crashed at this time.
fn report_suspicion(entry: &mut Entry, agent: u64, id: &JobId, noticed_ms: u64) {
    let task = TaskId { job: id.clone(), index: 0 };
    let noticed_at = Time::from_millis(noticed_ms);
    let report = ToEntry::CrashSuspected(vec![SuspectedTask { task, noticed_at }]);
    entry.handle(Event::FromAgent(SessionId(agent), report));
}

/// Guards against a task that crashes any number of targets because none of their agents is sure
/// that it ran, and against the answer "failed" without such a certainty.
#[test]
fn a_job_may_have_run_once_a_task_is_the_suspect_of_three_crashes() {
    let mut entry = entry();
    let call = entry.submit(job(1, 200));
    for agent in 1..=3 {
        assert_eq!(entry.answer(call), None);
        let start = entry.take_starts().remove(0);
        report_suspicion(&mut entry, agent, &start.1, 1);
        entry.report_end(&start, TaskEnd::Lost);
    }
    assert_eq!(entry.answer(call), MAY_HAVE_RUN);
    entry.run_for(500, &AGENTS);
    assert!(entry.take_starts().is_empty());
}

#[test]
fn confirmed_crashes_count_with_suspected_ones() {
    let mut entry = entry();
    let request = job(1, 200);
    report_crash(&mut entry, 1, &request.id);
    report_suspicion(&mut entry, 2, &request.id, 1);
    let call = entry.submit(request.clone());
    assert_eq!(entry.answer(call), None);
    report_suspicion(&mut entry, 1, &request.id, 1);
    assert_eq!(entry.answer(call), MAY_HAVE_RUN);
    let stopped = entry.take_starts().remove(0);
    entry.report_end(&stopped, TaskEnd::Stopped);
    entry.run_for(10, &AGENTS);
    report_crash(&mut entry, 2, &request.id);
    let later = entry.submit(request);
    assert_eq!(entry.answer(later), FAILED, "two crashes are confirmed");
}

/// An agent reports all crashes that it remembers to an entry that connects. A restarted agent has
/// forgotten the earlier ones, so that the number of those it reports says little.
#[test]
fn each_suspected_crash_of_an_agent_counts_once() {
    let mut entry = entry();
    let request = job(1, 200);
    for _ in 0..3 {
        report_suspicion(&mut entry, 1, &request.id, 1_000);
        report_suspicion(&mut entry, 1, &request.id, 2_000);
    }
    let call = entry.submit(request.clone());
    assert_eq!(entry.answer(call), None);
    report_suspicion(&mut entry, 1, &request.id, 3_000);
    assert_eq!(entry.answer(call), MAY_HAVE_RUN);
}

/// A job that cannot be served is not left to wait for its deadline.
#[test]
fn the_job_of_a_known_suspect_is_answered_at_once_until_the_crashes_expire() {
    let mut entry = entry();
    let request = job(1, 200);
    (1..=3).for_each(|agent| report_suspicion(&mut entry, agent, &request.id, 1));
    let call = entry.submit(request.clone());
    assert_eq!(entry.answer(call), MAY_HAVE_RUN);
    assert!(entry.take_starts().is_empty());
    entry.run_for(20_500, &AGENTS);
    let later = entry.submit(request);
    assert_eq!(entry.answer(later), None, "crashes expire");
}

/// Guards against a service of a few targets that has no place left for a task which merely may have
/// run at a crash.
#[test]
fn a_suspect_may_start_again_at_the_same_agent() {
    let mut entry = Entry::with_agents([16_000]);
    let call = entry.submit(JobRequest { deadline: Duration::from_secs(10), ..job(1, 200) });
    let start = entry.take_starts().remove(0);
    report_suspicion(&mut entry, 1, &start.1, 1);
    entry.report_end(&start, TaskEnd::Lost);
    entry.run_for(6_000, &AGENTS[..1]);
    let again = entry.take_starts().remove(0);
    entry.report_end(&again, TaskEnd::Done);
    assert_eq!(entry.answer(call), Some(Outcome::Completed));
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
