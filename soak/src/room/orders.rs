//! Orders at targets, and what targets report.

use std::time::Duration;

use model::{Resources, TaskId};
use rand::Rng;
use runner::{HoldCommand, StartCommand, StartReply, StopCommand, TargetReport};

use super::world::{BEAT, Call, Happening, TARGET_TICK, World};

/// Part of the reports that are held up on their way.
const HELD_UP: f64 = 0.1;
/// Longer than any target or agent is away after a crash.
const LONGEST_HELD_UP_MS: u64 = 4_000;

impl World {
    pub(super) fn target_start(&mut self, call: Call, order: StartCommand, late: bool) {
        let agent = call.agent;
        if self.is_order_gone(call) {
            return;
        }
        let Some((work, fails, resources)) = self.work_of(&order.key.task) else { return };
        let now = self.now;
        let Some(target) = &mut self.agents[agent].target else { return };
        let (reply, began) = target.start(now, &order, resources, work, fails);
        if matches!(reply, StartReply::Refused { reason: runner::StartRefusal::NoCapacity, .. }) {
            self.checks.summary.no_room += 1;
        }
        if began {
            let task = &order.key.task;
            self.check_room(agent, task);
            self.crash_soon(agent, task);
            let elsewhere = self.agents.iter().enumerate().any(|(other, process)| {
                other != agent
                    && process.target.as_ref().is_some_and(|target| target.running().contains(task))
            });
            let drains = self.agents[agent].drains;
            self.note(|| format!("target {agent} starts {task}"));
            self.checks.started(now, task, elsewhere, drains);
            self.check_hall(agent, task, late);
            if let Some(client) = self.clients.get_mut(&task.job) {
                self.tally.started(now, client);
            }
        }
        if !late {
            let hop = self.hop();
            self.at(hop, Happening::Started(call, order.key, reply));
        }
    }

    pub(super) fn work_of(&self, task: &TaskId) -> Option<(Duration, bool, Resources)> {
        let client = self.clients.get(&task.job)?;
        let (work, fails) = *client.work.get(task.index as usize)?;
        Some((work, fails, client.request.shape.resources))
    }

    pub(super) fn target_stop(&mut self, call: Call, order: &StopCommand, late: bool) {
        let agent = call.agent;
        if self.is_order_gone(call) {
            return;
        }
        let now = self.now;
        let Some(target) = &mut self.agents[agent].target else { return };
        let reply = target.stop(now, order);
        if !late {
            let hop = self.hop();
            self.at(hop, Happening::Stopped(call, order.key.clone(), reply));
        }
    }

    pub(super) fn target_hold(&mut self, call: Call, order: HoldCommand) {
        let agent = call.agent;
        let now = self.now;
        let Some(target) = &mut self.agents[agent].target else { return };
        match target.hold(now, &order, false) {
            Some(reply) => {
                let hop = self.hop();
                self.at(hop, Happening::Held(call, order, reply));
            }
            None => {
                let wait = order.wait;
                self.agents[agent].waiting = Some((call, order));
                self.at(wait, Happening::HoldOver(call));
            }
        }
    }

    pub(super) fn hold_over(&mut self, call: Call) {
        let waits = |(waiting, _): &(Call, HoldCommand)| *waiting == call;
        if self.agents[call.agent].waiting.as_ref().is_some_and(waits) {
            self.answer_hold(call.agent);
        }
    }

    pub(super) fn answer_hold(&mut self, agent: usize) {
        let now = self.now;
        let Some((call, order)) = self.agents[agent].waiting.take() else { return };
        let Some(target) = &mut self.agents[agent].target else { return };
        if let Some(reply) = target.hold(now, &order, true) {
            let hop = self.hop();
            self.at(hop, Happening::Held(call, order, reply));
        }
    }

    pub(super) fn pass_targets(&mut self) {
        let now = self.now;
        for agent in 0..self.agents.len() {
            let Some(target) = &mut self.agents[agent].target else { continue };
            let ended = target.pass(now);
            let runs_on = target.running().into_iter().cloned().collect::<Vec<TaskId>>();
            runs_on.iter().for_each(|task| self.checks.runs_on(now, task));
            for end in &ended {
                self.note(|| format!("target {agent}: {} ends {:?}", end.task, end.reason));
                self.checks.ended(&end.task, end.reason);
            }
            if !ended.is_empty() {
                self.answer_hold(agent);
            }
        }
        self.at(TARGET_TICK, Happening::Targets);
    }

    pub(super) fn beat(&mut self, agent: usize) {
        let now = self.now;
        let report = self.agents[agent].target.as_ref().map(|target| target.report(now));
        if let Some(report) = report {
            if self.rng.random_bool(HELD_UP) {
                let span = Duration::from_millis(self.rng.random_range(1..LONGEST_HELD_UP_MS));
                self.at(span, Happening::LateReport(agent, report));
            } else {
                self.report(agent, report);
            }
        }
        self.at(BEAT, Happening::Beat(agent));
    }

    /// An agent takes a report, of whichever life of its target; a leave is acknowledged by that.
    pub(super) fn report(&mut self, agent: usize, report: TargetReport) {
        let now = self.now;
        let process = &mut self.agents[agent];
        if process.runner.is_none() || process.frozen > now {
            return;
        }
        let is_there = process.target.as_ref().is_some_and(|target| target.id == report.instance);
        if is_there && report.draining {
            process.drains.get_or_insert(now);
        }
        self.feed_agent(agent, runner::Event::TargetReported(report));
    }
}
