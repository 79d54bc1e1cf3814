//! Targets that change: they start again under the id that they had, have more or less room by turns, and crash under some
//! tasks.
//!
//! What is drawn for this comes from a generator of its own, so that the rest of a run is what its seed makes without it.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{TaskId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runner::{Event, TargetInstance};

use super::faults::Fault;
use super::world::{BEAT, Call, Happening, TROUBLED, World};

/// Keeps the generator apart from those that other parts of a run make of its seed.
const STREAM: u64 = 0x5e57;
/// A start brings a target over its room rightly for so long after that has shrunk: the agent hears of it with the next report,
/// which may be held up for 4 s.
const SHRUNK_KNOWN: Duration = Duration::from_millis(BEAT.as_millis() as u64 + 4_100);
/// Of so many jobs, the first task of one crashes the targets that start it.
const CRASHING_EVERY: u64 = 40;
/// How long such a task runs until then.
const CRASHES_AFTER: Duration = Duration::from_millis(30);
/// A target that crashes under a task is back after so long.
const BACK_AFTER_MS: std::ops::Range<u64> = 200..2_500;
/// Most targets that may crash under one task, over all tries of its job.
const MOST_CRASHES: u32 = 5;

/// What changes at the targets of a run.
pub(super) struct RestlessTargets {
    rng: ChaCha8Rng,
    /// Each target refuses what it has no room for, or does not.
    guards: Vec<bool>,
    /// When each had less room than before last.
    shrunk: Vec<Time>,
    /// The life of the target that has taken an order and lets it lie, by the number of the call.
    unanswered: BTreeMap<u64, TargetInstance>,
}

impl RestlessTargets {
    /// Whether an order that lay unanswered is gone with the process that had taken it.
    fn is_gone(&mut self, call: Call, present: &TargetInstance) -> bool {
        self.unanswered.remove(&call.number).is_some_and(|taken_by| taken_by != *present)
    }

    pub fn guards_room(&self, agent: usize) -> bool {
        self.guards[agent]
    }
}

impl World {
    /// Draws which targets guard their room, and when it changes.
    pub(super) fn set_up_restless(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(STREAM);
        let agents = self.agents.len();
        let guards = (0..agents).map(|_| rng.random_bool(0.5)).collect();
        for agent in 0..agents {
            for _ in 0..rng.random_range(0..6) {
                let after = Duration::from_millis(rng.random_range(0..TROUBLED.as_millis() as u64));
                self.at(after, Happening::Resize(agent, rng.random_range(20..=100)));
            }
            self.at(TROUBLED, Happening::Resize(agent, 100));
        }
        self.restless = Some(RestlessTargets {
            rng,
            guards,
            shrunk: vec![self.now; agents],
            unanswered: BTreeMap::new(),
        });
    }

    /// An order may lie at its target, unanswered, and be carried out later: not by the next process, which has the id as well.
    pub(super) fn lies_unanswered(&mut self, call: Call, late: bool) {
        let Some(restless) = self.restless.as_mut().filter(|_| late) else { return };
        if let Some(target) = &self.agents[call.agent].target {
            restless.unanswered.insert(call.number, target.id.clone());
        }
    }

    /// Whether the process that had taken an order is gone.
    pub(super) fn is_order_gone(&mut self, call: Call) -> bool {
        let (Some(restless), Some(target)) = (&mut self.restless, &self.agents[call.agent].target)
        else {
            return false;
        };
        restless.is_gone(call, &target.id)
    }

    pub(super) fn resize(&mut self, agent: usize, percent: u64) {
        let Some(restless) = &mut self.restless else { return };
        let process = &mut self.agents[agent];
        let Some(target) = &mut process.target else { return };
        let cpu_milli = process.capacity.cpu_milli * percent / 100;
        if cpu_milli < target.capacity.cpu_milli {
            restless.shrunk[agent] = self.now;
            self.checks.summary.shrunk += 1;
        }
        target.capacity.cpu_milli = cpu_milli;
    }

    /// A task has begun to run at a target: that must not bring it over its room.
    pub(super) fn check_room(&mut self, agent: usize, task: &TaskId) {
        let (Some(restless), Some(target)) = (&self.restless, &self.agents[agent].target) else {
            return;
        };
        // An agent that stood still hears of it afterwards.
        let hears_from = restless.shrunk[agent].max(self.agents[agent].frozen);
        let shrunk_lately = self.now.since(hears_from) < SHRUNK_KNOWN;
        if target.taken_cpu() > target.capacity.cpu_milli && !shrunk_lately {
            let what = format!("{task} brings target {agent} over its room");
            self.checks.violation(self.now, what);
        }
    }

    /// Whether a task crashes the targets that start it.
    fn crashes_targets(&self, task: &TaskId) -> bool {
        let number = u64::from_str_radix(task.job.as_str(), 16).unwrap_or(1);
        self.restless.is_some() && task.index == 0 && number.is_multiple_of(CRASHING_EVERY)
    }

    pub(super) fn crash_soon(&mut self, agent: usize, task: &TaskId) {
        if !self.crashes_targets(task) {
            return;
        }
        let Some(target) = &self.agents[agent].target else { return };
        let life = target.id.clone();
        let crashes = self.checks.crashes_under(task);
        if crashes >= MOST_CRASHES {
            let what = format!("{task} is started though {crashes} targets have crashed under it");
            self.checks.violation(self.now, what);
        }
        self.at(CRASHES_AFTER, Happening::CrashUnder(agent, life));
    }

    pub(super) fn crash_under(&mut self, agent: usize, life: &TargetInstance) {
        let is_there = self.agents[agent].target.as_ref().is_some_and(|target| target.id == *life);
        let Some(restless) = self.restless.as_mut().filter(|_| is_there) else { return };
        let down = Duration::from_millis(restless.rng.random_range(BACK_AFTER_MS));
        self.checks.summary.crashes += 1;
        self.strike(Fault::CrashTarget { agent, down });
    }

    /// An order goes to a target of which no process is there.
    pub(super) fn tell_no_listener(&mut self, agent: usize, life: &TargetInstance) {
        if self.restless.is_some() && self.agents[agent].target.is_none() {
            self.at(
                Duration::ZERO,
                Happening::NoListener(agent, self.agents[agent].life, life.clone()),
            );
        }
    }

    pub(super) fn no_listener(&mut self, agent: usize, agent_life: u64, life: TargetInstance) {
        let process = &self.agents[agent];
        if process.life == agent_life && process.frozen <= self.now {
            self.feed_agent(agent, Event::NoListener(life));
        }
    }
}
