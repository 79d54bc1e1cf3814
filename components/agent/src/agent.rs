//! The agent's state machine.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use claims::{ClaimReply, ClaimRequest, Register, Window};
use execution::{Ledger, Limits, Session, Settled, StartOutcome, StartTable, TaskOutcome, Turn};
use model::{NodeRef, SubmissionId, TaskKey, Time};
use settings::Fleet;
use telemetry::{AgentCounters, Breach, MessageKind};
use wire::{
    AgentInfo, AgentStatus, SettleReply, SettleRequest, StartRefusal, StartReply, StartRequest,
    StartResult, SyncReply, SyncRequest,
};

use crate::sessions::Sessions;
use crate::{Action, CallId, Event, News, Reply, Request};

/// Memory for outcomes that wait to be settled, in bytes.
const OUTCOME_BYTES: usize = 4 * 1024 * 1024;
/// Exchanges of one session that wait; an entry that asks again while one waits adds another.
const EXCHANGES_WAITING: usize = 4;
/// Part of a token lease after which a waiting exchange is answered without news.
const SYNC_PART_OF_LEASE: u32 = 2;
/// Part of a token lease that an entry may be silent beyond it, for the way of a frame.
const LEASE_GRACE_PART: u32 = 4;
/// After this a target that could not be reached is tried again.
const TARGET_RETRY: Duration = Duration::from_millis(500);

/// What an agent knows of itself at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its life.
    pub node: NodeRef,
    /// The service that its target takes work of.
    pub service: String,
    /// Its data hall.
    pub hall: String,
    /// Its rack.
    pub rack: String,
    /// The slots of its target.
    pub slots: u32,
    /// When it started.
    pub started: Time,
}

/// A task that the target has.
#[derive(Debug)]
struct Running {
    session: Session,
    /// Starts to answer: the first has the token.
    starts: Vec<CallId>,
    settles: Vec<CallId>,
}

/// The state machine of one life of an agent.
#[derive(Debug)]
pub struct Agent {
    setup: Setup,
    fleet: Arc<Fleet>,
    settings_version: u64,
    register: Register,
    table: StartTable,
    ledger: Ledger,
    sessions: Sessions,
    running: HashMap<TaskKey, Running>,
    counters: AgentCounters,
    expired: Time,
    drained: bool,
    /// Until when nothing is handed to a target that could not be reached.
    paused_until: Option<Time>,
}

impl Agent {
    /// An agent with the settings in force at its start.
    pub fn new(setup: Setup, settings_version: u64, fleet: Arc<Fleet>) -> Self {
        Self {
            register: Register::new(setup.started),
            table: StartTable::new(Limits { outcome_bytes: OUTCOME_BYTES }),
            ledger: Ledger::new(setup.slots),
            sessions: Sessions::default(),
            running: HashMap::new(),
            counters: AgentCounters::default(),
            expired: setup.started,
            drained: false,
            paused_until: None,
            setup,
            fleet,
            settings_version,
        }
    }

    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Call { session, call, request } => self.call(now, session, call, request, out),
            Event::Closed { session } => self.close(session, out),
            Event::Ended { key, outcome } => self.end(now, key, outcome, out),
            Event::Settings { version, fleet } => self.settings(version, fleet, out),
            Event::Leave => self.leave(out),
            Event::Tick => {}
        }
        self.tick(now, out);
        self.give_turns(out);
        self.check_drained(out);
    }

    /// When the next tick is due.
    pub fn next_timer(&self) -> Option<Time> {
        let sessions = self.sessions.next_timer(self.renewal(), self.lease_with_grace());
        sessions.into_iter().chain(self.paused_until).min()
    }

    /// AgentCounters and present sizes.
    pub fn counters(&self) -> AgentCounters {
        AgentCounters {
            claims: self.register.len() as u64,
            tasks: self.table.len() as u64,
            outcome_bytes: self.table.held_bytes() as u64,
            running: self.running.len() as u64,
            ..self.counters
        }
    }

    /// The version of the settings in force here.
    pub fn settings_version(&self) -> u64 {
        self.settings_version
    }

    fn window(&self) -> Window {
        Window { retention: self.fleet.retention, clock_skew: self.fleet.clock_skew }
    }

    /// After this silence a session's lease has to be renewed.
    fn renewal(&self) -> Duration {
        self.fleet.token_lease / SYNC_PART_OF_LEASE
    }

    fn lease_with_grace(&self) -> Duration {
        self.fleet.token_lease + self.fleet.token_lease / LEASE_GRACE_PART
    }

    fn call(
        &mut self,
        now: Time,
        session: Session,
        call: CallId,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        if let Request::Hello(hello) = request {
            if !self.sessions.open(session, now) {
                self.counters.stale += 1;
                return;
            }
            out.push(Action::News(News::SessionOpened(session, hello.entry)));
            let reply = Reply::Hello(self.info());
            return self.reply(call, reply, out);
        }
        if request == Request::Status {
            let reply = Reply::Status(Box::new(self.status()));
            return out.push(Action::Reply { call, reply });
        }
        if !self.sessions.hear(session, now) {
            self.counters.stale += 1;
            return;
        }
        match request {
            Request::Hello(_) | Request::Status => {}
            Request::Claim(request) => self.claim(now, call, &request, out),
            Request::Lookup(submission) => self.lookup(now, call, submission, out),
            Request::Start(request) => self.start(now, session, call, request, out),
            Request::Settle(request) => self.settle(call, &request, out),
            Request::Sync(request) => self.sync(session, call, request, out),
        }
    }

    /// What the agent says of itself.
    fn info(&self) -> AgentInfo {
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
            info: self.info(),
            settings_version: self.settings_version,
            counters: self.counters(),
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply, out: &mut Vec<Action>) {
        self.counters.messages.sent(match &reply {
            Reply::Hello(_) => MessageKind::Hello,
            Reply::Claim(_) | Reply::Lookup(_) => MessageKind::Claim,
            Reply::Start(_) => MessageKind::Start,
            Reply::Settle(_) => MessageKind::Settle,
            Reply::Sync(_) | Reply::Status(_) => MessageKind::Sync,
        });
        out.push(Action::Reply { call, reply });
    }

    fn claim(&mut self, now: Time, call: CallId, request: &ClaimRequest, out: &mut Vec<Action>) {
        let reply = self.register.claim(request, &self.window(), now);
        match &reply {
            ClaimReply::Granted | ClaimReply::Renewed => self.counters.claims_granted += 1,
            ClaimReply::Held(_) => self.counters.claims_held += 1,
            ClaimReply::Silent(_) => self.counters.claims_silent += 1,
        }
        self.reply(call, Reply::Claim(reply), out);
    }

    fn lookup(&mut self, now: Time, call: CallId, id: SubmissionId, out: &mut Vec<Action>) {
        let reply = self.register.lookup(id, &self.window(), now);
        self.reply(call, Reply::Lookup(reply), out);
    }

    fn start(
        &mut self,
        now: Time,
        session: Session,
        call: CallId,
        request: StartRequest,
        out: &mut Vec<Action>,
    ) {
        if request.agent != self.setup.node.incarnation {
            self.counters.stale += 1;
            let token = self.unspent_token(session);
            return self.reply_start(call, StartResult::Unknown, token, out);
        }
        if let Some(known) = self.table.look(request.key, &request.owner) {
            return self.start_known(session, call, &request, known, out);
        }
        if now >= request.deadline {
            return self.refuse(session, call, &request, StartRefusal::TooLate, out);
        }
        if !self.ledger.spend(session) {
            let leaving = self.ledger.is_leaving();
            let why = if leaving { StartRefusal::Leaving } else { StartRefusal::NoSlot };
            return self.refuse(session, call, &request, why, out);
        }
        self.start_new(session, call, request, out);
    }

    fn start_new(
        &mut self,
        session: Session,
        call: CallId,
        request: StartRequest,
        out: &mut Vec<Action>,
    ) {
        let keep_until = self.window().kept_until(request.key.submission);
        let outcome = self.table.start(request.key, &request.owner, keep_until);
        debug_assert_eq!(outcome, StartOutcome::Starts);
        self.ledger.want(session, request.wanted);
        self.counters.started += 1;
        let running = Running { session, starts: vec![call], settles: Vec::new() };
        self.running.insert(request.key, running);
        if self.running.len() > self.setup.slots as usize {
            self.breach(Breach::SlotsOverdrawn, out);
        }
        out.push(Action::Run { key: request.key, task: request.task, deadline: request.deadline });
    }

    /// A start of a task that the table knows: answered from it, never started again.
    fn start_known(
        &mut self,
        session: Session,
        call: CallId,
        request: &StartRequest,
        known: StartOutcome,
        out: &mut Vec<Action>,
    ) {
        self.counters.repeated += 1;
        let result = match known {
            StartOutcome::Starts | StartOutcome::AlreadyRunning => {
                if let Some(running) = self.running.get_mut(&request.key) {
                    running.starts.push(call);
                }
                return;
            }
            StartOutcome::AlreadyEnded(Some(outcome)) => StartResult::Ended(outcome),
            StartOutcome::AlreadyEnded(None) => StartResult::OutcomeDropped,
            StartOutcome::Barred => StartResult::NotRun(StartRefusal::Barred),
            StartOutcome::Forgotten => StartResult::Unknown,
            StartOutcome::OtherOwner(first) => {
                let second = request.owner.clone();
                self.breach(Breach::TwoOwners { key: request.key, first, second }, out);
                StartResult::Unknown
            }
        };
        let token = self.unspent_token(session);
        self.reply_start(call, result, token, out);
    }

    /// Whether a session has a token that it sent with a start that did not spend it.
    fn unspent_token(&self, session: Session) -> bool {
        self.ledger.idle(session) > 0
    }

    /// Refuses a start with proof: the task is barred, so that a copy of the frame that comes
    /// later can't start it either.
    fn refuse(
        &mut self,
        session: Session,
        call: CallId,
        request: &StartRequest,
        why: StartRefusal,
        out: &mut Vec<Action>,
    ) {
        self.counters.refused += 1;
        let keep_until = self.window().kept_until(request.key.submission);
        let result = match self.table.settle(request.key, &request.owner, keep_until) {
            Settled::NotRun => StartResult::NotRun(why),
            _ => StartResult::Unknown,
        };
        let token = self.unspent_token(session);
        self.reply_start(call, result, token, out);
    }

    fn reply_start(
        &mut self,
        call: CallId,
        result: StartResult,
        token: bool,
        out: &mut Vec<Action>,
    ) {
        self.reply(call, Reply::Start(StartReply { result, token }), out);
    }

    fn settle(&mut self, call: CallId, request: &SettleRequest, out: &mut Vec<Action>) {
        self.counters.settled += 1;
        if request.agent != self.setup.node.incarnation {
            return self.reply(call, Reply::Settle(SettleReply::Unknown), out);
        }
        let keep_until = self.window().kept_until(request.key.submission);
        let reply = match self.table.settle(request.key, &request.owner, keep_until) {
            Settled::NotRun => SettleReply::NotRun,
            Settled::Ended(Some(outcome)) => SettleReply::Ended(outcome),
            Settled::Ended(None) => SettleReply::OutcomeDropped,
            Settled::Forgotten => SettleReply::Unknown,
            Settled::Running => {
                if let Some(running) = self.running.get_mut(&request.key) {
                    running.settles.push(call);
                }
                return;
            }
        };
        self.reply(call, Reply::Settle(reply), out);
    }

    fn end(&mut self, now: Time, key: TaskKey, outcome: TaskOutcome, out: &mut Vec<Action>) {
        let known = self.table.end(key, outcome.clone());
        let Some(running) = self.running.remove(&key).filter(|_| known) else {
            return self.breach(Breach::EndedTwice(key), out);
        };
        self.counters.ended += 1;
        if matches!(outcome, TaskOutcome::NeverSent(_)) {
            self.pause(now, out);
        }
        let mut token = self.ledger.finish(running.session);
        for call in running.starts {
            self.reply_start(call, StartResult::Ended(outcome.clone()), token, out);
            token = false;
        }
        for call in running.settles {
            self.reply(call, Reply::Settle(SettleReply::Ended(outcome.clone())), out);
        }
    }

    fn sync(
        &mut self,
        session: Session,
        call: CallId,
        request: SyncRequest,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        state.waiting.push_back(call);
        if state.waiting.len() > EXCHANGES_WAITING {
            let news = std::mem::take(&mut state.news);
            let oldest = state.waiting.pop_front();
            oldest.into_iter().for_each(|call| self.reply_sync(call, news, out));
        }
        self.ledger.give_back(session, request.returned);
        self.ledger.want(session, request.wanted);
        let leaving = self.ledger.is_leaving();
        self.tell(session, |news| news.leaving |= leaving, out);
    }

    /// Adds to the news of a session and sends them where an exchange waits.
    fn tell(
        &mut self,
        session: Session,
        change: impl FnOnce(&mut SyncReply),
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        change(&mut state.news);
        if !state.has_news() {
            return;
        }
        let Some(call) = state.waiting.pop_front() else { return };
        let news = std::mem::take(&mut state.news);
        self.reply_sync(call, news, out);
    }

    /// Answers an exchange; one without news was of no use.
    fn reply_sync(&mut self, call: CallId, mut news: SyncReply, out: &mut Vec<Action>) {
        if news == SyncReply::default() {
            self.counters.messages.wasted(MessageKind::Sync, 1);
        }
        news.settings_version = self.settings_version;
        self.reply(call, Reply::Sync(news), out);
    }

    fn give_turns(&mut self, out: &mut Vec<Action>) {
        let mut turns = Vec::new();
        self.ledger.turns(&mut turns);
        for turn in turns {
            match turn {
                Turn::Grant(session, count) => {
                    self.tell(session, |news| news.granted += count, out);
                }
                Turn::Recall(session, count) => {
                    self.tell(session, |news| news.recalled += count, out);
                }
            }
        }
    }

    fn close(&mut self, session: Session, out: &mut Vec<Action>) {
        if self.sessions.close(session) {
            self.ledger.close(session);
            out.push(Action::News(News::SessionClosed(session)));
        }
    }

    fn settings(&mut self, version: u64, fleet: Arc<Fleet>, out: &mut Vec<Action>) {
        if version < self.settings_version {
            let breach = Breach::SettingsWentBack { have: self.settings_version, got: version };
            return self.breach(breach, out);
        }
        self.settings_version = version;
        self.fleet = fleet;
        out.push(Action::News(News::Settings(version)));
    }

    /// The target can't be reached: its slots are no use until it is tried again.
    fn pause(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.paused_until.is_none() {
            out.push(Action::News(News::TargetUnreachable));
        }
        self.paused_until = Some(now + TARGET_RETRY);
        self.ledger.pause();
        self.tell_all(|news| news.void = true, out);
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        if self.ledger.is_leaving() {
            return;
        }
        self.ledger.leave();
        out.push(Action::News(News::Leaving));
        self.tell_all(|news| news.leaving = true, out);
    }

    /// Tells every session.
    fn tell_all(&mut self, change: impl Fn(&mut SyncReply), out: &mut Vec<Action>) {
        let sessions: Vec<Session> = self.sessions.iter_mut().map(|(session, _)| session).collect();
        for session in sessions {
            self.tell(session, &change, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.paused_until.is_some_and(|until| until <= now) {
            self.paused_until = None;
            self.ledger.resume();
        }
        self.answer_silent(now, out);
        for session in self.sessions.silent(self.lease_with_grace(), now) {
            let idle = self.ledger.end_lease(session);
            if let Some(state) = self.sessions.get_mut(session) {
                state.heard = now;
                state.news = SyncReply::default();
            }
            if idle > 0 {
                out.push(Action::News(News::LeaseEnded(session, idle)));
            }
        }
        if now.since(self.expired).as_secs() >= 1 {
            self.expired = now;
            self.register.expire(&self.window(), now);
            self.table.expire(now - self.fleet.retention, now);
        }
    }

    /// Answers an exchange of each session that was silent for long, so that its entry renews the
    /// lease. Starts renew it too, so that a busy session needs no such answer.
    fn answer_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let renewal = self.renewal();
        let mut due = Vec::new();
        for (_, state) in self.sessions.iter_mut() {
            if state.heard + renewal <= now {
                due.extend(state.waiting.pop_front());
            }
        }
        for call in due {
            self.reply_sync(call, SyncReply::default(), out);
        }
    }

    fn check_drained(&mut self, out: &mut Vec<Action>) {
        if self.ledger.is_leaving() && self.running.is_empty() && !self.drained {
            self.drained = true;
            out.push(Action::News(News::Drained));
        }
    }

    fn breach(&mut self, breach: Breach, out: &mut Vec<Action>) {
        self.counters.breaches += 1;
        out.push(Action::News(News::Breach(breach)));
    }
}
