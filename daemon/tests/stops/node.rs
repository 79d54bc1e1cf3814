//! The processes of a run, which are stopped, killed or reloaded and then restarted.

use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{GRACE, POLL, TestRun};
use crate::support::{Fleet, Process, unix_seconds};

/// Time during which actions are applied; the last stops end later.
const ACTIONS_TIME: Duration = Duration::from_secs(12);
/// Time between two actions in milliseconds. It is shorter than a stop, so that stops overlap.
const GAP_MS: std::ops::Range<u64> = 50..900;
/// Time between the exit of a process and its restart, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 0..800;

/// An action applied to a process.
#[derive(Clone, Copy)]
pub enum Action {
    Stop,
    Kill,
    Reload,
}

/// Actions by role. An action that is listed several times is chosen more often.
pub type Actions = &'static [(&'static str, Action)];

/// A process that actions are applied to.
pub struct Node {
    name: String,
    /// Number of the entry; `None` for other roles.
    entry: Option<usize>,
    process: Option<Process>,
    stop_requested: Option<Instant>,
    /// Time from the exit of the process to its restart.
    downtime: Duration,
    /// When the process was killed or found to have exited.
    down_since: Instant,
}

impl Node {
    pub fn start(fleet: &Fleet, name: String) -> Self {
        let process = Some(fleet.start(&name));
        let entry = fleet.entry_named(&name);
        let down_since = Instant::now();
        Self { name, entry, process, stop_requested: None, downtime: Duration::ZERO, down_since }
    }

    /// Whether the process handles signals and has not been asked to stop.
    fn accepts_actions(&self) -> bool {
        self.stop_requested.is_none() && self.process.as_ref().is_some_and(Process::has_started)
    }

    fn request_stop(&mut self, test_run: &TestRun) {
        let Some(process) = &self.process else { return };
        println!("{:.3}: {} is asked to stop", unix_seconds(), self.name);
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
        println!("{:.3}: {} is asked to reload its file", unix_seconds(), self.name);
        if self.name != KEEPER {
            fleet.toggle_absent_keeper(&self.name);
        }
        process.signal("HUP");
    }

    /// Checks whether the process has exited, and restarts it when due. Returns a fault if it
    /// exited unexpectedly, with a failure, or too late.
    fn poll(&mut self, test_run: &TestRun) -> Option<String> {
        let Some(process) = &mut self.process else {
            if self.down_since.elapsed() >= self.downtime {
                self.process = Some(test_run.fleet.start(&self.name));
            }
            return None;
        };
        let problem = match (process.is_running(), self.stop_requested) {
            (true, Some(stop_requested)) if stop_requested.elapsed() > GRACE => {
                Some("did not exit within the grace period")
            }
            (true, _) => return None,
            (false, None) => Some("exited without being asked to stop"),
            (false, Some(_)) if !process.wait() => Some("exited with a failure"),
            (false, Some(_)) => None,
        };
        println!("{:.3}: {} has exited", unix_seconds(), self.name);
        self.mark_down(test_run);
        problem.map(|problem| format!("{} {problem}", self.name))
    }

    /// Kills the process if it still runs, and records that it is down.
    fn mark_down(&mut self, test_run: &TestRun) {
        self.process = None;
        self.stop_requested = None;
        self.down_since = Instant::now();
        self.publish_stop(test_run);
    }

    /// Publishes to clients when the process was asked to stop.
    fn publish_stop(&self, test_run: &TestRun) {
        if self.entry.is_some() || self.name == KEEPER {
            let index = test_run.index_of(self.entry);
            *test_run.stop_requested[index].lock().expect("the mutex is not poisoned") =
                self.stop_requested;
        }
    }
}

/// Name of the keeper process.
pub const KEEPER: &str = "keeper";

/// Applies actions to processes without waiting for earlier ones to end, and restarts each process.
/// Returns the faults found once all processes are back.
pub fn run_actions(test_run: &TestRun, nodes: &mut [Node]) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(test_run.seed);
    let started = Instant::now();
    let mut next = started;
    let mut faults = Vec::new();
    loop {
        faults.extend(nodes.iter_mut().filter_map(|node| node.poll(test_run)));
        let applies_actions = started.elapsed() < ACTIONS_TIME;
        if !applies_actions && nodes.iter().all(Node::accepts_actions) {
            return faults;
        }
        if applies_actions && Instant::now() >= next {
            next = Instant::now() + Duration::from_millis(rng.random_range(GAP_MS));
            apply_random_action(test_run, nodes, &mut rng);
        }
        thread::sleep(POLL);
    }
}

/// Applies a random action to a random process of its role.
fn apply_random_action(test_run: &TestRun, nodes: &mut [Node], rng: &mut ChaCha8Rng) {
    let (role, action) = *test_run.actions.choose(rng).expect("the list is not empty");
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
