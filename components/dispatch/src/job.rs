//! A job whose client waits, and its tasks.

use std::time::Duration;

use model::Time;

use crate::event::{CallId, JobRequest, Outcome, SessionId};

/// How far a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits for room.
    Waiting,
    /// It was sent to an agent.
    Placed { session: SessionId, sequence: u64 },
    /// Its agent is gone; it surely does not run from then on.
    Lost { until: Time },
    /// It is over.
    Over,
}

/// One task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Starts so far.
    pub run: u64,
    /// Failures so far.
    pub failures: u32,
    /// Ends without an outcome so far.
    pub losses: u32,
    /// The agent that it did not end well at last, and until when it is avoided.
    pub avoid: Option<(SessionId, Time)>,
    /// When it began to wait for room.
    pub waits_since: Time,
}

/// One job.
#[derive(Debug)]
pub(crate) struct Job {
    /// Who waits for the answer.
    pub calls: Vec<CallId>,
    pub request: JobRequest,
    pub submitted: Time,
    pub tasks: Vec<Task>,
    /// Tasks that are not over.
    pub open: usize,
    /// A task of it may have run.
    pub may_have_run: bool,
    /// Set once it is answered; its tasks are being stopped.
    pub outcome: Option<Outcome>,
    /// Starts that were sent.
    pub starts: u32,
    /// Longest wait of a task for room.
    pub waited: Duration,
    /// Who handed in the same job again while this one was being ended.
    pub again: Option<(CallId, JobRequest)>,
}

impl Job {
    pub fn new(now: Time, call: CallId, request: JobRequest) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            run: 0,
            failures: 0,
            losses: 0,
            avoid: None,
            waits_since: now,
        };
        let count = request.shape.count as usize;
        Self {
            calls: vec![call],
            request,
            submitted: now,
            tasks: vec![task; count],
            open: count,
            may_have_run: false,
            outcome: None,
            starts: 0,
            waited: Duration::ZERO,
            again: None,
        }
    }

    /// Whether nothing of it has left this entry, so that "not run" may be said.
    pub fn is_untouched(&self) -> bool {
        !self.may_have_run && self.tasks.iter().all(|task| task.state == TaskState::Waiting)
    }

    /// Whether no agent may have anything of it any more.
    pub fn is_gone(&self, now: Time) -> bool {
        self.tasks.iter().all(|task| match task.state {
            TaskState::Waiting | TaskState::Over => true,
            TaskState::Placed { .. } => false,
            TaskState::Lost { until } => until <= now,
        })
    }
}
