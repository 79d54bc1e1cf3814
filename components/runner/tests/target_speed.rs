//! The slowdown that an agent reports of its target.

mod support;

use std::sync::Arc;

use model::JobId;
use runner::{EndReason, Event, HoldReply, RunKey, StartReply};
use support::{Agent, SESSION, answer, no_runs, numbered_report, target};
use wire::{StartTask, TaskEnd, ToAgent};

/// Estimate of each task, in ms.
const ESTIMATE: u32 = 40;

/// An agent whose target runs one task after the other.
struct Line {
    agent: Agent,
    runs: u64,
}

impl Line {
    fn new() -> Self {
        Self { agent: Agent::new(), runs: 0 }
    }

    /// Requests a task of a new job and accepts its start.
    fn start(&mut self) -> RunKey {
        self.runs += 1;
        let (job, agent_clock) = (JobId::new(&format!("{:016x}", self.runs)), self.agent.now);
        let tasks = vec![StartTask { estimated_ms: ESTIMATE, ..self.agent.task(0, 0) }];
        let start = ToAgent::Start { agent_clock, job, spec: Arc::from("spec"), tasks };
        self.agent.handle(Event::FromEntry(SESSION, start));
        self.agent.take_starts().pop().expect("the task starts").key
    }

    /// Runs one task for so long.
    fn run(&mut self, millis: u64, reason: EndReason) {
        let key = self.start();
        self.wait(millis, &[&key]);
        self.agent.answer_outstanding_hold(&[], &[(self.runs, &key, reason)]);
    }

    /// Lets time pass while the target answers holds.
    fn wait(&mut self, millis: u64, running: &[&RunKey]) {
        for _ in 0..millis / 10 {
            self.agent.run_for(10);
            self.agent.answer_outstanding_hold(running, &[]);
        }
    }

    fn percent(&mut self) -> u32 {
        self.wait(200, &[]);
        self.agent.slowdown_percent
    }
}

/// Guards against speeds that are forgotten while a target is idle: the next burst would then
/// find all targets alike.
#[test]
fn speed_is_not_forgotten_while_the_target_is_idle() {
    let mut line = Line::new();
    (0..50).for_each(|_| line.run(80, EndReason::Done));
    let percent = line.percent();
    assert!((190..=200).contains(&percent), "{percent}");
    line.wait(60_000, &[]);
    assert_eq!(line.percent(), percent);
}

/// Guards against work that is sent to a target which has become five times slower, and against a
/// target that is avoided after it has recovered.
#[test]
fn lasting_change_is_reported_within_8_ends() {
    let mut line = Line::new();
    (0..60).for_each(|_| line.run(40, EndReason::Done));
    assert_eq!(line.percent(), 100);
    (0..8).for_each(|_| line.run(200, EndReason::Done));
    let slowed = line.percent();
    assert!((400..=510).contains(&slowed), "{slowed}");
    (0..60).for_each(|_| line.run(200, EndReason::Done));
    (0..8).for_each(|_| line.run(40, EndReason::Done));
    let recovered = line.percent();
    assert!((98..=125).contains(&recovered), "{recovered}");
}

/// Guards against a restarted target that is treated as slow as the instance before it, or as fast.
#[test]
fn new_instance_starts_as_unknown() {
    let mut line = Line::new();
    (0..50).for_each(|_| line.run(100, EndReason::Done));
    assert!(line.percent() > 200);
    line.agent.handle(Event::TargetReported(numbered_report("t2", 1)));
    assert!(answer(&mut line.agent, "t2", no_runs()));
    line.agent.run_for(200);
    assert_eq!(line.agent.slowdown_percent, 100);
    assert!(answer(&mut line.agent, "t2", no_runs()));
    // It learns fast: half of the way within two runs.
    line.runs = 0;
    (0..2).for_each(|_| line.run(160, EndReason::Done));
    let percent = line.percent();
    assert!((190..=250).contains(&percent), "{percent}");
}

/// Guards against figures from runs that did not complete: failed tasks return early, and stopped
/// ones ran only until their stop.
#[test]
fn only_completed_runs_count() {
    let mut line = Line::new();
    (0..20).for_each(|_| line.run(40, EndReason::Done));
    for reason in [EndReason::Failed, EndReason::LeaseExpired, EndReason::Other] {
        for _ in 0..5 {
            line.run(10, reason);
            line.run(160, reason);
            // Successes keep the target from being excluded for its failures.
            line.run(40, EndReason::Done);
            line.run(40, EndReason::Done);
        }
    }
    for _ in 0..10 {
        let key = line.start();
        line.wait(10, &[&key]);
        let stop = ToAgent::Stop(vec![key.task.clone()]);
        line.agent.handle(Event::FromEntry(SESSION, stop));
        line.agent.answer_outstanding_hold(&[], &[(line.runs, &key, EndReason::Stopped)]);
    }
    assert_eq!(line.percent(), 100);
    let count = |end: TaskEnd| line.agent.ends().iter().filter(|other| **other == end).count();
    assert_eq!((count(TaskEnd::Failed), count(TaskEnd::Lost)), (10, 20));
    assert_eq!(count(TaskEnd::Stopped), 10);
}

/// Guards against a target that leaves starts unanswered and is preferred as a fast one: the time
/// until it carries out a start counts, as callers wait for it.
#[test]
fn unanswered_starts_make_a_target_slow() {
    let mut line = Line::new();
    for _ in 0..20 {
        line.runs += 1;
        let job = format!("{:016x}", line.runs);
        line.agent.request(&job, 1, 0);
        let key = line.agent.starts.pop().expect("a start was sent").key;
        line.wait(40, &[]);
        line.agent.handle(Event::StartAnswered(key.clone(), StartReply::NoAnswer));
        line.wait(160, &[&key]);
        line.agent.answer_outstanding_hold(&[], &[(line.runs, &key, EndReason::Done)]);
        line.agent.starts.clear();
    }
    assert_eq!(line.agent.ends(), [TaskEnd::Done; 20]);
    let percent = line.percent();
    assert!((170..=200).contains(&percent), "{percent}");
}

/// Guards against tasks that are stopped as overdue on a target known to be slow, after it was idle
/// for a while.
#[test]
fn runs_on_a_slow_target_are_not_overdue_after_idle_time() {
    let mut line = Line::new();
    (0..50).for_each(|_| line.run(120, EndReason::Done));
    line.wait(10_000, &[]);
    line.agent.stops.clear();
    let keys = [line.start(), line.start()];
    // More than three times the estimate and the margin of 120 ms.
    line.wait(350, &[&keys[0], &keys[1]]);
    assert!(line.agent.stops.is_empty(), "{:?}", line.agent.stops);
}

/// Guards against an agent without a target that reports the slowdown of an ordinary one.
#[test]
fn slowdown_without_a_target_is_unknown() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetLeft(target("t1")));
    agent.run_for(200);
    assert_eq!(agent.slowdown_percent, 0);
    let _ = answer(&mut agent, "t1", HoldReply::OtherInstance);
}
