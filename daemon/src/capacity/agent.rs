//! The agent role for a target that reports capacity: drives a [`Runner`] with sockets and timers
//! on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use hyper::Method;
use net::{Client, ClientError, Clients, Spawner};
use platform::{HttpCommand, InvalidHeartbeat};
use runner::{
    Action, Event, HoldCommand, HoldReply, Runner, SessionId, StartCommand, StartReply,
    StopCommand, StopReply, TargetInstance, TargetReport, Timing,
};
use serde_json::json;
use subset::Subset;
use wire::{NodeInfo, NodeRole, ToEntry};

use super::agent_sessions::{self, EntryContact};
use super::keeper_watch::{KeeperWatch, WatchCallbacks};
use super::message_counters::MessageCounters;
use super::metrics::{self, MetricsPage};
use super::session::SessionSender;
use super::{
    CapacityNodeError, NodeContext, agent_log, io_error, reload_until_stopped, target_http,
};
use crate::clock::Clock;
use crate::config::AgentConfig;
use crate::event_log::{Budget, EventLog};

/// Time left unused at the end of the platform's stop grace period. Longer than the lease that the
/// agent requests, so that runs that outlast the agent normally end before a replacement process
/// starts.
const STOP_MARGIN: Duration = Duration::from_millis(1_200);
/// How often a stopping agent checks whether its runs have ended.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long a stopping agent waits for its last reports to be sent.
const FINAL_REPORT_DELAY: Duration = Duration::from_millis(60);

/// State of an agent, shared by the tasks on its thread.
pub(super) struct Agent {
    pub log: EventLog,
    pub(super) clock: Clock,
    pub(super) tasks: Spawner,
    /// Sends start and stop commands; holds have a client of their own, as the target keeps them
    /// waiting.
    command_client: Client,
    hold_client: Client,
    runner: RefCell<Runner>,
    pub(super) sessions: RefCell<HashMap<SessionId, SessionSender<ToEntry>>>,
    pub(super) message_counters: MessageCounters,
    pub(super) subset: RefCell<Subset>,
    /// Entries that the agent is connected to or tries to reach, by address.
    pub(super) contacts: RefCell<BTreeMap<SocketAddr, EntryContact>>,
    pub(super) last_session: Cell<u64>,
    /// How long the platform waits between the stop request and ending the process.
    stop_grace: Cell<Duration>,
    /// The service that the target must report; empty accepts any.
    service: String,
    /// The clients of all servers of the process.
    pub(super) clients: Clients,
    /// Maximum number of values in a target's report.
    pub(super) max_body_values: usize,
    /// Rejected target reports, counted by reason.
    rejected_reports: RefCell<BTreeMap<&'static str, u64>>,
}

/// Runs the agent until the process is asked to stop.
pub(super) fn run(context: NodeContext) -> Result<(), CapacityNodeError> {
    let Some(config) = context.config.agent.clone() else { return Ok(()) };
    net::block_on(|tasks| async move { serve(context, config, tasks).await })
}

async fn serve(
    context: NodeContext,
    config: AgentConfig,
    tasks: Spawner,
) -> Result<(), CapacityNodeError> {
    let clock = context.clock;
    let node = &context.config.node;
    let timing = Timing { max_lease: config.max_lease, ..Timing::default() };
    let agent = Rc::new(Agent {
        log: context.log.clone(),
        clock,
        tasks: tasks.clone(),
        command_client: Client::new(config.target, tasks.clone()),
        hold_client: Client::new(config.target, tasks.clone()),
        runner: RefCell::new(Runner::new(node.name.clone(), timing, clock.now())),
        sessions: RefCell::default(),
        message_counters: MessageCounters::default(),
        subset: RefCell::new(Subset::new(node.name.clone(), config.subset_sizes)),
        contacts: RefCell::default(),
        last_session: Cell::new(0),
        stop_grace: Cell::new(node.stop_grace),
        service: config.service.clone(),
        clients: context.clients.clone(),
        max_body_values: node.max_body_values,
        rejected_reports: RefCell::default(),
    });
    let listener =
        Async::<TcpListener>::bind(config.listen).map_err(io_error(config.listen.to_string()))?;
    target_http::serve(listener, &tasks, context.clients.clone(), agent.clone());
    if let Some(address) = node.metrics {
        let metrics_source = agent.clone();
        metrics::serve(address, &tasks, &context.clients, move |page| {
            metrics_source.write_metrics(page);
        })
        .map_err(io_error(address.to_string()))?;
    }
    tasks.spawn(run_timers(agent.clone()));
    tasks.spawn(agent_sessions::poll_selection(agent.clone()));
    let watch = agent.start_watch(&context, &config);
    reload_until_stopped(&context, |config| {
        agent.stop_grace.set(config.node.stop_grace);
        watch.set_contacts(&config.node.keepers);
    })
    .await;
    agent.drain().await;
    Ok(())
}

async fn run_timers(agent: Rc<Agent>) {
    loop {
        let now = agent.clock.now();
        let due = agent.runner.borrow().next_timer(now);
        Timer::after(due.since(now)).await;
        agent.handle_event(Event::Tick);
    }
}

impl Agent {
    fn start_watch(
        self: &Rc<Self>,
        context: &NodeContext,
        config: &AgentConfig,
    ) -> Rc<KeeperWatch> {
        let node = &context.config.node;
        let own_node = NodeInfo {
            name: node.name.clone(),
            role: NodeRole::Agent,
            address: config.listen,
            incarnation: context.incarnation,
            service: Arc::from(config.service.as_str()),
        };
        let (for_documents, for_nodes, for_halls) = (self.clone(), self.clone(), self.clone());
        KeeperWatch::start(
            own_node,
            self.tasks.clone(),
            self.log.clone(),
            node.node_port,
            &node.keepers,
            WatchCallbacks {
                on_document: Box::new(move |document, _| {
                    for_documents.handle_event(Event::Document(document));
                }),
                on_nodes: Box::new(move |nodes, agents| for_nodes.update_entries(nodes, agents)),
                on_halls: Box::new(move |halls| for_halls.handle_event(Event::Halls(halls))),
                // Agents have no sessions with other agents to request parts over.
                request_agent_part: Box::new(|_, _| {}),
            },
        )
    }

    /// Parses a target's report; counts a rejected one by its reason.
    pub fn read_report(&self, id: &str, body: &[u8]) -> Result<TargetReport, InvalidHeartbeat> {
        let report = platform::parse_heartbeat(id, &self.service, body);
        if let Err(error) = &report {
            *self.rejected_reports.borrow_mut().entry(error.kind()).or_default() += 1;
        }
        report
    }

    /// Passes an event to the runner and executes the resulting actions.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.runner.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send(id, message) => {
                self.message_counters.record_sent(message.kind());
                let sent = self.sessions.borrow().get(&id).is_some_and(|entry| entry.send(message));
                if !sent {
                    // `SessionClosed` follows once the connection is closed.
                    self.sessions.borrow_mut().remove(&id);
                }
            }
            Action::Close(id) => {
                self.sessions.borrow_mut().remove(&id);
            }
            Action::Start(command) => {
                let agent = self.clone();
                self.tasks.spawn(async move { agent.send_start(command).await });
            }
            Action::Stop(command) => {
                let agent = self.clone();
                self.tasks.spawn(async move { agent.send_stop(command).await });
            }
            Action::Hold(command) => {
                let agent = self.clone();
                self.tasks.spawn(async move { agent.send_hold(command).await });
            }
            Action::Log(event) => agent_log::write_event(&self.log, &event),
        }
    }

    fn timing(&self) -> Timing {
        *self.runner.borrow().timing()
    }

    async fn send_start(self: Rc<Self>, command: StartCommand) {
        let target = &command.key.target;
        let timeout = self.timing().command_timeout;
        let reply = self
            .send_command(&self.command_client, target, platform::start_request(&command), timeout)
            .await;
        let reply = reply
            .map_or(StartReply::NoAnswer, |reply| platform::parse_start(reply.status, &reply.body));
        self.handle_event(Event::StartAnswered(command.key, reply));
    }

    async fn send_stop(self: Rc<Self>, command: StopCommand) {
        let target = &command.key.target;
        let timeout = self.timing().command_timeout;
        let reply = self
            .send_command(&self.command_client, target, platform::stop_request(&command), timeout)
            .await;
        let reply = reply.map_or(StopReply::NoAnswer, |reply| platform::parse_stop(reply.status));
        self.handle_event(Event::StopAnswered(command.key, reply));
    }

    async fn send_hold(self: Rc<Self>, command: HoldCommand) {
        let (target, timeout) = (&command.target, command.answer_within);
        let reply = self
            .send_command(&self.hold_client, target, platform::hold_request(&command), timeout)
            .await;
        let reply = reply
            .map_or(HoldReply::NoAnswer, |reply| platform::parse_hold(reply.status, &reply.body));
        self.handle_event(Event::HoldAnswered(command.target, reply));
    }

    /// Sends a command to a target instance. Returns `None` without a complete response in time,
    /// and reports a refused connection to the runner.
    async fn send_command(
        self: &Rc<Self>,
        client: &Client,
        target: &TargetInstance,
        command: HttpCommand,
        timeout: Duration,
    ) -> Option<net::Reply> {
        let HttpCommand { path, headers, body } = command;
        let sent = client.send(Method::POST, path, headers, body.into(), timeout).await;
        if sent.as_ref().is_err_and(ClientError::is_refused) {
            self.handle_event(Event::NoListener(target.clone()));
        }
        sent.ok()
    }

    /// Performs a planned stop: accepts no new work and waits until nothing runs or the stop grace
    /// period is nearly over.
    async fn drain(self: &Rc<Self>) {
        let started = self.clock.now();
        let (waiting, running) = self.runner.borrow().run_counts();
        self.log.line("draining", Budget::Full, || json!({"waiting": waiting, "running": running}));
        self.handle_event(Event::Drain);
        let max_wait = self.stop_grace.get().saturating_sub(STOP_MARGIN);
        while !self.runner.borrow().is_idle() && self.clock.now().since(started) < max_wait {
            Timer::after(STOP_POLL).await;
        }
        Timer::after(FINAL_REPORT_DELAY).await;
    }

    fn write_metrics(&self, page: &mut MetricsPage) {
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
        page.value("tasks_asked_total", "", counters.requested);
        page.value("tasks_started_total", "", counters.started);
        for (end, count) in ends {
            page.value("tasks_ended_total", &format!("{{end=\"{end}\"}}"), count);
        }
        page.value("crashes_suspected_total", "", counters.suspected_crashes);
        page.value("starts_without_room_total", "", counters.starts_without_capacity);
        page.value("starts_unanswered_total", "", counters.unanswered_starts);
        page.value("offers_total", "", counters.offers);
        page.value("offers_used_total", "", counters.offers_used);
        page.value("demands_total", "", counters.demands);
        let entries = self.entries_by_session();
        for offers in runner.offers() {
            let Some(entry) = entries.get(&offers.session) else { continue };
            let label = format!("{{entry=\"{entry}\"}}");
            page.value("session_offers_total", &label, offers.turns);
            page.value("session_offers_used_total", &label, offers.used);
            page.value("session_offers_taken_cpu_milli_total", &label, offers.taken_cpu_milli);
        }
        page.value("sessions_lost_total", "", counters.sessions_lost);
        page.value("target_reports_late_total", "", counters.late_target_reports);
        for (kind, count) in &*self.rejected_reports.borrow() {
            let label = format!("{{why=\"{kind}\"}}");
            page.value("target_reports_refused_total", &label, *count);
        }
        self.message_counters.write_metrics(page);
        page.value("sessions", "", self.sessions.borrow().len() as u64);
        let (waiting, running) = runner.run_counts();
        page.value("tasks", "{state=\"waiting\"}", waiting as u64);
        page.value("tasks", "{state=\"running\"}", running as u64);
        if let Some(percent) = runner.target_slowdown_percent() {
            page.value("target_slowdown_percent", "", u64::from(percent));
        }
        page.value("configuration_version", "", runner.document_version());
        page.value("halls_revision", "", runner.halls().revision);
        page.value("log_lines_omitted_total", "", self.log.omitted());
    }
}
