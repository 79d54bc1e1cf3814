//! Questions for the outcome of a submission that is not known here: its holders are asked who
//! owns it, then its owner for the outcome.

use claims::{Round, RoundState, Vote};
use model::{Code, Failure, NodeName, SubmissionId, Time, Verdict};
use telemetry::MessageKind;
use wire::RelayReply;

use crate::claiming::{ROUND_TIME, owner_lost};
use crate::table::Due;
use crate::{Action, CallId, Entry, OwnerCall};

/// The callers that ask for one submission.
#[derive(Clone, Debug)]
pub(crate) struct Inquiry {
    calls: Vec<CallId>,
    stage: Stage,
}

/// Who is asked.
#[derive(Clone, Debug)]
enum Stage {
    /// The holders.
    Holders(Round),
    /// The owner.
    Owner(OwnerCall),
}

impl Inquiry {
    /// Whether the owner is asked by this call.
    pub fn asks_by(&self, call: OwnerCall) -> bool {
        matches!(self.stage, Stage::Owner(current) if current == call)
    }
}

impl Entry {
    /// Asks every holder whose claim holds; those out of reach count as silent.
    pub(crate) fn inquire(
        &mut self,
        now: Time,
        id: SubmissionId,
        call: CallId,
        out: &mut Vec<Action>,
    ) {
        if let Some(inquiry) = self.inquiries.get_mut(&id) {
            return inquiry.calls.push(call);
        }
        let round = Round::new(self.views.holders(id, now));
        let holders = round.holders();
        self.inquiries.insert(id, Inquiry { calls: vec![call], stage: Stage::Holders(round) });
        for holder in holders {
            if !self.targets.is_up(&holder) {
                self.record_answer(id, &holder, Vote::Absent);
                continue;
            }
            self.sent(MessageKind::Claim);
            out.push(Action::Lookup { holder, submission: id });
        }
        self.table.at(now + ROUND_TIME, id, Due::Inquiry);
        self.advance_inquiry(id, out);
    }

    fn round_of_inquiry(&mut self, id: SubmissionId) -> Option<&mut Round> {
        match &mut self.inquiries.get_mut(&id)?.stage {
            Stage::Holders(round) => Some(round),
            Stage::Owner(_) => None,
        }
    }

    fn record_answer(&mut self, id: SubmissionId, holder: &NodeName, vote: Vote) {
        if let Some(round) = self.round_of_inquiry(id) {
            round.record(holder, vote);
        }
    }

    /// Takes a holder's word on whose claim holds.
    pub(crate) fn looked_up(
        &mut self,
        holder: &NodeName,
        id: SubmissionId,
        vote: Vote,
        out: &mut Vec<Action>,
    ) {
        self.record_answer(id, holder, vote);
        self.advance_inquiry(id, out);
    }

    /// Takes the holders that have not replied to a question as silent.
    pub(crate) fn inquiry_over(&mut self, id: SubmissionId, out: &mut Vec<Action>) {
        let awaited = self.round_of_inquiry(id).map(|round| round.awaited()).unwrap_or_default();
        for holder in awaited {
            self.record_answer(id, &holder, Vote::Absent);
        }
        self.advance_inquiry(id, out);
    }

    /// Answers the callers, or asks the owner, once the round is decided.
    fn advance_inquiry(&mut self, id: SubmissionId, out: &mut Vec<Action>) {
        let unknown = |message| Err(Failure::new(Code::UnknownId, Verdict::MayHaveRun, message));
        let Some(state) = self.round_of_inquiry(id).map(|round| round.state()) else { return };
        let reply = match state {
            RoundState::Open => return,
            // A submission may be on its way, so this is no proof that it does not run.
            RoundState::Won => unknown("no submission of this id is known"),
            RoundState::NoQuorum => unknown("too few claim holders replied to know"),
            RoundState::Lost(claim) if claim.owner.name == self.setup.node.name => {
                Err(owner_lost(&claim.owner))
            }
            RoundState::Lost(claim) => {
                let call = self.next_owner_call();
                let Some(inquiry) = self.inquiries.get_mut(&id) else { return };
                inquiry.stage = Stage::Owner(call);
                return out.push(Action::Fetch { call, owner: claim.owner, submission: id });
            }
        };
        self.answer_inquiry(id, &reply, out);
    }

    /// Answers every caller that asks for a submission.
    pub(crate) fn answer_inquiry(
        &mut self,
        id: SubmissionId,
        reply: &RelayReply,
        out: &mut Vec<Action>,
    ) {
        let Some(inquiry) = self.inquiries.remove(&id) else { return };
        for call in inquiry.calls {
            out.push(Action::Respond { call, reply: reply.clone() });
        }
    }
}
