//! The register of the claims that one agent holds.

use model::{Digest, Expiry, Interned, Interner, Map, NodeRef, SubmissionId, Time};
use serde::{Deserialize, Serialize};

use crate::Window;

/// An entry's claim to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claiming entry, with the incarnation of its process.
    pub owner: NodeRef,
    /// The digest of the submission's tasks, which detects reused ids.
    pub digest: Digest,
}

/// The request of an entry to hold its claim on a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claimed submission.
    pub submission: SubmissionId,
    /// The claiming entry and the digest of the work.
    pub claim: Claim,
}

/// The reason why a holder abstains on a submission id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AbstainReason {
    /// The id was created before the holder started, or so shortly after that an earlier process of
    /// the holder may have voted.
    BeforeStart,
    /// The id is past the retention or too far in the future.
    OutsideWindow,
}

/// A holder's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The holder now holds this claim.
    Granted,
    /// The holder held this claim before, from an earlier request of the same entry process.
    Renewed,
    /// The holder holds an earlier, different claim.
    Held(Claim),
    /// The holder abstains.
    Silent(AbstainReason),
}

/// A holder's reply to a lookup of the claim on a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookupReply {
    /// The holder has no claim on the submission.
    Free,
    /// The holder has this claim.
    Held(Claim),
    /// The holder abstains, since it may have forgotten a claim.
    Silent(AbstainReason),
}

/// A claim as stored, with the owner interned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldClaim {
    owner: Interned,
    digest: Digest,
}

/// The claims that one agent holds in memory until their retention ends.
#[derive(Debug)]
pub struct Register {
    started: Time,
    /// Claims on ids that were created before this time may have been removed.
    forgotten_before: Time,
    owners: Interner<NodeRef>,
    claims: Map<SubmissionId, HeldClaim>,
    expiry: Expiry<SubmissionId>,
}

impl Register {
    /// Creates an empty register for a process that started at `started`.
    pub fn new(started: Time) -> Self {
        Self {
            started,
            forgotten_before: Time::default(),
            owners: Interner::default(),
            claims: Map::default(),
            expiry: Expiry::default(),
        }
    }

    /// Holds a claim unless another one came first, and returns the vote.
    pub fn claim(&mut self, request: &ClaimRequest, window: &Window, now: Time) -> ClaimReply {
        let id = request.submission;
        if let Some(reason) = self.abstain_reason(id, window, now) {
            return ClaimReply::Silent(reason);
        }
        let owner = self.owners.intern(&request.claim.owner);
        let claim = HeldClaim { owner, digest: request.claim.digest };
        match self.claims.get(&id) {
            Some(held) if *held == claim => ClaimReply::Renewed,
            Some(held) => ClaimReply::Held(self.to_claim(held)),
            None => {
                self.claims.insert(id, claim);
                self.expiry.insert(id, window.kept_until(id));
                ClaimReply::Granted
            }
        }
    }

    fn to_claim(&self, held: &HeldClaim) -> Claim {
        Claim { owner: self.owners.value(held.owner).clone(), digest: held.digest }
    }

    /// The reason why this holder must not vote on an id; `None` if it may vote.
    fn abstain_reason(
        &self,
        id: SubmissionId,
        window: &Window,
        now: Time,
    ) -> Option<AbstainReason> {
        if id.created_at() <= window.votes_from(self.started) {
            return Some(AbstainReason::BeforeStart);
        }
        let too_new = id.created_at() > now + window.clock_skew * 2;
        if too_new || window.kept_until(id) < now || id.created_at() < self.forgotten_before {
            return Some(AbstainReason::OutsideWindow);
        }
        None
    }

    /// Returns the claim held on a submission, if any.
    pub fn lookup(&self, id: SubmissionId, window: &Window, now: Time) -> LookupReply {
        if let Some(claim) = self.claims.get(&id) {
            return LookupReply::Held(self.to_claim(claim));
        }
        match self.abstain_reason(id, window, now) {
            Some(reason) => LookupReply::Silent(reason),
            None => LookupReply::Free,
        }
    }

    /// Removes the claims that are past the current retention.
    ///
    /// A raised retention also extends the claims held already. Ids whose claims may have been
    /// removed under a shorter retention get no vote.
    pub fn expire(&mut self, window: &Window, now: Time) {
        self.forgotten_before = self.forgotten_before.max(now - window.retention);
        for id in self.expiry.take_expired(now) {
            let until = window.kept_until(id);
            if until >= now {
                self.expiry.insert(id, until);
            } else {
                self.claims.remove(&id);
            }
        }
    }

    /// The number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
