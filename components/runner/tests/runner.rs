//! Individual decisions of an agent.

mod support;

use std::time::Duration;

use model::JobId;
use runner::{Action, EndReason, Event, HoldReply, SessionId, StopReply, TargetReport};
use wire::{Refusal, TaskEnd, ToAgent, ToEntry};

use support::{Agent, SESSION, answer, key, no_runs, report};

#[test]
fn tasks_start_by_urgency_as_capacity_allows() {
    let mut agent = Agent::new();
    agent.request("later", 4, 1);
    let starts = agent.take_starts();
    assert_eq!(starts.len(), 4);
    agent.request("late", 2, 1);
    agent.request("urgent", 1, 0);
    assert_eq!(agent.take_starts().len(), 1, "five tasks of 1.6 cores fit into 8 cores");
    agent.answer_outstanding_hold(&[], &[(1, &starts[0].key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done]);
    assert_eq!(agent.starts[0].key.task.job, JobId::new("urgent"));
    assert_eq!(agent.holds[0].last_seen, 1, "the end is acknowledged in the next hold");
}

#[test]
fn task_without_capacity_in_time_is_not_run() {
    let mut agent = Agent::new();
    agent.request("a", 6, 0);
    assert_eq!(agent.take_starts().len(), 5);
    agent.run_for(40);
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Room)]);
    assert!(agent.starts.is_empty());
}

#[test]
fn each_agent_process_has_a_higher_token() {
    let first = Agent::at_target("t1", 5_000);
    let second = Agent::at_target("t1", 5_300);
    assert!(second.holds[0].fencing_token > first.holds[0].fencing_token);
    // A target that has seen a higher token reports its clock with the refusal.
    let mut agent = second;
    let command = agent.holds.pop().expect("a hold is outstanding");
    agent.handle(Event::HoldAnswered(command.target, HoldReply::StaleToken { clock_ms: 9_000 }));
    agent.run_for(50);
    assert!(agent.holds[0].fencing_token >= 9_000);
}

#[test]
fn orphaned_run_is_stopped_without_lease_renewal() {
    let mut agent = Agent::at_target("t1", 5_000);
    assert_eq!(
        agent.holds[0].deadline_ms, None,
        "the lease is not renewed before the runs are known"
    );
    agent.handle(Event::SessionOpened(SESSION));
    let orphan = key("orphan", 3);
    agent.answer_outstanding_hold(&[&orphan], &[]);
    assert_eq!(agent.stops[0].key, orphan);
    assert_eq!(agent.holds[0].deadline_ms, None);
    agent.request("new", 1, 0);
    assert!(agent.starts.is_empty(), "nothing starts while an orphaned run is active");
    agent.answer_outstanding_hold(&[], &[(1, &orphan, EndReason::Stopped)]);
    assert!(agent.holds[0].deadline_ms.is_some());
    agent.request("newer", 1, 0);
    assert_eq!(agent.starts.len(), 1);
}

#[test]
fn runs_of_a_closed_session_are_stopped() {
    let mut agent = Agent::new();
    agent.request("a", 2, 0);
    let starts = agent.take_starts();
    agent.handle(Event::SessionClosed(SESSION));
    assert_eq!(agent.stops.len(), 2);
    for start in &starts {
        agent.handle(Event::StopAnswered(start.key.clone(), StopReply::Acknowledged));
    }
    agent.answer_outstanding_hold(&[], &[(1, &starts[0].key, EndReason::Stopped)]);
    agent.answer_outstanding_hold(&[], &[(2, &starts[1].key, EndReason::Stopped)]);
    assert!(agent.runner.is_idle());
    assert!(agent.reports.is_empty(), "there is no entry to report to");
}

#[test]
fn runs_of_a_silent_entry_are_stopped() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    agent.take_starts();
    for _ in 0..50 {
        agent.now = agent.now + Duration::from_millis(10);
        agent.handle(Event::Tick);
    }
    assert_eq!((agent.stops.len(), agent.closed.as_slice()), (1, [SESSION].as_slice()));
}

#[test]
fn draining_target_gets_no_new_work() {
    let mut agent = Agent::new();
    agent.request("a", 6, 0);
    assert_eq!(agent.take_starts().len(), 5);
    agent.handle(Event::TargetReported(TargetReport { draining: true, ..report("t1", 5_100) }));
    assert_eq!(agent.ends(), [TaskEnd::NotRun(Refusal::Closed)], "the waiting task");
    agent.request("b", 1, 0);
    agent.run_for(20);
    assert_eq!(agent.ends()[1], TaskEnd::NotRun(Refusal::Closed));
    assert!(agent.starts.is_empty() && !agent.open);
}

#[test]
fn runs_end_when_another_instance_answers() {
    let mut agent = Agent::new();
    agent.request("a", 2, 0);
    agent.take_starts();
    agent.handle(Event::TargetReported(report("t2", 40)));
    agent.run_for(20);
    assert!(agent.reports.is_empty(), "the report may be a late one of an earlier instance");
    assert!(answer(&mut agent, "t2", no_runs()), "t2 is probed");
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Crashed]);
    // A delayed report of the first instance changes nothing.
    agent.holds.remove(0);
    agent.handle(Event::TargetReported(report("t1", 5_200)));
    agent.answer_outstanding_hold(&[], &[]);
    assert_eq!(&*agent.holds[0].target.id, "t2");
}

#[test]
fn failing_target_is_excluded_and_tried_with_one_task() {
    let mut agent = Agent::new();
    agent.request("a", 4, 0);
    let starts = agent.take_starts();
    for (number, start) in starts.iter().enumerate() {
        agent.answer_outstanding_hold(&[], &[(number as u64 + 1, &start.key, EndReason::Failed)]);
    }
    agent.run_for(20);
    assert!(!agent.open, "the target is excluded");
    // The exclusion passes, with answered holds in between.
    for _ in 0..12 {
        agent.run_for(100);
        agent.holds.truncate(1);
        agent.answer_outstanding_hold(&[], &[]);
    }
    agent.request("b", 3, 0);
    assert_eq!(agent.take_starts().len(), 1, "one task on trial");
}

#[test]
fn paused_agent_closes_its_sessions() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.now = agent.now + Duration::from_secs(2);
    agent.request("b", 1, 0);
    assert_eq!(agent.closed, [SESSION]);
    assert!(agent.starts.is_empty(), "a queued start is not carried out");
}

#[test]
fn cancelled_job_is_stopped_and_refused() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("a"))));
    assert_eq!(agent.stops.len(), 1);
    agent.handle(Event::FromEntry(SESSION, ToAgent::Cancel(JobId::new("b"))));
    agent.request("b", 1, 0);
    assert!(agent.starts.is_empty());
}

#[test]
fn success_of_earlier_run_does_not_end_exclusion() {
    let mut agent = Agent::new();
    agent.request("old", 1, 0);
    let old = agent.take_starts();
    agent.run_for(20);
    agent.request("a", 4, 0);
    let starts = agent.take_starts();
    for (number, start) in starts.iter().enumerate() {
        agent.answer_outstanding_hold(&[], &[(number as u64 + 1, &start.key, EndReason::Failed)]);
    }
    agent.answer_outstanding_hold(&[], &[(9, &old[0].key, EndReason::Done)]);
    agent.run_for(20);
    assert!(!agent.open, "the run started before the failures");
}

#[test]
fn success_of_earlier_run_does_not_reset_failures() {
    let mut agent = Agent::new();
    agent.request("old", 1, 0);
    let old = agent.take_starts();
    agent.run_for(20);
    agent.request("a", 4, 0);
    let starts = agent.take_starts();
    agent.answer_outstanding_hold(&[], &[(1, &starts[0].key, EndReason::Failed)]);
    agent.answer_outstanding_hold(&[], &[(2, &starts[1].key, EndReason::Failed)]);
    agent.answer_outstanding_hold(&[], &[(3, &old[0].key, EndReason::Done)]);
    agent.answer_outstanding_hold(&[], &[(4, &starts[2].key, EndReason::Failed)]);
    agent.answer_outstanding_hold(&[], &[(5, &starts[3].key, EndReason::Failed)]);
    agent.run_for(20);
    assert!(!agent.open);
}

#[test]
fn load_is_reported_often_only_while_capacity_is_scarce() {
    // The target has capacity for five such tasks.
    let loads_while_starting = |first: u32| {
        let mut agent = Agent::new();
        agent.request("first", first, 0);
        agent.take_starts();
        agent.run_for(200);
        agent.loads = 0;
        for number in 0..2 {
            agent.request(&format!("b{number}"), 1, 0);
            agent.take_starts();
            agent.run_for(10);
        }
        agent.loads
    };
    assert!(loads_while_starting(0) <= 1, "ample capacity");
    assert_eq!(loads_while_starting(4), 2, "scarce capacity");
}

#[test]
fn load_report_contains_rate_of_other_entries() {
    let mut agent = Agent::new();
    let other = SessionId(2);
    agent.handle(Event::SessionOpened(other));
    agent.request("job", 4, 0);
    agent.take_starts();
    let mut actions = Vec::new();
    agent.now = agent.now + Duration::from_millis(100);
    agent.runner.handle(agent.now, Event::Tick, &mut actions);
    let reported = |to: SessionId| {
        actions.iter().find_map(|action| match action {
            Action::Send(id, ToEntry::Load(load)) if *id == to => Some(load.taken_per_ms),
            _ => None,
        })
    };
    assert_eq!(reported(SESSION), Some(0), "the entry's own starts are excluded");
    // The rate of the four started tasks, decayed since their start.
    assert_eq!(reported(other), Some(15));
}

#[test]
fn reopened_target_is_reported_at_once() {
    let mut agent = Agent::at_target("t1", 5_000);
    agent.handle(Event::SessionOpened(SESSION));
    agent.run_for(10);
    assert!(!agent.open, "the target's runs are not known yet");
    agent.run_for(20);
    agent.holds.truncate(1);
    agent.answer_outstanding_hold(&[], &[]);
    agent.run_for(10);
    assert!(agent.open);
}

/// A session without runs needs no quick timeout, as nothing has to be stopped; one with runs has
/// to be lost before clients retry.
#[test]
fn only_sessions_with_runs_have_the_short_timeout() {
    let silent_for = |millis: u64, busy: bool| {
        let mut agent = Agent::new();
        if busy {
            agent.request("a", 1, 0);
            agent.take_starts();
        }
        for _ in 0..millis / 10 {
            agent.now = agent.now + Duration::from_millis(10);
            agent.handle(Event::Tick);
        }
        agent
    };
    assert!(silent_for(450, true).closed.is_empty());
    let busy = silent_for(470, true);
    assert_eq!(busy.closed, [SESSION]);
    assert_eq!(busy.stops.len(), 1);
    assert!(silent_for(900, false).closed.is_empty());
    assert_eq!(silent_for(920, false).closed, [SESSION]);
}

/// When other agents take over an entry, its active runs finish, starts in flight are carried out,
/// and only then does the session end.
#[test]
fn retired_session_ends_after_its_runs() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let first = agent.take_starts();
    agent.run_for(20);
    assert!(agent.open);
    agent.handle(Event::SessionRetired(SESSION));
    agent.run_for(20);
    assert!(!agent.open, "the entry receives the closed load");
    agent.request("b", 1, 0);
    let second = agent.take_starts();
    assert_eq!(second.len(), 1, "a start in flight is carried out");
    agent.run_for(100);
    let (first_key, second_key) = (&first[0].key, &second[0].key);
    agent.answer_outstanding_hold(&[second_key], &[(1, first_key, EndReason::Done)]);
    agent.run_for(100);
    agent.answer_outstanding_hold(&[], &[(2, second_key, EndReason::Done)]);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Done]);
    assert!(agent.closed.is_empty(), "the retire notice has not passed");
    agent.run_for(400);
    assert_eq!(agent.closed, [SESSION]);
    assert_eq!(agent.runner.counters().sessions_lost, 0);
}

/// If freed capacity were reported to all waiting entries, each would send a task and all but one
/// would wait in vain.
#[test]
fn scarce_capacity_is_offered_to_one_entry_at_a_time() {
    let mut agent = Agent::new();
    let (second, idle) = (SessionId(2), SessionId(3));
    agent.handle(Event::SessionOpened(second));
    agent.handle(Event::SessionOpened(idle));
    // Two entries start the five tasks for which the target has capacity.
    agent.request("a", 3, 0);
    let (agent_clock, job) = (agent.now, JobId::new("b"));
    let tasks = (0..2).map(|index| agent.task(index, 0)).collect();
    let start = ToAgent::Start { agent_clock, job, spec: "spec".into(), tasks };
    agent.handle(Event::FromEntry(second, start));
    let starts = agent.take_starts();
    agent.run_for(100);
    // Load reports to each entry after the end of a run, with the time since.
    let mut reported = Vec::new();
    agent.answer_outstanding_hold(&[], &[(1, &starts[0].key, EndReason::Done)]);
    for tick in 0..30 {
        let mut actions = Vec::new();
        for session in [SESSION, second, idle] {
            let event = Event::FromEntry(session, ToAgent::Heartbeat { agent_clock: agent.now });
            agent.runner.handle(agent.now, event, &mut actions);
        }
        let loads = actions.iter().filter_map(|action| match action {
            Action::Send(id, ToEntry::Load(load)) => Some((tick * 4, id.0, load.free.cpu_milli)),
            _ => None,
        });
        reported.extend(loads);
        agent.now = agent.now + Duration::from_millis(4);
    }
    let first_offer = |entry: u64| {
        reported.iter().find(|(_, id, free)| *id == entry && *free == 1_600).map(|(at, ..)| *at)
    };
    assert_eq!(first_offer(2), Some(8), "the second entry gets its turn after 8 ms: {reported:?}");
    assert!(first_offer(3).is_some(), "an idle entry is reported the capacity: {reported:?}");
}
