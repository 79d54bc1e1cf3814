//! Tasks that may have run when their target crashed. If they counted as running, a job whose task
//! had ended would be answered as failed; if they didn't count, a task could crash any number of
//! targets.

mod support;

use runner::{Event, HoldReply, RunKey, SessionId, StartReply, StopReply};
use wire::{Refusal, TaskEnd, ToAgent};

use support::{Agent, SESSION, answer, no_runs, numbered_report, start_task, target};

/// Exceeds the wait and the slack of a hold.
const HOLD_TIMEOUT_MS: u64 = 170;
/// Exceeds the lease of a target that refuses connections.
const LEASE_MS: u64 = 1_500;

/// An agent whose entry reads reports of suspected crashes and runs a task; returns its run.
fn agent_with_running_task() -> (Agent, RunKey) {
    let mut agent = Agent::new();
    agent.handle(Event::EntryReadsSuspicions(SESSION));
    agent.request("a", 1, 0);
    let start = agent.take_starts().pop().expect("a start was sent");
    (agent, start.key)
}

/// The sessions and jobs of the reported suspects.
fn suspects(agent: &Agent) -> Vec<(SessionId, &str)> {
    agent.suspicions.iter().map(|(session, job, _)| (*session, job.as_str())).collect()
}

/// Crashes the target and adopts the next instance, which runs nothing.
fn adopt_next_instance(agent: &mut Agent, id: &str) {
    agent.handle(Event::TargetReported(numbered_report(id, 1)));
    assert!(answer(agent, id, no_runs()), "the next instance is probed");
    agent.run_for(20);
}

/// Guards against the answer "failed" to a job whose task had ended: the target left a hold
/// unanswered, the task ended, and the target crashed before the next hold.
#[test]
fn a_task_that_may_have_ended_during_an_unanswered_hold_is_a_suspect() {
    let (mut agent, run) = agent_with_running_task();
    agent.run_for(100);
    agent.answer_outstanding_hold(&[&run], &[]);
    agent.run_for(HOLD_TIMEOUT_MS);
    assert!(answer(&mut agent, "t1", HoldReply::NoAnswer));
    agent.handle(Event::NoListener(target("t1")));
    agent.run_for(LEASE_MS);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert_eq!(suspects(&agent), [(SESSION, "a")]);
}

/// A crash shortly after the start shows that the task cannot have ended, even if the hold was left
/// unanswered.
#[test]
fn a_task_that_has_just_started_at_a_crash_was_running() {
    let (mut agent, _) = agent_with_running_task();
    assert!(answer(&mut agent, "t1", HoldReply::NoAnswer));
    agent.handle(Event::NoListener(target("t1")));
    agent.run_for(LEASE_MS);
    assert_eq!(agent.ends(), [TaskEnd::Crashed]);
    assert!(agent.suspicions.is_empty());
}

/// Guards against crashes that nobody counts: a target that has left a start unanswered crashes
/// within seconds, and its ends may be unreported.
#[test]
fn a_task_is_a_suspect_if_its_target_left_a_start_unanswered_before() {
    let (mut agent, run) = agent_with_running_task();
    agent.request("b", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::StartAnswered(start.key, StartReply::NoAnswer));
    let resent = agent.starts.pop().expect("the start was sent again");
    agent.handle(Event::StartAnswered(resent.key.clone(), StartReply::Accepted { clock_ms: 0 }));
    agent.answer_outstanding_hold(&[&run, &resent.key], &[]);
    agent.run_for(20);
    adopt_next_instance(&mut agent, "t2");
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
    assert_eq!(suspects(&agent), [(SESSION, "a"), (SESSION, "b")]);
}

/// Guards against crashes that nobody counts: the entry stops the task after the crash, but before
/// the agent notices the crash.
#[test]
fn a_task_that_was_stopped_before_the_crash_was_noticed_is_a_suspect() {
    let (mut agent, run) = agent_with_running_task();
    agent.run_for(50);
    agent.handle(Event::FromEntry(SESSION, ToAgent::Stop(vec![run.task])));
    agent.run_for(50);
    agent.handle(Event::NoListener(target("t1")));
    agent.run_for(LEASE_MS);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert_eq!(suspects(&agent), [(SESSION, "a")]);
}

/// As above, but the next instance of the target, which has the same id, acknowledges the stop.
#[test]
fn a_stop_that_the_next_instance_acknowledges_does_not_hide_the_crash() {
    let (mut agent, run) = agent_with_running_task();
    agent.run_for(50);
    agent.handle(Event::FromEntry(SESSION, ToAgent::Stop(vec![run.task])));
    agent.run_for(10);
    agent.handle(Event::NoListener(target("t1")));
    let stop = agent.stops.pop().expect("a stop was sent");
    agent.handle(Event::StopAnswered(stop.key, StopReply::Acknowledged));
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert_eq!(suspects(&agent), [(SESSION, "a")]);
}

/// As above, but the target acknowledges the stop and crashes before it lists the end.
#[test]
fn a_run_that_was_lost_before_the_crash_was_noticed_is_a_suspect_once() {
    let (mut agent, run) = agent_with_running_task();
    agent.run_for(50);
    agent.handle(Event::FromEntry(SESSION, ToAgent::Stop(vec![run.task])));
    let stop = agent.stops.pop().expect("a stop was sent");
    agent.handle(Event::StopAnswered(stop.key, StopReply::Acknowledged));
    agent.run_for(100);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert!(agent.suspicions.is_empty(), "the target may be healthy");
    agent.handle(Event::NoListener(target("t1")));
    agent.run_for(20);
    assert_eq!(suspects(&agent), [(SESSION, "a")]);
    adopt_next_instance(&mut agent, "t2");
    assert_eq!(agent.suspicions.len(), 1, "each crash counts once");
}

/// A target that only leaves commands unanswered has not crashed.
#[test]
fn tasks_of_a_silent_target_are_no_suspects() {
    let (mut agent, _) = agent_with_running_task();
    agent.run_for(HOLD_TIMEOUT_MS);
    assert!(answer(&mut agent, "t1", HoldReply::NoAnswer));
    agent.run_for(LEASE_MS);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert!(agent.suspicions.is_empty());
}

/// Guards against a task that starts again and again at entries that were restarted or were not
/// connected at the time of the crash.
#[test]
fn an_entry_that_connects_after_a_crash_is_notified() {
    let (mut agent, _) = agent_with_running_task();
    agent.run_for(HOLD_TIMEOUT_MS);
    assert!(answer(&mut agent, "t1", HoldReply::NoAnswer));
    agent.handle(Event::NoListener(target("t1")));
    adopt_next_instance(&mut agent, "t2");
    assert_eq!(start_task(&mut agent, "b"), [target("t2")]);
    adopt_next_instance(&mut agent, "t3");
    let noticed_at = agent.suspicions.pop().expect("the crash was reported").2;
    agent.suspicions.clear();
    agent.crashes.clear();
    let later = SessionId(2);
    agent.handle(Event::SessionOpened(later));
    assert!(agent.suspicions.is_empty(), "an old build cannot read the report");
    agent.handle(Event::EntryReadsSuspicions(later));
    assert_eq!(agent.suspicions, [(later, "a".to_owned(), noticed_at)]);
    assert_eq!(agent.crashes, [(later, "b".to_owned())]);
}

/// Guards against a task that crashes one target again and again for an entry of an old build, which
/// counts no suspected crashes.
#[test]
fn a_suspect_is_refused_if_its_entry_reads_no_suspicions() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.run_for(HOLD_TIMEOUT_MS);
    assert!(answer(&mut agent, "t1", HoldReply::NoAnswer));
    agent.handle(Event::NoListener(target("t1")));
    adopt_next_instance(&mut agent, "t2");
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert!(agent.suspicions.is_empty());
    assert!(start_task(&mut agent, "a").is_empty());
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::NotRun(Refusal::Target)]);
    agent.handle(Event::EntryReadsSuspicions(SESSION));
    assert_eq!(start_task(&mut agent, "a"), [target("t2")]);
}
