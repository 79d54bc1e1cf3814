//! One line for each routing or placement decision.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{Code, NodeName, SubmissionId, Time};
use serde::{Deserialize, Serialize};

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum DecisionKind {
    /// A task goes to a target.
    Place {
        /// The task's place in its submission.
        index: u32,
        /// The target's agent.
        target: NodeName,
        /// Tokens that were idle in the target's hall and elsewhere.
        idle: u32,
    },
    /// A task is placed again.
    PlaceAgain {
        /// The task's place in its submission.
        index: u32,
        /// Which try this is, from 1.
        attempt: u32,
    },
    /// A request is refused or given up.
    Refuse {
        /// Why.
        code: Code,
    },
    /// A submission is handed to the entry that owns it.
    Relay {
        /// The owner.
        owner: NodeName,
    },
}

/// A decision with what it was based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When.
    pub time: Time,
    /// The submission.
    pub submission: SubmissionId,
    /// The team.
    pub team: Arc<str>,
    /// The service and kind.
    pub kind: Arc<str>,
    /// What was decided.
    pub step: DecisionKind,
    /// Tasks waiting in the queue of the service.
    pub queue: usize,
    /// Estimated time to the answer.
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
