//! One submission at one entry.

use std::sync::Arc;

use claims::Round;
use model::{Digest, Failure, Time};
use settings::KindSettings;
use wire::{RelayReply, RelayRequest};

use crate::gather::Gather;
use crate::{CallId, OwnerCall};

/// Where a submission stands.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Its claim is asked for.
    Claiming { round: Round, request: Arc<RelayRequest> },
    /// It can't be taken now; it is claimed, so that nobody else takes it and the refusal is true.
    Refusing { round: Round, request: Arc<RelayRequest>, failure: Failure },
    /// Its owner has it.
    Relaying { call: OwnerCall, since: Time },
    /// Admitted: tasks wait, run, are answered.
    Active(Gather),
    /// A claim round ended without a quorum: nothing started, and it may be claimed again.
    Undecided,
    /// It was claimed and refused: nothing started. It may be taken after `until`; the refusal
    /// may still be on its way to a caller before.
    Refused { failure: Failure, until: Time },
    /// It has its outcome.
    Done(RelayReply),
}

/// A submission that an entry knows.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub digest: Digest,
    pub repeatable: bool,
    /// The settings of its kind; none where the kind is unknown.
    pub kind: Option<Arc<KindSettings>>,
    pub team: Arc<str>,
    /// `SERVICE/KIND`, for the decision log.
    pub label: Arc<str>,
    /// Counts up by arrival.
    pub arrival: u64,
    pub deadline: Time,
    /// Since when its tasks wait for slots.
    pub waits_since: Time,
    /// Whether this life of the entry has claimed it before.
    pub claimed_before: bool,
    /// Whether it may be handed to another entry; not where another handed it over.
    pub may_relay: bool,
    pub waiters: Vec<CallId>,
    pub phase: Phase,
}

impl Job {
    /// Whether it has its outcome.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// Its claim round, while one is open.
    pub fn round_mut(&mut self) -> Option<&mut Round> {
        match &mut self.phase {
            Phase::Claiming { round, .. } | Phase::Refusing { round, .. } => Some(round),
            _ => None,
        }
    }

    /// Whether something is still done for it here.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Done(_) | Phase::Undecided | Phase::Refused { .. })
    }

    /// Its tasks, while they are placed and gathered.
    pub fn gather_mut(&mut self) -> Option<&mut Gather> {
        match &mut self.phase {
            Phase::Active(gather) => Some(gather),
            _ => None,
        }
    }

    /// Its tasks, while they are placed and gathered.
    pub fn gather(&self) -> Option<&Gather> {
        match &self.phase {
            Phase::Active(gather) => Some(gather),
            _ => None,
        }
    }
}
