//! Entries and agents: what they are told, and what they do.

use std::time::Duration;

use keeper::DocumentSource;
use rand::Rng;
use runner::{HoldCommand, HoldReply, StartReply, StopReply};

use super::link::Parcel;
use super::world::{Call, Happening, World};

/// What part of the orders a mute target leaves unanswered.
const MUTE_PART: f64 = 0.6;

impl World {
    pub(super) fn feed_entry(&mut self, entry: usize, event: dispatch::Event) {
        let process = &mut self.entries[entry];
        let Some(dispatcher) = &mut process.dispatcher else { return };
        let mut actions = Vec::new();
        dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.note(|| format!("entry {entry}: {action:?}"));
            match action {
                dispatch::Action::Send(id, message) => {
                    if let Some(session) = self.entries[entry].sessions.get(&id.0).copied() {
                        self.send(session, Parcel::ToAgent(message));
                    }
                }
                dispatch::Action::Close(id) => {
                    if let Some(session) = self.entries[entry].sessions.remove(&id.0) {
                        self.close_at_entry(session);
                        let source = DocumentSource::Agent(id.0);
                        self.fetch(entry, |fetch, now| fetch.source_gone(now, source));
                    }
                }
                dispatch::Action::NotifyEntries(job) => self.tell_entries(entry, &job),
                dispatch::Action::DocumentOffered(id, version) => {
                    let source = DocumentSource::Agent(id.0);
                    self.fetch(entry, |fetch, now| fetch.version_offered(now, source, version));
                }
                dispatch::Action::DocumentPart(id, part) => {
                    let source = DocumentSource::Agent(id.0);
                    self.fetch(entry, |fetch, now| fetch.part_answered(now, source, part));
                }
                dispatch::Action::Answer(ticket, outcome) => self.answer(entry, ticket, outcome),
                dispatch::Action::Log(dispatch::LogEvent::Breach(breach)) => {
                    self.checks.violation(self.now, breach.to_string());
                }
                dispatch::Action::Log(_) => {}
            }
        }
    }

    pub(super) fn feed_agent(&mut self, agent: usize, event: runner::Event) {
        let process = &mut self.agents[agent];
        let Some(runner) = &mut process.runner else { return };
        let mut actions = Vec::new();
        runner.handle(self.now, event, &mut actions);
        let life = process.life;
        let timing = *runner.timing();
        for action in actions {
            self.note(|| format!("agent {agent}: {action:?}"));
            match action {
                runner::Action::Send(id, message) => {
                    if let Some(session) = self.agents[agent].sessions.get(&id.0).copied() {
                        self.send(session, Parcel::ToEntry(message));
                    }
                }
                runner::Action::Close(id) => {
                    if let Some(session) = self.agents[agent].sessions.remove(&id.0) {
                        self.close_at_agent(session);
                    }
                }
                runner::Action::Start(order) => {
                    self.tell_no_listener(agent, &order.key.target);
                    let (hop, late) = self.order_time(agent);
                    let call = self.call(agent, life);
                    self.lies_unanswered(call, late);
                    self.at(hop, Happening::Start(call, order.clone(), late));
                    let silent = Happening::Started(call, order.key, StartReply::NoAnswer);
                    self.at(timing.command_timeout, silent);
                }
                runner::Action::Stop(order) => {
                    let (hop, late) = self.order_time(agent);
                    let call = self.call(agent, life);
                    self.lies_unanswered(call, late);
                    self.at(hop, Happening::Stop(call, order.clone(), late));
                    let silent = Happening::Stopped(call, order.key, StopReply::NoAnswer);
                    self.at(timing.command_timeout, silent);
                }
                runner::Action::Hold(order) => {
                    self.tell_no_listener(agent, &order.target);
                    let (hop, late) = self.order_time(agent);
                    let call = self.call(agent, life);
                    if !late {
                        self.at(hop, Happening::Hold(call, order.clone()));
                    }
                    let time = order.answer_within;
                    self.at(time, Happening::Held(call, order, HoldReply::NoAnswer));
                }
                runner::Action::Log(_) => {}
            }
        }
    }

    /// How long an order takes to the target, and whether it is carried out late, unanswered.
    pub(super) fn order_time(&mut self, agent: usize) -> (Duration, bool) {
        let mute = self.agents[agent].target.as_ref().is_some_and(|target| target.mute);
        let unanswered = if mute { MUTE_PART } else { self.unanswered };
        if unanswered > 0.0 && self.rng.random_bool(unanswered) {
            (Duration::from_millis(self.rng.random_range(2_000..9_000)), true)
        } else {
            (Duration::from_micros(self.rng.random_range(200..1_500)), false)
        }
    }

    pub(super) fn call(&mut self, agent: usize, life: u64) -> Call {
        self.sequence += 1;
        self.calls.insert(self.sequence);
        Call { agent, life, number: self.sequence }
    }

    /// An answer, or its absence, reaches the agent; the first that comes counts.
    pub(super) fn answer_agent(&mut self, call: Call, event: runner::Event) {
        if !self.calls.contains(&call.number) {
            return;
        }
        let process = &self.agents[call.agent];
        if process.life == call.life && process.frozen > self.now {
            let until = process.frozen;
            let again = match event {
                runner::Event::StartAnswered(key, reply) => Happening::Started(call, key, reply),
                runner::Event::StopAnswered(key, reply) => Happening::Stopped(call, key, reply),
                runner::Event::HoldAnswered(target, reply) => {
                    let order = HoldCommand {
                        target,
                        deadline_ms: None,
                        fencing_token: 0,
                        last_seen: 0,
                        wait: Duration::ZERO,
                        answer_within: Duration::ZERO,
                    };
                    Happening::Held(call, order, reply)
                }
                _ => return,
            };
            return self.at_time(until, again);
        }
        self.calls.remove(&call.number);
        if process.life == call.life {
            self.feed_agent(call.agent, event);
        }
    }
}
