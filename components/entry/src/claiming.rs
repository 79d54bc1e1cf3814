//! Rounds of claims and of questions whose claim holds, and what follows from them.

use std::sync::Arc;
use std::time::Duration;

use claims::{Claim, ClaimRequest, Round, RoundState, Vote};
use model::{Code, Failure, NodeName, NodeRef, SubmissionId, Time, Verdict};
use telemetry::{MessageKind, Step};
use wire::{RelayReply, RelayRequest};

use crate::gather::Gather;
use crate::intake::conflict;
use crate::job::Phase;
use crate::table::Due;
use crate::{Action, Entry, Ticket};

/// After this a holder that has not replied is taken as silent.
const ROUND_TIME: Duration = Duration::from_millis(500);
/// When to come back after a round without a quorum, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A question for the outcome of a submission that is not known here.
#[derive(Clone, Debug)]
pub(crate) struct Inquiry {
    pub tickets: Vec<Ticket>,
    /// The round of questions; none once the owner was asked.
    round: Option<Round>,
}

impl Inquiry {
    pub fn new(round: Round, ticket: Ticket) -> Self {
        Self { tickets: vec![ticket], round: Some(round) }
    }
}

impl Entry {
    /// Claims a submission again whose earlier round had no quorum.
    pub(crate) fn claim_again(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: RelayRequest,
        out: &mut Vec<Action>,
    ) {
        let id = request.submission;
        let round = Round::new(self.views.holders(id, now));
        let Some(mut job) = self.table.remove(id) else {
            return;
        };
        if let Some(kind) = &job.kind {
            job.deadline = now + request.deadline_ms.map_or(kind.deadline, Duration::from_millis);
        }
        job.waiters.push(ticket);
        job.claimed_before = true;
        job.phase = Phase::Claiming { round, request: Arc::new(request) };
        self.table.insert(id, job);
        self.ask_holders(now, id, out);
    }

    /// Asks every holder of a round at once; those out of reach count as silent.
    pub(crate) fn ask_holders(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let owner = self.setup.node.clone();
        let Some(round) = self.round(id) else { return };
        let holders = round.holders();
        let claim = match self.table.get(id) {
            Some(job) if matches!(job.phase, Phase::Claiming { .. }) => {
                Some(Claim { owner, digest: job.digest })
            }
            _ => None,
        };
        for holder in holders {
            if !self.targets.is_up(&holder) {
                self.record(id, &holder, Vote::None);
                continue;
            }
            self.sent(MessageKind::Claim);
            out.push(match claim.clone() {
                Some(claim) => {
                    let request = ClaimRequest { submission: id, claim };
                    Action::Claim { holder, request }
                }
                None => Action::Lookup { holder, submission: id },
            });
        }
        self.table.at(now + ROUND_TIME, id, Due::Round);
        self.advance(now, id, out);
    }

    /// The round of a submission, while one is open.
    fn round(&mut self, id: SubmissionId) -> Option<&mut Round> {
        if let Some(job) = self.table.get_mut(id) {
            match &mut job.phase {
                Phase::Claiming { round, .. } | Phase::Refusing { round, .. } => {
                    return Some(round);
                }
                Phase::Undecided => {}
                _ => return None,
            }
        }
        self.inquiries.get_mut(&id)?.round.as_mut()
    }

    fn record(&mut self, id: SubmissionId, holder: &NodeName, vote: Vote) {
        if let Some(round) = self.round(id) {
            round.record(holder, vote);
        }
    }

    /// Counts a holder's vote.
    pub(crate) fn vote(
        &mut self,
        now: Time,
        holder: &NodeName,
        id: SubmissionId,
        vote: Vote,
        out: &mut Vec<Action>,
    ) {
        self.record(id, holder, vote);
        self.advance(now, id, out);
    }

    /// Takes the holders that have not replied as silent.
    pub(crate) fn round_over(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let awaited = self.round(id).map(|round| round.awaited()).unwrap_or_default();
        for holder in awaited {
            self.record(id, &holder, Vote::None);
        }
        self.advance(now, id, out);
    }

    /// Acts on a round that is decided.
    fn advance(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let Some(state) = self.round(id).map(|round| round.state()) else {
            return;
        };
        if state == RoundState::Open {
            return;
        }
        let Some(job) = self.table.get(id) else {
            return self.answer_inquiry(id, state, out);
        };
        match (&job.phase, state) {
            (Phase::Claiming { .. }, RoundState::Won) => self.won(now, id, out),
            (Phase::Claiming { .. }, RoundState::NoQuorum) => self.undecided(id, out),
            (Phase::Refusing { .. }, RoundState::Won) => self.refuse(id, Verdict::NotRun, out),
            (Phase::Refusing { .. }, RoundState::NoQuorum) => {
                self.refuse(id, Verdict::MayHaveRun, out);
            }
            (Phase::Undecided, state) => self.answer_inquiry(id, state, out),
            (_, RoundState::Lost(claim)) => self.lost(id, &claim, out),
            _ => {}
        }
    }

    /// The entry owns the submission: its tasks may start.
    fn won(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        self.counters.claims_won += 1;
        let Some(job) = self.table.get_mut(id) else {
            return;
        };
        let Phase::Claiming { round, request } = &job.phase else {
            return;
        };
        if round.renewed() && !job.claimed_before {
            let message = "the submission was taken before, and its outcome is no longer held";
            let failure = Failure::new(Code::AnswerDropped, Verdict::MayHaveRun, message);
            return self.finish(id, Err(failure), out);
        }
        let gather = Gather::new(&request.tasks);
        job.phase = Phase::Active(gather);
        self.enqueue(now, id, out);
    }

    /// Too few holders replied to know: nothing starts here, and it may be tried again.
    fn undecided(&mut self, id: SubmissionId, out: &mut Vec<Action>) {
        self.counters.claims_undecided += 1;
        let message = "too few claim holders replied";
        let failure = Failure::new(Code::NoQuorum, Verdict::MayHaveRun, message);
        let reply = Err(failure.retry_after(RETRY_AFTER_MS));
        self.decide(id, Step::Refuse { code: Code::NoQuorum }, Duration::ZERO, out);
        let Some(job) = self.table.get_mut(id) else {
            return;
        };
        for ticket in std::mem::take(&mut job.waiters) {
            out.push(Action::Respond { ticket, reply: reply.clone() });
        }
        if let Some(catalog) = &self.catalog {
            self.table.park(id, Self::window(catalog.fleet()).kept_until(id));
        }
    }

    fn refuse(&mut self, id: SubmissionId, verdict: Verdict, out: &mut Vec<Action>) {
        let Some(job) = self.table.get(id) else {
            return;
        };
        let Phase::Refusing { failure, .. } = &job.phase else {
            return;
        };
        let failure = Failure { verdict, ..failure.clone() };
        self.count_refusal(failure.code);
        self.dismiss(id, &Err(failure), out);
    }

    /// Another claim came first: the submission is joined through its owner.
    fn lost(&mut self, id: SubmissionId, claim: &Claim, out: &mut Vec<Action>) {
        self.counters.claims_lost += 1;
        let Some(job) = self.table.get_mut(id) else {
            return;
        };
        if claim.digest != job.digest {
            return self.dismiss(id, &Err(conflict(id)), out);
        }
        let own = claim.owner.name == self.setup.node.name;
        if own || !job.may_relay {
            return self.dismiss(id, &Err(owner_lost(&claim.owner)), out);
        }
        let request = match &job.phase {
            Phase::Claiming { request, .. } | Phase::Refusing { request, .. } => request.clone(),
            _ => return,
        };
        job.phase = Phase::Relaying;
        self.counters.relayed += 1;
        self.sent(MessageKind::Relay);
        self.decide(id, Step::Relay { owner: claim.owner.name.clone() }, Duration::ZERO, out);
        let request = RelayRequest::clone(&request);
        out.push(Action::Relay { owner: claim.owner.clone(), request });
    }

    /// Takes the owner's reply to a relay or a fetch.
    pub(crate) fn relayed(
        &mut self,
        id: SubmissionId,
        reply: Option<RelayReply>,
        out: &mut Vec<Action>,
    ) {
        let lost = || {
            let message = "the entry that owns the submission can't be reached";
            Err(Failure::new(Code::OwnerLost, Verdict::MayHaveRun, message))
        };
        let reply = reply.unwrap_or_else(lost);
        if self.table.get(id).is_some_and(|job| matches!(job.phase, Phase::Relaying)) {
            self.dismiss(id, &reply, out);
        }
        self.answer_all(id, &reply, out);
    }

    /// Answers a question for an outcome, or asks the owner.
    fn answer_inquiry(&mut self, id: SubmissionId, state: RoundState, out: &mut Vec<Action>) {
        let unknown = |verdict, message| Err(Failure::new(Code::UnknownId, verdict, message));
        let reply = match state {
            RoundState::Open => return,
            RoundState::Won => unknown(Verdict::NotRun, "nobody submitted it"),
            RoundState::NoQuorum => {
                unknown(Verdict::MayHaveRun, "too few claim holders replied to know")
            }
            RoundState::Lost(claim) if claim.owner.name == self.setup.node.name => {
                Err(owner_lost(&claim.owner))
            }
            RoundState::Lost(claim) => {
                let Some(inquiry) = self.inquiries.get_mut(&id) else {
                    return;
                };
                inquiry.round = None;
                self.sent(MessageKind::Relay);
                return out.push(Action::Fetch { owner: claim.owner, submission: id });
            }
        };
        self.answer_all(id, &reply, out);
    }

    fn answer_all(&mut self, id: SubmissionId, reply: &RelayReply, out: &mut Vec<Action>) {
        let Some(inquiry) = self.inquiries.remove(&id) else {
            return;
        };
        for ticket in inquiry.tickets {
            out.push(Action::Respond { ticket, reply: reply.clone() });
        }
    }
}

fn owner_lost(owner: &NodeRef) -> Failure {
    let message = format!("its owner {owner} is gone, or no longer holds its outcome");
    Failure::new(Code::OwnerLost, Verdict::MayHaveRun, message)
}
