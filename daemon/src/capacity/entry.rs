//! The entry role for targets that report capacity: drives a [`Dispatcher`] with sockets and timers
//! on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use dispatch::{Action, CallId, Dispatcher, Event, Outcome, SessionId, Timing};
use keeper::DocumentSource;
use net::{Clients, Spawner};
use routing::RouteTable;
use serde_json::json;
use wire::{Document, NodeInfo, NodeRole, ToAgent, ToEntry};

use super::entry_log;
use super::entry_metrics::EntryMetrics;
use super::entry_peers::EntryPeers;
use super::entry_stop::StopProgress;
use super::keeper_watch::{AgentEvent, KeeperWatch, WatchCallbacks};
use super::message_counters::MessageCounters;
use super::metrics;
use super::session::{self, Received, SessionSender};
use super::{CapacityNodeError, NodeContext, entry_http, io_error, reload_until_stopped};
use crate::clock::Clock;
use crate::config::EntryConfig;
use crate::event_log::{Budget, EventLog};

/// How long a starting entry waits until it can serve before it listens anyway.
const MAX_LISTEN_DELAY: Duration = Duration::from_secs(4);
/// How often a starting entry checks whether it can serve.
const READY_POLL: Duration = Duration::from_millis(20);
/// Delay before retrying to bind the callers' port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay after a failed accept, to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A client that waits for the outcome of its job.
struct PendingCall {
    queue: Arc<str>,
    sender: Sender<Outcome>,
}

/// State of an entry, shared by the tasks on its thread.
pub(super) struct Entry {
    pub log: EventLog,
    clock: Clock,
    pub(super) dispatcher: RefCell<Dispatcher>,
    /// The routing table in force; `None` before the first configuration.
    route_table: RefCell<Option<Rc<RouteTable>>>,
    agent_sessions: RefCell<HashMap<SessionId, SessionSender<ToAgent>>>,
    pending_calls: RefCell<HashMap<CallId, PendingCall>>,
    pub(super) metrics: RefCell<EntryMetrics>,
    last_id: Cell<u64>,
    /// Whether the callers' port is bound.
    listening: Cell<bool>,
    pub stop: StopProgress,
    /// The clients of all servers of the process.
    pub(super) clients: Clients,
    pub(super) max_body_values: usize,
    pub(super) max_job_tasks: u32,
    pub(super) message_counters: MessageCounters,
    peers: Rc<EntryPeers>,
    watch: RefCell<Option<Rc<KeeperWatch>>>,
}

/// Runs the entry until the process is asked to stop.
pub(super) fn run(context: NodeContext) -> Result<(), CapacityNodeError> {
    let Some(config) = context.config.entry else { return Ok(()) };
    net::block_on(|tasks| async move { serve(context, config, tasks).await })
}

async fn serve(
    context: NodeContext,
    config: EntryConfig,
    tasks: Spawner,
) -> Result<(), CapacityNodeError> {
    let clock = context.clock;
    let dispatcher = Dispatcher::new(Timing::default(), clock.now())
        .with_policy(config.policy)
        .with_remote_penalty(config.remote_penalty_milli as f64 / 1e3);
    let peer_address = config.peer_address.unwrap_or(config.peer_listen);
    let entry = Rc::new(Entry {
        log: context.log.clone(),
        clock,
        dispatcher: RefCell::new(dispatcher),
        route_table: RefCell::default(),
        agent_sessions: RefCell::default(),
        pending_calls: RefCell::default(),
        metrics: RefCell::default(),
        last_id: Cell::new(0),
        listening: Cell::new(false),
        stop: StopProgress::new(context.config.node.stop_grace),
        clients: context.clients.clone(),
        max_body_values: context.config.node.max_body_values,
        max_job_tasks: config.max_job_tasks,
        message_counters: MessageCounters::default(),
        peers: EntryPeers::new(peer_address, tasks.clone(), context.log.clone(), clock),
        watch: RefCell::default(),
    });
    let bind = |address: SocketAddr| {
        Async::<TcpListener>::bind(address).map_err(io_error(address.to_string()))
    };
    let agent_listener = bind(config.peer_listen)?;
    if let Some(address) = config.ready_listen {
        entry_http::serve_ready(bind(address)?, &tasks, entry.clone());
    }
    if let Some(address) = context.config.node.metrics {
        let metrics_source = entry.clone();
        metrics::serve(address, &tasks, &context.clients, move |page| {
            metrics_source.write_metrics(page);
        })
        .map_err(io_error(address.to_string()))?;
    }
    tasks.spawn(accept_agents(entry.clone(), agent_listener, tasks.clone()));
    tasks.spawn(run_timers(entry.clone()));
    entry.start_watch(&context, peer_address, &tasks);
    let (serving_entry, serving_tasks) = (entry.clone(), tasks.clone());
    tasks.spawn(async move {
        serving_entry.wait_until_ready().await;
        let caller_listener = loop {
            match bind(config.listen) {
                _ if serving_entry.is_draining() => return,
                Ok(caller_listener) => break caller_listener,
                Err(error) => {
                    let reason = error.to_string();
                    serving_entry.log.line(
                        "no-listener",
                        Budget::Full,
                        || json!({"error": reason}),
                    );
                    Timer::after(BIND_RETRY_DELAY).await;
                }
            }
        };
        serving_entry.listening.set(true);
        entry_http::serve_callers(caller_listener, &serving_tasks, serving_entry);
    });
    reload_until_stopped(&context, |config| {
        entry.stop.grace.set(config.node.stop_grace);
        if let Some(watch) = &*entry.watch.borrow() {
            watch.set_contacts(&config.node.keepers);
        }
    })
    .await;
    entry.drain().await;
    Ok(())
}

async fn accept_agents(entry: Rc<Entry>, listener: Async<TcpListener>, tasks: Spawner) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let id = SessionId(entry.next_id());
        let (sender, queue) = SessionSender::new();
        entry.agent_sessions.borrow_mut().insert(id, sender);
        entry.handle_event(Event::AgentOpened(id));
        let entry = entry.clone();
        tasks.spawn(async move {
            let receiver = entry.clone();
            let on_received = move |received: Received<ToEntry>| {
                let Received::Message(message) = received else {
                    return receiver.handle_event(Event::AgentReadsDemand(id));
                };
                receiver.message_counters.record_received(message.kind());
                receiver.handle_event(match message {
                    // Both agents and other entries send cancellations.
                    ToEntry::Cancelled(job) => Event::CancelledElsewhere(job),
                    message => Event::FromAgent(id, message),
                });
            };
            session::run(stream, queue.announced(), on_received).await;
            entry.agent_sessions.borrow_mut().remove(&id);
            entry.handle_event(Event::AgentClosed(id));
            entry.notify_watch(id, AgentEvent::Gone);
        });
    }
}

async fn run_timers(entry: Rc<Entry>) {
    loop {
        let now = entry.clock.now();
        let due = entry.dispatcher.borrow().next_timer(now);
        Timer::after(due.since(now)).await;
        entry.handle_event(Event::Tick);
    }
}

impl Entry {
    /// Waits until the entry can serve, up to [`MAX_LISTEN_DELAY`]. Clients retry a refused
    /// connection, but may take an error response as final. After the delay, error responses tell
    /// them why the entry can't serve.
    async fn wait_until_ready(&self) {
        let started = self.clock.now();
        while !self.can_serve() && self.clock.now().since(started) < MAX_LISTEN_DELAY {
            Timer::after(READY_POLL).await;
        }
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    fn start_watch(self: &Rc<Self>, context: &NodeContext, address: SocketAddr, tasks: &Spawner) {
        let node = &context.config.node;
        let own_node = NodeInfo {
            name: node.name.clone(),
            role: NodeRole::Entry,
            address,
            incarnation: context.incarnation,
            service: Arc::from(""),
        };
        let entry = self.clone();
        let apply_document = Box::new(move |document: Document, source: DocumentSource| {
            entry.apply_document(&document, source.kind());
        });
        let peers = self.peers.clone();
        let (requester, for_halls) = (self.clone(), self.clone());
        let request_agent_part = Box::new(move |id, request| {
            requester.send_to_agent(SessionId(id), ToAgent::SendPart(request));
        });
        let watch = KeeperWatch::start(
            own_node,
            tasks.clone(),
            self.log.clone(),
            node.node_port,
            &node.keepers,
            WatchCallbacks {
                on_document: apply_document,
                on_nodes: Box::new(move |nodes, _| peers.update_entries(nodes)),
                on_halls: Box::new(move |halls| for_halls.handle_event(Event::EmptiedHalls(halls))),
                request_agent_part,
            },
        );
        *self.watch.borrow_mut() = Some(watch);
    }

    /// Passes an event to the dispatcher and executes the resulting actions.
    pub fn handle_event(&self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn send_to_agent(&self, id: SessionId, message: ToAgent) {
        self.message_counters.record_sent(message.kind());
        let sent = self.agent_sessions.borrow().get(&id).is_some_and(|agent| agent.send(message));
        if !sent {
            // `AgentClosed` follows once the connection is closed.
            self.agent_sessions.borrow_mut().remove(&id);
        }
    }

    /// Notifies the keeper watch of an event of an agent as a document source.
    fn notify_watch(&self, id: SessionId, event: AgentEvent) {
        // The watch is set before any agent connects.
        let watch = self.watch.borrow().clone();
        if let Some(watch) = watch {
            watch.handle_agent_event(id.0, event);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Send(id, message) => self.send_to_agent(id, message),
            Action::Close(id) => {
                self.agent_sessions.borrow_mut().remove(&id);
            }
            Action::NotifyEntries(job) => self.peers.broadcast_cancel(&job),
            Action::DocumentOffered(id, version) => {
                self.notify_watch(id, AgentEvent::Offered(version));
            }
            Action::DocumentPart(id, part) => self.notify_watch(id, AgentEvent::Answered(part)),
            Action::Answer(call_id, outcome) => {
                self.metrics.borrow_mut().record_outcome(outcome);
                if let Some(call) = self.pending_calls.borrow_mut().remove(&call_id) {
                    self.metrics.borrow_mut().record_refusal(&call.queue, outcome);
                    // The receiver is gone if the client has disconnected.
                    let _ = call.sender.try_send(outcome);
                }
            }
            Action::Log(event) => {
                self.metrics.borrow_mut().record_event(&event);
                entry_log::write_event(&self.log, &event);
            }
        }
    }

    /// Applies a configuration document unless its version is at or below the one in force.
    fn apply_document(&self, document: &Document, from: &'static str) {
        let current = self.route_table.borrow().as_ref().map_or(0, |table| table.version);
        self.log.line("document", Budget::Full, || {
            json!({"from": from, "version": document.version, "before": current,
                "bytes": document.body.len()})
        });
        if document.version <= current {
            return;
        }
        match platform::parse_route_table(&document.body) {
            Ok(table) => {
                self.log.line("configuration", Budget::Full, || {
                    json!({"version": table.version, "before": current, "routes": table.len(),
                        "from": from})
                });
                *self.route_table.borrow_mut() = Some(Rc::new(table));
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

    /// Returns the routing table in force.
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Whether a configuration newer than the received one is known to exist.
    pub fn is_behind(&self) -> bool {
        self.watch.borrow().as_ref().is_some_and(|watch| watch.is_behind())
    }

    /// Whether the entry has a routing table and knows an agent.
    fn can_serve(&self) -> bool {
        self.route_table.borrow().is_some() && self.dispatcher.borrow().known_agents() > 0
    }

    /// Whether the entry accepts and can serve new requests.
    pub fn is_ready(&self) -> bool {
        self.listening.get() && !self.is_draining() && self.can_serve()
    }

    pub fn is_draining(&self) -> bool {
        self.stop.is_started()
    }

    /// Number of jobs whose client waits for the outcome.
    pub fn active_jobs(&self) -> usize {
        self.dispatcher.borrow().active_jobs()
    }

    pub fn now(&self) -> model::Time {
        self.clock.now()
    }

    /// Counts a response by its status.
    pub fn record_response(&self, status: u16) {
        self.metrics.borrow_mut().record_response(status);
    }

    /// Submits a job; its outcome arrives on the returned channel. Dropping the guard before that
    /// reports that the client has disconnected.
    pub fn submit(
        self: &Rc<Self>,
        request: dispatch::JobRequest,
    ) -> (async_channel::Receiver<Outcome>, CallGuard) {
        let call_id = CallId(self.next_id());
        let (sender, receiver) = async_channel::bounded(1);
        let call = PendingCall { queue: request.queue.clone(), sender };
        self.pending_calls.borrow_mut().insert(call_id, call);
        let guard = CallGuard { entry: self.clone(), call_id };
        self.handle_event(Event::Submit(call_id, request));
        (receiver, guard)
    }

    pub fn has_job(&self, id: &model::JobId) -> bool {
        self.dispatcher.borrow().has_job(id)
    }

    pub fn waiting_jobs(&self, queue: &str) -> usize {
        self.dispatcher.borrow().waiting_jobs(queue)
    }
}

/// A client that waits for an outcome; dropping it early reports that the client has
/// disconnected.
pub(super) struct CallGuard {
    entry: Rc<Entry>,
    call_id: CallId,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.entry.pending_calls.borrow_mut().remove(&self.call_id).is_some() {
            self.entry.handle_event(Event::ClientDisconnected(self.call_id));
        }
    }
}
