//! Targets that restart under the same id, change their capacity, and crash under some tasks.
//!
//! A separate random stream keeps runs with stable targets unchanged.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{TaskId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runner::{Event, TargetInstance};

use super::event::{Call, SimEvent};
use super::faults::Fault;
use super::simulation::{FAULT_PERIOD, HEARTBEAT_INTERVAL, Simulation};

/// Separates this random stream from the others of the seed.
const RNG_STREAM: u64 = 0x5e57;
/// How long after a reduction a start may exceed the capacity: the agent learns the new capacity
/// from the next report, which may be delayed.
const REDUCTION_GRACE: Duration =
    Duration::from_millis(HEARTBEAT_INTERVAL.as_millis() as u64 + 4_100);
/// One of this many jobs has a first task that crashes its target.
const CRASHING_JOB_INTERVAL: u64 = 40;
/// Time from the start of such a task to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Downtime of a target that crashes under a task, in milliseconds.
const RESTART_DELAY_MS: std::ops::Range<u64> = 200..2_500;
/// Most target crashes under one task, over all submissions of its job.
const MAX_CRASHES: u32 = 5;

/// The random stream and the state of unstable targets.
pub(super) struct UnstableTargets {
    rng: ChaCha8Rng,
    /// Whether each target refuses starts that exceed its capacity.
    enforces_capacity: Vec<bool>,
    /// When the capacity of each target was last reduced.
    reduced_at: Vec<Time>,
    /// The target instance that received an unanswered command, by call number.
    unanswered: BTreeMap<u64, TargetInstance>,
}

impl UnstableTargets {
    /// Returns whether an earlier instance of the target received an unanswered command, and
    /// forgets the command.
    fn was_for_earlier_instance(&mut self, call: Call, present: &TargetInstance) -> bool {
        self.unanswered.remove(&call.number).is_some_and(|received_by| received_by != *present)
    }

    pub fn enforces_capacity(&self, agent: usize) -> bool {
        self.enforces_capacity[agent]
    }
}

impl Simulation {
    /// Draws which targets enforce their capacity, and schedules the changes of capacity.
    pub(super) fn set_up_unstable_targets(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(RNG_STREAM);
        let agents = self.agents.len();
        let enforces_capacity = (0..agents).map(|_| rng.random_bool(0.5)).collect();
        for agent in 0..agents {
            for _ in 0..rng.random_range(0..6) {
                let after =
                    Duration::from_millis(rng.random_range(0..FAULT_PERIOD.as_millis() as u64));
                self.schedule_after(after, SimEvent::Resize(agent, rng.random_range(20..=100)));
            }
            self.schedule_after(FAULT_PERIOD, SimEvent::Resize(agent, 100));
        }
        self.unstable_targets = Some(UnstableTargets {
            rng,
            enforces_capacity,
            reduced_at: vec![self.now; agents],
            unanswered: BTreeMap::new(),
        });
    }

    /// Records which instance received an unanswered command, as later instances with the same id
    /// must not carry it out.
    pub(super) fn record_unanswered(&mut self, call: Call, late: bool) {
        let Some(unstable) = self.unstable_targets.as_mut().filter(|_| late) else { return };
        if let Some(target) = &self.agents[call.agent].target {
            unstable.unanswered.insert(call.number, target.instance.clone());
        }
    }

    /// Whether the target instance that received a command is gone.
    pub(super) fn is_command_lost(&mut self, call: Call) -> bool {
        let (Some(unstable), Some(target)) =
            (&mut self.unstable_targets, &self.agents[call.agent].target)
        else {
            return false;
        };
        unstable.was_for_earlier_instance(call, &target.instance)
    }

    pub(super) fn resize_target(&mut self, agent: usize, percent: u64) {
        let Some(unstable) = &mut self.unstable_targets else { return };
        let process = &mut self.agents[agent];
        let Some(target) = &mut process.target else { return };
        let cpu_milli = process.capacity.cpu_milli * percent / 100;
        if cpu_milli < target.capacity.cpu_milli {
            unstable.reduced_at[agent] = self.now;
            self.checks.summary.capacity_reductions += 1;
        }
        target.capacity.cpu_milli = cpu_milli;
    }

    /// Checks that a started task does not exceed the capacity of its target.
    pub(super) fn check_capacity(&mut self, agent: usize, task: &TaskId) {
        let (Some(unstable), Some(target)) = (&self.unstable_targets, &self.agents[agent].target)
        else {
            return;
        };
        // A paused agent receives the report only after it resumes.
        let reported_from = unstable.reduced_at[agent].max(self.agents[agent].paused_until);
        let recently_reduced = self.now.since(reported_from) < REDUCTION_GRACE;
        if target.used_cpu_milli() > target.capacity.cpu_milli && !recently_reduced {
            let description = format!("{task} exceeds the capacity of target {agent}");
            self.checks.violation(self.now, description);
        }
    }

    /// Whether a task crashes the targets that start it.
    fn crashes_targets(&self, task: &TaskId) -> bool {
        let number = u64::from_str_radix(task.job.as_str(), 16).unwrap_or(1);
        self.unstable_targets.is_some()
            && task.index == 0
            && number.is_multiple_of(CRASHING_JOB_INTERVAL)
    }

    pub(super) fn schedule_crash(&mut self, agent: usize, task: &TaskId) {
        if !self.crashes_targets(task) {
            return;
        }
        let Some(target) = &self.agents[agent].target else { return };
        let instance = target.instance.clone();
        let crashes = self.checks.crash_count(task);
        if crashes >= MAX_CRASHES {
            let description = format!("{task} starts after {crashes} target crashes under it");
            self.checks.violation(self.now, description);
        }
        self.schedule_after(CRASH_DELAY, SimEvent::CrashTarget(agent, instance));
    }

    pub(super) fn crash_target(&mut self, agent: usize, instance: &TargetInstance) {
        let is_current =
            self.agents[agent].target.as_ref().is_some_and(|target| target.instance == *instance);
        let Some(unstable) = self.unstable_targets.as_mut().filter(|_| is_current) else { return };
        let downtime = Duration::from_millis(unstable.rng.random_range(RESTART_DELAY_MS));
        self.checks.summary.target_crashes += 1;
        self.inject_fault(Fault::CrashTarget { agent, downtime });
    }

    /// Schedules the connection error of a command to a target that does not listen.
    pub(super) fn report_no_listener(&mut self, agent: usize, instance: &TargetInstance) {
        let refuses = match &self.agents[agent].target {
            Some(target) => target.is_closed,
            None => self.unstable_targets.is_some(),
        };
        if refuses {
            self.schedule_after(
                Duration::ZERO,
                SimEvent::NoListener(agent, self.agents[agent].incarnation, instance.clone()),
            );
        }
    }

    pub(super) fn deliver_no_listener(
        &mut self,
        agent: usize,
        agent_incarnation: u64,
        instance: TargetInstance,
    ) {
        let process = &self.agents[agent];
        if process.incarnation == agent_incarnation && process.paused_until <= self.now {
            self.deliver_to_agent(agent, Event::NoListener(instance));
        }
    }
}
