//! Claim rounds, the transitions that their results cause, and replies from submission owners.

use std::time::Duration;

use claims::{Claim, ClaimRequest, RoundState, Vote};
use model::{Code, Failure, NodeName, NodeRef, SubmissionId, Time, Verdict};
use telemetry::{DecisionKind, MessageKind};
use wire::{RelayReply, RelayRequest};

use crate::gather::Gather;
use crate::intake::id_conflict;
use crate::job::Phase;
use crate::table::TimerKind;
use crate::{Action, Entry, OwnerCall};

/// Time after which a holder without a reply counts as absent.
pub(crate) const ROUND_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a refused submission is not admitted again, so that the refusal is still true when it
/// reaches the caller.
const REFUSAL_VALIDITY: Duration = Duration::from_secs(1);
/// Greatest age of a relay whose "not run" reply is passed on; shorter than [`REFUSAL_VALIDITY`] to
/// allow for clocks that run at different rates.
const RELAYED_REFUSAL_VALIDITY: Duration = Duration::from_millis(500);
/// Retry delay sent after a round without a quorum, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl Entry {
    /// Sends the claim to all holders in parallel; holders without a session count as absent.
    pub(crate) fn claim(&mut self, now: Time, id: SubmissionId, actions: &mut Vec<Action>) {
        let owner = self.setup.node.clone();
        let Some(job) = self.table.get_mut(id) else { return };
        let digest = job.digest;
        let holders = job.round_mut().map(|round| round.holders()).unwrap_or_default();
        for holder in holders {
            if !self.targets.is_connected(&holder) {
                self.record_vote(id, &holder, Vote::Absent);
                continue;
            }
            self.count_sent(MessageKind::Claim);
            let claim = Claim { owner: owner.clone(), digest };
            let request = ClaimRequest { submission: id, claim };
            actions.push(Action::Claim { holder, request });
        }
        self.table.set_timer(now + ROUND_TIMEOUT, id, TimerKind::ClaimTimeout);
        self.advance_claim(now, id, actions);
    }

    fn record_vote(&mut self, id: SubmissionId, holder: &NodeName, vote: Vote) {
        let round = self.table.get_mut(id).and_then(|job| job.round_mut());
        if let Some(round) = round {
            round.record(holder, vote);
        }
    }

    /// Records a holder's vote on a claim.
    pub(crate) fn claim_replied(
        &mut self,
        now: Time,
        holder: &NodeName,
        id: SubmissionId,
        vote: Vote,
        actions: &mut Vec<Action>,
    ) {
        self.record_vote(id, holder, vote);
        self.advance_claim(now, id, actions);
    }

    /// Records holders that have not replied to a claim in time as absent.
    pub(crate) fn claim_round_timed_out(
        &mut self,
        now: Time,
        id: SubmissionId,
        actions: &mut Vec<Action>,
    ) {
        let round = self.table.get_mut(id).and_then(|job| job.round_mut());
        for holder in round.map(|round| round.awaited()).unwrap_or_default() {
            self.record_vote(id, &holder, Vote::Absent);
        }
        self.advance_claim(now, id, actions);
    }

    /// Applies the result of a claim round once it is decided.
    fn advance_claim(&mut self, now: Time, id: SubmissionId, actions: &mut Vec<Action>) {
        let Some(job) = self.table.get_mut(id) else { return };
        let Some(state) = job.round_mut().map(|round| round.state()) else { return };
        match (&job.phase, state) {
            (Phase::Claiming { .. }, RoundState::Won) => self.claim_won(now, id, actions),
            (Phase::Refusing { .. }, RoundState::Won) => {
                self.claim_won_for_refusal(now, id, actions)
            }
            (_, RoundState::NoQuorum) => self.claim_undecided(id, actions),
            (_, RoundState::Lost(claim)) => self.claim_lost(now, id, &claim, actions),
            _ => {}
        }
    }

    /// Admits a submission whose claim was won.
    fn claim_won(&mut self, now: Time, id: SubmissionId, actions: &mut Vec<Action>) {
        self.counters.claims_won += 1;
        let Some(job) = self.table.get_mut(id) else { return };
        let Phase::Claiming { round, request } = &job.phase else { return };
        // A holder had the claim from an earlier round that this process no longer remembers.
        if round.renewed() && !job.claimed_before {
            return self.finish(id, Err(answer_dropped()), actions);
        }
        let gather = Gather::new(&request.tasks);
        job.phase = Phase::Admitted(gather);
        self.enqueue(now, id, actions);
    }

    /// Refuses a submission whose claim round had no quorum and keeps it for a retry.
    fn claim_undecided(&mut self, id: SubmissionId, actions: &mut Vec<Action>) {
        self.counters.claims_undecided += 1;
        let message = "too few claim holders replied";
        let failure = Failure::new(Code::NoQuorum, Verdict::MayHaveRun, message);
        let reply = Err(failure.retry_after(RETRY_AFTER_MS));
        self.log_decision(
            id,
            DecisionKind::Refuse { code: Code::NoQuorum },
            Duration::ZERO,
            actions,
        );
        self.answer_waiters(id, &reply, actions);
        if let Some(catalog) = &self.catalog {
            let until = Self::window(catalog.fleet()).kept_until(id);
            let max = self.max_kept_bytes(catalog.fleet());
            self.table.deactivate(id, Phase::Undecided, until, max);
        }
    }

    /// Refuses a submission whose claim was won only to prove the refusal.
    fn claim_won_for_refusal(&mut self, now: Time, id: SubmissionId, actions: &mut Vec<Action>) {
        let Some(job) = self.table.get(id) else { return };
        let Phase::Refusing { round, failure, .. } = &job.phase else { return };
        // A holder had the claim from an earlier round that this process no longer remembers.
        if round.renewed() && !job.claimed_before {
            return self.finish(id, Err(answer_dropped()), actions);
        }
        let failure = failure.clone();
        self.refuse_owned(now, id, failure, actions);
    }

    /// Refuses a submission that the entry owns and has not started; the verdict is "not run".
    pub(crate) fn refuse_owned(
        &mut self,
        now: Time,
        id: SubmissionId,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        self.count_refusal(failure.code);
        self.log_decision(id, DecisionKind::Refuse { code: failure.code }, Duration::ZERO, actions);
        let wait = failure.retry_after_ms.unwrap_or(0).max(REFUSAL_VALIDITY.as_millis() as u64);
        let failure = Failure { verdict: Verdict::NotRun, ..failure }.retry_after(wait);
        self.answer_waiters(id, &Err(failure.clone()), actions);
        if let Some(catalog) = &self.catalog {
            let until = Self::window(catalog.fleet()).kept_until(id);
            let phase = Phase::Refused { failure, until: now + REFUSAL_VALIDITY };
            let max = self.max_kept_bytes(catalog.fleet());
            self.table.deactivate(id, phase, until, max);
        }
    }

    /// Answers the callers that wait for a submission.
    pub(crate) fn answer_waiters(
        &mut self,
        id: SubmissionId,
        reply: &RelayReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.table.get_mut(id) else { return };
        for call in std::mem::take(&mut job.waiters) {
            actions.push(Action::Respond { call, reply: reply.clone() });
        }
    }

    /// Relays a submission to the entry whose claim came first. Fails it if its id was used with
    /// other work, if an earlier process of this entry owns it, or if it was relayed here.
    fn claim_lost(
        &mut self,
        now: Time,
        id: SubmissionId,
        claim: &Claim,
        actions: &mut Vec<Action>,
    ) {
        self.counters.claims_lost += 1;
        let Some(job) = self.table.get_mut(id) else { return };
        if claim.digest != job.digest {
            return self.answer_and_remove(id, &Err(id_conflict(id)), actions);
        }
        let earlier_process = claim.owner.name == self.setup.node.name;
        if earlier_process || !job.may_relay {
            return self.answer_and_remove(id, &Err(owner_lost(&claim.owner)), actions);
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
        self.log_decision(
            id,
            DecisionKind::Relay { owner: claim.owner.name.clone() },
            Duration::ZERO,
            actions,
        );
        let request = RelayRequest::clone(&request);
        actions.push(Action::Relay { call, owner: claim.owner.clone(), request });
    }

    /// Applies the owner's reply to a relay or fetch; a reply to an abandoned call counts as late.
    pub(crate) fn owner_replied(
        &mut self,
        now: Time,
        call: OwnerCall,
        id: SubmissionId,
        reply: Option<RelayReply>,
        actions: &mut Vec<Action>,
    ) {
        let unreachable = || {
            let message = "the entry that owns the submission can't be reached";
            Err(Failure::new(Code::OwnerLost, Verdict::MayHaveRun, message))
        };
        let reply = reply.unwrap_or_else(unreachable);
        let since = self.table.get(id).and_then(|job| match job.phase {
            Phase::Relaying { call: current, since } if current == call => Some(since),
            _ => None,
        });
        if let Some(since) = since {
            let reply = weaken_old_refusal(reply, now.since(since));
            self.answer_and_remove(id, &reply, actions);
        } else if self.owner_lookups.get(&id).is_some_and(|lookup| lookup.waits_for(call)) {
            self.answer_lookup(id, &reply, actions);
        } else {
            self.counters.late += 1;
        }
    }
}

/// Weakens an old "not run" verdict to "may have run": the owner may have admitted the submission
/// since it replied.
fn weaken_old_refusal(reply: RelayReply, age: Duration) -> RelayReply {
    reply.map_err(|failure| match failure.verdict {
        Verdict::NotRun if age > RELAYED_REFUSAL_VALIDITY => {
            Failure { verdict: Verdict::MayHaveRun, ..failure }
        }
        _ => failure,
    })
}

/// The failure of a submission whose outcome this process no longer holds.
fn answer_dropped() -> Failure {
    let message = "the submission was taken before, and its outcome is no longer held";
    Failure::new(Code::AnswerDropped, Verdict::MayHaveRun, message)
}

/// The failure of a submission whose owner is gone or no longer holds its outcome.
pub(crate) fn owner_lost(owner: &NodeRef) -> Failure {
    let message = format!("its owner {owner} is gone, or no longer holds its outcome");
    Failure::new(Code::OwnerLost, Verdict::MayHaveRun, message)
}
