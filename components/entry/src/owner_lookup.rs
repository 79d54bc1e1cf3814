//! Lookups of submissions that are unknown at this entry: the claim holders name the owner, and the
//! owner is asked for the outcome.

use claims::{Round, RoundState, Vote};
use model::{Code, Failure, NodeName, SubmissionId, Time, Verdict};
use telemetry::MessageKind;
use wire::RelayReply;

use crate::claim_rounds::{ROUND_TIMEOUT, owner_lost};
use crate::table::TimerKind;
use crate::{Action, CallId, Entry, OwnerCall};

/// The lookup of one submission and the callers that wait for its outcome.
#[derive(Clone, Debug)]
pub(crate) struct OwnerLookup {
    calls: Vec<CallId>,
    stage: Stage,
}

/// The current step of a lookup.
#[derive(Clone, Debug)]
enum Stage {
    /// Waits for the votes of the claim holders.
    Holders(Round),
    /// Waits for the reply of the owner.
    Owner(OwnerCall),
}

impl OwnerLookup {
    /// Whether the lookup waits for the reply to this call.
    pub fn waits_for(&self, call: OwnerCall) -> bool {
        matches!(self.stage, Stage::Owner(current) if current == call)
    }
}

impl Entry {
    /// Starts a lookup of a submission's owner, or joins the caller to the one in progress.
    ///
    /// Holders without a session count as absent.
    pub(crate) fn look_up_owner(
        &mut self,
        now: Time,
        id: SubmissionId,
        call: CallId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(lookup) = self.owner_lookups.get_mut(&id) {
            return lookup.calls.push(call);
        }
        let round = Round::new(self.views.holders(id, now));
        let holders = round.holders();
        self.owner_lookups
            .insert(id, OwnerLookup { calls: vec![call], stage: Stage::Holders(round) });
        for holder in holders {
            if !self.targets.is_connected(&holder) {
                self.record_lookup_vote(id, &holder, Vote::Absent);
                continue;
            }
            self.count_sent(MessageKind::Claim);
            actions.push(Action::Lookup { holder, submission: id });
        }
        self.table.set_timer(now + ROUND_TIMEOUT, id, TimerKind::LookupTimeout);
        self.advance_lookup(id, actions);
    }

    fn lookup_round(&mut self, id: SubmissionId) -> Option<&mut Round> {
        match &mut self.owner_lookups.get_mut(&id)?.stage {
            Stage::Holders(round) => Some(round),
            Stage::Owner(_) => None,
        }
    }

    fn record_lookup_vote(&mut self, id: SubmissionId, holder: &NodeName, vote: Vote) {
        if let Some(round) = self.lookup_round(id) {
            round.record(holder, vote);
        }
    }

    /// Records a holder's reply to a lookup.
    pub(crate) fn lookup_replied(
        &mut self,
        holder: &NodeName,
        id: SubmissionId,
        vote: Vote,
        actions: &mut Vec<Action>,
    ) {
        self.record_lookup_vote(id, holder, vote);
        self.advance_lookup(id, actions);
    }

    /// Records holders that have not replied to a lookup in time as absent.
    pub(crate) fn lookup_timed_out(&mut self, id: SubmissionId, actions: &mut Vec<Action>) {
        let awaited = self.lookup_round(id).map(|round| round.awaited()).unwrap_or_default();
        for holder in awaited {
            self.record_lookup_vote(id, &holder, Vote::Absent);
        }
        self.advance_lookup(id, actions);
    }

    /// Once the lookup round is decided, answers the callers or asks the owner.
    fn advance_lookup(&mut self, id: SubmissionId, actions: &mut Vec<Action>) {
        let unknown = |message| Err(Failure::new(Code::UnknownId, Verdict::MayHaveRun, message));
        let Some(state) = self.lookup_round(id).map(|round| round.state()) else { return };
        let reply = match state {
            RoundState::Open => return,
            // The submission may still be in transit, so "not run" is not proven.
            RoundState::Won => unknown("no submission of this id is known"),
            RoundState::NoQuorum => unknown("too few claim holders replied to know"),
            RoundState::Lost(claim) if claim.owner.name == self.setup.node.name => {
                Err(owner_lost(&claim.owner))
            }
            RoundState::Lost(claim) => {
                let call = self.next_owner_call();
                let Some(lookup) = self.owner_lookups.get_mut(&id) else { return };
                lookup.stage = Stage::Owner(call);
                return actions.push(Action::Fetch { call, owner: claim.owner, submission: id });
            }
        };
        self.answer_lookup(id, &reply, actions);
    }

    /// Ends a lookup and answers its callers.
    pub(crate) fn answer_lookup(
        &mut self,
        id: SubmissionId,
        reply: &RelayReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(lookup) = self.owner_lookups.remove(&id) else { return };
        for call in lookup.calls {
            actions.push(Action::Respond { call, reply: reply.clone() });
        }
    }
}
