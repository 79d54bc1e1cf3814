//! A job that is known to this entry, and its tasks.

use std::time::Duration;

use model::Time;

use crate::event::{CallId, JobRequest, Outcome, SessionId};
use crate::run_times::Prediction;

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits in the queue for capacity.
    Waiting,
    /// Sent to an agent.
    Placed { session: SessionId, sequence: u64 },
    /// Its agent was lost. The task has certainly stopped by `until`.
    Lost { until: Time },
    /// Done, or ended after the job was answered.
    Ended,
}

/// A task of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Number of starts so far, which is also the number of the current run.
    pub run: u64,
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of runs that ended without a result.
    pub losses: u32,
    /// The agent where the last run was refused, failed or was lost, and until when it is avoided.
    pub avoid: Option<(SessionId, Time)>,
    /// When the task last started to wait for capacity.
    pub waiting_since: Time,
    /// The prediction of the last run that was started.
    pub prediction: Option<Prediction>,
    /// Run time of the completed run, and the relative slowdown of its target. `None` if the run
    /// was away from the data that the job names.
    pub completed_run: Option<(Duration, f64)>,
}

/// Memory of a task in its job, in bytes.
pub(crate) const TASK_BYTES: usize = size_of::<Task>();

/// A job and the calls that wait for its answer.
#[derive(Debug)]
pub(crate) struct Job {
    /// Empty once the job is answered.
    pub calls: Vec<CallId>,
    pub request: JobRequest,
    pub submitted: Time,
    pub tasks: Vec<Task>,
    /// Number of tasks that have not ended.
    pub open_tasks: usize,
    /// Whether a task may have run.
    pub may_have_run: bool,
    /// Set once the job is answered. Its tasks are then being stopped.
    pub outcome: Option<Outcome>,
    /// Number of starts sent.
    pub starts: u32,
    /// Longest wait of a task for capacity.
    pub longest_wait: Duration,
    /// A resubmission that waits until the tasks of this answered job have stopped.
    pub resubmission: Option<(CallId, JobRequest)>,
}

impl Job {
    pub fn new(now: Time, call: CallId, request: JobRequest) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            run: 0,
            failures: 0,
            losses: 0,
            avoid: None,
            waiting_since: now,
            prediction: None,
            completed_run: None,
        };
        let count = request.shape.count as usize;
        Self {
            calls: vec![call],
            request,
            submitted: now,
            tasks: vec![task; count],
            open_tasks: count,
            may_have_run: false,
            outcome: None,
            starts: 0,
            longest_wait: Duration::ZERO,
            resubmission: None,
        }
    }

    /// Whether no task has run or is placed at an agent, so that "not run" is a true answer.
    pub fn is_provably_not_run(&self) -> bool {
        !self.may_have_run && self.tasks.iter().all(|task| task.state == TaskState::Waiting)
    }

    /// Whether no task can still be running at any agent.
    pub fn is_quiescent(&self, now: Time) -> bool {
        self.tasks.iter().all(|task| match task.state {
            TaskState::Waiting | TaskState::Ended => true,
            TaskState::Placed { .. } => false,
            TaskState::Lost { until } => until <= now,
        })
    }
}
