//! Delivery of events to entries and agents, and the execution of their actions.

use std::time::Duration;

use keeper::DocumentSource;
use rand::Rng;
use runner::{HoldCommand, HoldReply, StartReply, StopReply};

use super::event::{Call, SimEvent};
use super::session::Packet;
use super::simulation::Simulation;

/// Share of commands that an unresponsive target leaves unanswered.
const UNRESPONSIVE_SHARE: f64 = 0.6;

impl Simulation {
    pub(super) fn deliver_to_entry(&mut self, entry: usize, event: dispatch::Event) {
        let process = &mut self.entries[entry];
        let Some(dispatcher) = &mut process.dispatcher else { return };
        let mut actions = Vec::new();
        dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.trace_event(|| format!("entry {entry}: {action:?}"));
            match action {
                dispatch::Action::Send(id, message) => {
                    if let Some(session) = self.entries[entry].sessions.get(&id.0).copied() {
                        self.send_packet(session, Packet::ToAgent(message));
                    }
                }
                dispatch::Action::Close(id) => {
                    if let Some(session) = self.entries[entry].sessions.remove(&id.0) {
                        self.close_at_entry(session);
                        let source = DocumentSource::Agent(id.0);
                        self.drive_fetch(entry, |fetch, now| fetch.source_gone(now, source));
                    }
                }
                dispatch::Action::NotifyEntries(job) => self.notify_entries(entry, &job),
                dispatch::Action::DocumentOffered(id, version) => {
                    let source = DocumentSource::Agent(id.0);
                    self.drive_fetch(entry, |fetch, now| {
                        fetch.version_offered(now, source, version)
                    });
                }
                dispatch::Action::DocumentPart(id, part) => {
                    let source = DocumentSource::Agent(id.0);
                    self.drive_fetch(entry, |fetch, now| fetch.part_answered(now, source, part));
                }
                dispatch::Action::Answer(call_id, outcome) => {
                    self.deliver_outcome(entry, call_id, outcome)
                }
                dispatch::Action::Log(dispatch::LogEvent::Breach(breach)) => {
                    self.checks.violation(self.now, breach.to_string());
                }
                dispatch::Action::Log(_) => {}
            }
        }
    }

    pub(super) fn deliver_to_agent(&mut self, agent: usize, event: runner::Event) {
        let process = &mut self.agents[agent];
        let Some(runner) = &mut process.runner else { return };
        let mut actions = Vec::new();
        runner.handle(self.now, event, &mut actions);
        let incarnation = process.incarnation;
        let timing = *runner.timing();
        for action in actions {
            self.trace_event(|| format!("agent {agent}: {action:?}"));
            match action {
                runner::Action::Send(id, message) => {
                    if let Some(session) = self.agents[agent].sessions.get(&id.0).copied() {
                        self.send_packet(session, Packet::ToEntry(message));
                    }
                }
                runner::Action::Close(id) => {
                    if let Some(session) = self.agents[agent].sessions.remove(&id.0) {
                        self.close_at_agent(session);
                    }
                }
                runner::Action::Start(command) => {
                    self.report_no_listener(agent, &command.key.target);
                    let (delay, late) = self.command_delay(agent);
                    let call = self.new_call(agent, incarnation);
                    self.record_unanswered(call, late);
                    self.schedule_after(delay, SimEvent::Start(call, command.clone(), late));
                    let timeout = SimEvent::StartAnswered(call, command.key, StartReply::NoAnswer);
                    self.schedule_after(timing.command_timeout, timeout);
                }
                runner::Action::Stop(command) => {
                    let (delay, late) = self.command_delay(agent);
                    let call = self.new_call(agent, incarnation);
                    self.record_unanswered(call, late);
                    self.schedule_after(delay, SimEvent::Stop(call, command.clone(), late));
                    let timeout = SimEvent::StopAnswered(call, command.key, StopReply::NoAnswer);
                    self.schedule_after(timing.command_timeout, timeout);
                }
                runner::Action::Hold(command) => {
                    self.report_no_listener(agent, &command.target);
                    let (delay, late) = self.command_delay(agent);
                    let call = self.new_call(agent, incarnation);
                    if !late {
                        self.schedule_after(delay, SimEvent::Hold(call, command.clone()));
                    }
                    let time = command.answer_within;
                    self.schedule_after(
                        time,
                        SimEvent::HoldAnswered(call, command, HoldReply::NoAnswer),
                    );
                }
                runner::Action::Log(_) => {}
            }
        }
    }

    /// Returns the delay of a command to the target, and whether it is carried out late and
    /// unanswered.
    pub(super) fn command_delay(&mut self, agent: usize) -> (Duration, bool) {
        let unresponsive =
            self.agents[agent].target.as_ref().is_some_and(|target| target.unresponsive);
        let unanswered = if unresponsive { UNRESPONSIVE_SHARE } else { self.unanswered };
        if unanswered > 0.0 && self.rng.random_bool(unanswered) {
            self.trace_event(|| format!("target {agent} leaves a command unanswered"));
            (Duration::from_millis(self.rng.random_range(2_000..9_000)), true)
        } else {
            (Duration::from_micros(self.rng.random_range(200..1_500)), false)
        }
    }

    pub(super) fn new_call(&mut self, agent: usize, incarnation: u64) -> Call {
        self.sequence += 1;
        self.open_calls.insert(self.sequence);
        Call { agent, incarnation, number: self.sequence }
    }

    /// Delivers the answer to a command, or its timeout, to the agent. Only the first one counts.
    pub(super) fn deliver_answer(&mut self, call: Call, event: runner::Event) {
        if !self.open_calls.contains(&call.number) {
            return;
        }
        let process = &self.agents[call.agent];
        if process.incarnation == call.incarnation && process.paused_until > self.now {
            let until = process.paused_until;
            let delayed = match event {
                runner::Event::StartAnswered(key, reply) => {
                    SimEvent::StartAnswered(call, key, reply)
                }
                runner::Event::StopAnswered(key, reply) => SimEvent::StopAnswered(call, key, reply),
                runner::Event::HoldAnswered(target, reply) => {
                    let command = HoldCommand {
                        target,
                        deadline_ms: None,
                        fencing_token: 0,
                        last_seen: 0,
                        wait: Duration::ZERO,
                        answer_within: Duration::ZERO,
                    };
                    SimEvent::HoldAnswered(call, command, reply)
                }
                _ => return,
            };
            return self.schedule_at(until, delayed);
        }
        self.open_calls.remove(&call.number);
        if process.incarnation == call.incarnation {
            self.trace_event(|| format!("agent {} receives {event:?}", call.agent));
            self.deliver_to_agent(call.agent, event);
        }
    }
}
