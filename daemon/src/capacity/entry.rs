//! An entry whose targets have room: the dispatcher with its sockets, on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use dispatch::{Action, Dispatcher, Event, Outcome, SessionId, Ticket, Timing};
use keeper::DocumentSource;
use net::Tasks;
use routing::RouteTable;
use serde_json::json;
use wire::{Document, NodeInfo, NodeRole, ToAgent, ToEntry};

use super::entry_figures::Figures;
use super::entry_news;
use super::entry_peers::EntryPeers;
use super::entry_stop::StopProgress;
use super::messages::Messages;
use super::metrics;
use super::session::{self, SessionSender};
use super::watch::{AgentEvent, Watch, WatchCallbacks};
use super::{CapacityNodeError, Started, entry_http, io_error, until_stopped};
use crate::clock::Clock;
use crate::config::EntryConfig;
use crate::event_log::{Budget, EventLog};

/// An entry that can't serve listens after so long all the same.
const LISTEN_AFTER: Duration = Duration::from_secs(4);
/// How often a starting entry looks whether it is ready.
const READY_POLL: Duration = Duration::from_millis(20);
/// Pause before a port that can't be had is tried again.
const BIND_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a failed accept is tried again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An entry's state, shared by the tasks of its thread.
pub(super) struct Entry {
    pub log: EventLog,
    clock: Clock,
    pub(super) dispatcher: RefCell<Dispatcher>,
    /// The routes in force; none before the first configuration.
    table: RefCell<Option<Rc<RouteTable>>>,
    agents: RefCell<HashMap<SessionId, SessionSender<ToAgent>>>,
    waiting: RefCell<HashMap<Ticket, Sender<Outcome>>>,
    pub(super) figures: RefCell<Figures>,
    next: Cell<u64>,
    /// Callers find it.
    listening: Cell<bool>,
    pub stop: StopProgress,
    pub(super) messages: Messages,
    peers: Rc<EntryPeers>,
    watch: RefCell<Option<Rc<Watch>>>,
}

/// Runs the entry until it is told to stop.
pub(super) fn run(started: Started) -> Result<(), CapacityNodeError> {
    let Some(config) = started.config.entry else { return Ok(()) };
    net::block_on(|tasks| async move { serve(started, config, tasks).await })
}

async fn serve(
    started: Started,
    config: EntryConfig,
    tasks: Tasks,
) -> Result<(), CapacityNodeError> {
    let clock = started.clock;
    let peer_address = config.peer_address.unwrap_or(config.peer_listen);
    let entry = Rc::new(Entry {
        log: started.log.clone(),
        clock,
        dispatcher: RefCell::new(
            Dispatcher::new(Timing::default(), clock.now()).with_policy(config.policy),
        ),
        table: RefCell::default(),
        agents: RefCell::default(),
        waiting: RefCell::default(),
        figures: RefCell::default(),
        next: Cell::new(0),
        listening: Cell::new(false),
        stop: StopProgress::new(started.config.node.stop_grace),
        messages: Messages::default(),
        peers: EntryPeers::new(peer_address, tasks.clone(), started.log.clone(), clock),
        watch: RefCell::default(),
    });
    let bind = |address: SocketAddr| {
        Async::<TcpListener>::bind(address).map_err(io_error(address.to_string()))
    };
    let agents = bind(config.peer_listen)?;
    if let Some(address) = config.ready_listen {
        entry_http::serve_ready(bind(address)?, &tasks, entry.clone());
    }
    if let Some(address) = started.config.node.metrics {
        let shown = entry.clone();
        metrics::serve(address, &tasks, move |page| shown.fill(page))
            .map_err(io_error(address.to_string()))?;
    }
    tasks.spawn(accept_agents(entry.clone(), agents, tasks.clone()));
    tasks.spawn(keep_time(entry.clone()));
    entry.start_watch(&started, peer_address, &tasks);
    let (to_serve, serving) = (entry.clone(), tasks.clone());
    tasks.spawn(async move {
        to_serve.until_ready().await;
        let callers = loop {
            match bind(config.listen) {
                _ if to_serve.is_draining() => return,
                Ok(callers) => break callers,
                Err(error) => {
                    let reason = error.to_string();
                    to_serve.log.line("no-listener", Budget::Full, || json!({"error": reason}));
                    Timer::after(BIND_PAUSE).await;
                }
            }
        };
        to_serve.listening.set(true);
        entry_http::serve_callers(callers, &serving, to_serve);
    });
    until_stopped(&started, |config| {
        entry.stop.grace.set(config.node.stop_grace);
        if let Some(watch) = &*entry.watch.borrow() {
            watch.set_seeds(&config.node.keepers);
        }
    })
    .await;
    entry.drain().await;
    Ok(())
}

async fn accept_agents(entry: Rc<Entry>, listener: Async<TcpListener>, tasks: Tasks) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let id = SessionId(entry.number());
        let (outgoing, waiting) = SessionSender::new();
        entry.agents.borrow_mut().insert(id, outgoing);
        entry.feed(Event::AgentOpened(id));
        let entry = entry.clone();
        tasks.spawn(async move {
            let taker = entry.clone();
            let take = move |message: ToEntry| {
                taker.messages.received(message.kind());
                taker.feed(match message {
                    // Agents tell this, and other entries.
                    ToEntry::Cancelled(job) => Event::CancelledElsewhere(job),
                    message => Event::FromAgent(id, message),
                });
            };
            session::run(stream, waiting, take).await;
            entry.agents.borrow_mut().remove(&id);
            entry.feed(Event::AgentClosed(id));
            entry.tell_watch(id, AgentEvent::Gone);
        });
    }
}

async fn keep_time(entry: Rc<Entry>) {
    loop {
        let now = entry.clock.now();
        let due = entry.dispatcher.borrow().next_timer(now);
        Timer::after(due.since(now)).await;
        entry.feed(Event::Tick);
    }
}

impl Entry {
    /// Waits until it can serve. A caller who finds nobody listening comes back a little later; one
    /// who is refused is lost. After a while it listens all the same, to say why it can't serve.
    async fn until_ready(&self) {
        let began = self.clock.now();
        while !self.can_serve() && self.clock.now().since(began) < LISTEN_AFTER {
            Timer::after(READY_POLL).await;
        }
    }

    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    fn start_watch(self: &Rc<Self>, started: &Started, address: SocketAddr, tasks: &Tasks) {
        let node = &started.config.node;
        let own = NodeInfo {
            name: node.name.clone(),
            role: NodeRole::Entry,
            address,
            incarnation: started.life,
            service: Arc::from(""),
        };
        let entry = self.clone();
        let take = Box::new(move |document: Document, source: DocumentSource| {
            entry.take_document(&document, source.kind());
        });
        let peers = self.peers.clone();
        let (asker, for_halls) = (self.clone(), self.clone());
        let ask_agent = Box::new(move |id, request| {
            asker.tell_agent(SessionId(id), ToAgent::SendPart(request));
        });
        let watch = Watch::start(
            own,
            tasks.clone(),
            self.log.clone(),
            node.node_port,
            &node.keepers,
            WatchCallbacks {
                document: take,
                nodes: Box::new(move |entries, _| peers.listed(entries)),
                halls: Box::new(move |halls| for_halls.feed(Event::Halls(halls))),
                ask_agent,
            },
        );
        *self.watch.borrow_mut() = Some(watch);
    }

    /// Hands an event to the dispatcher and does what follows.
    pub fn feed(&self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn tell_agent(&self, id: SessionId, message: ToAgent) {
        self.messages.sent(message.kind());
        let sent = self.agents.borrow().get(&id).is_some_and(|agent| agent.send(message));
        if !sent {
            // Its end is told once the connection is closed.
            self.agents.borrow_mut().remove(&id);
        }
    }

    /// Tells the watch what happens to an agent as a source of documents.
    fn tell_watch(&self, id: SessionId, event: AgentEvent) {
        // There is one before any agent can connect.
        let watch = self.watch.borrow().clone();
        if let Some(watch) = watch {
            watch.handle_agent(id.0, event);
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Send(id, message) => self.tell_agent(id, message),
            Action::Close(id) => {
                self.agents.borrow_mut().remove(&id);
            }
            Action::TellEntries(job) => self.peers.cancel(&job),
            Action::DocumentOffered(id, version) => {
                self.tell_watch(id, AgentEvent::Offered(version));
            }
            Action::DocumentPart(id, part) => self.tell_watch(id, AgentEvent::Answered(part)),
            Action::Answer(ticket, outcome) => {
                self.figures.borrow_mut().told(outcome);
                if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                    // The client may be gone.
                    let _ = waiting.try_send(outcome);
                }
            }
            Action::News(news) => {
                self.figures.borrow_mut().note(&news);
                entry_news::write(&self.log, &news);
            }
        }
    }

    /// Puts a configuration into force, unless its version is not above the one in force.
    fn take_document(&self, document: &Document, from: &'static str) {
        let have = self.table.borrow().as_ref().map_or(0, |table| table.version);
        self.log.line("document", Budget::Full, || {
            json!({"from": from, "version": document.version, "before": have,
                "bytes": document.body.len()})
        });
        if document.version <= have {
            return;
        }
        match platform::read_table(&document.body) {
            Ok(table) => {
                self.log.line("configuration", Budget::Full, || {
                    json!({"version": table.version, "before": have, "routes": table.len(),
                        "from": from})
                });
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
            Err(error) => {
                let reason = error.to_string();
                self.log.line(
                    "configuration-unreadable",
                    Budget::Full,
                    || json!({"version": document.version, "error": reason}),
                );
            }
        }
    }

    /// The routes in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether a newer configuration is known of than is in force here.
    pub fn is_behind(&self) -> bool {
        self.watch.borrow().as_ref().is_some_and(|watch| watch.is_behind())
    }

    /// Whether it could serve requests, if it listened for them.
    fn can_serve(&self) -> bool {
        self.table.borrow().is_some() && self.dispatcher.borrow().known_agents() > 0
    }

    /// Whether it can serve requests that come now.
    pub fn is_ready(&self) -> bool {
        self.listening.get() && !self.is_draining() && self.can_serve()
    }

    pub fn is_draining(&self) -> bool {
        self.stop.has_begun()
    }

    /// Jobs whose client waits.
    pub fn active(&self) -> usize {
        self.dispatcher.borrow().active()
    }

    pub fn now(&self) -> model::Time {
        self.clock.now()
    }

    /// Takes note of an answer.
    pub fn answered(&self, status: u16) {
        self.figures.borrow_mut().answered(status);
    }

    /// Hands in a job; the answer comes over the returned channel. Dropping the guard before tells
    /// that the client is gone.
    pub fn submit(
        self: &Rc<Self>,
        request: dispatch::JobRequest,
    ) -> (async_channel::Receiver<Outcome>, Guard) {
        let ticket = Ticket(self.number());
        let (sender, answer) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(ticket, sender);
        let guard = Guard { entry: self.clone(), ticket };
        self.feed(Event::Submit(ticket, request));
        (answer, guard)
    }

    pub fn has_job(&self, id: &model::JobId) -> bool {
        self.dispatcher.borrow().has_job(id)
    }

    pub fn waiting(&self, queue: &str) -> usize {
        self.dispatcher.borrow().waiting(queue)
    }
}

/// A client that waits; dropped before the answer when the client goes away.
pub(super) struct Guard {
    entry: Rc<Entry>,
    ticket: Ticket,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.entry.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.entry.feed(Event::Abandon(self.ticket));
        }
    }
}
