//! A stand-in for the platform's balancer: it asks each entry whether it is ready, and gives new
//! connections only to those that are.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use super::{Fleet, call};

/// How often each entry is asked; the platform's pages say each second.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// An entry that misses so many questions in a row gets no new connections, as those pages say.
const MAX_MISSES: u32 = 2;
/// An entry that has not answered by then has missed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the end of the run is looked for.
const POLL: Duration = Duration::from_millis(10);

/// What the balancer knows of the entries of a fleet.
pub struct Balancer {
    /// By entry: where it is asked, and how many questions in a row it has missed.
    entries: Vec<(SocketAddr, AtomicU32)>,
}

impl Balancer {
    /// A balancer that takes all entries for ready until it has asked.
    pub fn new(fleet: &Fleet) -> Self {
        let unprobed = |number| (fleet.readiness_address(number), AtomicU32::new(0));
        Self { entries: (0..fleet.entry_count()).map(unprobed).collect() }
    }

    /// Asks one entry until the run is over.
    pub fn probe_until_over(&self, entry: usize, over: &AtomicBool) {
        let (address, misses) = &self.entries[entry];
        while !over.load(Ordering::Relaxed) {
            let answer = call(*address, "GET", "/readiness", "", PROBE_TIMEOUT);
            if answer.is_some_and(|answer| answer.status == 200) {
                misses.store(0, Ordering::Relaxed);
            } else {
                misses.fetch_add(1, Ordering::Relaxed);
            }
            sleep_unless_over(PROBE_INTERVAL, over);
        }
    }

    /// The entry that a new connection goes to, by a hash of its client; none while none is ready.
    pub fn entry_for(&self, hash: u64) -> Option<usize> {
        let is_ready = |entry: &usize| self.entries[*entry].1.load(Ordering::Relaxed) < MAX_MISSES;
        let ready: Vec<usize> = (0..self.entries.len()).filter(is_ready).collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[(hash % ready.len() as u64) as usize])
    }
}

/// Waits a time, or until the run is over; whether it goes on.
pub fn sleep_unless_over(time: Duration, over: &AtomicBool) -> bool {
    let mut left = time;
    while !over.load(Ordering::Relaxed) && !left.is_zero() {
        let step = left.min(POLL);
        thread::sleep(step);
        left -= step;
    }
    !over.load(Ordering::Relaxed)
}
