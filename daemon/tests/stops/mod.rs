//! State of a test run with planned stops, shared by its clients and processes.

mod client;
mod node;
mod record;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub use client::Client;
pub use node::{Action, Actions, KEEPER, Node, run_actions};
pub use record::{Record, print_summary};

use crate::support::Fleet;
use crate::support::balancer::Balancer;

/// Grace period after which the platform kills a stopping process.
pub const GRACE: Duration = Duration::from_secs(6);
/// Interval at which processes and connections are checked.
const POLL: Duration = Duration::from_millis(10);
/// Version of the initial configuration.
pub const FIRST_VERSION: u64 = 7;

/// Shared state of a test run.
pub struct TestRun<'a> {
    pub seed: u64,
    pub fleet: &'a Fleet,
    /// Actions from which the run chooses at random.
    pub actions: Actions,
    pub balancer: Balancer,
    pub finished: AtomicBool,
    /// When each entry, and last the keeper, was asked to stop; `None` once it has exited.
    pub stop_requested: Vec<Mutex<Option<Instant>>>,
    /// When each entry, and last the keeper, last answered.
    pub answered: Vec<Mutex<Instant>>,
    pub records: Mutex<Vec<Record>>,
}

impl<'a> TestRun<'a> {
    pub fn new(seed: u64, fleet: &'a Fleet, actions: Actions) -> Self {
        Self {
            seed,
            fleet,
            actions,
            balancer: Balancer::new(fleet),
            finished: AtomicBool::new(false),
            stop_requested: (0..=fleet.entry_count()).map(|_| Mutex::new(None)).collect(),
            answered: (0..=fleet.entry_count()).map(|_| Mutex::new(Instant::now())).collect(),
            records: Mutex::default(),
        }
    }

    /// When an entry, or the keeper, was asked to stop; `None` once it has exited.
    pub fn stop_requested(&self, entry: Option<usize>) -> Option<Instant> {
        *self.stop_requested[self.index_of(entry)].lock().expect("the mutex is not poisoned")
    }

    /// When an entry, or the keeper, last answered.
    pub fn answered(&self, entry: Option<usize>) -> Instant {
        *self.answered[self.index_of(entry)].lock().expect("the mutex is not poisoned")
    }

    /// Index of an entry, or of the keeper, in the per-process lists.
    pub fn index_of(&self, entry: Option<usize>) -> usize {
        entry.unwrap_or(self.fleet.entry_count())
    }

    pub fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }
}
