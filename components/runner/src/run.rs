//! A run of a task on this agent's target.

use std::sync::Arc;
use std::time::Duration;

use model::{Resources, Time};

use crate::event::SessionId;

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Waits for capacity.
    Waiting,
    /// A start has been sent to the target.
    Starting,
    /// Runs on the target.
    Running,
    /// A stop has been sent to the target.
    Stopping(Stopping),
}

/// The state of a stop that has not been confirmed by an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stopping {
    /// Whether it is unknown if the run ever started.
    pub unconfirmed: bool,
    /// When the stop was first sent.
    pub first_sent: Time,
    /// When the stop was last sent; it is sent again until the target answers.
    pub last_sent: Time,
    /// When the target acknowledged the stop.
    pub acknowledged: Option<Time>,
}

impl Stopping {
    pub fn new(now: Time, unconfirmed: bool) -> Self {
        Self { unconfirmed, first_sent: now, last_sent: now, acknowledged: None }
    }
}

/// A run and its state.
#[derive(Debug)]
pub(crate) struct Run {
    /// The session that requested the run; `None` once it is lost.
    pub session: Option<SessionId>,
    pub sequence: u64,
    /// Number of the run on the target.
    pub run: u64,
    pub spec: Arc<str>,
    pub resources: Resources,
    pub estimated_ms: u32,
    pub priority: u8,
    pub requested_at: Time,
    /// When a waiting run is given up.
    pub expires: Time,
    /// When the run started; until the target accepts it, when its start was first sent.
    pub started_at: Time,
    pub state: RunState,
    /// Number of starts of the run that the target refused.
    pub refusals: u32,
    /// Starts with the current run number that were not answered; each may still be carried out.
    pub unanswered_starts: u32,
    /// Consecutive holds that did not list the run.
    pub unlisted_holds: u32,
}

impl Run {
    /// Estimated run time on an ordinary target.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(u64::from(self.estimated_ms))
    }

    /// Whether the run occupies capacity of the target.
    pub fn holds_capacity(&self) -> bool {
        self.state != RunState::Waiting
    }
}
