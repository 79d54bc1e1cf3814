//! Late reports and answers of the current target instance and of earlier ones must not make tasks
//! run twice, give work to a leaving target or take it from a healthy one.

mod support;

use runner::{EndReason, Event, HoldReply, StartReply, TargetRun};
use wire::TaskEnd;

use support::{
    Agent, SESSION, answer, draining_report, no_runs, numbered_report, start_task, target,
};

#[test]
fn late_report_of_earlier_instance_is_ignored() {
    let mut agent = Agent::new();
    agent.request("a", 2, 0);
    let starts = agent.take_starts();
    agent.handle(Event::TargetReported(numbered_report("t0", 900)));
    agent.run_for(20);
    assert!(agent.reports.is_empty(), "no run is known to be lost");
    assert!(answer(&mut agent, "t0", HoldReply::OtherInstance), "the candidate is probed");
    agent.run_for(20);
    let ended = starts.iter().zip(1..).map(|(start, number)| (number, &start.key, EndReason::Done));
    let ended: Vec<_> = ended.collect();
    agent.answer_outstanding_hold(&[], &ended);
    assert_eq!(agent.ends(), [TaskEnd::Done, TaskEnd::Done]);
    agent.handle(Event::TargetReported(numbered_report("t1", 5)));
    assert_eq!(start_task(&mut agent, "b"), [target("t1")], "t1 is still the current instance");
}

#[test]
fn interleaved_late_reports_do_not_change_the_instance() {
    let mut agent = Agent::new();
    for sequence in 1..6 {
        agent.handle(Event::TargetReported(numbered_report("t0", 900 + sequence)));
        agent.handle(Event::TargetReported(numbered_report("t1", sequence)));
        assert!(
            !answer(&mut agent, "t0", HoldReply::OtherInstance) || sequence == 1,
            "t0 is probed only once"
        );
        assert_eq!(start_task(&mut agent, &format!("b{sequence}")), [target("t1")]);
    }
    assert!(agent.reports.is_empty());
    assert_eq!(agent.runner.counters().late_target_reports, 5, "every late report is counted");
}

#[test]
fn late_draining_report_does_not_close_current_instance() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(draining_report("t0", 900)));
    agent.run_for(10);
    assert!(agent.open);
    assert_eq!(start_task(&mut agent, "a"), [target("t1")]);
}

#[test]
fn new_agent_replaces_instance_of_late_report() {
    for refused_first in [true, false] {
        let mut agent = Agent::at_target("t0", 5_000);
        agent.handle(Event::SessionOpened(SESSION));
        if refused_first {
            assert!(answer(&mut agent, "t0", HoldReply::OtherInstance));
        }
        agent.handle(Event::TargetReported(numbered_report("t1", 1)));
        assert!(answer(&mut agent, "t1", no_runs()));
        agent.handle(Event::TargetReported(numbered_report("t0", 900)));
        assert_eq!(start_task(&mut agent, "a"), [target("t1")]);
    }
}

#[test]
fn runs_end_once_when_new_instance_answers() {
    let mut agent = Agent::new();
    agent.request("a", 2, 0);
    agent.take_starts();
    assert!(answer(&mut agent, "t1", HoldReply::NoAnswer), "the connection broke");
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut agent, "t2", no_runs()));
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Crashed, TaskEnd::Crashed]);
    answer(&mut agent, "t1", HoldReply::OtherInstance);
    agent.handle(Event::TargetReported(numbered_report("t1", 900)));
    assert_eq!(start_task(&mut agent, "b"), [target("t2")]);
    assert_eq!(agent.holds.len(), 1, "one hold is outstanding");
}

#[test]
fn new_instance_is_adopted_after_refusing_command_for_previous_one() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    agent.handle(Event::StartAnswered(start.key, StartReply::OtherInstance));
    agent.run_for(10);
    assert_eq!(agent.ends(), [TaskEnd::Lost]);
    assert!(answer(&mut agent, "t2", no_runs()));
    assert_eq!(start_task(&mut agent, "b"), [target("t2")]);
    let at_t2 = agent.holds.iter().filter(|hold| hold.target == target("t2"));
    assert_eq!(at_t2.count(), 1, "one hold is outstanding");
}

#[test]
fn unanswered_probe_is_sent_again() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    for _ in 0..5 {
        assert!(answer(&mut agent, "t2", HoldReply::NoAnswer));
        agent.run_for(40);
    }
    assert!(answer(&mut agent, "t2", no_runs()));
    assert_eq!(start_task(&mut agent, "a"), [target("t2")]);
}

#[test]
fn delayed_answer_does_not_restore_ended_instance() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    agent.handle(Event::TargetReported(numbered_report("t3", 1)));
    assert!(answer(&mut agent, "t3", no_runs()));
    // The second instance answered before it crashed; its answer was delayed.
    assert!(answer(&mut agent, "t2", no_runs()));
    assert_eq!(start_task(&mut agent, "a"), [target("t3")]);
    agent.run_for(30);
    assert!(answer(&mut agent, "t2", HoldReply::OtherInstance), "t2 is probed again");
    agent.handle(Event::TargetReported(numbered_report("t3", 2)));
    assert_eq!(start_task(&mut agent, "b"), [target("t3")]);
}

#[test]
fn number_of_probed_candidates_is_bounded() {
    let mut agent = Agent::new();
    (0..100).for_each(|instance| {
        agent.handle(Event::TargetReported(numbered_report(&format!("x{instance}"), 1)))
    });
    let holds = agent.holds.len();
    agent.run_for(50);
    assert_eq!((agent.holds.len(), agent.reports.len()), (holds, 0));
    assert_eq!(start_task(&mut agent, "a"), [target("t1")]);
    let probes = agent.holds.iter().filter(|hold| hold.target != target("t1"));
    let mut probes: Vec<_> = probes.map(|hold| hold.target.clone()).collect();
    probes.sort();
    assert!(probes.contains(&target("x99")), "the newest candidate is probed");
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut agent, "t2", no_runs()));
    assert_eq!(start_task(&mut agent, "b"), [target("t2")]);
}

#[test]
fn reports_after_leave_are_ignored() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetLeft(target("t0")));
    agent.handle(Event::TargetReported(numbered_report("t0", 7)));
    assert!(!answer(&mut agent, "t0", no_runs()), "t0 is not probed");
    agent.handle(Event::TargetReported(numbered_report("t2", 7)));
    agent.handle(Event::TargetLeft(target("t2")));
    assert!(answer(&mut agent, "t2", HoldReply::NoAnswer));
    agent.run_for(50);
    assert!(!answer(&mut agent, "t2", no_runs()), "t2 is no longer probed");
    assert_eq!(start_task(&mut agent, "a"), [target("t1")]);
    let mut other_agent = Agent::at_target("t1", 5_000);
    other_agent.handle(Event::TargetLeft(target("t1")));
    other_agent.holds.clear();
    other_agent.handle(Event::TargetReported(numbered_report("t1", 7)));
    other_agent.run_for(50);
    assert!(other_agent.holds.is_empty());
}

#[test]
fn late_leave_of_earlier_instance_is_ignored() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    agent.take_starts();
    agent.handle(Event::TargetLeft(target("t0")));
    agent.run_for(20);
    assert!(agent.reports.is_empty());
    assert_eq!(start_task(&mut agent, "b"), [target("t1")]);
}

#[test]
fn late_answers_for_earlier_instance_are_ignored() {
    let mut agent = Agent::new();
    agent.request("a", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut agent, "t2", no_runs()));
    agent.request("a", 1, 0);
    assert_eq!(agent.take_starts().len(), 1, "the task starts again");
    let run = TargetRun { task: start.key.task.clone(), run: start.key.run };
    let running = vec![run];
    let hold_reply =
        HoldReply::Runs { started_ms: None, clock_ms: 90_000, running, ended: Vec::new() };
    for late in [hold_reply, HoldReply::OtherInstance, HoldReply::StaleToken { clock_ms: 90_000 }] {
        agent.handle(Event::HoldAnswered(target("t1"), late));
    }
    for late in [StartReply::OtherInstance, StartReply::Invalid, StartReply::NoAnswer] {
        agent.handle(Event::StartAnswered(start.key.clone(), late));
    }
    agent.run_for(20);
    assert_eq!(agent.ends(), [TaskEnd::Lost], "only the first run has ended");
    assert!(agent.stops.is_empty());
}

#[test]
fn draining_candidate_gets_no_work() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    agent.handle(Event::TargetReported(draining_report("t2", 3)));
    agent.handle(Event::TargetReported(numbered_report("t2", 2)));
    assert!(answer(&mut agent, "t2", no_runs()));
    agent.run_for(10);
    assert!(start_task(&mut agent, "a").is_empty() && !agent.open);
}
