//! Halls that operators empty and refill while faults strike.
//!
//! The halls are those of the agents, by turns. Here the world is the keepers: it tells an order to some processes a
//! moment after it was acknowledged, and to those that start or thaw later; the others hear of it from the sessions.
//! All that is drawn here comes from a stream of its own, and only in runs that have such orders.

use std::time::Duration;

use model::{TaskId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{EmptiedHalls, HallCommand, HallName};

use super::faults::Fault;
use super::world::{CALM_FROM, Happening, TROUBLED, World};

/// Told apart from the seed of everything else.
const STREAM: u64 = 0x4a11_0f0f_2b2b;
/// Halls of a run.
const HALLS: [&str; 2] = ["h0", "h1"];
/// How long a keeper's news is under way at most.
const NEWS_WAY_MS: u64 = 300;
/// How often a process that could not be told is tried again.
const TELL_AGAIN: Duration = Duration::from_millis(100);
/// After an order was acknowledged, and after whatever else hit those who carry it out, nothing starts in the hall.
/// The users allow 5 s; a keeper's news takes 0.3 s here, a session opens within 0.12 s and dies within 0.9 s.
const IN_FORCE: Duration = Duration::from_millis(1_500);
/// All halls take work again before the calm.
const REFILLED_FROM: Duration = Duration::from_millis(CALM_FROM.as_millis() as u64 - 1_500);

/// Whom the keepers reach in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Everyone,
    AgentsOnly,
    EntriesOnly,
}

/// The orders of a run.
#[derive(Debug)]
pub(super) struct Halls {
    rng: ChaCha8Rng,
    told: Told,
    /// What was acknowledged last.
    pub emptied: EmptiedHalls,
    /// When each hall's last order was acknowledged.
    since: [Time; HALLS.len()],
    /// Until when a fault hits each agent, and each entry.
    agents_hit: Vec<Time>,
    entries_hit: Vec<Time>,
}

impl Halls {
    pub fn new(seed: u64, start: Time, entries: usize, agents: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ STREAM);
        let told = [Told::Everyone, Told::AgentsOnly, Told::EntriesOnly][rng.random_range(0..3)];
        Self {
            rng,
            told,
            emptied: EmptiedHalls::default(),
            since: [start; HALLS.len()],
            agents_hit: vec![start; agents],
            entries_hit: vec![start; entries],
        }
    }

    /// The hall that an agent's target stands in.
    pub fn of_agent(agent: usize) -> &'static str {
        HALLS[agent % HALLS.len()]
    }

    /// Takes note of whom a fault hits, and until when.
    pub fn hit(&mut self, now: Time, fault: Fault) {
        let (entry, agent, span) = match fault {
            Fault::KillEntry { entry, down, .. } => (Some(entry), None, down),
            Fault::KillAgent { agent, down } | Fault::CrashTarget { agent, down } => {
                (None, Some(agent), down)
            }
            Fault::FreezeEntry { entry, span } => (Some(entry), None, span),
            Fault::Cut { entry, agent, span } => (Some(entry), Some(agent), span),
            Fault::Reset { entry, agent } => (Some(entry), Some(agent), Duration::ZERO),
            Fault::FreezeAgent { agent, span }
            | Fault::Manner { agent, span, .. }
            | Fault::Mute { agent, span }
            | Fault::Leave { agent, span } => (None, Some(agent), span),
        };
        let until = now + span;
        if let Some(entry) = entry {
            self.entries_hit[entry] = self.entries_hit[entry].max(until);
        }
        if let Some(agent) = agent {
            self.agents_hit[agent] = self.agents_hit[agent].max(until);
        }
    }

    /// Whether nothing may start at an agent any more: its hall was emptied, and whoever carries that out was
    /// in order, for long enough.
    fn forbids_start(&self, now: Time, agent: usize) -> bool {
        let hall = agent % HALLS.len();
        if !self.emptied.contains(HALLS[hall]) {
            return false;
        }
        let entries = self.entries_hit.iter().filter(|_| self.told == Told::EntriesOnly);
        let hit = entries.chain([&self.agents_hit[agent], &self.since[hall]]);
        hit.into_iter().all(|at| *at <= now && now.since(*at) > IN_FORCE)
    }
}

impl World {
    /// Draws when halls are emptied and refilled.
    pub(super) fn set_up_halls(&mut self, seed: u64) {
        let mut halls = Halls::new(seed, self.now, self.entries.len(), self.agents.len());
        let mut after = Duration::from_millis(halls.rng.random_range(300..2_000));
        while after < TROUBLED {
            let hall = halls.rng.random_range(0..HALLS.len());
            let takes_work = halls.rng.random_bool(0.4);
            self.at(after, Happening::OrderHall(hall, takes_work));
            after += Duration::from_millis(halls.rng.random_range(50..3_000));
        }
        (0..HALLS.len()).for_each(|hall| {
            self.at(REFILLED_FROM, Happening::OrderHall(hall, true));
        });
        self.halls = Some(halls);
    }

    /// An operator's order is acknowledged.
    pub(super) fn order_hall(&mut self, hall: usize, takes_work: bool) {
        let Some(halls) = &mut self.halls else { return };
        let name: HallName = HALLS[hall].parse().expect("a name");
        halls.since[hall] = self.now;
        halls.emptied.apply(HallCommand { hall: name, takes_work });
        let (entries, agents) = (self.entries.len(), self.agents.len());
        (0..entries).for_each(|entry| self.tell_halls_soon(true, entry));
        (0..agents).for_each(|agent| self.tell_halls_soon(false, agent));
    }

    /// The keepers tell a process what is emptied, if they reach it in this run.
    pub(super) fn tell_halls_soon(&mut self, is_entry: bool, number: usize) {
        let Some(halls) = &mut self.halls else { return };
        let skipped = if is_entry { Told::AgentsOnly } else { Told::EntriesOnly };
        if halls.told == skipped {
            return;
        }
        let way = Duration::from_millis(halls.rng.random_range(1..NEWS_WAY_MS));
        let emptied = halls.emptied.clone();
        self.at(way, Happening::HallsTold { is_entry, number, emptied });
    }

    pub(super) fn halls_told(&mut self, is_entry: bool, number: usize, emptied: EmptiedHalls) {
        let (up, frozen) = match is_entry {
            true => (self.entries[number].dispatcher.is_some(), self.entries[number].frozen),
            false => (self.agents[number].runner.is_some(), self.agents[number].frozen),
        };
        if !up || frozen > self.now {
            return self.at(TELL_AGAIN, Happening::HallsTold { is_entry, number, emptied });
        }
        match is_entry {
            true => self.feed_entry(number, dispatch::Event::EmptiedHalls(emptied)),
            false => self.feed_agent(number, runner::Event::Halls(emptied)),
        }
    }

    /// A target begins a task.
    pub(super) fn check_hall(&mut self, agent: usize, task: &TaskId, carried_out_late: bool) {
        let Some(halls) = &self.halls else { return };
        if !carried_out_late && halls.forbids_start(self.now, agent) {
            let hall = Halls::of_agent(agent);
            self.checks.violation(self.now, format!("{task} starts in the emptied hall {hall}"));
        }
    }

    /// At the end everyone knows what was ordered last.
    pub(super) fn check_halls_end(&mut self) {
        let Some(halls) = &self.halls else { return };
        let last = halls.emptied.revision;
        let entries = self.entries.iter().map(|entry| {
            entry.dispatcher.as_ref().map_or(last, |dispatcher| dispatcher.emptied_halls().revision)
        });
        let agents = self
            .agents
            .iter()
            .map(|agent| agent.runner.as_ref().map_or(last, |runner| runner.halls().revision));
        let behind = entries.chain(agents).filter(|revision| *revision != last).count();
        if behind > 0 {
            let what = format!("{behind} processes don't know the halls of revision {last}");
            self.checks.violation(self.now, what);
        }
    }
}
