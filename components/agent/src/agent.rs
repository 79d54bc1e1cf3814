//! The state of an agent and the dispatch of events and calls to their handlers.

use std::sync::Arc;
use std::time::Duration;

use claims::{ClaimReply, ClaimRequest, Register, Window};
use execution::{Ledger, Limits, Session, StartTable};
use model::{Map, NodeRef, SubmissionId, TaskKey, Time};
use settings::FleetSettings;
use telemetry::{AgentCounters, Breach, MessageKind};
use wire::{AgentInfo, AgentStatus, SyncReply};

use crate::sessions::Sessions;
use crate::tasks::RunningTask;
use crate::{Action, CallId, Event, LogEvent, Reply, Request};

/// Memory limit for the outcomes of ended tasks, in bytes.
const OUTCOME_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Divisor of the token lease that gives the silence after which a waiting exchange gets an empty
/// reply.
const RENEWAL_DIVISOR: u32 = 2;
/// Divisor of the token lease that gives the time added to the lease for frames in transit.
const LEASE_GRACE_DIVISOR: u32 = 4;

/// The identity of an agent and its target, fixed when the process starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The agent's name and the incarnation of its process.
    pub node: NodeRef,
    /// The service whose tasks the target runs.
    pub service: String,
    /// The data hall of the host.
    pub hall: String,
    /// The rack of the host.
    pub rack: String,
    /// The number of tasks that the target runs in parallel.
    pub slots: u32,
    /// The start time of the process; claims on older submission ids get no vote.
    pub started: Time,
}

/// The state machine of one agent process.
#[derive(Debug)]
pub struct Agent {
    pub(crate) setup: Setup,
    pub(crate) fleet: Arc<FleetSettings>,
    pub(crate) settings_version: u64,
    pub(crate) register: Register,
    pub(crate) table: StartTable,
    pub(crate) ledger: Ledger,
    pub(crate) sessions: Sessions,
    pub(crate) running: Map<TaskKey, RunningTask>,
    pub(crate) counters: AgentCounters,
    /// When expired claims and tasks were last removed.
    pub(crate) last_expiry: Time,
    /// Whether the end of the last task of a leaving target was reported.
    pub(crate) drained: bool,
    /// When an unreachable target is tried again; `None` while it is reachable.
    pub(crate) paused_until: Option<Time>,
}

impl Agent {
    /// Creates an agent with the settings in force at its start.
    pub fn new(setup: Setup, settings_version: u64, fleet: Arc<FleetSettings>) -> Self {
        Self {
            register: Register::new(setup.started),
            table: StartTable::new(Limits { outcome_bytes: OUTCOME_BYTES_MAX }),
            ledger: Ledger::new(setup.slots),
            sessions: Sessions::default(),
            running: Map::default(),
            counters: AgentCounters::default(),
            last_expiry: setup.started,
            drained: false,
            paused_until: None,
            setup,
            fleet,
            settings_version,
        }
    }

    /// Processes an event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Call { session, call, request } => {
                self.handle_call(now, session, call, request, actions)
            }
            Event::Closed { session } => self.close_session(session, actions),
            Event::Ended { key, outcome } => self.task_ended(now, key, outcome, actions),
            Event::Settings { version, fleet } => self.apply_settings(version, fleet, actions),
            Event::Leave => self.leave(actions),
            Event::Tick => {}
        }
        self.tick(now, actions);
        self.send_token_changes(actions);
        self.check_drained(actions);
    }

    /// The time of the next timer; the caller sends [`Event::Tick`] then.
    pub fn next_timer(&self) -> Option<Time> {
        let sessions = self.sessions.next_timer(self.renewal(), self.lease_with_grace());
        sessions.into_iter().chain(self.paused_until).min()
    }

    /// The counters since the start, with the current sizes of the tables.
    pub fn counters(&self) -> AgentCounters {
        AgentCounters {
            claims: self.register.len() as u64,
            tasks: self.table.len() as u64,
            outcome_bytes: self.table.held_bytes() as u64,
            running: self.running.len() as u64,
            ..self.counters
        }
    }

    /// The version of the settings in force.
    pub fn settings_version(&self) -> u64 {
        self.settings_version
    }

    pub(crate) fn window(&self) -> Window {
        Window { retention: self.fleet.retention, clock_skew: self.fleet.clock_skew }
    }

    /// The silence after which a waiting exchange gets an empty reply, so that the lease is
    /// renewed.
    pub(crate) fn renewal(&self) -> Duration {
        self.fleet.token_lease / RENEWAL_DIVISOR
    }

    /// The silence after which a session's idle tokens are taken back.
    fn lease_with_grace(&self) -> Duration {
        self.fleet.token_lease + self.fleet.token_lease / LEASE_GRACE_DIVISOR
    }

    fn handle_call(
        &mut self,
        now: Time,
        session: Session,
        call: CallId,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        if let Request::Hello(hello) = request {
            if !self.sessions.open(session, now) {
                self.counters.stale += 1;
                return;
            }
            actions.push(Action::Log(LogEvent::SessionOpened(session, hello.entry)));
            let reply = Reply::Hello(self.agent_info());
            return self.reply(call, reply, actions);
        }
        if request == Request::Status {
            let reply = Reply::Status(Box::new(self.status()));
            return actions.push(Action::Reply { call, reply });
        }
        if !self.sessions.record_contact(session, now) {
            self.counters.stale += 1;
            return;
        }
        match request {
            Request::Hello(_) | Request::Status => {}
            Request::Claim(request) => self.claim(now, call, &request, actions),
            Request::Lookup(submission) => self.lookup(now, call, submission, actions),
            Request::Start(request) => self.start_task(now, session, call, request, actions),
            Request::Settle(request) => self.settle_task(call, &request, actions),
            Request::Sync(request) => self.exchange_tokens(session, call, request, actions),
        }
    }

    /// The agent's identity, service, location and slots, as sent to entries.
    fn agent_info(&self) -> AgentInfo {
        AgentInfo {
            agent: self.setup.node.clone(),
            service: self.setup.service.clone(),
            hall: self.setup.hall.clone(),
            rack: self.setup.rack.clone(),
            slots: self.setup.slots,
            votes_from: self.window().votes_from(self.setup.started),
            leaving: self.ledger.is_leaving(),
        }
    }

    fn status(&self) -> AgentStatus {
        AgentStatus {
            info: self.agent_info(),
            settings_version: self.settings_version,
            counters: self.counters(),
        }
    }

    pub(crate) fn reply(&mut self, call: CallId, reply: Reply, actions: &mut Vec<Action>) {
        self.counters.messages.sent(match &reply {
            Reply::Hello(_) => MessageKind::Hello,
            Reply::Claim(_) | Reply::Lookup(_) => MessageKind::Claim,
            Reply::Start(_) => MessageKind::Start,
            Reply::Settle(_) => MessageKind::Settle,
            Reply::Sync(_) | Reply::Status(_) => MessageKind::Sync,
        });
        actions.push(Action::Reply { call, reply });
    }

    fn claim(
        &mut self,
        now: Time,
        call: CallId,
        request: &ClaimRequest,
        actions: &mut Vec<Action>,
    ) {
        let reply = self.register.claim(request, &self.window(), now);
        match &reply {
            ClaimReply::Granted | ClaimReply::Renewed => self.counters.claims_granted += 1,
            ClaimReply::Held(_) => self.counters.claims_held += 1,
            ClaimReply::Silent(_) => self.counters.claims_silent += 1,
        }
        self.reply(call, Reply::Claim(reply), actions);
    }

    fn lookup(&mut self, now: Time, call: CallId, id: SubmissionId, actions: &mut Vec<Action>) {
        let reply = self.register.lookup(id, &self.window(), now);
        self.reply(call, Reply::Lookup(reply), actions);
    }

    fn close_session(&mut self, session: Session, actions: &mut Vec<Action>) {
        if self.sessions.close(session) {
            self.ledger.close(session);
            actions.push(Action::Log(LogEvent::SessionClosed(session)));
        }
    }

    fn apply_settings(
        &mut self,
        version: u64,
        fleet: Arc<FleetSettings>,
        actions: &mut Vec<Action>,
    ) {
        if version < self.settings_version {
            let breach = Breach::SettingsWentBack { have: self.settings_version, got: version };
            return self.report_breach(breach, actions);
        }
        self.settings_version = version;
        self.fleet = fleet;
        actions.push(Action::Log(LogEvent::Settings(version)));
    }

    fn leave(&mut self, actions: &mut Vec<Action>) {
        if self.ledger.is_leaving() {
            return;
        }
        self.ledger.leave();
        actions.push(Action::Log(LogEvent::Leaving));
        self.notify_all(|pending| pending.leaving = true, actions);
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.paused_until.is_some_and(|until| until <= now) {
            self.paused_until = None;
            self.ledger.resume();
        }
        self.answer_silent_sessions(now, actions);
        for session in self.sessions.silent(self.lease_with_grace(), now) {
            let idle = self.ledger.end_lease(session);
            if let Some(state) = self.sessions.get_mut(session) {
                // Restarts the lease period, so that the timer does not expire again at once.
                state.last_contact = now;
                state.pending = SyncReply::default();
            }
            if idle > 0 {
                actions.push(Action::Log(LogEvent::LeaseEnded(session, idle)));
            }
        }
        if now.since(self.last_expiry).as_secs() >= 1 {
            self.last_expiry = now;
            self.register.expire(&self.window(), now);
            self.table.expire(now - self.fleet.retention, now);
        }
    }

    /// Logs once that a leaving target has finished its last task.
    fn check_drained(&mut self, actions: &mut Vec<Action>) {
        if self.ledger.is_leaving() && self.running.is_empty() && !self.drained {
            self.drained = true;
            actions.push(Action::Log(LogEvent::Drained));
        }
    }

    pub(crate) fn report_breach(&mut self, breach: Breach, actions: &mut Vec<Action>) {
        self.counters.breaches += 1;
        actions.push(Action::Log(LogEvent::Breach(breach)));
    }
}
