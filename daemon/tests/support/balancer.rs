//! A fake load balancer: it probes the readiness of each entry and assigns new connections to ready
//! entries only.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use super::{Fleet, call};

/// Interval between readiness probes, as on the platform.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive failed probes after which an entry gets no new connections, as on the platform.
const MAX_MISSES: u32 = 2;
/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a sleeping thread checks whether the run has finished.
const POLL: Duration = Duration::from_millis(10);

/// Readiness of the entries of a fleet.
pub struct Balancer {
    /// Readiness address and consecutive failed probes by entry.
    entries: Vec<(SocketAddr, AtomicU32)>,
}

impl Balancer {
    /// Creates a balancer that treats all entries as ready until the first probes.
    pub fn new(fleet: &Fleet) -> Self {
        let unprobed = |number| (fleet.readiness_address(number), AtomicU32::new(0));
        Self { entries: (0..fleet.entry_count()).map(unprobed).collect() }
    }

    /// Probes one entry until the run has finished.
    pub fn probe_until_finished(&self, entry: usize, finished: &AtomicBool) {
        let (address, misses) = &self.entries[entry];
        while !finished.load(Ordering::Relaxed) {
            let answer = call(*address, "GET", "/readiness", "", PROBE_TIMEOUT);
            if answer.is_some_and(|answer| answer.status == 200) {
                misses.store(0, Ordering::Relaxed);
            } else {
                misses.fetch_add(1, Ordering::Relaxed);
            }
            sleep_unless_finished(PROBE_INTERVAL, finished);
        }
    }

    /// Picks a ready entry by a hash of the client; `None` if no entry is ready.
    pub fn entry_for(&self, hash: u64) -> Option<usize> {
        let is_ready = |entry: &usize| self.entries[*entry].1.load(Ordering::Relaxed) < MAX_MISSES;
        let ready: Vec<usize> = (0..self.entries.len()).filter(is_ready).collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[(hash % ready.len() as u64) as usize])
    }
}

/// Sleeps until the time has passed or the run has finished; returns whether the run goes on.
pub fn sleep_unless_finished(time: Duration, finished: &AtomicBool) -> bool {
    let mut left = time;
    while !finished.load(Ordering::Relaxed) && !left.is_zero() {
        let step = left.min(POLL);
        thread::sleep(step);
        left -= step;
    }
    !finished.load(Ordering::Relaxed)
}
