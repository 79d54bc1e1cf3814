//! Halls that operators empty and refill during faults.
//!
//! The simulation acts as the keepers: after a command is acknowledged, it notifies some of the
//! processes, also those that restart later; the others receive the change from their sessions.

use std::time::Duration;

use model::{TaskId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{EmptiedHalls, HallCommand, HallName};

use super::event::SimEvent;
use super::faults::Fault;
use super::simulation::{CALM_START, FAULT_PERIOD, Simulation};

/// Separates this random stream from the others of the seed, so that runs without hall commands
/// stay unchanged.
const RNG_STREAM: u64 = 0x4a11_0f0f_2b2b;
/// The halls of a run.
const HALLS: [&str; 2] = ["h0", "h1"];
/// Longest delay of a notice from a keeper.
const MAX_NOTICE_DELAY_MS: u64 = 300;
/// Interval at which a notice to an unavailable process is retried.
const NOTICE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after an acknowledged command, and after the last fault at the processes that enforce it,
/// from which nothing may start in an emptied hall.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);
/// When all halls are refilled, before the period without faults.
const REFILL_TIME: Duration = Duration::from_millis(CALM_START.as_millis() as u64 - 1_500);

/// The processes that keepers notify in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notified {
    Everyone,
    AgentsOnly,
    EntriesOnly,
}

/// The state of the halls and of the processes that enforce it.
#[derive(Debug)]
pub(super) struct HallCommands {
    rng: ChaCha8Rng,
    notified: Notified,
    /// The state after the last acknowledged command.
    pub emptied: EmptiedHalls,
    /// When the last command for each hall was acknowledged.
    changed_at: [Time; HALLS.len()],
    /// Until when each agent and each entry is affected by faults.
    agents_faulty_until: Vec<Time>,
    entries_faulty_until: Vec<Time>,
}

impl HallCommands {
    pub fn new(seed: u64, start: Time, entries: usize, agents: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM);
        let notified = [Notified::Everyone, Notified::AgentsOnly, Notified::EntriesOnly]
            [rng.random_range(0..3)];
        Self {
            rng,
            notified,
            emptied: EmptiedHalls::default(),
            changed_at: [start; HALLS.len()],
            agents_faulty_until: vec![start; agents],
            entries_faulty_until: vec![start; entries],
        }
    }

    /// Returns the hall of an agent's target. Agents are assigned to halls in turn.
    pub fn of_agent(agent: usize) -> &'static str {
        HALLS[agent % HALLS.len()]
    }

    /// Records which processes a fault affects, and until when.
    pub fn record_fault(&mut self, now: Time, fault: Fault) {
        let (entry, agent, duration) = match fault {
            Fault::KillEntry { entry, downtime, .. } => (Some(entry), None, downtime),
            Fault::KillAgent { agent, downtime } | Fault::CrashTarget { agent, downtime } => {
                (None, Some(agent), downtime)
            }
            Fault::PauseEntry { entry, duration } => (Some(entry), None, duration),
            Fault::Cut { entry, agent, duration } => (Some(entry), Some(agent), duration),
            Fault::Reset { entry, agent } => (Some(entry), Some(agent), Duration::ZERO),
            Fault::PauseAgent { agent, duration }
            | Fault::Behavior { agent, duration, .. }
            | Fault::Unresponsive { agent, duration }
            | Fault::Drain { agent, duration } => (None, Some(agent), duration),
        };
        let until = now + duration;
        if let Some(entry) = entry {
            self.entries_faulty_until[entry] = self.entries_faulty_until[entry].max(until);
        }
        if let Some(agent) = agent {
            self.agents_faulty_until[agent] = self.agents_faulty_until[agent].max(until);
        }
    }

    /// Whether a start at an agent violates the emptied state of its hall: the command is in force,
    /// and no recent fault excuses the processes that enforce it.
    fn forbids_start(&self, now: Time, agent: usize) -> bool {
        let hall = agent % HALLS.len();
        if !self.emptied.contains(HALLS[hall]) {
            return false;
        }
        let entries =
            self.entries_faulty_until.iter().filter(|_| self.notified == Notified::EntriesOnly);
        let settled_at = entries.chain([&self.agents_faulty_until[agent], &self.changed_at[hall]]);
        settled_at.into_iter().all(|at| *at <= now && now.since(*at) > PROPAGATION_TIME)
    }
}

impl Simulation {
    /// Schedules the commands that empty and refill halls.
    pub(super) fn set_up_halls(&mut self, seed: u64) {
        let mut halls = HallCommands::new(seed, self.now, self.entries.len(), self.agents.len());
        let mut after = Duration::from_millis(halls.rng.random_range(300..2_000));
        while after < FAULT_PERIOD {
            let hall = halls.rng.random_range(0..HALLS.len());
            let takes_work = halls.rng.random_bool(0.4);
            self.schedule_after(after, SimEvent::HallCommand(hall, takes_work));
            after += Duration::from_millis(halls.rng.random_range(50..3_000));
        }
        (0..HALLS.len()).for_each(|hall| {
            self.schedule_after(REFILL_TIME, SimEvent::HallCommand(hall, true));
        });
        self.halls = Some(halls);
    }

    /// Applies an acknowledged command and notifies the processes.
    pub(super) fn apply_hall_command(&mut self, hall: usize, takes_work: bool) {
        let Some(halls) = &mut self.halls else { return };
        let name: HallName = HALLS[hall].parse().expect("the hall names of the run are valid");
        halls.changed_at[hall] = self.now;
        halls.emptied.apply(HallCommand { hall: name, takes_work });
        let (entries, agents) = (self.entries.len(), self.agents.len());
        (0..entries).for_each(|entry| self.schedule_hall_notice(true, entry));
        (0..agents).for_each(|agent| self.schedule_hall_notice(false, agent));
    }

    /// Schedules a notice to a process, if keepers notify this kind of process in the run.
    pub(super) fn schedule_hall_notice(&mut self, is_entry: bool, number: usize) {
        let Some(halls) = &mut self.halls else { return };
        let skipped = if is_entry { Notified::AgentsOnly } else { Notified::EntriesOnly };
        if halls.notified == skipped {
            return;
        }
        let delay = Duration::from_millis(halls.rng.random_range(1..MAX_NOTICE_DELAY_MS));
        let emptied = halls.emptied.clone();
        self.schedule_after(delay, SimEvent::HallNotice { is_entry, number, emptied });
    }

    pub(super) fn deliver_hall_notice(
        &mut self,
        is_entry: bool,
        number: usize,
        emptied: EmptiedHalls,
    ) {
        let (up, paused_until) = match is_entry {
            true => (self.entries[number].dispatcher.is_some(), self.entries[number].paused_until),
            false => (self.agents[number].runner.is_some(), self.agents[number].paused_until),
        };
        if !up || paused_until > self.now {
            return self.schedule_after(
                NOTICE_RETRY_INTERVAL,
                SimEvent::HallNotice { is_entry, number, emptied },
            );
        }
        match is_entry {
            true => self.deliver_to_entry(number, dispatch::Event::EmptiedHalls(emptied)),
            false => self.deliver_to_agent(number, runner::Event::Halls(emptied)),
        }
    }

    /// Checks that a task does not start in an emptied hall.
    pub(super) fn check_hall(&mut self, agent: usize, task: &TaskId, carried_out_late: bool) {
        let Some(halls) = &self.halls else { return };
        if !carried_out_late && halls.forbids_start(self.now, agent) {
            let hall = HallCommands::of_agent(agent);
            self.checks.violation(self.now, format!("{task} starts in the emptied hall {hall}"));
        }
    }

    /// Checks that all processes have the last state of the halls at the end.
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
            let description =
                format!("{behind} processes lack revision {last} of the emptied halls");
            self.checks.violation(self.now, description);
        }
    }
}
