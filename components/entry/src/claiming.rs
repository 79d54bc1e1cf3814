//! Rounds of claims and of questions whose claim holds, and what follows from them.

use std::time::Duration;

use claims::{Claim, ClaimRequest, RoundState, Vote};
use model::{Code, Failure, NodeName, NodeRef, SubmissionId, Time, Verdict};
use telemetry::{MessageKind, Step};
use wire::{RelayReply, RelayRequest};

use crate::gather::Gather;
use crate::intake::conflict;
use crate::job::Phase;
use crate::table::Due;
use crate::{Action, Entry, OwnerCall};

/// After this a holder that has not replied is taken as silent.
pub(crate) const ROUND_TIME: Duration = Duration::from_millis(500);
/// How long a refused submission is not taken again, so that the refusal is true when it arrives.
const REFUSAL_HOLDS: Duration = Duration::from_secs(1);
/// How old a relay may be whose reply is handed on as "not run"; half of the time above, for two
/// clocks that run apart while it is under way.
const RELAYED_REFUSAL_HOLDS: Duration = Duration::from_millis(500);
/// When to come back after a round without a quorum, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl Entry {
    /// Claims a submission at every holder at once; those out of reach count as silent.
    pub(crate) fn claim(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let owner = self.setup.node.clone();
        let Some(job) = self.table.get_mut(id) else { return };
        let digest = job.digest;
        let holders = job.round_mut().map(|round| round.holders()).unwrap_or_default();
        for holder in holders {
            if !self.targets.is_up(&holder) {
                self.record(id, &holder, Vote::Absent);
                continue;
            }
            self.sent(MessageKind::Claim);
            let claim = Claim { owner: owner.clone(), digest };
            let request = ClaimRequest { submission: id, claim };
            out.push(Action::Claim { holder, request });
        }
        self.table.at(now + ROUND_TIME, id, Due::Round);
        self.advance(now, id, out);
    }

    fn record(&mut self, id: SubmissionId, holder: &NodeName, vote: Vote) {
        let round = self.table.get_mut(id).and_then(|job| job.round_mut());
        if let Some(round) = round {
            round.record(holder, vote);
        }
    }

    /// Counts a holder's vote on a claim.
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

    /// Takes the holders that have not replied to a claim as silent.
    pub(crate) fn round_over(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let round = self.table.get_mut(id).and_then(|job| job.round_mut());
        for holder in round.map(|round| round.awaited()).unwrap_or_default() {
            self.record(id, &holder, Vote::Absent);
        }
        self.advance(now, id, out);
    }

    /// Acts on a round that is decided.
    fn advance(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let Some(job) = self.table.get_mut(id) else { return };
        let Some(state) = job.round_mut().map(|round| round.state()) else { return };
        match (&job.phase, state) {
            (Phase::Claiming { .. }, RoundState::Won) => self.won(now, id, out),
            (Phase::Refusing { .. }, RoundState::Won) => self.refuse(now, id, out),
            (_, RoundState::NoQuorum) => self.undecided(id, out),
            (_, RoundState::Lost(claim)) => self.lost(now, id, &claim, out),
            _ => {}
        }
    }

    /// The entry owns the submission: its tasks may start.
    fn won(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        self.counters.claims_won += 1;
        let Some(job) = self.table.get_mut(id) else { return };
        let Phase::Claiming { round, request } = &job.phase else { return };
        if round.renewed() && !job.claimed_before {
            return self.finish(id, Err(dropped()), out);
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
        self.tell_waiters(id, &reply, out);
        if let Some(catalog) = &self.catalog {
            let until = Self::window(catalog.fleet()).kept_until(id);
            self.table.park(id, Phase::Undecided, until);
        }
    }

    /// The entry owns a submission that it does not take.
    fn refuse(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let Some(job) = self.table.get(id) else { return };
        let Phase::Refusing { round, failure, .. } = &job.phase else { return };
        if round.renewed() && !job.claimed_before {
            return self.finish(id, Err(dropped()), out);
        }
        let failure = failure.clone();
        self.say_not_run(now, id, failure, out);
    }

    /// Refuses a submission that the entry owns and has not started.
    pub(crate) fn say_not_run(
        &mut self,
        now: Time,
        id: SubmissionId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        self.count_refusal(failure.code);
        self.decide(id, Step::Refuse { code: failure.code }, Duration::ZERO, out);
        let wait = failure.retry_after_ms.unwrap_or(0).max(REFUSAL_HOLDS.as_millis() as u64);
        let failure = Failure { verdict: Verdict::NotRun, ..failure }.retry_after(wait);
        self.tell_waiters(id, &Err(failure.clone()), out);
        if let Some(catalog) = &self.catalog {
            let until = Self::window(catalog.fleet()).kept_until(id);
            let phase = Phase::Refused { failure, until: now + REFUSAL_HOLDS };
            self.table.park(id, phase, until);
        }
    }

    /// Answers everyone who waits for a submission.
    pub(crate) fn tell_waiters(
        &mut self,
        id: SubmissionId,
        reply: &RelayReply,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.table.get_mut(id) else { return };
        for call in std::mem::take(&mut job.waiters) {
            out.push(Action::Respond { call, reply: reply.clone() });
        }
    }

    /// Another claim came first: the submission is joined through its owner.
    fn lost(&mut self, now: Time, id: SubmissionId, claim: &Claim, out: &mut Vec<Action>) {
        self.counters.claims_lost += 1;
        let Some(job) = self.table.get_mut(id) else { return };
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
        let call = self.next_owner_call();
        if let Some(job) = self.table.get_mut(id) {
            job.phase = Phase::Relaying { call, since: now };
        }
        self.counters.relayed += 1;
        self.decide(id, Step::Relay { owner: claim.owner.name.clone() }, Duration::ZERO, out);
        let request = RelayRequest::clone(&request);
        out.push(Action::Relay { call, owner: claim.owner.clone(), request });
    }

    /// Takes the owner's reply to a relay or a fetch. One to a call that was given up is late.
    pub(crate) fn relayed(
        &mut self,
        now: Time,
        call: OwnerCall,
        id: SubmissionId,
        reply: Option<RelayReply>,
        out: &mut Vec<Action>,
    ) {
        let lost = || {
            let message = "the entry that owns the submission can't be reached";
            Err(Failure::new(Code::OwnerLost, Verdict::MayHaveRun, message))
        };
        let reply = reply.unwrap_or_else(lost);
        let since = self.table.get(id).and_then(|job| match job.phase {
            Phase::Relaying { call: current, since } if current == call => Some(since),
            _ => None,
        });
        if let Some(since) = since {
            let reply = still_true(reply, now.since(since));
            self.dismiss(id, &reply, out);
        } else if self.inquiries.get(&id).is_some_and(|inquiry| inquiry.asks_by(call)) {
            self.answer_inquiry(id, &reply, out);
        } else {
            self.counters.late += 1;
        }
    }
}

/// The owner may have taken the submission since it said "not run", unless that was just now.
fn still_true(reply: RelayReply, age: Duration) -> RelayReply {
    reply.map_err(|failure| match failure.verdict {
        Verdict::NotRun if age > RELAYED_REFUSAL_HOLDS => {
            Failure { verdict: Verdict::MayHaveRun, ..failure }
        }
        _ => failure,
    })
}

fn dropped() -> Failure {
    let message = "the submission was taken before, and its outcome is no longer held";
    Failure::new(Code::AnswerDropped, Verdict::MayHaveRun, message)
}

pub(crate) fn owner_lost(owner: &NodeRef) -> Failure {
    let message = format!("its owner {owner} is gone, or no longer holds its outcome");
    Failure::new(Code::OwnerLost, Verdict::MayHaveRun, message)
}
