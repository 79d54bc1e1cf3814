//! An agent beside a target that has room: the runner with its sockets, on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use hyper::Method;
use net::{Client, ClientError, Tasks};
use platform::{BadBeat, HttpOrder};
use runner::{
    Action, Event, HoldOrder, HoldReply, Runner, SessionId, StartOrder, StartReply, StopOrder,
    StopReply, TargetLife, TargetReport, Timing,
};
use serde_json::json;
use subset::Subset;
use wire::{NodeInfo, NodeRole, ToEntry};

use super::agent_entries::{self, Contact};
use super::messages::Messages;
use super::metrics::{self, Page};
use super::session::SessionSender;
use super::watch::{Watch, WatchCallbacks};
use super::{CapacityNodeError, Started, agent_news, io_error, target_http, until_stopped};
use crate::clock::Clock;
use crate::config::AgentConfig;
use crate::event_log::{Budget, EventLog};

/// Left of the platform's time at the end of a planned stop: runs that go on beyond it lapse a second
/// later, while a new process may already be there.
const STOP_MARGIN: Duration = Duration::from_millis(1_200);
/// How often a stopping agent looks whether it is done.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long the last reports of a stopping agent may take to leave.
const LAST_REPORTS: Duration = Duration::from_millis(60);

/// An agent's state, shared by the tasks of its thread.
pub(super) struct Agent {
    pub log: EventLog,
    pub(super) clock: Clock,
    pub(super) tasks: Tasks,
    /// Orders other than holds.
    orders: Client,
    holds: Client,
    runner: RefCell<Runner>,
    pub(super) sessions: RefCell<HashMap<SessionId, SessionSender<ToEntry>>>,
    pub(super) messages: Messages,
    pub(super) subset: RefCell<Subset>,
    /// Entries that are connected to, or tried.
    pub(super) entries: RefCell<BTreeMap<SocketAddr, Contact>>,
    pub(super) next: Cell<u64>,
    /// How long the platform waits for the end of a planned stop.
    stop_grace: Cell<Duration>,
    /// The service of its target; empty for any.
    service: String,
    /// Reports that named no target to use, by what was wrong with them.
    refused_reports: RefCell<BTreeMap<&'static str, u64>>,
}

/// Runs the agent until it is told to stop.
pub(super) fn run(started: Started) -> Result<(), CapacityNodeError> {
    let Some(config) = started.config.agent.clone() else { return Ok(()) };
    net::block_on(|tasks| async move { serve(started, config, tasks).await })
}

async fn serve(
    started: Started,
    config: AgentConfig,
    tasks: Tasks,
) -> Result<(), CapacityNodeError> {
    let clock = started.clock;
    let node = &started.config.node;
    let timing = Timing { longest_lease: config.longest_lease, ..Timing::default() };
    let agent = Rc::new(Agent {
        log: started.log.clone(),
        clock,
        tasks: tasks.clone(),
        orders: Client::new(config.target, tasks.clone()),
        holds: Client::new(config.target, tasks.clone()),
        runner: RefCell::new(Runner::new(node.name.clone(), timing, clock.now())),
        sessions: RefCell::default(),
        messages: Messages::default(),
        subset: RefCell::new(Subset::new(node.name.clone(), config.sizes)),
        entries: RefCell::default(),
        next: Cell::new(0),
        stop_grace: Cell::new(node.stop_grace),
        service: config.service.clone(),
        refused_reports: RefCell::default(),
    });
    let listener =
        Async::<TcpListener>::bind(config.listen).map_err(io_error(config.listen.to_string()))?;
    target_http::serve(listener, &tasks, agent.clone());
    if let Some(address) = node.metrics {
        let shown = agent.clone();
        metrics::serve(address, &tasks, move |page| shown.fill(page))
            .map_err(io_error(address.to_string()))?;
    }
    tasks.spawn(keep_time(agent.clone()));
    tasks.spawn(agent_entries::keep_choice(agent.clone()));
    let watch = agent.start_watch(&started, &config);
    until_stopped(&started, |config| {
        agent.stop_grace.set(config.node.stop_grace);
        watch.set_seeds(&config.node.keepers);
    })
    .await;
    agent.drain().await;
    Ok(())
}

async fn keep_time(agent: Rc<Agent>) {
    loop {
        let now = agent.clock.now();
        let due = agent.runner.borrow().next_timer(now);
        Timer::after(due.since(now)).await;
        agent.feed(Event::Tick);
    }
}

impl Agent {
    fn start_watch(self: &Rc<Self>, started: &Started, config: &AgentConfig) -> Rc<Watch> {
        let node = &started.config.node;
        let own = NodeInfo {
            name: node.name.clone(),
            role: NodeRole::Agent,
            address: config.listen,
            incarnation: started.life,
            service: Arc::from(config.service.as_str()),
        };
        let (for_documents, for_nodes, for_halls) = (self.clone(), self.clone(), self.clone());
        Watch::start(
            own,
            self.tasks.clone(),
            self.log.clone(),
            node.node_port,
            &node.keepers,
            WatchCallbacks {
                document: Box::new(move |document, _| {
                    for_documents.feed(Event::Document(document));
                }),
                nodes: Box::new(move |entries, agents| for_nodes.entries_are(entries, agents)),
                halls: Box::new(move |halls| for_halls.feed(Event::Halls(halls))),
                // Agents have sessions with entries alone.
                ask_agent: Box::new(|_, _| {}),
            },
        )
    }

    /// Reads a report of the target, and counts those that name none to use.
    pub fn read_report(&self, id: &str, body: &[u8]) -> Result<TargetReport, BadBeat> {
        let report = platform::read_beat(id, &self.service, body);
        if let Err(error) = &report {
            *self.refused_reports.borrow_mut().entry(error.kind()).or_default() += 1;
        }
        report
    }

    /// Hands an event to the runner and does what follows.
    pub fn feed(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.runner.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send(id, message) => {
                self.messages.sent(message.kind());
                let sent = self.sessions.borrow().get(&id).is_some_and(|entry| entry.send(message));
                if !sent {
                    // Its end is told once the connection is closed.
                    self.sessions.borrow_mut().remove(&id);
                }
            }
            Action::Close(id) => {
                self.sessions.borrow_mut().remove(&id);
            }
            Action::Start(order) => {
                let agent = self.clone();
                self.tasks.spawn(async move { agent.start(order).await });
            }
            Action::Stop(order) => {
                let agent = self.clone();
                self.tasks.spawn(async move { agent.stop(order).await });
            }
            Action::Hold(order) => {
                let agent = self.clone();
                self.tasks.spawn(async move { agent.hold(order).await });
            }
            Action::News(news) => agent_news::write(&self.log, &news),
        }
    }

    fn timing(&self) -> Timing {
        *self.runner.borrow().timing()
    }

    async fn start(self: Rc<Self>, order: StartOrder) {
        let target = &order.key.target;
        let time = self.timing().order_time;
        let reply = self.send(&self.orders, target, platform::start_order(&order), time).await;
        let reply = reply
            .map_or(StartReply::Silent, |reply| platform::read_start(reply.status, &reply.body));
        self.feed(Event::Started(order.key, reply));
    }

    async fn stop(self: Rc<Self>, order: StopOrder) {
        let target = &order.key.target;
        let time = self.timing().order_time;
        let reply = self.send(&self.orders, target, platform::stop_order(&order), time).await;
        let reply = reply.map_or(StopReply::Silent, |reply| platform::read_stop(reply.status));
        self.feed(Event::Stopped(order.key, reply));
    }

    async fn hold(self: Rc<Self>, order: HoldOrder) {
        let (target, time) = (&order.target, order.answer_within);
        let reply = self.send(&self.holds, target, platform::hold_order(&order), time).await;
        let reply =
            reply.map_or(HoldReply::Silent, |reply| platform::read_hold(reply.status, &reply.body));
        self.feed(Event::Held(order.target, reply));
    }

    /// Sends an order for a life of the target; `None` where there is no whole answer in time. The runner's counters
    /// tell how often that is so.
    async fn send(
        self: &Rc<Self>,
        client: &Client,
        target: &TargetLife,
        order: HttpOrder,
        time: Duration,
    ) -> Option<net::Reply> {
        let HttpOrder { path, headers, body } = order;
        let sent = client.send(Method::POST, path, headers, body.into(), time).await;
        if sent.as_ref().is_err_and(ClientError::is_refused) {
            self.feed(Event::NoListener(target.clone()));
        }
        sent.ok()
    }

    /// A planned stop: takes no new work, waits for what runs, ends.
    async fn drain(self: &Rc<Self>) {
        let began = self.clock.now();
        let (waiting, running) = self.runner.borrow().sizes();
        self.log.line("draining", Budget::Full, || json!({"waiting": waiting, "running": running}));
        self.feed(Event::Drain);
        let longest = self.stop_grace.get().saturating_sub(STOP_MARGIN);
        while !self.runner.borrow().is_idle() && self.clock.now().since(began) < longest {
            Timer::after(STOP_POLL).await;
        }
        Timer::after(LAST_REPORTS).await;
    }

    fn fill(&self, page: &mut Page) {
        let runner = self.runner.borrow();
        let counters = runner.counters();
        let ends = [
            ("done", counters.done),
            ("failed", counters.failed),
            ("stopped", counters.stopped),
            ("not_run", counters.not_run),
            ("lost", counters.lost),
            ("crashed", counters.crashed),
        ];
        page.value("tasks_asked_total", "", counters.asked);
        page.value("tasks_started_total", "", counters.started);
        for (end, count) in ends {
            page.value("tasks_ended_total", &format!("{{end=\"{end}\"}}"), count);
        }
        page.value("starts_without_room_total", "", counters.no_room);
        page.value("starts_unanswered_total", "", counters.silent_starts);
        page.value("sessions_lost_total", "", counters.sessions_lost);
        page.value("target_reports_late_total", "", counters.late_reports);
        for (kind, count) in &*self.refused_reports.borrow() {
            let label = format!("{{why=\"{kind}\"}}");
            page.value("target_reports_refused_total", &label, *count);
        }
        self.messages.fill(page);
        page.value("sessions", "", self.sessions.borrow().len() as u64);
        let (waiting, running) = runner.sizes();
        page.value("tasks", "{state=\"waiting\"}", waiting as u64);
        page.value("tasks", "{state=\"running\"}", running as u64);
        page.value("configuration_version", "", runner.document_version());
        page.value("halls_revision", "", runner.halls().revision);
        page.value("log_lines_omitted_total", "", self.log.omitted());
    }
}
