//! A run with planned stops: its clients, its processes, and what the clients recorded.

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

/// When the platform kills a process that it told to stop.
pub const GRACE: Duration = Duration::from_secs(6);
/// How often the ends of processes are looked for.
const POLL: Duration = Duration::from_millis(10);
/// The version of the configuration that the fleet begins with.
pub const FIRST_VERSION: u64 = 7;

/// One run while it goes on.
pub struct TestRun<'a> {
    pub seed: u64,
    pub fleet: &'a Fleet,
    /// What processes are told.
    pub actions: Actions,
    pub balancer: Balancer,
    pub finished: AtomicBool,
    /// By entry, and the keeper after them: when it was told to stop, until it is back.
    pub stop_requested: Vec<Mutex<Option<Instant>>>,
    /// In the same order: when it answered last.
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

    pub fn stop_requested(&self, entry: Option<usize>) -> Option<Instant> {
        *self.stop_requested[self.index_of(entry)].lock().expect("nobody panicked with it")
    }

    /// When an entry answered last.
    pub fn answered(&self, entry: Option<usize>) -> Instant {
        *self.answered[self.index_of(entry)].lock().expect("nobody panicked with it")
    }

    /// The place of an entry, or of the keeper, in lists.
    pub fn index_of(&self, entry: Option<usize>) -> usize {
        entry.unwrap_or(self.fleet.entry_count())
    }

    pub fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }
}
