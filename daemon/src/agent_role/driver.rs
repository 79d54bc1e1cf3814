//! Drives the agent state machine: passes inputs to it, answers pending calls and writes the log.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agent::{Action, Agent, CallId, Event, LogEvent, Reply, Request, Setup};
use async_channel::Sender;
use execution::{Session, TaskOutcome};
use futures::channel::oneshot;
use model::{TaskKey, Time};
use spdlog::{error, info, warn};
use telemetry::AgentCounters;

use super::target::TargetTask;
use super::{AgentOptions, SharedState};
use crate::clock::Clock;
use crate::event_loop::Driver;
use crate::settings_client::SettingsUpdate;

/// An input of the state machine's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call of an entry.
    Call {
        /// The connection that the call came over.
        session: Session,
        /// The content of the call.
        request: Request,
        /// Receives the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// A connection of an entry was closed.
    Closed(Session),
    /// A task at the target ended.
    Ended(TaskKey, TaskOutcome),
    /// A change or confirmation of the settings.
    Settings(SettingsUpdate),
    /// Stop accepting new work.
    Leave,
    /// A request for the counters.
    Counters(Sender<AgentCounters>),
}

/// The agent state machine with its pending calls and outputs.
pub(crate) struct AgentDriver {
    setup: Setup,
    /// `None` until the first settings are received.
    agent: Option<Agent>,
    /// Whether the agent was asked to leave before the first settings were received.
    leave_on_first_settings: bool,
    shared: Arc<SharedState>,
    target_tasks: Sender<TargetTask>,
    /// Dropped on the first settings, so that the serving thread starts to accept calls.
    hold_calls: Option<Sender<()>>,
    pending_calls: HashMap<CallId, oneshot::Sender<Reply>>,
    next_call: u64,
    actions: Vec<Action>,
    counters_interval: Duration,
    last_counters_log: Time,
}

impl AgentDriver {
    pub(crate) fn new(
        options: &AgentOptions,
        shared: Arc<SharedState>,
        target_tasks: Sender<TargetTask>,
        hold_calls: Sender<()>,
        clock: Clock,
    ) -> Self {
        let setup = Setup {
            node: options.node_ref.clone(),
            service: options.agent.service.clone(),
            hall: options.node.hall.clone(),
            rack: options.node.rack.clone(),
            slots: options.agent.slots,
            started: clock.now(),
        };
        Self {
            setup,
            agent: None,
            leave_on_first_settings: false,
            shared,
            target_tasks,
            hold_calls: Some(hold_calls),
            pending_calls: HashMap::new(),
            next_call: 0,
            actions: Vec::new(),
            counters_interval: options.node.counters_interval,
            last_counters_log: Time::default(),
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        let Some(agent) = &mut self.agent else { return };
        let mut actions = std::mem::take(&mut self.actions);
        agent.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Reply { call, reply } => {
                if let Some(caller) = self.pending_calls.remove(&call) {
                    // Fails if the connection is closed; the entry then settles the tasks without a
                    // reply.
                    let _ = caller.send(reply);
                }
            }
            // The target's thread starts a task per item, so a full channel drains quickly.
            Action::Run { key, task, deadline } => {
                drop(self.target_tasks.send_blocking(TargetTask { key, task, deadline }));
            }
            Action::Log(event) => self.log_event(&event),
        }
    }

    fn log_event(&mut self, event: &LogEvent) {
        let name = &self.setup.node.name;
        match event {
            LogEvent::SessionOpened(session, entry) => {
                info!("agent {}: session {} opened by entry {}", name, session.0, entry);
            }
            LogEvent::SessionClosed(session) => {
                info!("agent {}: session {} closed", name, session.0)
            }
            LogEvent::LeaseEnded(session, tokens) => {
                warn!(
                    "agent {}: lease expired: took back {} tokens of session {}",
                    name, tokens, session.0
                );
            }
            LogEvent::TargetUnreachable => warn!("agent {}: the target is unreachable", name),
            LogEvent::Leaving => info!("agent {}: leaving, refusing new work", name),
            LogEvent::Drained => {
                info!("agent {}: drained", name);
                self.shared.drained.store(true, Ordering::Release);
            }
            LogEvent::Settings(version) => {
                info!("agent {}: using settings version {}", name, version)
            }
            LogEvent::Breach(breach) => error!("agent {}: BREACH: {}", name, breach),
        }
    }

    fn apply_settings(&mut self, now: Time, update: SettingsUpdate) {
        let SettingsUpdate::Catalog(catalog) = update else { return };
        let (version, fleet) = (catalog.version(), Arc::new(catalog.fleet().clone()));
        if self.agent.is_some() {
            return self.handle_event(now, Event::Settings { version, fleet });
        }
        self.agent = Some(Agent::new(self.setup.clone(), version, fleet));
        self.hold_calls.take();
        if self.leave_on_first_settings {
            self.handle_event(now, Event::Leave);
        }
    }

    fn leave(&mut self, now: Time) {
        if self.agent.is_none() {
            self.leave_on_first_settings = true;
            self.shared.drained.store(true, Ordering::Release);
        }
        self.handle_event(now, Event::Leave);
    }

    fn log_counters(&mut self, now: Time) {
        let Some(agent) = &self.agent else { return };
        if now.since(self.last_counters_log) < self.counters_interval {
            return;
        }
        self.last_counters_log = now;
        let counters = agent.counters();
        info!(
            "agent {}: started={} ended={} refused={} repeated={} stale={} settled={} running={} \
             claims={} tasks={} outcome_bytes={} messages={} wasted={} breaches={}",
            self.setup.node.name,
            counters.started,
            counters.ended,
            counters.refused,
            counters.repeated,
            counters.stale,
            counters.settled,
            counters.running,
            counters.claims,
            counters.tasks,
            counters.outcome_bytes,
            counters.messages.total_sent(),
            counters.messages.total_wasted(),
            counters.breaches
        );
    }
}

impl Driver for AgentDriver {
    type Input = Input;

    fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::Call { session, request, reply } => {
                self.next_call += 1;
                let call = CallId(self.next_call);
                self.pending_calls.insert(call, reply);
                self.handle_event(now, Event::Call { session, call, request });
            }
            Input::Closed(session) => self.handle_event(now, Event::Closed { session }),
            Input::Ended(key, outcome) => self.handle_event(now, Event::Ended { key, outcome }),
            Input::Settings(update) => self.apply_settings(now, update),
            Input::Leave => self.leave(now),
            Input::Counters(reply) => {
                if let Some(agent) = &self.agent {
                    // Fails only if the requester has stopped waiting.
                    let _ = reply.try_send(agent.counters());
                }
            }
        }
    }

    fn handle_tick(&mut self, now: Time) {
        self.handle_event(now, Event::Tick);
        // Calls on closed connections need no reply.
        self.pending_calls.retain(|_, caller| !caller.is_canceled());
        self.log_counters(now);
    }

    fn next_timer(&self) -> Option<Time> {
        self.agent.as_ref().and_then(Agent::next_timer)
    }
}
