//! The processes of a run, which are told to stop and come back.

use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{GRACE, POLL, TestRun};
use crate::support::{Fleet, Process, unix_seconds};

/// How long processes are told to stop; the last stops take a while longer.
const ACTIONS_TIME: Duration = Duration::from_secs(12);
/// Time between two orders to processes, in milliseconds: stops of up to 6 s overlap.
const GAP_MS: std::ops::Range<u64> = 50..900;
/// How long a process that ended is away, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 0..800;

/// What is done to a process from outside.
#[derive(Clone, Copy)]
pub enum Action {
    Stop,
    Kill,
    Reload,
}

/// What is done from outside, by role; each as often as it stands there.
pub type Actions = &'static [(&'static str, Action)];

/// A process that is told to stop and comes back.
pub struct Node {
    name: String,
    /// Which entry it is.
    entry: Option<usize>,
    process: Option<Process>,
    stop_requested: Option<Instant>,
    /// How long it is away once it ends,
    downtime: Duration,
    /// and since when it is.
    down_since: Instant,
}

impl Node {
    pub fn start(fleet: &Fleet, name: String) -> Self {
        let process = Some(fleet.start(&name));
        let entry = fleet.entry_named(&name);
        let down_since = Instant::now();
        Self { name, entry, process, stop_requested: None, downtime: Duration::ZERO, down_since }
    }

    /// Whether it listens for signals and was not told to stop.
    fn accepts_actions(&self) -> bool {
        self.stop_requested.is_none() && self.process.as_ref().is_some_and(Process::has_started)
    }

    fn request_stop(&mut self, test_run: &TestRun) {
        let Some(process) = &self.process else { return };
        println!("{:.3}: {} is told to stop", unix_seconds(), self.name);
        self.stop_requested = Some(Instant::now());
        self.publish_stop(test_run);
        process.signal("TERM");
    }

    fn kill(&mut self, test_run: &TestRun) {
        println!("{:.3}: {} is killed", unix_seconds(), self.name);
        self.mark_down(test_run);
    }

    fn reload(&self, fleet: &Fleet) {
        let Some(process) = &self.process else { return };
        println!("{:.3}: {} is told of a changed file", unix_seconds(), self.name);
        if self.name != KEEPER {
            fleet.toggle_absent_keeper(&self.name);
        }
        process.signal("HUP");
    }

    /// Looks whether it has ended as it was told, and brings it back in time; returns what is wrong.
    fn poll(&mut self, test_run: &TestRun) -> Option<String> {
        let Some(process) = &mut self.process else {
            if self.down_since.elapsed() >= self.downtime {
                self.process = Some(test_run.fleet.start(&self.name));
            }
            return None;
        };
        let problem = match (process.is_running(), self.stop_requested) {
            (true, Some(stop_requested)) if stop_requested.elapsed() > GRACE => {
                Some("was not gone within the grace")
            }
            (true, _) => return None,
            (false, None) => Some("ended by itself"),
            (false, Some(_)) if !process.wait() => Some("ended with a failure"),
            (false, Some(_)) => None,
        };
        println!("{:.3}: {} is gone", unix_seconds(), self.name);
        self.mark_down(test_run);
        problem.map(|problem| format!("{} {problem}", self.name))
    }

    /// Its process, if it is not gone yet, is killed; it is away from now on.
    fn mark_down(&mut self, test_run: &TestRun) {
        self.process = None;
        self.stop_requested = None;
        self.down_since = Instant::now();
        self.publish_stop(test_run);
    }

    /// Lets clients know whether it was told to stop.
    fn publish_stop(&self, test_run: &TestRun) {
        if self.entry.is_some() || self.name == KEEPER {
            let index = test_run.index_of(self.entry);
            *test_run.stop_requested[index].lock().expect("nobody panicked with it") =
                self.stop_requested;
        }
    }
}

/// The name of the keeper's process.
pub const KEEPER: &str = "keeper";

/// Tells processes to stop, one after the other and before the last has ended, and brings each back;
/// returns once all are back, with what was wrong.
pub fn run_actions(test_run: &TestRun, nodes: &mut [Node]) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(test_run.seed);
    let started = Instant::now();
    let mut next = started;
    let mut faults = Vec::new();
    loop {
        faults.extend(nodes.iter_mut().filter_map(|node| node.poll(test_run)));
        let stopping = started.elapsed() < ACTIONS_TIME;
        if !stopping && nodes.iter().all(Node::accepts_actions) {
            return faults;
        }
        if stopping && Instant::now() >= next {
            next = Instant::now() + Duration::from_millis(rng.random_range(GAP_MS));
            apply_random_action(test_run, nodes, &mut rng);
        }
        thread::sleep(POLL);
    }
}

/// Tells one process something; the roles are told to stop about as often as there are few of them.
fn apply_random_action(test_run: &TestRun, nodes: &mut [Node], rng: &mut ChaCha8Rng) {
    let (role, action) = *test_run.actions.choose(rng).expect("there are some");
    let downtime = Duration::from_millis(rng.random_range(DOWNTIME_MS));
    let of_role = |node: &&mut Node| node.name.starts_with(role) && node.accepts_actions();
    let mut nodes: Vec<&mut Node> = nodes.iter_mut().filter(of_role).collect();
    if nodes.is_empty() {
        return;
    }
    let chosen = rng.random_range(0..nodes.len());
    let node = &mut nodes[chosen];
    node.downtime = downtime;
    match action {
        Action::Stop => node.request_stop(test_run),
        Action::Kill => node.kill(test_run),
        Action::Reload => node.reload(test_run.fleet),
    }
}
