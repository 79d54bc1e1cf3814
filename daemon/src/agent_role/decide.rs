//! The agent's deciding thread: the state machine, the calls that wait, the log.

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

use super::target::Run;
use super::{AgentOptions, Shared};
use crate::clock::Clock;
use crate::driver::Decider;
use crate::settings_link::Update;

/// What reaches the deciding thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call on a connection.
    Call {
        /// The connection.
        session: Session,
        /// Its content.
        request: Request,
        /// Where its reply goes.
        reply: oneshot::Sender<Reply>,
    },
    /// A connection is gone.
    Closed(Session),
    /// The target is done with a task.
    Ended(TaskKey, TaskOutcome),
    /// News of the settings.
    Settings(Update),
    /// Take no new work.
    Leave,
    /// A question for the counters.
    Counters(Sender<AgentCounters>),
}

/// The deciding thread's state.
pub(crate) struct AgentDecider {
    setup: Setup,
    /// None before the first settings.
    agent: Option<Agent>,
    /// Told to leave before the first settings.
    leave_at_once: bool,
    shared: Arc<Shared>,
    runs: Sender<Run>,
    /// Dropped when calls may be taken.
    open: Option<Sender<()>>,
    calls: HashMap<CallId, oneshot::Sender<Reply>>,
    next_call: u64,
    actions: Vec<Action>,
    counters_every: Duration,
    counters_logged: Time,
}

impl AgentDecider {
    pub(crate) fn new(
        options: &AgentOptions,
        shared: Arc<Shared>,
        runs: Sender<Run>,
        open: Sender<()>,
        clock: Clock,
    ) -> Self {
        let setup = Setup {
            node: options.life.clone(),
            service: options.agent.service.clone(),
            hall: options.node.hall.clone(),
            rack: options.node.rack.clone(),
            slots: options.agent.slots,
            started: clock.now(),
        };
        Self {
            setup,
            agent: None,
            leave_at_once: false,
            shared,
            runs,
            open: Some(open),
            calls: HashMap::new(),
            next_call: 0,
            actions: Vec::new(),
            counters_every: options.node.counters_every,
            counters_logged: Time::default(),
        }
    }

    fn event(&mut self, now: Time, event: Event) {
        let Some(agent) = &mut self.agent else { return };
        let mut actions = std::mem::take(&mut self.actions);
        agent.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Reply { call, reply } => {
                if let Some(caller) = self.calls.remove(&call) {
                    // The connection may be gone; the entry will settle what it lost.
                    let _ = caller.send(reply);
                }
            }
            // The target's thread only ever passes tasks on, so a full ring empties soon.
            Action::Run { key, task, deadline } => {
                drop(self.runs.send_blocking(Run { key, task, deadline }));
            }
            Action::Log(news) => self.news(&news),
        }
    }

    fn news(&mut self, news: &LogEvent) {
        let name = &self.setup.node.name;
        match news {
            LogEvent::SessionOpened(session, entry) => {
                info!("agent {}: session {} of entry {}", name, session.0, entry);
            }
            LogEvent::SessionClosed(session) => {
                info!("agent {}: session {} closed", name, session.0)
            }
            LogEvent::LeaseEnded(session, tokens) => {
                warn!("agent {}: took {} tokens of silent session {}", name, tokens, session.0);
            }
            LogEvent::TargetUnreachable => warn!("agent {}: its target can't be reached", name),
            LogEvent::Leaving => info!("agent {}: leaving, no new work", name),
            LogEvent::Drained => {
                info!("agent {}: drained", name);
                self.shared.drained.store(true, Ordering::Release);
            }
            LogEvent::Settings(version) => info!("agent {}: settings {} in force", name, version),
            LogEvent::Breach(breach) => error!("agent {}: BREACH: {}", name, breach),
        }
    }

    fn settings(&mut self, now: Time, update: Update) {
        let Update::Catalog(catalog) = update else { return };
        let (version, fleet) = (catalog.version(), Arc::new(catalog.fleet().clone()));
        if self.agent.is_some() {
            return self.event(now, Event::Settings { version, fleet });
        }
        self.agent = Some(Agent::new(self.setup.clone(), version, fleet));
        self.open.take();
        if self.leave_at_once {
            self.event(now, Event::Leave);
        }
    }

    fn leave(&mut self, now: Time) {
        if self.agent.is_none() {
            self.leave_at_once = true;
            self.shared.drained.store(true, Ordering::Release);
        }
        self.event(now, Event::Leave);
    }

    fn log_counters(&mut self, now: Time) {
        let Some(agent) = &self.agent else { return };
        if now.since(self.counters_logged) < self.counters_every {
            return;
        }
        self.counters_logged = now;
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

impl Decider for AgentDecider {
    type Input = Input;

    fn input(&mut self, now: Time, input: Input) {
        match input {
            Input::Call { session, request, reply } => {
                self.next_call += 1;
                let call = CallId(self.next_call);
                self.calls.insert(call, reply);
                self.event(now, Event::Call { session, call, request });
            }
            Input::Closed(session) => self.event(now, Event::Closed { session }),
            Input::Ended(key, outcome) => self.event(now, Event::Ended { key, outcome }),
            Input::Settings(update) => self.settings(now, update),
            Input::Leave => self.leave(now),
            Input::Counters(reply) => {
                if let Some(agent) = &self.agent {
                    // The one who asked may be gone.
                    let _ = reply.try_send(agent.counters());
                }
            }
        }
    }

    fn tick(&mut self, now: Time) {
        self.event(now, Event::Tick);
        // Calls whose caller is gone are not answered any more.
        self.calls.retain(|_, caller| !caller.is_canceled());
        self.log_counters(now);
    }

    fn next_timer(&self) -> Option<Time> {
        self.agent.as_ref().and_then(Agent::next_timer)
    }
}
