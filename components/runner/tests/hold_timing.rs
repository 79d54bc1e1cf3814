//! The wait and the timeout of holds.

mod support;

use std::time::Duration;

use runner::{Event, HoldCommand, HoldReply, RunKey, StartReply};
use support::Agent;

const DEFAULT_WAIT: Duration = Duration::from_millis(120);
const MIN_WAIT: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_millis(60);
const ANSWER_SLACK: Duration = Duration::from_millis(20);

impl Agent {
    /// Lets the outstanding hold time out; returns the next one.
    fn leave_hold_unanswered(&mut self) -> HoldCommand {
        let command = self.holds.pop().expect("a hold is outstanding");
        self.now = self.now + command.answer_within;
        self.heartbeat();
        self.handle(Event::HoldAnswered(command.target, HoldReply::NoAnswer));
        self.outstanding_hold()
    }

    /// Answers the outstanding hold after its wait with these active runs and no ends; returns the
    /// next hold.
    fn answer_hold(&mut self, running: &[RunKey]) -> HoldCommand {
        let wait = self.holds.last().expect("a hold is outstanding").wait;
        self.now = self.now + wait;
        self.heartbeat();
        self.answer_outstanding_hold(&running.iter().collect::<Vec<&RunKey>>(), &[]);
        self.outstanding_hold()
    }

    /// Starts this many tasks of a job.
    fn start_tasks(&mut self, job: &str, count: u32) -> Vec<RunKey> {
        self.request(job, count, 0);
        self.take_starts().into_iter().map(|start| start.key).collect()
    }

    fn outstanding_hold(&self) -> HoldCommand {
        self.holds.last().expect("the next hold is sent at once").clone()
    }
}

#[test]
fn holds_wait_long_at_reliable_target() {
    let mut agent = Agent::new();
    let runs = agent.start_tasks("j1", 5);
    assert_eq!(agent.answer_hold(&runs).wait, DEFAULT_WAIT);
}

/// Guards against jobs that finish late because nothing is known of a target while a hold is
/// unanswered.
#[test]
fn hold_wait_follows_mean_end_interval_after_unanswered_command() {
    let mut agent = Agent::new();
    assert_eq!(agent.leave_hold_unanswered().wait, MAX_WAIT, "no active runs");
    let mut runs = agent.start_tasks("j1", 1);
    assert_eq!(agent.answer_hold(&runs).wait, MAX_WAIT, "the end is expected in 100 ms");
    runs.extend(agent.start_tasks("j2", 2));
    let wait = agent.answer_hold(&runs).wait;
    assert!(wait > MIN_WAIT && wait < MAX_WAIT, "one of three runs ends every 33 ms: {wait:?}");
    runs.extend(agent.start_tasks("j3", 2));
    let hold = agent.answer_hold(&runs);
    assert_eq!((hold.wait, hold.answer_within), (MIN_WAIT, MIN_WAIT + ANSWER_SLACK));
}

#[test]
fn unanswered_start_shortens_holds() {
    let mut agent = Agent::new();
    agent.request("j1", 1, 0);
    let start = agent.starts.pop().expect("a start was sent");
    agent.handle(Event::StartAnswered(start.key, StartReply::NoAnswer));
    assert_eq!(agent.answer_hold(&[]).wait, MAX_WAIT);
}

/// A target that left one command unanswered does not count as unreliable for long.
#[test]
fn holds_wait_long_again_after_retention() {
    let mut agent = Agent::new();
    agent.leave_hold_unanswered();
    let unreliable_since = agent.now;
    while agent.answer_hold(&[]).wait < DEFAULT_WAIT {}
    let since = agent.now.since(unreliable_since);
    assert!(since >= Duration::from_secs(5) && since < Duration::from_millis(5_100), "{since:?}");
}

/// A target that answers nothing may be gone and is not probed more often.
#[test]
fn silent_target_gets_holds_at_usual_interval() {
    let mut agent = Agent::new();
    for _ in 0..20 {
        agent.leave_hold_unanswered();
    }
    let hold = agent.outstanding_hold();
    assert_eq!(hold.wait, DEFAULT_WAIT);
}
