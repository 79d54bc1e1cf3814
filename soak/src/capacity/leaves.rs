//! Targets that leave while tasks may run on them: they announce that they drain, serve on for a
//! while, deregister, and end some time later.
//!
//! A separate random stream keeps runs without leaves unchanged.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runner::{Event, TargetInstance};

use super::event::SimEvent;
use super::simulation::{FAULT_PERIOD, Simulation};

/// Separates this random stream from the others of the seed.
const RNG_STREAM: u64 = 0x1eaf;
/// Number of leaves of a run.
const LEAVES: std::ops::Range<u32> = 2..10;
/// Time from the first draining report to the deregistration, in milliseconds. Short ones leave
/// tasks on the target.
const DRAIN_MS: std::ops::Range<u64> = 0..1_200;
/// Ranges of the time from the deregistration to the end of the target, in milliseconds. The last
/// one exceeds the lease.
const END_DELAYS_MS: [std::ops::Range<u64>; 4] = [0..1, 1..50, 50..600, 600..2_500];
/// Time from the end of a target to the start of its next instance, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 100..2_500;
/// Share of deregistrations that do not reach the agent.
const LOST_SHARE: f64 = 0.15;
/// Share of deregistrations that arrive late, perhaps when the next instance is up.
const DELAYED_SHARE: f64 = 0.15;
/// Delay of such deregistrations, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 20..4_000;
/// Delay of the others, in microseconds.
const USUAL_DELAY_US: std::ops::Range<u64> = 100..2_500;
/// Share of deregistrations that are sent again.
const REPEATED_SHARE: f64 = 0.2;
/// Share of deregistrations that name the start time of the instance, if it has one.
const TIMED_SHARE: f64 = 0.5;
/// Share of targets that refuse connections between their deregistration and their end.
const CLOSED_SHARE: f64 = 0.3;

/// One leave of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leave {
    agent: usize,
    drain: Duration,
    /// Time from the deregistration to the end of the target.
    end_delay: Duration,
    downtime: Duration,
    /// Whether the target closes its listener and its connections when it deregisters, before its
    /// runs end.
    closes_early: bool,
    /// Whether the deregistration names the start time of the instance, if it has one.
    is_timed: bool,
    /// When copies of the deregistration arrive, after it was sent.
    arrivals: [Option<Duration>; 2],
}

impl Leave {
    fn draw(rng: &mut ChaCha8Rng, agents: usize) -> Self {
        let millis = |rng: &mut ChaCha8Rng, range| Duration::from_millis(rng.random_range(range));
        let end_delays = END_DELAYS_MS[rng.random_range(0..END_DELAYS_MS.len())].clone();
        let is_lost = rng.random_bool(LOST_SHARE);
        let is_delayed = rng.random_bool(DELAYED_SHARE);
        let is_repeated = rng.random_bool(REPEATED_SHARE);
        let first = match is_delayed {
            true => millis(rng, DELAY_MS),
            false => Duration::from_micros(rng.random_range(USUAL_DELAY_US)),
        };
        let second = millis(rng, DELAY_MS);
        Self {
            agent: rng.random_range(0..agents),
            drain: millis(rng, DRAIN_MS),
            end_delay: millis(rng, end_delays),
            downtime: millis(rng, DOWNTIME_MS),
            closes_early: rng.random_bool(CLOSED_SHARE),
            is_timed: rng.random_bool(TIMED_SHARE),
            arrivals: [(!is_lost).then_some(first), is_repeated.then_some(second)],
        }
    }
}

/// A step of a leave. It is dropped if the instance has crashed since the leave began.
#[derive(Clone, Debug)]
pub(super) enum LeaveStep {
    /// The target sends its first draining report.
    Drain,
    /// The instance deregisters.
    Deregister(TargetInstance),
    /// The instance ends with all of its runs.
    End(TargetInstance),
}

impl Simulation {
    /// Draws the leaves of a run.
    pub(super) fn set_up_leaves(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(RNG_STREAM);
        for _ in 0..rng.random_range(LEAVES) {
            let leave = Leave::draw(&mut rng, self.agents.len());
            let after =
                Duration::from_millis(rng.random_range(500..FAULT_PERIOD.as_millis() as u64));
            self.schedule_after(after, SimEvent::Leave(leave, LeaveStep::Drain));
        }
    }

    /// Performs a step of a leave and schedules the next one.
    pub(super) fn leave(&mut self, leave: Leave, step: LeaveStep) {
        let agent = leave.agent;
        let Some(target) = &self.agents[agent].target else { return };
        let is_outdated = match &step {
            LeaveStep::Drain => target.is_leaving,
            LeaveStep::Deregister(instance) | LeaveStep::End(instance) => {
                target.instance != *instance
            }
        };
        if is_outdated {
            return;
        }
        self.trace_event(|| format!("target {agent}: {step:?} of {leave:?}"));
        match step {
            LeaveStep::Drain => {
                let next = LeaveStep::Deregister(target.instance.clone());
                self.start_draining(agent);
                self.schedule_after(leave.drain, SimEvent::Leave(leave, next));
            }
            LeaveStep::Deregister(instance) => {
                self.deregister(leave, &instance);
                let next = LeaveStep::End(instance);
                self.schedule_after(leave.end_delay, SimEvent::Leave(leave, next));
            }
            LeaveStep::End(_) => self.end_target(leave),
        }
    }

    fn start_draining(&mut self, agent: usize) {
        let now = self.now;
        let Some(target) = &mut self.agents[agent].target else { return };
        target.is_leaving = true;
        target.draining = true;
        let report = target.report(now);
        self.deliver_report(agent, report);
    }

    fn deregister(&mut self, leave: Leave, instance: &TargetInstance) {
        let Some(target) = &mut self.agents[leave.agent].target else { return };
        self.checks.summary.leaves += 1;
        self.checks.summary.leaves_with_runs += u64::from(!target.runs.is_empty());
        target.is_closed = leave.closes_early;
        let mut named = instance.clone();
        if !leave.is_timed {
            named.started_ms = None;
        }
        for delay in leave.arrivals.into_iter().flatten() {
            let arrival = SimEvent::Deregistration(leave.agent, named.clone());
            self.schedule_after(delay, arrival);
        }
    }

    /// Delivers a deregistration, unless the agent is down.
    pub(super) fn deliver_deregistration(&mut self, agent: usize, instance: TargetInstance) {
        let paused_until = self.agents[agent].paused_until;
        if paused_until > self.now {
            let arrival = SimEvent::Deregistration(agent, instance);
            return self.schedule_at(paused_until, arrival);
        }
        let process = &mut self.agents[agent];
        if process.runner.is_none() {
            return;
        }
        if process.target.as_ref().is_some_and(|target| target.instance == instance) {
            process.draining_since.get_or_insert(self.now);
        }
        self.deliver_to_agent(agent, Event::TargetLeft(instance));
    }

    /// Ends a target that has left. To an agent that was told neither of the draining nor of the
    /// leave this is a crash.
    fn end_target(&mut self, leave: Leave) {
        let process = &mut self.agents[leave.agent];
        let target = process.target.take();
        process.waiting_hold = None;
        if process.draining_since.is_none() {
            self.checks.target_crashed(target.as_ref());
        }
        self.schedule_after(leave.downtime, SimEvent::StartTarget(leave.agent));
    }
}
