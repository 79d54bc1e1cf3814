//! Applies faults to entries, agents, targets and connections.

use std::collections::BTreeSet;
use std::time::Duration;

use model::JobId;

use super::event::SimEvent;
use super::faults::Fault;
use super::session::{Packet, Session};
use super::simulation::Simulation;

impl Simulation {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        self.checks.summary.faults += 1;
        self.trace_event(|| format!("fault {fault:?}"));
        if let Some(halls) = &mut self.halls {
            halls.record_fault(self.now, fault);
        }
        match fault {
            Fault::KillEntry { entry, downtime, silent } => {
                self.kill_entry(entry, downtime, silent)
            }
            Fault::KillAgent { agent, downtime } => self.kill_agent(agent, downtime),
            Fault::PauseEntry { entry, duration } => {
                let until = self.now + duration;
                let paused_until = &mut self.entries[entry].paused_until;
                *paused_until = until.max(*paused_until);
            }
            Fault::PauseAgent { agent, duration } => {
                let until = self.now + duration;
                let paused_until = &mut self.agents[agent].paused_until;
                *paused_until = until.max(*paused_until);
            }
            Fault::CrashTarget { agent, downtime } => {
                self.checks.target_crashed(self.agents[agent].target.as_ref());
                self.agents[agent].target = None;
                self.schedule_after(downtime, SimEvent::StartTarget(agent));
            }
            Fault::Cut { entry, agent, duration } => {
                self.cut_until.insert((entry, agent), self.now + duration);
            }
            Fault::Reset { entry, agent } => self.reset_connection(entry, agent),
            Fault::Behavior { agent, behavior, duration } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.behavior = behavior;
                    self.schedule_after(duration, SimEvent::RestoreBehavior(agent));
                }
            }
            Fault::Unresponsive { agent, duration } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.unresponsive = true;
                    self.schedule_after(duration, SimEvent::RestoreAnswers(agent));
                }
            }
            Fault::Drain { agent, duration } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.draining = true;
                }
                let downtime = Duration::from_millis(500);
                self.schedule_after(
                    duration + Duration::from_secs(1),
                    SimEvent::Fault(Fault::CrashTarget { agent, downtime }),
                );
            }
        }
    }

    pub(super) fn kill_entry(&mut self, entry: usize, downtime: Duration, silent: bool) {
        let process = &mut self.entries[entry];
        if process.dispatcher.take().is_none() {
            return;
        }
        process.incarnation += 1;
        process.paused_until = self.now;
        let sessions = std::mem::take(&mut process.sessions);
        let jobs: BTreeSet<JobId> = std::mem::take(&mut process.jobs).into_values().collect();
        for session in sessions.into_values() {
            self.sessions[session].open_at_entry = false;
            if !silent {
                self.send_packet(session, Packet::CloseAtAgent);
            }
        }
        for id in jobs {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if client.pending_call.take().is_some() {
                self.send_again(&id);
            }
        }
        self.schedule_after(downtime, SimEvent::StartEntry(entry));
    }

    pub(super) fn kill_agent(&mut self, agent: usize, downtime: Duration) {
        let process = &mut self.agents[agent];
        if process.runner.take().is_none() {
            return;
        }
        process.incarnation += 1;
        process.paused_until = self.now;
        let sessions = std::mem::take(&mut process.sessions);
        for session in sessions.into_values() {
            self.sessions[session].open_at_agent = false;
            self.send_packet(session, Packet::CloseAtEntry);
        }
        self.schedule_after(downtime, SimEvent::StartAgent(agent));
    }

    pub(super) fn reset_connection(&mut self, entry: usize, agent: usize) {
        let find = |session: &Session| session.entry == entry && session.agent == agent;
        let Some(number) = self.sessions.iter().rposition(find) else { return };
        self.send_packet(number, Packet::CloseAtAgent);
        self.send_packet(number, Packet::CloseAtEntry);
    }
}
