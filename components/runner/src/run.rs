//! One run of a task at this agent.

use std::sync::Arc;

use model::{Resources, Time};

use crate::event::SessionId;

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It waits for room.
    Waiting,
    /// The target was told to start it.
    Starting,
    /// It runs.
    Running,
    /// The target is told to stop it.
    Stopping(Stopping),
}

/// A stop that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stopping {
    /// Nobody knows whether it ever ran.
    pub doubtful: bool,
    /// When the stop was sent first.
    pub first_sent: Time,
    /// When the stop was sent last; it is sent again until it is answered.
    pub sent: Time,
    /// When the target acknowledged it.
    pub acknowledged: Option<Time>,
}

impl Stopping {
    pub fn new(now: Time, doubtful: bool) -> Self {
        Self { doubtful, first_sent: now, sent: now, acknowledged: None }
    }
}

/// One run.
#[derive(Debug)]
pub(crate) struct Run {
    /// Who asked for it; `None` once the session is dead.
    pub session: Option<SessionId>,
    pub sequence: u64,
    /// The number that it has at the target.
    pub run: u64,
    pub spec: Arc<str>,
    pub resources: Resources,
    pub estimated_ms: u32,
    pub priority: u8,
    pub asked: Time,
    /// A run that waits is given up then.
    pub expires: Time,
    /// When it began to run, or was told to.
    pub since: Time,
    pub state: RunState,
    /// How often the target said that it had seen a run as high.
    pub renumbered: u32,
    /// Starts of this number that were not answered: one of them may be carried out yet.
    pub unanswered: u32,
    /// Holds that did not list it.
    pub unlisted: u32,
}

impl Run {
    /// Whether it takes room at the target.
    pub fn takes_room(&self) -> bool {
        self.state != RunState::Waiting
    }
}
