//! Judges which runs were active when the target crashed.
//!
//! A target answers a hold at the first end of a run, so one that answers every hold has reported
//! all ends. But a target may also leave a hold unanswered before it crashes, and its runs may have
//! ended in between. The agent cannot tell that from a hold that the crash cut off.

use std::time::Duration;

use model::Time;

use crate::run::{Run, RunState};

/// A healthy target answers each hold within its wait and a small margin; this covers both.
const RECENT_ANSWER: Duration = Duration::from_millis(250);
/// A run cannot have ended within its estimate divided by this, even if the estimate is too high or
/// the target fast.
const EARLIEST_END_DIVISOR: u32 = 4;

/// Whether a run was active when its target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunAtCrash {
    /// The run was active.
    Active,
    /// The run may have ended before, or may not have started.
    MayBeActive,
    /// The run had not started, or had ended.
    Inactive,
}

/// A target that has stopped answering holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// When the first command was found to be unanswered or undeliverable.
    since: Time,
    /// Whether the target had left a command unanswered shortly before, or has answered another one
    /// since.
    answers_some: bool,
    /// When its address first refused a connection.
    refused_at: Option<Time>,
}

impl Failure {
    pub fn new(since: Time, had_unanswered: bool) -> Self {
        Self { since, answers_some: had_unanswered, refused_at: None }
    }

    /// Records an answer to a command other than a hold.
    pub fn record_answer(&mut self) {
        self.answers_some = true;
    }

    pub fn record_refused_connection(&mut self, now: Time) {
        self.refused_at.get_or_insert(now);
    }

    /// Whether a run cannot have ended before the crash, which was not later than `now`.
    fn outruns(&self, now: Time, run: &Run) -> bool {
        let latest_crash = self.refused_at.unwrap_or(now);
        latest_crash.since(run.started_at) * EARLIEST_END_DIVISOR < run.estimate()
    }
}

/// What is known of a target that has crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashEvidence {
    pub now: Time,
    /// When the target last answered a hold.
    pub last_hold_answer: Time,
    /// Whether it has left a command unanswered recently.
    pub had_unanswered: bool,
    /// How it failed; `None` if the next instance answered first.
    pub failure: Option<Failure>,
}

impl CrashEvidence {
    /// Whether a run was active at the crash.
    pub fn judge(&self, run: &Run) -> RunAtCrash {
        if !may_have_been_active(run, self.failure.as_ref()) {
            return RunAtCrash::Inactive;
        }
        let is_certain = match &self.failure {
            Some(failure) => {
                was_started(run, failure)
                    && !failure.answers_some
                    && failure.since.since(self.last_hold_answer) <= RECENT_ANSWER
                    && failure.outruns(self.now, run)
            }
            None => {
                run.state == RunState::Running
                    && !self.had_unanswered
                    && self.now.since(self.last_hold_answer) <= RECENT_ANSWER
            }
        };
        if is_certain { RunAtCrash::Active } else { RunAtCrash::MayBeActive }
    }
}

/// Whether the target had accepted a run, and was not asked to stop it before it failed.
fn was_started(run: &Run, failure: &Failure) -> bool {
    match run.state {
        RunState::Running => true,
        RunState::Stopping(stop) => !stop.unconfirmed && failure.since <= stop.first_sent,
        RunState::Waiting | RunState::Starting => false,
    }
}

/// Whether a run may have been active at any time since the target last answered a hold.
fn may_have_been_active(run: &Run, failure: Option<&Failure>) -> bool {
    // A start sent to a target that had failed already has hardly arrived.
    let may_have_started =
        run.unanswered_starts > 0 && failure.is_some_and(|failure| run.started_at <= failure.since);
    match run.state {
        RunState::Waiting => false,
        RunState::Starting => may_have_started,
        RunState::Running => true,
        RunState::Stopping(stop) if stop.unconfirmed => may_have_started,
        // The next instance of a crashed target acknowledges stops of runs that it doesn't know.
        RunState::Stopping(stop) => {
            stop.acknowledged.is_none_or(|at| failure.is_some_and(|failure| failure.since <= at))
        }
    }
}
