//! Load generator: concurrent callers that submit jobs back to back or at a fixed rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use api::JobBody;
use async_io::Timer;
use client::{EntryClient, Outcome, new_submission_id};
use telemetry::LatencyHistogram;

/// Deadline of a job and longest wait for its outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// HTTP address of the entry.
    pub entry: SocketAddr,
    /// Number of threads that run callers.
    pub threads: usize,
    /// Concurrent callers per thread.
    pub callers: usize,
    /// Tasks per job.
    pub tasks: usize,
    /// Time during which callers submit new jobs.
    pub duration: Duration,
    /// Time between the starts of two jobs of the same caller; `None` submits the next job as soon
    /// as the previous one is answered.
    pub interval: Option<Duration>,
}

/// Results of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// Jobs with an answer for every task.
    pub complete: u64,
    /// All other jobs.
    pub failed: u64,
    /// Response times of the complete jobs.
    pub latency: LatencyHistogram,
}

/// Runs a load on its own threads and returns the combined results.
pub fn run(options: LoadOptions) -> LoadResult {
    let threads: Vec<_> = (0..options.threads)
        .map(|index| thread::spawn(move || run_thread(options, index)))
        .collect();
    let mut total = LoadResult::default();
    for thread in threads {
        let result = thread.join().expect("the load thread does not panic");
        total.complete += result.complete;
        total.failed += result.failed;
        total.latency.merge(&result.latency);
    }
    total
}

fn run_thread(options: LoadOptions, thread_index: usize) -> LoadResult {
    let job = JobBody {
        service: "booking".to_owned(),
        kind: "holds".to_owned(),
        tasks: (0..options.tasks).map(|n| Arc::from(format!("hold seat {n} of coach 7"))).collect(),
        deadline_ms: Some(OUTCOME_TIMEOUT.as_millis() as u64),
    };
    net::block_on(|tasks| async move {
        let client = EntryClient::new(options.entry, tasks, OUTCOME_TIMEOUT);
        let callers = (0..options.callers).map(|index| {
            let caller_index = thread_index * options.callers + index;
            run_caller(&client, &job, options, caller_index)
        });
        let mut total = LoadResult::default();
        for result in futures::future::join_all(callers).await {
            total.complete += result.complete;
            total.failed += result.failed;
            total.latency.merge(&result.latency);
        }
        total
    })
}

async fn run_caller(
    client: &EntryClient,
    job: &JobBody,
    options: LoadOptions,
    caller_index: usize,
) -> LoadResult {
    let mut result = LoadResult::default();
    let start = Instant::now();
    let mut next = start;
    if let Some(interval) = options.interval {
        // Staggers the callers over one interval, so that the overall rate is even.
        next += interval.mul_f64(caller_index as f64 / (options.threads * options.callers) as f64);
    }
    while start.elapsed() < options.duration {
        if let Some(interval) = options.interval {
            Timer::at(next).await;
            next += interval;
        }
        let started = Instant::now();
        match client.submit_job(new_submission_id(), job).await {
            Ok(Outcome::Complete(answers)) if answers.len() == options.tasks => {
                result.complete += 1;
                result.latency.record(started.elapsed());
            }
            _ => result.failed += 1,
        }
    }
    result
}
