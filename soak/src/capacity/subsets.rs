//! Agents that serve a subset of the entries, and cancels that reach an entry without the job.
//!
//! A separate random stream keeps the faults of a seed unchanged.

use std::collections::BTreeSet;
use std::time::Duration;

use model::JobId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::event::SimEvent;
use super::simulation::{CALM_START, FAULT_PERIOD, Simulation};

/// Separates this random stream from the others of the seed.
const RNG_STREAM: u64 = 0x5e70_fe77_1e55;
/// Share of the runs that have subsets.
const SUBSET_RUN_SHARE: f64 = 0.5;
/// Share of the jobs that are cancelled in these runs.
const CANCELLED_SHARE: f64 = 0.06;
/// When all agents serve all entries again, ahead of the jobs without faults.
const FULL_SUBSETS_FROM: Duration = Duration::from_millis(CALM_START.as_millis() as u64 - 2_000);

/// The entries that each agent serves.
#[derive(Debug)]
pub(super) struct EntrySubsets {
    rng: ChaCha8Rng,
    serves: Vec<BTreeSet<usize>>,
    /// Whether subsets never change; agents then dial only the entries that they serve.
    fixed: bool,
}

impl EntrySubsets {
    pub fn new(seed: u64, entries: usize, agents: usize) -> Self {
        let serves = vec![(0..entries).collect(); agents];
        Self { rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM), serves, fixed: false }
    }

    /// Creates subsets that never change.
    pub fn fixed(seed: u64, serves: Vec<BTreeSet<usize>>) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM), serves, fixed: true }
    }

    /// Whether an agent serves an entry at any time of the run.
    pub fn may_serve(&self, agent: usize, entry: usize) -> bool {
        !self.fixed || self.serves(agent, entry)
    }

    pub fn serves(&self, agent: usize, entry: usize) -> bool {
        self.serves[agent].contains(&entry)
    }

    /// Draws a random subset for an agent, with at least one entry.
    fn redraw(&mut self, agent: usize, entries: usize) {
        let always = self.rng.random_range(0..entries);
        let drawn = (0..entries).filter(|entry| *entry == always || self.rng.random_bool(0.5));
        self.serves[agent] = drawn.collect();
    }
}

impl Simulation {
    /// Schedules the changes of subsets and the cancels of jobs.
    pub(super) fn set_up_subsets(&mut self) {
        if !self.subsets.rng.random_bool(SUBSET_RUN_SHARE) {
            return;
        }
        for agent in 0..self.agents.len() {
            let mut after = Duration::from_millis(4);
            while after < FAULT_PERIOD {
                self.schedule_after(after, SimEvent::ChangeSubset(agent, false));
                after += Duration::from_millis(self.subsets.rng.random_range(300..4_000));
            }
            self.schedule_after(FULL_SUBSETS_FROM, SimEvent::ChangeSubset(agent, true));
        }
        let jobs: Vec<(JobId, Duration)> = self
            .clients
            .values()
            .filter(|client| !client.after_faults)
            .map(|client| (client.request.id.clone(), client.first_submitted.since(self.now)))
            .collect();
        for (id, submitted_after) in jobs {
            if self.subsets.rng.random_bool(CANCELLED_SHARE) {
                let after = Duration::from_millis(self.subsets.rng.random_range(0..400));
                self.schedule_after(submitted_after + after, SimEvent::Cancel(id));
            }
        }
    }

    /// Changes the subset of an agent to all entries, or to a random one.
    pub(super) fn change_subset(&mut self, agent: usize, all: bool) {
        let entries = self.entries.len();
        match all {
            true => self.subsets.serves[agent] = (0..entries).collect(),
            false => self.subsets.redraw(agent, entries),
        }
        if self.agents[agent].paused_until > self.now {
            // A paused agent applies its subset at the next dial.
            return;
        }
        let retired: Vec<u64> = self.agents[agent]
            .sessions
            .iter()
            .filter(|(_, session)| !self.subsets.serves(agent, self.sessions[**session].entry))
            .map(|(id, _)| *id)
            .collect();
        for id in retired {
            self.deliver_to_agent(agent, runner::Event::SessionRetired(runner::SessionId(id)));
        }
    }

    /// A client cancels its job at a random entry.
    pub(super) fn cancel_job(&mut self, id: &JobId) {
        let entry = self.subsets.rng.random_range(0..self.entries.len());
        let process = &self.entries[entry];
        if process.dispatcher.is_none() || process.paused_until > self.now {
            // The cancel is not acknowledged, so it guarantees nothing.
            return;
        }
        if let Some(client) = self.clients.get_mut(id) {
            client.cancelled = true;
        }
        self.checks.cancel_acknowledged(self.now, id);
        self.deliver_to_entry(entry, dispatch::Event::Cancel(id.clone()));
    }

    /// Notifies the other entries of a cancelled job.
    pub(super) fn notify_entries(&mut self, from: usize, job: &JobId) {
        for entry in (0..self.entries.len()).filter(|entry| *entry != from) {
            let delay = Duration::from_micros(self.subsets.rng.random_range(200..4_000));
            let incarnation = self.entries[entry].incarnation;
            self.schedule_after(delay, SimEvent::CancelNotice(entry, incarnation, job.clone()));
        }
    }

    pub(super) fn deliver_cancel(&mut self, entry: usize, incarnation: u64, job: JobId) {
        let process = &self.entries[entry];
        if process.incarnation != incarnation {
            return;
        }
        if process.paused_until > self.now {
            return self.schedule_at(
                process.paused_until,
                SimEvent::CancelNotice(entry, incarnation, job),
            );
        }
        self.deliver_to_entry(entry, dispatch::Event::CancelledElsewhere(job));
    }
}
