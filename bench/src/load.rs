//! Callers: as many at once as are asked for, or at a fixed rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use api::JobBody;
use async_io::Timer;
use client::{EntryClient, Outcome, new_submission_id};
use telemetry::LatencyHistogram;

/// Longest wait for one outcome.
const OUTCOME_TIME: Duration = Duration::from_secs(20);

/// What callers do.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Where they submit.
    pub entry: SocketAddr,
    /// Threads of callers.
    pub threads: usize,
    /// Callers on each thread.
    pub callers: usize,
    /// Tasks in each job.
    pub tasks: usize,
    /// How long they go on.
    pub time: Duration,
    /// Pause from one job's start to the next's of the same caller; none for at once.
    pub every: Option<Duration>,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Done {
    /// Jobs answered whole.
    pub whole: u64,
    /// Jobs that were not.
    pub failed: u64,
    /// Response times of the whole ones.
    pub latency: LatencyHistogram,
}

/// Runs a load to its end.
pub fn run(load: Load) -> Done {
    let threads: Vec<_> =
        (0..load.threads).map(|number| thread::spawn(move || run_thread(load, number))).collect();
    let mut total = Done::default();
    for thread in threads {
        let done = thread.join().expect("callers do not panic");
        total.whole += done.whole;
        total.failed += done.failed;
        total.latency.merge(&done.latency);
    }
    total
}

fn run_thread(load: Load, thread: usize) -> Done {
    let job = JobBody {
        service: "booking".to_owned(),
        kind: "holds".to_owned(),
        tasks: (0..load.tasks).map(|n| Arc::from(format!("hold seat {n} of coach 7"))).collect(),
        deadline_ms: Some(OUTCOME_TIME.as_millis() as u64),
    };
    net::block_on(|tasks| async move {
        let caller = EntryClient::new(load.entry, tasks, OUTCOME_TIME);
        let all = (0..load.callers).map(|number| {
            let slot = thread * load.callers + number;
            run_caller(&caller, &job, load, slot)
        });
        let mut total = Done::default();
        for done in futures::future::join_all(all).await {
            total.whole += done.whole;
            total.failed += done.failed;
            total.latency.merge(&done.latency);
        }
        total
    })
}

async fn run_caller(caller: &EntryClient, job: &JobBody, load: Load, slot: usize) -> Done {
    let mut done = Done::default();
    let begun = Instant::now();
    let mut next = begun;
    if let Some(every) = load.every {
        // Callers start one after the other, so that the rate is even.
        next += every.mul_f64(slot as f64 / (load.threads * load.callers) as f64);
    }
    while begun.elapsed() < load.time {
        if let Some(every) = load.every {
            Timer::at(next).await;
            next += every;
        }
        let started = Instant::now();
        match caller.submit_job(new_submission_id(), job).await {
            Ok(Outcome::Complete(answers)) if answers.len() == load.tasks => {
                done.whole += 1;
                done.latency.record(started.elapsed());
            }
            _ => done.failed += 1,
        }
    }
    done
}
