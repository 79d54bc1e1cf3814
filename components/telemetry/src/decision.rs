//! Log records of routing and placement decisions.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{Code, NodeName, SubmissionId, Time};
use serde::{Deserialize, Serialize};

/// The kind of a decision, with its result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum DecisionKind {
    /// A task was assigned to a target.
    Place {
        /// Index of the task in its submission.
        index: u32,
        /// The agent of the target.
        target: NodeName,
        /// Idle tokens that the entry still holds for the service.
        idle: u32,
    },
    /// A task will be placed again.
    PlaceAgain {
        /// Index of the task in its submission.
        index: u32,
        /// Number of the new attempt; the first placement is attempt 0.
        attempt: u32,
    },
    /// A request was refused or abandoned.
    Refuse {
        /// The failure code.
        code: Code,
    },
    /// A submission was forwarded to the entry that owns it.
    Relay {
        /// The owning entry.
        owner: NodeName,
    },
}

/// A decision and the inputs that it was based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision.
    pub time: Time,
    /// The id of the submission.
    pub submission: SubmissionId,
    /// The team that made the request.
    pub team: Arc<str>,
    /// The service and kind of the request.
    pub kind: Arc<str>,
    /// The decision.
    pub step: DecisionKind,
    /// Number of tasks waiting in the queue of the service.
    pub queue: usize,
    /// Estimated time until the answer is complete.
    pub estimate: Duration,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} team={} kind={} ", self.time, self.submission, self.team, self.kind)?;
        match &self.step {
            DecisionKind::Place { index, target, idle } => {
                write!(f, "place task={index} target={target} idle={idle}")?;
            }
            DecisionKind::PlaceAgain { index, attempt } => {
                write!(f, "place-again task={index} attempt={attempt}")?;
            }
            DecisionKind::Refuse { code } => write!(f, "refuse why={code}")?,
            DecisionKind::Relay { owner } => write!(f, "relay owner={owner}")?,
        }
        write!(f, " queue={} estimate_ms={}", self.queue, self.estimate.as_millis())
    }
}
