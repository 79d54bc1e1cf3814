//! Ordinary requests beside a crowd.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::balancer::sleep_unless_finished;

/// Interval between ordinary requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of the last request of any traffic in this process, so that no id is used twice.
static LAST_REQUEST: AtomicU64 = AtomicU64::new(0);

/// The results of ordinary requests: the times of those that were served.
#[derive(Default)]
pub struct Traffic {
    times: Vec<Option<Duration>>,
}

impl Traffic {
    /// Sends requests at a steady rate, each from a thread of its own, until the run has finished.
    pub fn run(request: &(dyn Fn(u64) -> bool + Sync), finished: &AtomicBool) -> Self {
        let times = Mutex::new(Vec::new());
        thread::scope(|scope| {
            while sleep_unless_finished(REQUEST_INTERVAL, finished) {
                scope.spawn(|| {
                    let id = LAST_REQUEST.fetch_add(1, Ordering::Relaxed) + 1;
                    let started = Instant::now();
                    let time = request(id).then(|| started.elapsed());
                    times.lock().expect("the mutex is not poisoned").push(time);
                });
            }
        });
        Self { times: times.into_inner().expect("the mutex is not poisoned") }
    }

    pub fn sent(&self) -> usize {
        self.times.len()
    }

    pub fn served(&self) -> usize {
        self.times.iter().flatten().count()
    }

    /// Median time of the served requests; zero without any.
    pub fn median(&self) -> Duration {
        let mut times: Vec<Duration> = self.times.iter().flatten().copied().collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}

/// Repeats a check until the run has finished; returns the results.
pub fn check_every_second(check: &(dyn Fn() -> bool + Sync), finished: &AtomicBool) -> Vec<bool> {
    let mut results = Vec::new();
    loop {
        results.push(check());
        if !sleep_unless_finished(CHECK_INTERVAL, finished) {
            return results;
        }
    }
}

/// Returns the largest number of failed checks in a row.
pub fn longest_miss(checks: &[bool]) -> usize {
    checks.split(|answered| *answered).map(<[bool]>::len).max().unwrap_or(0)
}
