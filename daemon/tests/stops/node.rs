//! The processes of a run, which are told to stop and come back.

use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Course, GRACE, POLL};
use crate::support::{Fleet, Process, unix_seconds};

/// How long processes are told to stop; the last stops take a while longer.
const STOPS: Duration = Duration::from_secs(12);
/// Time between two orders to processes, in milliseconds: stops of up to 6 s overlap.
const GAP_MS: std::ops::Range<u64> = 50..900;
/// How long a process that ended is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 0..800;

/// What is done to a process from outside.
#[derive(Clone, Copy)]
pub enum Order {
    Stop,
    Kill,
    Reload,
}

/// What is done from outside, by role; each as often as it stands there.
pub type Orders = &'static [(&'static str, Order)];

/// A process that is told to stop and comes back.
pub struct Node {
    name: String,
    /// Which entry it is.
    entry: Option<usize>,
    process: Option<Process>,
    told: Option<Instant>,
    /// How long it is away once it ends,
    away: Duration,
    /// and since when it is.
    away_since: Instant,
}

impl Node {
    pub fn start(fleet: &Fleet, name: String) -> Self {
        let process = Some(fleet.start(&name));
        let entry = fleet.entry_named(&name);
        let away_since = Instant::now();
        Self { name, entry, process, told: None, away: Duration::ZERO, away_since }
    }

    /// Whether it listens for signals and was not told to stop.
    fn is_untold(&self) -> bool {
        self.told.is_none() && self.process.as_ref().is_some_and(Process::has_begun)
    }

    fn tell(&mut self, course: &Course) {
        let Some(process) = &self.process else { return };
        println!("{:.3}: {} is told to stop", unix_seconds(), self.name);
        self.told = Some(Instant::now());
        self.note(course);
        process.signal("TERM");
    }

    fn kill(&mut self, course: &Course) {
        println!("{:.3}: {} is killed", unix_seconds(), self.name);
        self.is_away(course);
    }

    fn reload(&self, fleet: &Fleet) {
        let Some(process) = &self.process else { return };
        println!("{:.3}: {} is told of a changed file", unix_seconds(), self.name);
        if self.name != KEEPER {
            fleet.change_file(&self.name);
        }
        process.signal("HUP");
    }

    /// Looks whether it has ended as it was told, and brings it back in time; returns what is wrong.
    fn follow(&mut self, course: &Course) -> Option<String> {
        let Some(process) = &mut self.process else {
            if self.away_since.elapsed() >= self.away {
                self.process = Some(course.fleet.start(&self.name));
            }
            return None;
        };
        let wrong = match (process.is_up(), self.told) {
            (true, Some(told)) if told.elapsed() > GRACE => Some("was not gone within the grace"),
            (true, _) => return None,
            (false, None) => Some("ended by itself"),
            (false, Some(_)) if !process.wait() => Some("ended with a failure"),
            (false, Some(_)) => None,
        };
        println!("{:.3}: {} is gone", unix_seconds(), self.name);
        self.is_away(course);
        wrong.map(|wrong| format!("{} {wrong}", self.name))
    }

    /// Its process, if it is not gone yet, is killed; it is away from now on.
    fn is_away(&mut self, course: &Course) {
        self.process = None;
        self.told = None;
        self.away_since = Instant::now();
        self.note(course);
    }

    /// Lets clients know whether it was told to stop.
    fn note(&self, course: &Course) {
        if self.entry.is_some() || self.name == KEEPER {
            let place = course.place(self.entry);
            *course.told[place].lock().expect("nobody panicked with it") = self.told;
        }
    }
}

/// The name of the keeper's process.
pub const KEEPER: &str = "keeper";

/// Tells processes to stop, one after the other and before the last has ended, and brings each back;
/// returns once all are back, with what was wrong.
pub fn stop_in_series(course: &Course, nodes: &mut [Node]) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(course.seed);
    let began = Instant::now();
    let mut next = began;
    let mut faults = Vec::new();
    loop {
        faults.extend(nodes.iter_mut().filter_map(|node| node.follow(course)));
        let stopping = began.elapsed() < STOPS;
        if !stopping && nodes.iter().all(Node::is_untold) {
            return faults;
        }
        if stopping && Instant::now() >= next {
            next = Instant::now() + Duration::from_millis(rng.random_range(GAP_MS));
            give_an_order(course, nodes, &mut rng);
        }
        thread::sleep(POLL);
    }
}

/// Tells one process something; the roles are told to stop about as often as there are few of them.
fn give_an_order(course: &Course, nodes: &mut [Node], rng: &mut ChaCha8Rng) {
    let (role, order) = *course.orders.choose(rng).expect("there are some");
    let away = Duration::from_millis(rng.random_range(AWAY_MS));
    let of_role = |node: &&mut Node| node.name.starts_with(role) && node.is_untold();
    let mut nodes: Vec<&mut Node> = nodes.iter_mut().filter(of_role).collect();
    if nodes.is_empty() {
        return;
    }
    let chosen = rng.random_range(0..nodes.len());
    let node = &mut nodes[chosen];
    node.away = away;
    match order {
        Order::Stop => node.tell(course),
        Order::Kill => node.kill(course),
        Order::Reload => node.reload(course.fleet),
    }
}
