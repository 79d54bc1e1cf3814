//! The claims that one agent holds.

use model::{Digest, Expiry, Interned, Interner, Map, NodeRef, SubmissionId, Time};
use serde::{Deserialize, Serialize};

use crate::Window;

/// An entry's claim to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The life of the entry that claims.
    pub owner: NodeRef,
    /// The digest of the submission's work.
    pub digest: Digest,
}

/// Asks a holder for a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The submission.
    pub submission: SubmissionId,
    /// Who claims it, with what work.
    pub claim: Claim,
}

/// Why a holder does not vote on an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Silence {
    /// The id was made before the holder's start, or so close to it that an earlier life may
    /// have voted.
    BeforeStart,
    /// The id's claims are no longer kept, or it is from the future.
    OutsideWindow,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim holds here from now on.
    Granted,
    /// The same claim held here before: the owner has asked in this life already.
    Renewed,
    /// An earlier claim holds here.
    Held(Claim),
    /// The holder does not vote.
    Silent(Silence),
}

/// A holder's answer to the question whose claim holds on a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookupReply {
    /// Nobody's.
    Free,
    /// This claim holds here.
    Held(Claim),
    /// The holder can't know.
    Silent(Silence),
}

/// A claim as it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldClaim {
    owner: Interned,
    digest: Digest,
}

/// The claims that one agent holds, in memory, until their retention ends.
#[derive(Debug)]
pub struct Register {
    started: Time,
    /// Ids made before this may have been forgotten.
    forgotten_before: Time,
    owners: Interner<NodeRef>,
    claims: Map<SubmissionId, HeldClaim>,
    expiry: Expiry<SubmissionId>,
}

impl Register {
    /// An empty register of a process that started at `started`.
    pub fn new(started: Time) -> Self {
        Self {
            started,
            forgotten_before: Time::default(),
            owners: Interner::default(),
            claims: Map::default(),
            expiry: Expiry::default(),
        }
    }

    /// Takes a claim, or says whose came first.
    pub fn claim(&mut self, request: &ClaimRequest, window: &Window, now: Time) -> ClaimReply {
        let id = request.submission;
        if let Some(silence) = self.silence(id, window, now) {
            return ClaimReply::Silent(silence);
        }
        let owner = self.owners.intern(&request.claim.owner);
        let claim = HeldClaim { owner, digest: request.claim.digest };
        match self.claims.get(&id) {
            Some(held) if *held == claim => ClaimReply::Renewed,
            Some(held) => ClaimReply::Held(self.restore(held)),
            None => {
                self.claims.insert(id, claim);
                self.expiry.insert(id, window.kept_until(id));
                ClaimReply::Granted
            }
        }
    }

    fn restore(&self, held: &HeldClaim) -> Claim {
        Claim { owner: self.owners.value(held.owner).clone(), digest: held.digest }
    }

    fn silence(&self, id: SubmissionId, window: &Window, now: Time) -> Option<Silence> {
        if id.made() <= window.votes_from(self.started) {
            return Some(Silence::BeforeStart);
        }
        let too_new = id.made() > now + window.clock_skew * 2;
        if too_new || window.kept_until(id) < now || id.made() < self.forgotten_before {
            return Some(Silence::OutsideWindow);
        }
        None
    }

    /// Whose claim holds on a submission.
    pub fn lookup(&self, id: SubmissionId, window: &Window, now: Time) -> LookupReply {
        if let Some(claim) = self.claims.get(&id) {
            return LookupReply::Held(self.restore(claim));
        }
        match self.silence(id, window, now) {
            Some(silence) => LookupReply::Silent(silence),
            None => LookupReply::Free,
        }
    }

    /// Forgets what is past its retention, as long as the settings now say.
    ///
    /// A retention that was raised since a claim came keeps that claim longer, and what had been
    /// forgotten under a shorter one is not voted on.
    pub fn expire(&mut self, window: &Window, now: Time) {
        self.forgotten_before = self.forgotten_before.max(now - window.retention);
        for id in self.expiry.due(now) {
            let until = window.kept_until(id);
            if until >= now {
                self.expiry.insert(id, until);
            } else {
                self.claims.remove(&id);
            }
        }
    }

    /// How many claims are held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
