//! Faults as they strike.

use std::collections::BTreeSet;
use std::time::Duration;

use model::JobId;

use super::faults::Fault;
use super::link::{Parcel, Session};
use super::world::{Happening, World};

impl World {
    pub(super) fn strike(&mut self, fault: Fault) {
        self.checks.summary.faults += 1;
        self.note(|| format!("fault {fault:?}"));
        if let Some(halls) = &mut self.halls {
            halls.hit(self.now, fault);
        }
        match fault {
            Fault::KillEntry { entry, down, silent } => self.kill_entry(entry, down, silent),
            Fault::KillAgent { agent, down } => self.kill_agent(agent, down),
            Fault::FreezeEntry { entry, span } => {
                let until = self.now + span;
                let frozen = &mut self.entries[entry].frozen;
                *frozen = until.max(*frozen);
            }
            Fault::FreezeAgent { agent, span } => {
                let until = self.now + span;
                let frozen = &mut self.agents[agent].frozen;
                *frozen = until.max(*frozen);
            }
            Fault::CrashTarget { agent, down } => {
                self.checks.crashed(self.agents[agent].target.as_ref());
                self.agents[agent].target = None;
                self.at(down, Happening::TargetBack(agent));
            }
            Fault::Cut { entry, agent, span } => {
                self.cuts.insert((entry, agent), self.now + span);
            }
            Fault::Reset { entry, agent } => self.reset(entry, agent),
            Fault::Manner { agent, manner, span } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.manner = manner;
                    self.at(span, Happening::MannerOver(agent));
                }
            }
            Fault::Mute { agent, span } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.mute = true;
                    self.at(span, Happening::MuteOver(agent));
                }
            }
            Fault::Leave { agent, span } => {
                if let Some(target) = &mut self.agents[agent].target {
                    target.draining = true;
                }
                let down = Duration::from_millis(500);
                self.at(
                    span + Duration::from_secs(1),
                    Happening::Fault(Fault::CrashTarget { agent, down }),
                );
            }
        }
    }

    pub(super) fn kill_entry(&mut self, entry: usize, down: Duration, silent: bool) {
        let process = &mut self.entries[entry];
        if process.dispatcher.take().is_none() {
            return;
        }
        process.life += 1;
        process.frozen = self.now;
        let sessions = std::mem::take(&mut process.sessions);
        let jobs: BTreeSet<JobId> = std::mem::take(&mut process.jobs).into_values().collect();
        for session in sessions.into_values() {
            self.sessions[session].open_at_entry = false;
            if !silent {
                self.send(session, Parcel::CloseAtAgent);
            }
        }
        for id in jobs {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if client.at.take().is_some() {
                self.send_again(&id);
            }
        }
        self.at(down, Happening::EntryBack(entry));
    }

    pub(super) fn kill_agent(&mut self, agent: usize, down: Duration) {
        let process = &mut self.agents[agent];
        if process.runner.take().is_none() {
            return;
        }
        process.life += 1;
        process.frozen = self.now;
        let sessions = std::mem::take(&mut process.sessions);
        for session in sessions.into_values() {
            self.sessions[session].open_at_agent = false;
            self.send(session, Parcel::CloseAtEntry);
        }
        self.at(down, Happening::AgentBack(agent));
    }

    pub(super) fn reset(&mut self, entry: usize, agent: usize) {
        let find = |session: &Session| session.entry == entry && session.agent == agent;
        let Some(number) = self.sessions.iter().rposition(find) else { return };
        self.send(number, Parcel::CloseAtAgent);
        self.send(number, Parcel::CloseAtEntry);
    }
}
