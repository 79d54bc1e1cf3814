//! Commands to targets, and the reports of targets to their agents.

use std::time::Duration;

use model::{Resources, TaskId};
use rand::Rng;
use runner::{EndReason, HoldCommand, StartCommand, StartReply, StopCommand, TargetReport};

use super::event::{Call, SimEvent};
use super::simulation::{HEARTBEAT_INTERVAL, Simulation, TARGET_TICK};

/// Share of reports that are delayed.
const DELAYED_REPORT_SHARE: f64 = 0.1;
/// Exceeds the longest restart of a target or an agent, so that reports of an earlier instance
/// arrive.
const MAX_REPORT_DELAY_MS: u64 = 4_000;

impl Simulation {
    pub(super) fn start_at_target(&mut self, call: Call, command: StartCommand, late: bool) {
        let agent = call.agent;
        if self.is_command_lost(call) {
            return;
        }
        let Some((work, fails, resources)) = self.task_work(agent, &command.key.task) else {
            return;
        };
        let now = self.now;
        let Some(target) = self.agents[agent].listening_target() else { return };
        let (reply, started) = target.start(now, &command, resources, work, fails);
        if matches!(reply, StartReply::Refused { reason: runner::StartRefusal::NoCapacity, .. }) {
            self.checks.summary.refused_no_capacity += 1;
        }
        if started {
            let task = &command.key.task;
            self.check_capacity(agent, task);
            self.schedule_crash(agent, task);
            let running_elsewhere = self.agents.iter().enumerate().any(|(other, process)| {
                other != agent
                    && process.target.as_ref().is_some_and(|target| target.running().contains(task))
            });
            let draining_since = self.agents[agent].draining_since;
            self.trace_event(|| format!("target {agent} starts {task}"));
            self.checks.task_started(now, task, running_elsewhere, draining_since);
            self.check_hall(agent, task, late);
            if let Some(client) = self.clients.get_mut(&task.job) {
                self.load_stats.task_started(now, client);
            }
        }
        if !late {
            let delay = self.network_delay();
            self.schedule_after(delay, SimEvent::StartAnswered(call, command.key, reply));
        }
    }

    /// Returns the run time of a task at an agent's target, whether it fails, and its resources.
    pub(super) fn task_work(
        &self,
        agent: usize,
        task: &TaskId,
    ) -> Option<(Duration, bool, Resources)> {
        let client = self.clients.get(&task.job)?;
        let (work, fails) = *client.work.get(task.index as usize)?;
        let process = &self.agents[agent];
        let is_near = client
            .request
            .shape
            .affinity
            .as_ref()
            .is_none_or(|label| process.labels.contains(label));
        let factor = process.speed_factor * if is_near { 1.0 } else { self.remote_penalty };
        Some((work.mul_f64(factor), fails, client.request.shape.resources))
    }

    pub(super) fn stop_at_target(&mut self, call: Call, command: &StopCommand, late: bool) {
        let agent = call.agent;
        if self.is_command_lost(call) {
            return;
        }
        let now = self.now;
        let Some(target) = self.agents[agent].listening_target() else { return };
        let reply = target.stop(now, command);
        if !late {
            let delay = self.network_delay();
            self.schedule_after(delay, SimEvent::StopAnswered(call, command.key.clone(), reply));
        }
    }

    pub(super) fn hold_at_target(&mut self, call: Call, command: HoldCommand) {
        let agent = call.agent;
        let now = self.now;
        let Some(target) = self.agents[agent].listening_target() else { return };
        match target.hold(now, &command, false) {
            Some(reply) => {
                let delay = self.network_delay();
                self.schedule_after(delay, SimEvent::HoldAnswered(call, command, reply));
            }
            None => {
                let wait = command.wait;
                self.agents[agent].waiting_hold = Some((call, command));
                self.schedule_after(wait, SimEvent::HoldTimeout(call));
            }
        }
    }

    pub(super) fn hold_timed_out(&mut self, call: Call) {
        let waits = |(waiting, _): &(Call, HoldCommand)| *waiting == call;
        if self.agents[call.agent].waiting_hold.as_ref().is_some_and(waits) {
            self.answer_hold(call.agent);
        }
    }

    pub(super) fn answer_hold(&mut self, agent: usize) {
        let now = self.now;
        let Some((call, command)) = self.agents[agent].waiting_hold.take() else { return };
        let Some(target) = self.agents[agent].listening_target() else { return };
        if let Some(reply) = target.hold(now, &command, true) {
            let delay = self.network_delay();
            self.schedule_after(delay, SimEvent::HoldAnswered(call, command, reply));
        }
    }

    pub(super) fn advance_targets(&mut self) {
        let now = self.now;
        for agent in 0..self.agents.len() {
            let Some(target) = &mut self.agents[agent].target else { continue };
            let ended = target.end_due_runs(now);
            let running = target.running().into_iter().cloned().collect::<Vec<TaskId>>();
            running.iter().for_each(|task| self.checks.still_running(now, task));
            for end in &ended {
                self.trace_event(|| format!("target {agent}: {} ends {:?}", end.task, end.reason));
                self.checks.task_ended(&end.task, end.reason);
                if end.reason == EndReason::Done
                    && let Some(client) = self.clients.get_mut(&end.task.job)
                {
                    client.longest_run = client.longest_run.max(Some((end.ran, agent)));
                }
            }
            if !ended.is_empty() {
                self.answer_hold(agent);
            }
        }
        self.schedule_after(TARGET_TICK, SimEvent::AdvanceTargets);
    }

    pub(super) fn send_heartbeat(&mut self, agent: usize) {
        let now = self.now;
        let report = self.agents[agent].target.as_ref().map(|target| target.report(now));
        if let Some(report) = report {
            if self.rng.random_bool(DELAYED_REPORT_SHARE) {
                let delay = Duration::from_millis(self.rng.random_range(1..MAX_REPORT_DELAY_MS));
                self.schedule_after(delay, SimEvent::DelayedReport(agent, report));
            } else {
                self.deliver_report(agent, report);
            }
        }
        self.schedule_after(HEARTBEAT_INTERVAL, SimEvent::Heartbeat(agent));
    }

    /// Delivers a report, possibly of an earlier instance of the target. The first report of a
    /// draining present instance is the drain notice.
    pub(super) fn deliver_report(&mut self, agent: usize, report: TargetReport) {
        let now = self.now;
        let process = &mut self.agents[agent];
        if process.runner.is_none() || process.paused_until > now {
            return;
        }
        let is_current =
            process.target.as_ref().is_some_and(|target| target.instance == report.instance);
        if is_current && report.draining {
            process.draining_since.get_or_insert(now);
        }
        self.deliver_to_agent(agent, runner::Event::TargetReported(report));
    }
}
