//! The state of an entry and the dispatch of events to their handlers.

use std::sync::Arc;
use std::time::Duration;

use claims::{HOLDERS, Member, View, Views, Window};
use model::{Code, Map, NodeRef, SubmissionId, TaskKey, Time};
use settings::{Catalog, FleetSettings};
use telemetry::{Breach, Decision, DecisionKind, EntryCounters, MessageKind};
use wire::RelayReply;

use crate::job::Job;
use crate::kinds::{InFlight, Kinds};
use crate::owner_lookup::OwnerLookup;
use crate::service::Service;
use crate::table::{Table, TimerKind};
use crate::targets::Targets;
use crate::{Action, Event, LogEvent, OwnerCall};

/// The identity of an entry, fixed when its process starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The entry's name and the incarnation of its process.
    pub node: NodeRef,
    /// The data hall of the entry's host; targets in other halls count as remote.
    pub hall: String,
}

/// The state machine of one entry process.
#[derive(Debug)]
pub struct Entry {
    pub(crate) setup: Setup,
    /// What the host's memory allows for the submissions kept, in bytes.
    host_kept_bytes: usize,
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) views: Views,
    /// When the settings in force were last known to be the newest.
    pub(crate) settings_confirmed: Time,
    /// Whether the settings were last logged as too old to admit work.
    pub(crate) settings_stale: bool,
    /// Entries that share the targets, including this one.
    pub(crate) entry_count: u32,
    pub(crate) table: Table,
    pub(crate) owner_lookups: Map<SubmissionId, OwnerLookup>,
    pub(crate) targets: Targets,
    pub(crate) services: Map<String, Service>,
    pub(crate) kinds: Kinds,
    /// Starts sent to agents and not yet answered.
    pub(crate) in_flight: Map<TaskKey, InFlight>,
    pub(crate) counters: EntryCounters,
    /// Submissions checked for admission so far, for numbering jobs.
    pub(crate) arrivals: u64,
    /// Calls to owners so far, for numbering them.
    owner_calls: u64,
    /// The time of the event that is being processed.
    pub(crate) now: Time,
    /// When expired submissions and leases were last removed.
    last_expiry: Time,
}

impl Entry {
    /// Creates an entry without settings and without agents.
    pub fn new(setup: Setup) -> Self {
        Self {
            setup,
            host_kept_bytes: usize::MAX,
            catalog: None,
            views: Views::default(),
            settings_confirmed: Time::default(),
            settings_stale: false,
            entry_count: 1,
            table: Table::default(),
            owner_lookups: Map::default(),
            targets: Targets::default(),
            services: Map::default(),
            kinds: Kinds::default(),
            in_flight: Map::default(),
            counters: EntryCounters::default(),
            arrivals: 0,
            owner_calls: 0,
            now: Time::default(),
            last_expiry: Time::default(),
        }
    }

    /// Limits the memory for submissions that are kept to what the host has, in bytes.
    pub fn with_host_kept_bytes(self, bytes: usize) -> Self {
        Self { host_kept_bytes: bytes, ..self }
    }

    /// Processes an event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Submit { call, request, relayed } => {
                self.submit(now, call, request, relayed, actions);
            }
            Event::Fetch { call, submission, relayed } => {
                self.fetch(now, call, submission, relayed, actions);
            }
            Event::Connected { connection, info } => {
                self.agent_connected(now, connection, &info, actions)
            }
            Event::Disconnected { agent, connection } => {
                self.agent_disconnected(&agent, connection, actions)
            }
            Event::AgentDead { agent } => self.agent_dead(now, &agent, actions),
            Event::Suspected { agent, suspected } => self.suspicion_changed(&agent, suspected),
            Event::AgentLeaving { agent } => self.agent_leaving(&agent, actions),
            Event::ClaimReplied { holder, submission, reply } => {
                let vote = reply.as_ref().map_or(claims::Vote::Absent, claims::Vote::from);
                self.claim_replied(now, &holder, submission, vote, actions);
            }
            Event::LookupReplied { holder, submission, reply } => {
                let vote = reply.as_ref().map_or(claims::Vote::Absent, claims::Vote::from);
                self.lookup_replied(&holder, submission, vote, actions);
            }
            Event::StartReplied { agent, connection, key, reply } => {
                self.start_replied(now, &agent, connection, key, reply, actions);
            }
            Event::SettleReplied { agent, key, reply } => {
                self.settle_replied(now, &agent, key, reply, actions)
            }
            Event::SyncReplied { agent, connection, reply } => {
                self.sync_replied(now, &agent, connection, reply, actions);
            }
            Event::OwnerReplied { call, submission, reply } => {
                self.owner_replied(now, call, submission, reply, actions);
            }
            Event::Settings { catalog } => self.apply_settings(now, catalog, actions),
            Event::SettingsConfirmed { at } => {
                self.settings_confirmed = self.settings_confirmed.max(at)
            }
            Event::EntryCount { count } => self.entry_count = count.max(1),
            Event::Tick => {}
        }
        self.tick(now, actions);
    }

    /// The time of the next timer; the caller sends [`Event::Tick`] then.
    pub fn next_timer(&self) -> Option<Time> {
        self.table.next_timer()
    }

    /// The counters since the start, with the current sizes of the queues and tables.
    pub fn counters(&self) -> EntryCounters {
        let services = self.services.values();
        EntryCounters {
            active: self.table.active() as u64,
            kept: self.table.kept() as u64,
            kept_bytes: self.table.kept_bytes() as u64,
            answers_dropped: self.table.dropped(),
            queued: services.clone().map(|service| service.queue.waiting_tasks() as u64).sum(),
            idle: services.map(|service| u64::from(service.pool.idle_tokens())).sum(),
            ..self.counters
        }
    }

    /// The version of the settings in force; `None` before the first settings arrive.
    pub fn settings_version(&self) -> Option<u64> {
        self.catalog.as_ref().map(|catalog| catalog.version())
    }

    /// Whether the entry can accept work: its settings are confirmed, at least one target is
    /// usable, and enough claim holders can vote.
    pub fn is_ready(&self, now: Time) -> bool {
        let Some(catalog) = &self.catalog else { return false };
        let reachable = self.services.values().any(|service| !service.pool.is_empty());
        reachable && !self.settings_are_stale(now) && self.enough_holders_vote(catalog.fleet(), now)
    }

    /// Whether the claim view has enough voting members for a complete set of claim holders.
    fn enough_holders_vote(&self, fleet: &FleetSettings, now: Time) -> bool {
        let needed = fleet.claim_view.len().min(HOLDERS);
        let votes = |member: &Member| self.targets.can_vote(&member.name, now);
        let members = fleet.claim_view.iter().filter_map(|text| text.parse().ok());
        needed > 0 && members.filter(votes).take(needed).count() == needed
    }

    /// Whether no submission is in progress.
    pub fn is_idle(&self) -> bool {
        self.table.active() == 0
    }

    pub(crate) fn window(fleet: &FleetSettings) -> Window {
        Window { retention: fleet.retention, clock_skew: fleet.clock_skew }
    }

    /// Whether the settings are missing or were confirmed too long ago to admit work.
    pub(crate) fn settings_are_stale(&self, now: Time) -> bool {
        let bound = |catalog: &Arc<Catalog>| catalog.fleet().settings_age_max;
        self.catalog
            .as_ref()
            .map(bound)
            .is_none_or(|bound| now.since(self.settings_confirmed) > bound)
    }

    /// Puts a version of the settings in force; a lower version is rejected as an invariant
    /// violation.
    fn apply_settings(&mut self, now: Time, catalog: Arc<Catalog>, actions: &mut Vec<Action>) {
        if let Some(have) = self.settings_version().filter(|have| *have > catalog.version()) {
            let breach = Breach::SettingsWentBack { have, got: catalog.version() };
            return self.report_breach(breach, actions);
        }
        self.views = claim_views(catalog.fleet());
        actions.push(Action::Log(LogEvent::Settings(catalog.version())));
        self.catalog = Some(catalog);
        self.settings_confirmed = self.settings_confirmed.max(now);
    }

    /// Handles the expired timers and periodically removes expired state.
    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((id, timer)) = self.table.pop_expired_timer(now) {
            match timer {
                TimerKind::ClaimTimeout => self.claim_round_timed_out(now, id, actions),
                TimerKind::LookupTimeout => self.lookup_timed_out(id, actions),
                TimerKind::AnyTarget => self.accept_any_target(now, id, actions),
                TimerKind::Deadline => self.deadline_passed(id, actions),
            }
        }
        if now.since(self.last_expiry) < Duration::from_secs(1) {
            return;
        }
        self.last_expiry = now;
        self.table.expire(now);
        self.expire_leases(now, actions);
        let stale = self.settings_are_stale(now);
        if stale != self.settings_stale {
            self.settings_stale = stale;
            actions.push(Action::Log(LogEvent::SettingsStale(stale)));
        }
    }

    /// Stores the outcome of a submission and answers its waiting callers.
    pub(crate) fn finish(
        &mut self,
        id: SubmissionId,
        reply: RelayReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(reply) = self.correct_verdict(id, reply, actions) else { return };
        self.remove_from_queue(id);
        self.answer_waiters(id, &reply, actions);
        match &reply {
            Ok(_) => self.counters.completed += 1,
            Err(failure) => {
                self.counters.failed += 1;
                let code = failure.code;
                self.log_decision(id, DecisionKind::Refuse { code }, Duration::ZERO, actions);
            }
        }
        let Some(fleet) = self.catalog.as_ref().map(|catalog| catalog.fleet()) else { return };
        let until = Self::window(fleet).kept_until(id);
        let max = self.max_kept_bytes(fleet);
        self.table.finish(id, reply, until, max);
    }

    /// Maximum size of the submissions kept, in bytes.
    pub(crate) fn max_kept_bytes(&self, fleet: &FleetSettings) -> usize {
        fleet.answer_bytes_max.min(self.host_kept_bytes)
    }

    /// Corrects a "not run" verdict on a submission that may have run and reports the invariant
    /// violation.
    fn correct_verdict(
        &mut self,
        id: SubmissionId,
        reply: RelayReply,
        actions: &mut Vec<Action>,
    ) -> Option<RelayReply> {
        let job = self.table.get(id)?;
        let Err(mut failure) = reply else { return Some(reply) };
        let task_verdict = job.gather().map(|gather| gather.verdict());
        let not_run = model::Verdict::NotRun;
        if failure.verdict == not_run && task_verdict.is_some_and(|verdict| verdict != not_run) {
            failure.verdict = model::Verdict::MayHaveRun;
            self.report_breach(Breach::FalseNotRun(id), actions);
        }
        Some(Err(failure))
    }

    /// Answers the waiting callers of a submission that never started here and removes it.
    pub(crate) fn answer_and_remove(
        &mut self,
        id: SubmissionId,
        reply: &RelayReply,
        actions: &mut Vec<Action>,
    ) {
        if let Err(failure) = reply {
            self.log_decision(
                id,
                DecisionKind::Refuse { code: failure.code },
                Duration::ZERO,
                actions,
            );
        }
        self.answer_waiters(id, reply, actions);
        self.table.remove(id);
    }

    /// Logs a decision on a known submission.
    pub(crate) fn log_decision(
        &mut self,
        id: SubmissionId,
        step: DecisionKind,
        estimate: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.table.get(id) else { return };
        actions.push(Action::LogDecision(self.decision(id, job, step, estimate)));
    }

    /// Builds the record of a decision on a job for the decision log.
    pub(crate) fn decision(
        &self,
        submission: SubmissionId,
        job: &Job,
        step: DecisionKind,
        estimate: Duration,
    ) -> Decision {
        let service = job.kind.as_ref().and_then(|kind| self.services.get(&kind.service));
        Decision {
            time: self.now,
            submission,
            team: job.team.clone(),
            kind: job.label.clone(),
            step,
            queue: service.map_or(0, |service| service.queue.waiting_tasks()),
            estimate,
        }
    }

    pub(crate) fn report_breach(&mut self, breach: Breach, actions: &mut Vec<Action>) {
        self.counters.breaches += 1;
        actions.push(Action::Log(LogEvent::Breach(breach)));
    }

    /// Allocates the id of the next call to an owner and counts its message.
    pub(crate) fn next_owner_call(&mut self) -> OwnerCall {
        self.owner_calls += 1;
        self.count_sent(MessageKind::Relay);
        OwnerCall(self.owner_calls)
    }

    pub(crate) fn count_sent(&mut self, kind: MessageKind) {
        self.counters.messages.sent(kind);
    }

    pub(crate) fn count_refusal(&mut self, code: Code) {
        debug_assert_ne!(code, Code::OwnerLost, "a lost owner is not counted as a refusal");
        self.counters.refused += 1;
    }
}

/// Builds the claim views that the settings define, without members that can't be parsed.
fn claim_views(fleet: &FleetSettings) -> Views {
    let view = |members: &[String]| {
        let members: Vec<Member> = members.iter().filter_map(|text| text.parse().ok()).collect();
        View::new(&members)
    };
    let previous = (!fleet.previous_claim_view.is_empty())
        .then(|| (view(&fleet.previous_claim_view), fleet.previous_claim_view_until));
    Views::new(view(&fleet.claim_view), previous)
}
