//! A run with planned stops: its clients, its processes, and what the clients recorded.

mod client;
mod node;
mod record;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub use client::Client;
pub use node::{KEEPER, Node, Order, Orders, stop_in_series};
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
pub struct Course<'a> {
    pub seed: u64,
    pub fleet: &'a Fleet,
    /// What processes are told.
    pub orders: Orders,
    pub balancer: Balancer,
    pub over: AtomicBool,
    /// By entry, and the keeper after them: when it was told to stop, until it is back.
    pub told: Vec<Mutex<Option<Instant>>>,
    /// In the same order: when it answered last.
    pub answered: Vec<Mutex<Instant>>,
    pub records: Mutex<Vec<Record>>,
}

impl<'a> Course<'a> {
    pub fn new(seed: u64, fleet: &'a Fleet, orders: Orders) -> Self {
        Self {
            seed,
            fleet,
            orders,
            balancer: Balancer::new(fleet),
            over: AtomicBool::new(false),
            told: (0..=fleet.entries()).map(|_| Mutex::new(None)).collect(),
            answered: (0..=fleet.entries()).map(|_| Mutex::new(Instant::now())).collect(),
            records: Mutex::default(),
        }
    }

    pub fn told(&self, entry: Option<usize>) -> Option<Instant> {
        *self.told[self.place(entry)].lock().expect("nobody panicked with it")
    }

    /// When an entry answered last.
    pub fn answered(&self, entry: Option<usize>) -> Instant {
        *self.answered[self.place(entry)].lock().expect("nobody panicked with it")
    }

    /// The place of an entry, or of the keeper, in lists.
    pub fn place(&self, entry: Option<usize>) -> usize {
        entry.unwrap_or(self.fleet.entries())
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}
