//! The entry's state machine: its parts, and which part takes which event.

use std::sync::Arc;
use std::time::Duration;

use claims::{HOLDERS, Member, View, Views, Window};
use model::{Code, Map, NodeRef, SubmissionId, TaskKey, Time};
use settings::{Catalog, Fleet};
use telemetry::{Breach, Decision, EntryCounters, MessageKind, Step};
use wire::RelayReply;

use crate::inquiry::Inquiry;
use crate::job::Job;
use crate::kinds::{Flight, Kinds};
use crate::service::Service;
use crate::table::{Due, Table};
use crate::targets::Targets;
use crate::{Action, Event, LogEvent, OwnerCall};

/// What an entry knows of itself at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its life.
    pub node: NodeRef,
    /// Its data hall.
    pub hall: String,
}

/// The state machine of one life of an entry.
#[derive(Debug)]
pub struct Entry {
    pub(crate) setup: Setup,
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) views: Views,
    pub(crate) confirmed: Time,
    pub(crate) stale: bool,
    pub(crate) entries: u32,
    pub(crate) table: Table,
    pub(crate) inquiries: Map<SubmissionId, Inquiry>,
    pub(crate) targets: Targets,
    pub(crate) services: Map<String, Service>,
    pub(crate) kinds: Kinds,
    /// Tasks sent to agents that have not replied.
    pub(crate) flights: Map<TaskKey, Flight>,
    pub(crate) counters: EntryCounters,
    pub(crate) arrivals: u64,
    owner_calls: u64,
    pub(crate) now: Time,
    expired: Time,
}

impl Entry {
    /// An entry that knows no settings and no agent yet.
    pub fn new(setup: Setup) -> Self {
        Self {
            setup,
            catalog: None,
            views: Views::default(),
            confirmed: Time::default(),
            stale: false,
            entries: 1,
            table: Table::default(),
            inquiries: Map::default(),
            targets: Targets::default(),
            services: Map::default(),
            kinds: Kinds::default(),
            flights: Map::default(),
            counters: EntryCounters::default(),
            arrivals: 0,
            owner_calls: 0,
            now: Time::default(),
            expired: Time::default(),
        }
    }

    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Submit { call, request, relayed } => {
                self.submit(now, call, request, relayed, out);
            }
            Event::Fetch { call, submission, relayed } => {
                self.fetch(now, call, submission, relayed, out);
            }
            Event::Connected { connection, info } => self.up(now, connection, &info, out),
            Event::Disconnected { agent, connection } => self.down(&agent, connection, out),
            Event::AgentDead { agent } => self.dead(now, &agent, out),
            Event::Suspected { agent, suspected } => self.suspected(&agent, suspected),
            Event::AgentLeaving { agent } => self.leaving(&agent, out),
            Event::ClaimReplied { holder, submission, reply } => {
                let vote = reply.as_ref().map_or(claims::Vote::Absent, claims::Vote::from);
                self.vote(now, &holder, submission, vote, out);
            }
            Event::LookupReplied { holder, submission, reply } => {
                let vote = reply.as_ref().map_or(claims::Vote::Absent, claims::Vote::from);
                self.looked_up(&holder, submission, vote, out);
            }
            Event::StartReplied { agent, connection, key, reply } => {
                self.started(now, &agent, connection, key, reply, out);
            }
            Event::SettleReplied { agent, key, reply } => {
                self.settled(now, &agent, key, reply, out)
            }
            Event::SyncReplied { agent, connection, reply } => {
                self.synced(now, &agent, connection, reply, out);
            }
            Event::OwnerReplied { call, submission, reply } => {
                self.relayed(now, call, submission, reply, out);
            }
            Event::Settings { catalog } => self.settings(now, catalog, out),
            Event::SettingsConfirmed { at } => self.confirmed = self.confirmed.max(at),
            Event::EntryCount { count } => self.entries = count.max(1),
            Event::Tick => {}
        }
        self.tick(now, out);
    }

    /// When the next tick is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.table.next_timer()
    }

    /// EntryCounters and present sizes.
    pub fn counters(&self) -> EntryCounters {
        let services = self.services.values();
        EntryCounters {
            active: self.table.active() as u64,
            kept: self.table.kept() as u64,
            kept_bytes: self.table.kept_bytes() as u64,
            answers_dropped: self.table.dropped(),
            queued: services.clone().map(|service| service.queue.tasks() as u64).sum(),
            idle: services.map(|service| u64::from(service.pool.idle())).sum(),
            ..self.counters
        }
    }

    /// The version of the settings in force here; none before the first.
    pub fn settings_version(&self) -> Option<u64> {
        self.catalog.as_ref().map(|catalog| catalog.version())
    }

    /// Whether it can take work: its settings are confirmed, it has a target, and enough claim
    /// holders vote.
    pub fn is_ready(&self, now: Time) -> bool {
        let Some(catalog) = &self.catalog else { return false };
        let reachable = self.services.values().any(|service| !service.pool.is_empty());
        reachable && !self.settings_are_stale(now) && self.holders_vote(catalog.fleet(), now)
    }

    /// Whether as many members of the claim view vote as hold one claim.
    fn holders_vote(&self, fleet: &Fleet, now: Time) -> bool {
        let needed = fleet.claim_view.len().min(HOLDERS);
        let votes = |member: &Member| self.targets.votes(&member.name, now);
        let members = fleet.claim_view.iter().filter_map(|text| text.parse().ok());
        needed > 0 && members.filter(votes).take(needed).count() == needed
    }

    /// Whether every submission has its outcome.
    pub fn is_idle(&self) -> bool {
        self.table.active() == 0
    }

    pub(crate) fn window(fleet: &Fleet) -> Window {
        Window { retention: fleet.retention, clock_skew: fleet.clock_skew }
    }

    pub(crate) fn settings_are_stale(&self, now: Time) -> bool {
        let bound = |catalog: &Arc<Catalog>| catalog.fleet().settings_age_max;
        self.catalog.as_ref().map(bound).is_none_or(|bound| now.since(self.confirmed) > bound)
    }

    fn settings(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Action>) {
        if let Some(have) = self.settings_version().filter(|have| *have > catalog.version()) {
            let breach = Breach::SettingsWentBack { have, got: catalog.version() };
            return self.breach(breach, out);
        }
        self.views = views(catalog.fleet());
        out.push(Action::Log(LogEvent::Settings(catalog.version())));
        self.catalog = Some(catalog);
        self.confirmed = self.confirmed.max(now);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((id, due)) = self.table.next_due(now) {
            match due {
                Due::Round => self.round_over(now, id, out),
                Due::Inquiry => self.inquiry_over(id, out),
                Due::AnyTarget => self.any_target(now, id, out),
                Due::Deadline => self.deadline_passed(id, out),
            }
        }
        if now.since(self.expired) < Duration::from_secs(1) {
            return;
        }
        self.expired = now;
        self.table.expire(now);
        self.end_silent_leases(now, out);
        let stale = self.settings_are_stale(now);
        if stale != self.stale {
            self.stale = stale;
            out.push(Action::Log(LogEvent::SettingsStale(stale)));
        }
    }

    /// Gives a submission its outcome and tells everyone who waits for it.
    pub(crate) fn finish(&mut self, id: SubmissionId, reply: RelayReply, out: &mut Vec<Action>) {
        let Some(reply) = self.checked(id, reply, out) else { return };
        self.leave_queue(id);
        self.tell_waiters(id, &reply, out);
        match &reply {
            Ok(_) => self.counters.completed += 1,
            Err(failure) => {
                self.counters.failed += 1;
                let code = failure.code;
                self.decide(id, Step::Refuse { code }, Duration::ZERO, out);
            }
        }
        let Some(fleet) = self.catalog.as_ref().map(|catalog| catalog.fleet()) else { return };
        let until = Self::window(fleet).kept_until(id);
        self.table.finish(id, reply, until, fleet.answer_bytes_max);
    }

    /// The outcome, corrected where it would say "not run" of work that may have run.
    fn checked(
        &mut self,
        id: SubmissionId,
        reply: RelayReply,
        out: &mut Vec<Action>,
    ) -> Option<RelayReply> {
        let job = self.table.get(id)?;
        let Err(mut failure) = reply else { return Some(reply) };
        let known = job.gather().map(|gather| gather.verdict());
        let not_run = model::Verdict::NotRun;
        if failure.verdict == not_run && known.is_some_and(|known| known != not_run) {
            failure.verdict = model::Verdict::MayHaveRun;
            self.breach(Breach::FalseNotRun(id), out);
        }
        Some(Err(failure))
    }

    /// Answers everyone who waits for a submission and forgets it: nothing of it started here.
    pub(crate) fn dismiss(&mut self, id: SubmissionId, reply: &RelayReply, out: &mut Vec<Action>) {
        if let Err(failure) = reply {
            self.decide(id, Step::Refuse { code: failure.code }, Duration::ZERO, out);
        }
        self.tell_waiters(id, reply, out);
        self.table.remove(id);
    }

    /// Reports a decision on a known submission.
    pub(crate) fn decide(
        &mut self,
        id: SubmissionId,
        step: Step,
        estimate: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.table.get(id) else { return };
        out.push(Action::LogDecision(self.decision(id, job, step, estimate)));
    }

    pub(crate) fn decision(
        &self,
        submission: SubmissionId,
        job: &Job,
        step: Step,
        estimate: Duration,
    ) -> Decision {
        let service = job.kind.as_ref().and_then(|kind| self.services.get(&kind.service));
        Decision {
            time: self.now,
            submission,
            team: job.team.clone(),
            kind: job.label.clone(),
            step,
            queue: service.map_or(0, |service| service.queue.tasks()),
            estimate,
        }
    }

    pub(crate) fn breach(&mut self, breach: Breach, out: &mut Vec<Action>) {
        self.counters.breaches += 1;
        out.push(Action::Log(LogEvent::Breach(breach)));
    }

    /// Numbers the next call to an owner.
    pub(crate) fn next_owner_call(&mut self) -> OwnerCall {
        self.owner_calls += 1;
        self.sent(MessageKind::Relay);
        OwnerCall(self.owner_calls)
    }

    pub(crate) fn sent(&mut self, kind: MessageKind) {
        self.counters.messages.sent(kind);
    }

    pub(crate) fn count_refusal(&mut self, code: Code) {
        debug_assert_ne!(code, Code::OwnerLost, "a lost owner is no refusal");
        self.counters.refused += 1;
    }
}

/// The claim views that a version of the settings asks for.
fn views(fleet: &Fleet) -> Views {
    let view = |members: &[String]| {
        let members: Vec<Member> = members.iter().filter_map(|text| text.parse().ok()).collect();
        View::new(&members)
    };
    let previous = (!fleet.previous_claim_view.is_empty())
        .then(|| (view(&fleet.previous_claim_view), fleet.previous_claim_view_until));
    Views::new(view(&fleet.claim_view), previous)
}
