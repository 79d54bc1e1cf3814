//! Reports of one target instance that arrive out of order. Guards against work on a leaving
//! target, or beyond its capacity, because an older report overrides a newer one.

mod support;

use model::Resources;
use runner::{Event, HoldReply, TargetReport};

use support::{
    Agent, SESSION, answer, draining_report, numbered_report, report, start_task, target,
};

#[test]
fn overtaken_ready_report_does_not_reopen_draining_target() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(draining_report("t1", 5)));
    agent.handle(Event::TargetReported(numbered_report("t1", 4)));
    agent.run_for(10);
    assert!(!agent.open);
    assert!(start_task(&mut agent, "a").is_empty());
    assert_eq!(agent.runner.counters().late_target_reports, 1);
}

#[test]
fn draining_target_stays_closed() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(draining_report("t1", 5)));
    agent.handle(Event::TargetReported(numbered_report("t1", 6)));
    assert!(start_task(&mut agent, "a").is_empty(), "the agent has acknowledged the leave");
}

#[test]
fn overtaken_draining_report_takes_effect() {
    let mut agent = Agent::new();
    agent.handle(Event::TargetReported(numbered_report("t1", 6)));
    agent.handle(Event::TargetReported(draining_report("t1", 5)));
    assert!(start_task(&mut agent, "a").is_empty(), "the agent has acknowledged the leave");
}

#[test]
fn overtaken_report_does_not_restore_capacity() {
    let mut agent = Agent::new();
    let small = cpu(1_600);
    agent.handle(Event::TargetReported(TargetReport {
        capacity: small,
        ..numbered_report("t1", 5)
    }));
    agent.handle(Event::TargetReported(numbered_report("t1", 4)));
    agent.request("a", 5, 0);
    assert_eq!(agent.take_starts().len(), 1, "the capacity holds one task");
}

fn cpu(cpu_milli: u64) -> Resources {
    Resources { cpu_milli, memory_mb: 32_768, gpu: 0 }
}

/// An earlier agent process acknowledged the target's leave, and the new process first receives an
/// older report in which the target is ready.
#[test]
fn new_agent_waits_after_outdated_first_report() {
    let mut agent = Agent::at_target("t1", 4_510);
    agent.handle(Event::SessionOpened(SESSION));
    agent.run_for(20);
    assert!(
        answer(&mut agent, "t1", hold_reply(7_310)),
        "the target's clock shows that the report is old"
    );
    assert!(start_task(&mut agent, "a").is_empty() && !agent.open);
    agent.run_for(100);
    assert!(answer(&mut agent, "t1", hold_reply(7_410)));
    agent.handle(Event::TargetReported(TargetReport { sequence: 2, ..report("t1", 7_420) }));
    assert_eq!(start_task(&mut agent, "b"), [target("t1")]);
    // Later announcements are acknowledged by this agent process itself.
    for second in 1..40 {
        agent.run_for(1_000);
        assert!(answer(&mut agent, "t1", hold_reply(7_420 + 1_000 * second)));
    }
    assert_eq!(start_task(&mut agent, "c"), [target("t1")]);
}

#[test]
fn new_agent_accepts_recent_first_report() {
    let mut agent = Agent::at_target("t1", 5_000);
    agent.handle(Event::SessionOpened(SESSION));
    agent.run_for(20);
    assert!(answer(&mut agent, "t1", hold_reply(5_320)));
    assert_eq!(start_task(&mut agent, "a"), [target("t1")]);
}

fn hold_reply(clock_ms: u64) -> HoldReply {
    HoldReply::Runs { started_ms: None, clock_ms, running: Vec::new(), ended: Vec::new() }
}
