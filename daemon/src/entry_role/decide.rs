//! The entry's deciding thread: the state machine, the callers that wait, the logs.

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

use super::links::LinkInput;
use super::{EntryOptions, Shared};
use crate::decisions::DecisionLog;
use crate::driver::Decider;
use crate::settings_link::Update;

/// How often readiness is looked at.
const READY_EVERY: Duration = Duration::from_millis(20);

/// What a caller asks for.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Work to be done.
    Submit(RelayRequest),
    /// The outcome of a submission.
    Fetch(SubmissionId),
}

/// What reaches the deciding thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A caller, or another entry for one of its callers.
    Call {
        /// What is asked for.
        ask: Ask,
        /// Whether another entry asks.
        relayed: bool,
        /// Where the outcome goes.
        reply: oneshot::Sender<RelayReply>,
    },
    /// An event from the links or the platform's list.
    Event(Event),
    /// News of the settings.
    Settings(Update),
    /// A question for the counters.
    Status(Sender<EntryStatus>),
}

/// What an entry tells operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EntryStatus {
    /// Its name.
    pub name: String,
    /// Whether it takes work.
    pub ready: bool,
    /// The version of the settings in force; none before the first.
    pub settings_version: Option<u64>,
    /// Its counters.
    pub counters: EntryCounters,
}

/// The deciding thread's state.
pub(crate) struct EntryDecider {
    name: String,
    entry: Entry,
    shared: Arc<Shared>,
    links: Sender<LinkInput>,
    decisions: DecisionLog,
    callers: HashMap<CallId, oneshot::Sender<RelayReply>>,
    next_ticket: u64,
    actions: Vec<Action>,
    counters_every: Duration,
    counters_logged: Time,
    ready_checked: Time,
}

impl EntryDecider {
    pub(crate) fn new(
        options: &EntryOptions,
        shared: Arc<Shared>,
        links: Sender<LinkInput>,
    ) -> Self {
        let setup = Setup { node: options.life.clone(), hall: options.node.hall.clone() };
        Self {
            name: options.node.name.to_string(),
            entry: Entry::new(setup),
            shared,
            links,
            decisions: options.decisions.clone(),
            callers: HashMap::new(),
            next_ticket: 0,
            actions: Vec::new(),
            counters_every: options.node.counters_every,
            counters_logged: Time::default(),
            ready_checked: Time::default(),
        }
    }

    fn event(&mut self, now: Time, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.entry.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        if now.since(self.ready_checked) >= READY_EVERY {
            self.ready_checked = now;
            self.shared.ready.store(self.is_ready(now), Ordering::Release);
        }
    }

    fn is_ready(&self, now: Time) -> bool {
        self.entry.is_ready(now) && !self.shared.draining.load(Ordering::Acquire)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Respond { call, reply } => {
                if let Some(caller) = self.callers.remove(&call) {
                    // A caller that hung up can come back for its answer.
                    let _ = caller.send(reply);
                }
            }
            Action::LogDecision(decision) => self.decisions.add(decision),
            Action::Log(news) => log_news(&self.name, &news),
            // The links' thread only ever passes actions on, so a full ring empties soon.
            action => drop(self.links.send_blocking(LinkInput::Action(action))),
        }
    }

    fn call(&mut self, now: Time, ask: Ask, relayed: bool, reply: oneshot::Sender<RelayReply>) {
        self.next_ticket += 1;
        let call = CallId(self.next_ticket);
        self.callers.insert(call, reply);
        let event = match ask {
            Ask::Submit(request) => Event::Submit { call, request, relayed },
            Ask::Fetch(submission) => Event::Fetch { call, submission, relayed },
        };
        self.event(now, event);
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
        if now.since(self.counters_logged) < self.counters_every {
            return;
        }
        self.counters_logged = now;
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

impl Decider for EntryDecider {
    type Input = Input;

    fn input(&mut self, now: Time, input: Input) {
        match input {
            Input::Call { ask, relayed, reply } => self.call(now, ask, relayed, reply),
            Input::Event(event) => self.event(now, event),
            Input::Settings(Update::Catalog(catalog)) => {
                self.event(now, Event::Settings { catalog });
            }
            Input::Settings(Update::Confirmed(at)) => {
                self.event(now, Event::SettingsConfirmed { at })
            }
            Input::Status(reply) => {
                // The one who asked may be gone.
                let _ = reply.try_send(self.status(now));
            }
        }
    }

    fn tick(&mut self, now: Time) {
        self.event(now, Event::Tick);
        self.log_counters(now);
    }

    fn next_timer(&self) -> Option<Time> {
        let ready =
            (!self.shared.ready.load(Ordering::Acquire)).then(|| self.ready_checked + READY_EVERY);
        self.entry.next_timer().into_iter().chain(ready).min()
    }
}

fn log_news(name: &str, news: &LogEvent) {
    match news {
        LogEvent::TargetConnected(agent) => info!("entry {}: agent {} is up", name, agent),
        LogEvent::TargetDisconnected(agent) => {
            warn!("entry {}: agent {} is out of reach", name, agent)
        }
        LogEvent::TargetLeaving(agent) => info!("entry {}: agent {} is leaving", name, agent),
        LogEvent::Straggling(agent, true) => warn!("entry {}: agent {} straggles", name, agent),
        LogEvent::Straggling(agent, false) => {
            info!("entry {}: agent {} keeps up again", name, agent)
        }
        LogEvent::LeaseEnded(agent, tokens) => {
            warn!("entry {}: gave up {} tokens of silent agent {}", name, tokens, agent);
        }
        LogEvent::Settings(version) => info!("entry {}: settings {} in force", name, version),
        LogEvent::SettingsStale(true) => {
            warn!("entry {}: settings unconfirmed, taking no new work", name);
        }
        LogEvent::SettingsStale(false) => info!("entry {}: settings confirmed", name),
        LogEvent::Breach(breach) => error!("entry {}: BREACH: {}", name, breach),
    }
}
