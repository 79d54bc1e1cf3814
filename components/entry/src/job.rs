//! The state of one submission at one entry.

use std::sync::Arc;

use claims::Round;
use model::{Digest, Failure, Time};
use settings::KindSettings;
use wire::{RelayReply, RelayRequest};

use crate::gather::Gather;
use crate::{CallId, OwnerCall};

/// The progress of a submission at this entry.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// The claim round is open.
    Claiming { round: Round, request: Arc<RelayRequest> },
    /// A claim round is open for a submission that is refused: owning the claim prevents other
    /// entries from running it.
    Refusing { round: Round, request: Arc<RelayRequest>, failure: Failure },
    /// Relayed to the entry that owns it.
    Relaying { call: OwnerCall, since: Time },
    /// Admitted: its tasks wait, run or are answered.
    Admitted(Gather),
    /// The claim round had no quorum; nothing started, and it may be claimed again.
    Undecided,
    /// Claimed and refused; nothing started. Until `until` the refusal may still be in transit to
    /// a caller, and the submission is not admitted.
    Refused { failure: Failure, until: Time },
    /// Completed or failed.
    Done(RelayReply),
}

/// A submission known to an entry.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The digest of the tasks, which detects a reused submission id.
    pub digest: Digest,
    /// Whether the tasks may run more than once.
    pub repeatable: bool,
    /// The settings of its kind; `None` if the kind is unknown.
    pub kind: Option<Arc<KindSettings>>,
    pub team: Arc<str>,
    /// `SERVICE/KIND`, for the decision log.
    pub label: Arc<str>,
    /// The sequence number of the request's arrival, which breaks ties in the queue.
    pub arrival: u64,
    pub deadline: Time,
    /// The time at which its tasks were last queued.
    pub waits_since: Time,
    /// Whether this entry process has claimed the submission before.
    pub claimed_before: bool,
    /// Whether the submission may be relayed; false if another entry relayed it here.
    pub may_relay: bool,
    /// The calls that the outcome answers.
    pub waiters: Vec<CallId>,
    pub phase: Phase,
}

impl Job {
    /// Whether the submission has an outcome.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// The claim round while it is open.
    pub fn round_mut(&mut self) -> Option<&mut Round> {
        match &mut self.phase {
            Phase::Claiming { round, .. } | Phase::Refusing { round, .. } => Some(round),
            _ => None,
        }
    }

    /// Whether the submission is in progress at this entry: neither done nor waiting to be
    /// submitted again.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Done(_) | Phase::Undecided | Phase::Refused { .. })
    }

    /// The tasks of an admitted job that has no outcome yet.
    pub fn gather_mut(&mut self) -> Option<&mut Gather> {
        match &mut self.phase {
            Phase::Admitted(gather) => Some(gather),
            _ => None,
        }
    }

    /// The tasks of an admitted job that has no outcome yet.
    pub fn gather(&self) -> Option<&Gather> {
        match &self.phase {
            Phase::Admitted(gather) => Some(gather),
            _ => None,
        }
    }
}
