//! Sessions between entries and agents.

use std::collections::BTreeMap;

use keeper::DocumentSource;

use super::link::{Parcel, Session};
use super::world::{DIAL, Happening, World};

impl World {
    pub(super) fn dial(&mut self, agent: usize, entry: usize) {
        self.at(DIAL, Happening::Dial(agent, entry));
        let now = self.now;
        let is_up = self.entries[entry].dispatcher.is_some()
            && self.agents[agent].runner.is_some()
            && self.entries[entry].frozen <= now
            && self.agents[agent].frozen <= now;
        let cut = self.cuts.get(&(entry, agent)).is_some_and(|until| *until > now);
        let connected = self.agents[agent]
            .sessions
            .values()
            .any(|session| self.sessions[*session].entry == entry);
        if !is_up || cut || connected || !self.sets.serves(agent, entry) {
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
        self.entries[entry].next += 1;
        self.agents[agent].next += 1;
        let (at_entry, at_agent) = (self.entries[entry].next, self.agents[agent].next);
        self.entries[entry].sessions.insert(at_entry, number);
        self.agents[agent].sessions.insert(at_agent, number);
        self.feed_entry(entry, dispatch::Event::AgentOpened(dispatch::SessionId(at_entry)));
        self.feed_agent(agent, runner::Event::SessionOpened(runner::SessionId(at_agent)));
    }

    /// Sends in a session, by the link of its entry where that is limited.
    pub(super) fn send(&mut self, number: usize, parcel: Parcel) {
        self.tally.messages += 1;
        if let Some(parcel) = self.send_by_link(number, parcel) {
            self.travel(number, parcel);
        }
    }

    /// Lets a parcel arrive: in order, and not before a cut is over.
    pub(super) fn travel(&mut self, number: usize, parcel: Parcel) {
        let hop = self.hop();
        let session = self.sessions[number];
        let cut = self.cuts.get(&(session.entry, session.agent)).copied().unwrap_or_default();
        let to_agent = matches!(parcel, Parcel::ToAgent(_) | Parcel::CloseAtAgent);
        let session = &mut self.sessions[number];
        let last = if to_agent { &mut session.last_to_agent } else { &mut session.last_to_entry };
        let arrives = (self.now.max(cut) + hop).max(*last);
        *last = arrives;
        self.at_time(arrives, Happening::Parcel(number, parcel));
    }

    pub(super) fn close_at_entry(&mut self, number: usize) {
        self.sessions[number].open_at_entry = false;
        self.send(number, Parcel::CloseAtAgent);
    }

    pub(super) fn close_at_agent(&mut self, number: usize) {
        self.sessions[number].open_at_agent = false;
        self.send(number, Parcel::CloseAtEntry);
    }

    pub(super) fn deliver(&mut self, number: usize, parcel: Parcel) {
        let Session { entry, agent, open_at_entry, open_at_agent, .. } = self.sessions[number];
        let to_agent = matches!(parcel, Parcel::ToAgent(_) | Parcel::CloseAtAgent);
        let frozen = if to_agent { self.agents[agent].frozen } else { self.entries[entry].frozen };
        if frozen > self.now {
            return self.at_time(frozen, Happening::Parcel(number, parcel));
        }
        let find = |sessions: &BTreeMap<u64, usize>| {
            sessions.iter().find(|(_, session)| **session == number).map(|(id, _)| *id)
        };
        match parcel {
            Parcel::ToAgent(message) if open_at_agent => {
                let Some(id) = find(&self.agents[agent].sessions) else { return };
                let event = runner::Event::FromEntry(runner::SessionId(id), message);
                self.feed_agent(agent, event);
            }
            Parcel::ToEntry(message) if open_at_entry => {
                let Some(id) = find(&self.entries[entry].sessions) else { return };
                let event = dispatch::Event::FromAgent(dispatch::SessionId(id), message);
                self.feed_entry(entry, event);
            }
            Parcel::CloseAtAgent if open_at_agent => {
                self.sessions[number].open_at_agent = false;
                let Some(id) = find(&self.agents[agent].sessions) else { return };
                self.agents[agent].sessions.remove(&id);
                self.feed_agent(agent, runner::Event::SessionClosed(runner::SessionId(id)));
            }
            Parcel::CloseAtEntry if open_at_entry => {
                self.sessions[number].open_at_entry = false;
                let Some(id) = find(&self.entries[entry].sessions) else { return };
                self.entries[entry].sessions.remove(&id);
                self.feed_entry(entry, dispatch::Event::AgentClosed(dispatch::SessionId(id)));
                self.fetch(entry, |fetch, now| fetch.source_gone(now, DocumentSource::Agent(id)));
            }
            _ => {}
        }
    }
}
