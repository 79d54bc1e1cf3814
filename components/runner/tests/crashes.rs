//! Tasks that ran when their target crashed are reported apart from other lost tasks, so that one
//! job does not crash target after target. A target that only leaves commands unanswered has not
//! crashed.

mod support;

use runner::{Event, HoldReply, StartReply};
use wire::{Refusal, TaskEnd};

use support::{
    Agent, SESSION, answer, draining_report, no_runs, numbered_report, start_task, target,
};

/// An agent with a running task and one whose start is not answered yet.
fn agent_with_running_and_starting_task() -> Agent {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.request("b", 1, 0);
    agent
}

#[test]
fn running_task_is_crashed_when_next_instance_answers() {
    let mut agent = agent_with_running_and_starting_task();
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut agent, "t2", no_runs()));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Lost], "the start was not answered");
}

#[test]
fn running_task_is_crashed_when_connections_are_refused() {
    let mut agent = agent_with_running_and_starting_task();
    agent.handle(Event::NoListener(target("t1")));
    agent.run_for(1_000);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Lost]);
}

#[test]
fn unanswered_commands_are_not_a_crash() {
    let mut agent = agent_with_running_and_starting_task();
    agent.run_for(1_000);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
    let mut agent = agent_with_running_and_starting_task();
    agent.handle(Event::NoListener(target("t1")));
    // The target listens again and accepts the start, so it has not crashed.
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::StartAnswered(start.key, StartReply::Accepted { clock_ms: 0 }));
    agent.run_for(1_200);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
}

/// Guards against tasks that are taken to have run at a crash although they may have ended before:
/// the target answered a start after it had begun to leave commands unanswered, so it was up, and
/// ends that it did not report may be missing.
#[test]
fn runs_on_a_target_that_answers_only_some_commands_are_lost() {
    let mut agent = agent_with_running_and_starting_task();
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::StartAnswered(start.key, StartReply::NoAnswer));
    let resent = agent.starts.pop().expect("the start was sent again");
    agent.handle(Event::StartAnswered(resent.key, StartReply::Accepted { clock_ms: 0 }));
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut agent, "t2", no_runs()));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
}

#[test]
fn planned_leave_is_not_a_crash() {
    let announcements =
        [Event::TargetReported(draining_report("t1", 5)), Event::TargetLeft(target("t1"))];
    for announcement in announcements {
        let mut agent = agent_with_running_and_starting_task();
        agent.handle(Event::EntryReadsSuspicions(SESSION));
        agent.handle(announcement);
        agent.handle(Event::NoListener(target("t1")));
        agent.run_for(1_000);
        assert_eq!(agent.ends(), [TaskEnd::Lost, TaskEnd::Lost]);
        assert!(agent.crashes.is_empty() && agent.suspicions.is_empty());
    }
}

#[test]
fn task_of_a_crash_is_refused_until_retention_ends() {
    let mut agent = agent_with_running_and_starting_task();
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut agent, "t2", no_runs()));
    agent.run_for(20);
    agent.starts.clear();
    assert!(start_task(&mut agent, "a").is_empty());
    agent.run_for(20);
    assert_eq!(agent.ends().last(), Some(&TaskEnd::NotRun(Refusal::CrashedTarget)));
    assert_eq!(start_task(&mut agent, "b"), [target("t2")], "the task had not started");
    assert!(answer(&mut agent, "t2", HoldReply::NoAnswer));
    for _ in 0..210 {
        agent.run_for(100);
        answer(&mut agent, "t2", no_runs());
    }
    assert_eq!(start_task(&mut agent, "a"), [target("t2")]);
}
