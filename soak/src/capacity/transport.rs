//! Opening and closing of sessions, and delivery of their messages.

use std::collections::BTreeMap;

use keeper::DocumentSource;
use wire::ToAgent;

use super::event::SimEvent;
use super::session::{Packet, Session};
use super::simulation::{DIAL_INTERVAL, Simulation};

impl Simulation {
    /// Opens a session if the agent serves the entry and both are reachable; schedules the next
    /// try.
    pub(super) fn dial(&mut self, agent: usize, entry: usize) {
        self.schedule_after(DIAL_INTERVAL, SimEvent::Dial(agent, entry));
        let now = self.now;
        let is_up = self.entries[entry].dispatcher.is_some()
            && self.agents[agent].runner.is_some()
            && self.entries[entry].paused_until <= now
            && self.agents[agent].paused_until <= now;
        let cut = self.cut_until.get(&(entry, agent)).is_some_and(|until| *until > now);
        let connected = self.agents[agent]
            .sessions
            .values()
            .any(|session| self.sessions[*session].entry == entry);
        if !is_up || cut || connected || !self.subsets.serves(agent, entry) {
            return;
        }
        let number = self.sessions.len();
        self.sessions.push(Session {
            entry,
            agent,
            open_at_entry: true,
            open_at_agent: true,
            last_to_entry: now,
            last_to_agent: now,
        });
        self.entries[entry].last_id += 1;
        self.agents[agent].last_id += 1;
        let (at_entry, at_agent) = (self.entries[entry].last_id, self.agents[agent].last_id);
        self.entries[entry].sessions.insert(at_entry, number);
        self.agents[agent].sessions.insert(at_agent, number);
        self.deliver_to_entry(entry, dispatch::Event::AgentOpened(dispatch::SessionId(at_entry)));
        if !self.old_builds.agents.contains(&agent) {
            self.send_packet(number, Packet::ReadsDemand);
        }
        self.send_packet(number, Packet::ReadsSuspicions);
        self.deliver_to_agent(agent, runner::Event::SessionOpened(runner::SessionId(at_agent)));
    }

    /// Sends a packet in a session, through the link of the entry if its bandwidth is limited.
    pub(super) fn send_packet(&mut self, number: usize, packet: Packet) {
        self.load_stats.messages += 1;
        if let Some(packet) = self.send_by_link(number, packet) {
            self.transmit_packet(number, packet);
        }
    }

    /// Schedules the arrival of a packet: in order, and after any cut has ended.
    pub(super) fn transmit_packet(&mut self, number: usize, packet: Packet) {
        let delay = self.network_delay();
        let session = self.sessions[number];
        let cut = self.cut_until.get(&(session.entry, session.agent)).copied().unwrap_or_default();
        let to_agent = packet.is_to_agent();
        let session = &mut self.sessions[number];
        let last = if to_agent { &mut session.last_to_agent } else { &mut session.last_to_entry };
        let arrives = (self.now.max(cut) + delay).max(*last);
        *last = arrives;
        self.schedule_at(arrives, SimEvent::Packet(number, packet));
    }

    /// An agent of an old build closes a session on a message that it cannot read.
    fn check_readable(&mut self, agent: usize, message: &ToAgent) {
        if self.old_builds.agents.contains(&agent) && matches!(message, ToAgent::Demand { .. }) {
            let description = format!("agent {agent} of an old build was sent {message:?}");
            self.checks.violation(self.now, description);
        }
    }

    pub(super) fn close_at_entry(&mut self, number: usize) {
        self.sessions[number].open_at_entry = false;
        self.send_packet(number, Packet::CloseAtAgent);
    }

    pub(super) fn close_at_agent(&mut self, number: usize) {
        self.sessions[number].open_at_agent = false;
        self.send_packet(number, Packet::CloseAtEntry);
    }

    pub(super) fn deliver_packet(&mut self, number: usize, packet: Packet) {
        let Session { entry, agent, open_at_entry, open_at_agent, .. } = self.sessions[number];
        let to_agent = packet.is_to_agent();
        let paused_until = if to_agent {
            self.agents[agent].paused_until
        } else {
            self.entries[entry].paused_until
        };
        if paused_until > self.now {
            return self.schedule_at(paused_until, SimEvent::Packet(number, packet));
        }
        let find = |sessions: &BTreeMap<u64, usize>| {
            sessions.iter().find(|(_, session)| **session == number).map(|(id, _)| *id)
        };
        match packet {
            Packet::ToAgent(message) if open_at_agent => {
                self.check_readable(agent, &message);
                let Some(id) = find(&self.agents[agent].sessions) else { return };
                let event = runner::Event::FromEntry(runner::SessionId(id), message);
                self.deliver_to_agent(agent, event);
            }
            Packet::ToEntry(message) if open_at_entry => {
                let Some(id) = find(&self.entries[entry].sessions) else { return };
                let event = dispatch::Event::FromAgent(dispatch::SessionId(id), message);
                self.deliver_to_entry(entry, event);
            }
            Packet::ReadsDemand if open_at_entry && !self.old_builds.entries.contains(&entry) => {
                let Some(id) = find(&self.entries[entry].sessions) else { return };
                let event = dispatch::Event::AgentReadsDemand(dispatch::SessionId(id));
                self.deliver_to_entry(entry, event);
            }
            Packet::ReadsSuspicions if open_at_agent => {
                let Some(id) = find(&self.agents[agent].sessions) else { return };
                let event = runner::Event::EntryReadsSuspicions(runner::SessionId(id));
                self.deliver_to_agent(agent, event);
            }
            Packet::CloseAtAgent if open_at_agent => {
                self.sessions[number].open_at_agent = false;
                let Some(id) = find(&self.agents[agent].sessions) else { return };
                self.agents[agent].sessions.remove(&id);
                self.deliver_to_agent(agent, runner::Event::SessionClosed(runner::SessionId(id)));
            }
            Packet::CloseAtEntry if open_at_entry => {
                self.sessions[number].open_at_entry = false;
                let Some(id) = find(&self.entries[entry].sessions) else { return };
                self.entries[entry].sessions.remove(&id);
                self.deliver_to_entry(entry, dispatch::Event::AgentClosed(dispatch::SessionId(id)));
                self.drive_fetch(entry, |fetch, now| {
                    fetch.source_gone(now, DocumentSource::Agent(id))
                });
            }
            _ => {}
        }
    }
}
