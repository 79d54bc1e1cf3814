//! Clients, which submit a job, wait for the answer, and resubmit jobs that may have run.

use std::sync::Arc;
use std::time::Duration;

use dispatch::{JobRequest, TaskShape};
use model::{JobId, Resources, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Time from a failed try to the next submission.
pub(super) const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// Most submissions of one job.
pub(super) const MAX_TRIES: u32 = 3;

/// Name of the queue of the jobs of a priority. Entries learn run times by queue, so that jobs of
/// different kinds need different queues.
pub(super) fn queue_name(priority: u8) -> Arc<str> {
    Arc::from(format!("queue-{priority}"))
}

/// One client with its job.
#[derive(Clone, Debug)]
pub(super) struct Client {
    pub request: JobRequest,
    /// The duration of each task, and whether the task fails.
    pub work: Vec<(Duration, bool)>,
    pub tries: u32,
    /// The entry and the call id of the open request.
    pub pending_call: Option<(usize, u64)>,
    /// Whether the job is submitted after the last fault.
    pub after_faults: bool,
    pub first_submitted: Time,
    pub last_submitted: Time,
    /// Time after the first submission within which a job of a load counts as in time; the request
    /// has an estimate of it.
    pub objective: Duration,
    /// Weight of the job in the results of a load.
    pub worth: f64,
    /// The entry that receives all requests; a random one for each request if `None`.
    pub fixed_entry: Option<usize>,
    /// Whether a task of the job has started.
    pub started: bool,
    /// Number of submissions after an answer "not run".
    pub returns: u32,
    /// The longest completed run of a task, and the agent of its target.
    pub longest_run: Option<(Duration, usize)>,
    /// Whether the client cancelled the job; it is not submitted again.
    pub cancelled: bool,
}

impl Client {
    pub fn new(number: u32, rng: &mut ChaCha8Rng, now: Time, after_faults: bool) -> Self {
        let kinds = [(60_u64, 8_u32, 0_u8, 4_u32), (900, 4, 2, 2), (200, 2, 1, 3)];
        let (mean_ms, max_tasks, priority, max_attempts) = kinds[rng.random_range(0..kinds.len())];
        let count = rng.random_range(1..=max_tasks);
        let work = (0..count)
            .map(|_| {
                let task_ms = mean_ms as f64 * rng.random_range(0.6..1.6);
                (Duration::from_secs_f64(task_ms / 1e3), rng.random_bool(0.005))
            })
            .collect();
        let estimated_ms = (mean_ms as f64 * rng.random_range(0.7..1.4)) as u32;
        let objective = Duration::from_millis(u64::from(estimated_ms) * 16 / 10 + 60);
        let request = JobRequest {
            id: JobId::new(&format!("{number:016x}")),
            queue: queue_name(priority),
            service: Arc::from("work"),
            spec: Arc::from("spec"),
            shape: TaskShape {
                count,
                resources: Resources {
                    cpu_milli: rng.random_range(1_200..2_300),
                    memory_mb: 64,
                    gpu: 0,
                },
                estimated_ms,
                requirement: None,
                affinity: None,
                max_per_target: None,
            },
            priority,
            max_attempts,
            objective,
            deadline: objective * 3 + Duration::from_millis(500),
        };
        Self { after_faults, ..Self::with_request(request, work, now) }
    }

    /// Creates a client with a given job; `work` has the duration of each task and whether it
    /// fails.
    pub fn with_request(
        request: JobRequest,
        work: Vec<(Duration, bool)>,
        first_submitted: Time,
    ) -> Self {
        Self {
            objective: request.objective,
            worth: 0.0,
            request,
            work,
            tries: 0,
            pending_call: None,
            after_faults: false,
            first_submitted,
            last_submitted: first_submitted,
            fixed_entry: None,
            started: false,
            returns: 0,
            longest_run: None,
            cancelled: false,
        }
    }

    /// Whether the job may be submitted again after a try without a definite answer.
    pub fn has_tries_left(&self) -> bool {
        self.tries - self.returns < MAX_TRIES
    }
}
