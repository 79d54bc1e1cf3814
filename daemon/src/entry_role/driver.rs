//! Drives the entry state machine: passes inputs to it, answers pending calls and writes logs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use entry::{Action, CallId, Entry, Event, LogEvent, Setup};
use futures::channel::oneshot;
use model::{SubmissionId, Time};
use serde::Serialize;
use spdlog::{error, info, warn};
use telemetry::EntryCounters;
use wire::{RelayReply, RelayRequest};

use super::agent_links::AgentLinkInput;
use super::{EntryOptions, SharedState};
use crate::decisions::DecisionLog;
use crate::event_loop::Driver;
use crate::settings_client::SettingsUpdate;

/// Minimum interval between two evaluations of readiness.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A request of a caller or of another entry.
#[derive(Debug)]
pub(crate) enum EntryRequest {
    /// Run a job or a request.
    Submit(RelayRequest),
    /// Fetch the outcome of a submission.
    Fetch(SubmissionId),
}

/// An input of the state machine's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A request that waits for an outcome.
    Call {
        /// The request.
        request: EntryRequest,
        /// Whether another entry relays the request for one of its callers.
        relayed: bool,
        /// Receives the outcome.
        reply: oneshot::Sender<RelayReply>,
    },
    /// An event from the agent connections or the platform's host list.
    Event(Event),
    /// A change or confirmation of the settings.
    Settings(SettingsUpdate),
    /// A request for the status and counters.
    Status(Sender<EntryStatus>),
}

/// The status that the entry serves to operators as JSON.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EntryStatus {
    /// The name of the node.
    pub name: String,
    /// Whether the entry accepts work.
    pub ready: bool,
    /// The version of the current settings; `None` until settings are received.
    pub settings_version: Option<u64>,
    /// Counters since the start of the process.
    pub counters: EntryCounters,
}

/// The entry state machine with its pending calls and outputs.
pub(crate) struct EntryDriver {
    name: String,
    entry: Entry,
    shared: Arc<SharedState>,
    agent_links: Sender<AgentLinkInput>,
    decisions: DecisionLog,
    pending_calls: HashMap<CallId, oneshot::Sender<RelayReply>>,
    next_call: u64,
    actions: Vec<Action>,
    counters_interval: Duration,
    last_counters_log: Time,
    last_ready_check: Time,
}

impl EntryDriver {
    pub(crate) fn new(
        options: &EntryOptions,
        shared: Arc<SharedState>,
        agent_links: Sender<AgentLinkInput>,
    ) -> Self {
        let setup = Setup { node: options.node_ref.clone(), hall: options.node.hall.clone() };
        Self {
            name: options.node.name.to_string(),
            entry: Entry::new(setup).with_host_kept_bytes(options.entry.max_kept_bytes),
            shared,
            agent_links,
            decisions: options.decisions.clone(),
            pending_calls: HashMap::new(),
            next_call: 0,
            actions: Vec::new(),
            counters_interval: options.node.counters_interval,
            last_counters_log: Time::default(),
            last_ready_check: Time::default(),
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.entry.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        if now.since(self.last_ready_check) >= READY_CHECK_INTERVAL {
            self.last_ready_check = now;
            self.shared.ready.store(self.is_ready(now), Ordering::Release);
        }
    }

    fn is_ready(&self, now: Time) -> bool {
        self.entry.is_ready(now) && !self.shared.draining.load(Ordering::Acquire)
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Respond { call, reply } => {
                if let Some(caller) = self.pending_calls.remove(&call) {
                    // Fails if the caller disconnected; the outcome can still be fetched later.
                    let _ = caller.send(reply);
                }
            }
            Action::LogDecision(decision) => self.decisions.add(decision),
            Action::Log(event) => log_event(&self.name, &event),
            // The links' thread starts a task per action, so a full channel drains quickly.
            action => drop(self.agent_links.send_blocking(AgentLinkInput::Action(action))),
        }
    }

    fn submit(
        &mut self,
        now: Time,
        request: EntryRequest,
        relayed: bool,
        reply: oneshot::Sender<RelayReply>,
    ) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.pending_calls.insert(call, reply);
        let event = match request {
            EntryRequest::Submit(request) => Event::Submit { call, request, relayed },
            EntryRequest::Fetch(submission) => Event::Fetch { call, submission, relayed },
        };
        self.handle_event(now, event);
    }

    fn status(&self, now: Time) -> EntryStatus {
        EntryStatus {
            name: self.name.clone(),
            ready: self.is_ready(now),
            settings_version: self.entry.settings_version(),
            counters: self.entry.counters(),
        }
    }

    fn log_counters(&mut self, now: Time) {
        if now.since(self.last_counters_log) < self.counters_interval {
            return;
        }
        self.last_counters_log = now;
        let counters = self.entry.counters();
        info!(
            "entry {}: submitted={} completed={} failed={} refused={} active={} queued={} idle={} \
             placed={} again={} late={} kept={} messages={} wasted={} breaches={}",
            self.name,
            counters.submitted,
            counters.completed,
            counters.failed,
            counters.refused,
            counters.active,
            counters.queued,
            counters.idle,
            counters.placed,
            counters.placed_again,
            counters.late,
            counters.kept,
            counters.messages.total_sent(),
            counters.messages.total_wasted(),
            counters.breaches
        );
    }
}

impl Driver for EntryDriver {
    type Input = Input;

    fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::Call { request, relayed, reply } => self.submit(now, request, relayed, reply),
            Input::Event(event) => self.handle_event(now, event),
            Input::Settings(SettingsUpdate::Catalog(catalog)) => {
                self.handle_event(now, Event::Settings { catalog });
            }
            Input::Settings(SettingsUpdate::Confirmed(at)) => {
                self.handle_event(now, Event::SettingsConfirmed { at })
            }
            Input::Status(reply) => {
                // Fails only if the requester has stopped waiting.
                let _ = reply.try_send(self.status(now));
            }
        }
    }

    fn handle_tick(&mut self, now: Time) {
        self.handle_event(now, Event::Tick);
        self.log_counters(now);
    }

    fn next_timer(&self) -> Option<Time> {
        let ready = (!self.shared.ready.load(Ordering::Acquire))
            .then(|| self.last_ready_check + READY_CHECK_INTERVAL);
        self.entry.next_timer().into_iter().chain(ready).min()
    }
}

fn log_event(name: &str, event: &LogEvent) {
    match event {
        LogEvent::TargetConnected(agent) => info!("entry {}: connected to agent {}", name, agent),
        LogEvent::TargetDisconnected(agent) => {
            warn!("entry {}: connection to agent {} lost", name, agent)
        }
        LogEvent::TargetLeaving(agent) => info!("entry {}: agent {} is leaving", name, agent),
        LogEvent::Straggling(agent, true) => warn!("entry {}: agent {} is slow", name, agent),
        LogEvent::Straggling(agent, false) => {
            info!("entry {}: agent {} is no longer slow", name, agent)
        }
        LogEvent::LeaseEnded(agent, tokens) => {
            warn!(
                "entry {}: lease expired: dropped {} idle tokens of agent {}",
                name, tokens, agent
            );
        }
        LogEvent::Settings(version) => info!("entry {}: using settings version {}", name, version),
        LogEvent::SettingsStale(true) => {
            warn!("entry {}: settings unconfirmed, refusing new work", name);
        }
        LogEvent::SettingsStale(false) => info!("entry {}: settings confirmed", name),
        LogEvent::Breach(breach) => error!("entry {}: BREACH: {}", name, breach),
    }
}
