//! How long holds wait, and how soon unanswered ones are given up.

mod support;

use std::time::Duration;

use runner::{Event, HoldCommand, HoldReply, RunKey, StartReply};
use support::Agent;

const USUAL_WAIT: Duration = Duration::from_millis(120);
const LEAST: Duration = Duration::from_millis(20);
const MOST: Duration = Duration::from_millis(60);
const SLACK: Duration = Duration::from_millis(20);

impl Agent {
    /// The hold that is under way is left unanswered; returns the next.
    fn leave_hold_unanswered(&mut self) -> HoldCommand {
        let order = self.holds.pop().expect("a hold is under way");
        self.now = self.now + order.answer_within;
        self.beat();
        self.handle(Event::HoldAnswered(order.target, HoldReply::NoAnswer));
        self.present_hold()
    }

    /// The hold that is under way is answered after its wait: so much runs, and nothing has ended. Returns the next.
    fn answer_hold(&mut self, running: &[RunKey]) -> HoldCommand {
        let wait = self.holds.last().expect("a hold is under way").wait;
        self.now = self.now + wait;
        self.beat();
        self.hold(&running.iter().collect::<Vec<&RunKey>>(), &[]);
        self.present_hold()
    }

    /// So many tasks of a job are started.
    fn start(&mut self, job: &str, count: u32) -> Vec<RunKey> {
        self.ask(job, count, 0);
        self.take_starts().into_iter().map(|start| start.key).collect()
    }

    fn present_hold(&self) -> HoldCommand {
        self.holds.last().expect("the next follows at once").clone()
    }
}

#[test]
fn at_a_target_that_answers_holds_wait_long_whatever_runs() {
    let mut agent = Agent::new();
    let runs = agent.start("j1", 5);
    assert_eq!(agent.answer_hold(&runs).wait, USUAL_WAIT);
}

/// While workers left one order in eighteen unanswered, seat holds of 60 ms ended 190 ms late: nothing was known of
/// what ended at a target for as long as a hold there was waited for, and a busy agent sent a new one for nearly each end.
#[test]
fn after_an_unanswered_order_holds_wait_for_about_the_next_end() {
    let mut agent = Agent::new();
    assert_eq!(agent.leave_hold_unanswered().wait, MOST, "nothing runs");
    let mut runs = agent.start("j1", 1);
    assert_eq!(agent.answer_hold(&runs).wait, MOST, "its end is 100 ms away");
    runs.extend(agent.start("j2", 2));
    let between = agent.answer_hold(&runs).wait;
    assert!(between > LEAST && between < MOST, "one of three ends each 33 ms: {between:?}");
    runs.extend(agent.start("j3", 2));
    let hold = agent.answer_hold(&runs);
    assert_eq!((hold.wait, hold.answer_within), (LEAST, LEAST + SLACK));
}

#[test]
fn an_unanswered_start_makes_holds_short_as_well() {
    let mut agent = Agent::new();
    agent.ask("j1", 1, 0);
    let start = agent.starts.pop().expect("it is started");
    agent.handle(Event::StartAnswered(start.key, StartReply::NoAnswer));
    assert_eq!(agent.answer_hold(&[]).wait, MOST);
}

/// The time for which a target is doubted ends, so that one that was held up once costs nothing for long.
#[test]
fn holds_wait_long_again_once_all_is_answered_for_a_while() {
    let mut agent = Agent::new();
    agent.leave_hold_unanswered();
    let doubted = agent.now;
    while agent.answer_hold(&[]).wait < USUAL_WAIT {}
    let since = agent.now.since(doubted);
    assert!(since >= Duration::from_secs(5) && since < Duration::from_millis(5_100), "{since:?}");
}

/// A target that answers nothing may be gone: it is not asked more often.
#[test]
fn a_silent_target_is_asked_at_the_usual_pace() {
    let mut agent = Agent::new();
    for _ in 0..20 {
        agent.leave_hold_unanswered();
    }
    let hold = agent.present_hold();
    assert_eq!(hold.wait, USUAL_WAIT);
}
