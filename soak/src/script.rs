//! Scripts: sequences of steps and the outcomes that must follow.
//!
//! A script is a JSON file. It is replayed by the same code as the randomised runs, but with a
//! fixed seed, and only the frames that the script names are lost.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Code, SubmissionId, Time, Verdict};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::checks::Violation;
use crate::simulation::{SimEvent, Simulation};

/// Longest delay of a frame in a replay.
const MAX_FRAME_DELAY: Duration = Duration::from_millis(1);

/// Errors of parsing or replaying a script.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScriptError {
    /// The file is not a valid script.
    #[error("invalid script: {0}")]
    Malformed(String),
    /// The replay violated invariants.
    #[error("invariants violated: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    InvariantViolated(Vec<Violation>),
    /// A submission had other outcomes than expected.
    #[error("submission {submission}: expected {expected:?}, got {actual:?}")]
    UnexpectedOutcome {
        /// The submission's number in the script.
        submission: u32,
        /// The expected outcomes, in the order of the answers.
        expected: Vec<Outcome>,
        /// The outcomes of the replay.
        actual: Vec<Outcome>,
    },
    /// A submission started another number of tasks than expected.
    #[error("submission {submission}: expected {expected} task starts, got {actual}")]
    UnexpectedStarts {
        /// The submission's number in the script.
        submission: u32,
        /// The expected number of task starts.
        expected: usize,
        /// The number of task starts in the replay.
        actual: usize,
    },
}

/// The kinds of frames that a script can drop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// A claim, or its reply.
    Claim,
    /// A start, or its reply.
    Start,
    /// A settle, or its reply.
    Settle,
}

/// The direction of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From an entry to an agent.
    ToAgent,
    /// From an agent to an entry.
    ToEntry,
}

/// A step of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step", deny_unknown_fields)]
pub enum Step {
    /// A client sends a submission, for the first time or again.
    Submit {
        /// The submission's number in the script.
        submission: u32,
        /// Index of the entry.
        entry: usize,
        /// Number of tasks.
        tasks: u32,
        /// Time within which an answer is requested, in milliseconds.
        deadline_ms: u64,
    },
    /// A client fetches the outcome.
    Fetch {
        /// The submission's number in the script.
        submission: u32,
        /// Index of the entry.
        entry: usize,
    },
    /// Drops the next frame of a kind between two nodes.
    Lose {
        /// The kind of the frame.
        frame: Frame,
        /// The direction of the frame.
        way: Direction,
        /// Index of the entry.
        entry: usize,
        /// Index of the agent.
        agent: usize,
    },
    /// Breaks a connection; the entry reconnects.
    Break {
        /// Index of the entry.
        entry: usize,
        /// Index of the agent.
        agent: usize,
    },
    /// Kills an entry.
    KillEntry {
        /// Index of the entry.
        entry: usize,
    },
    /// Kills an agent; its target keeps running.
    KillAgent {
        /// Index of the agent.
        agent: usize,
    },
    /// Restarts a killed entry.
    StartEntry {
        /// Index of the entry.
        entry: usize,
    },
    /// Restarts a killed agent.
    StartAgent {
        /// Index of the agent.
        agent: usize,
    },
    /// Stalls an agent.
    StallAgent {
        /// Index of the agent.
        agent: usize,
        /// Length of the stall, in milliseconds.
        ms: u64,
    },
    /// The platform lists an agent's host as leaving to all entries; the agent is not notified.
    ListLeaving {
        /// Index of the agent.
        agent: usize,
    },
    /// Notifies an agent that it has to leave.
    Leave {
        /// Index of the agent.
        agent: usize,
    },
}

/// A step and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedStep {
    /// Time after the start, in milliseconds.
    pub at_ms: u64,
    /// The step.
    #[serde(flatten)]
    pub step: Step,
}

/// An outcome as written in a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All tasks were answered.
    Complete,
    /// A failure with its code and verdict.
    Failed(Code, Verdict),
}

/// The expected results of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The submission's number in the script.
    pub submission: u32,
    /// The outcomes of its requests, in the order of the answers.
    pub outcomes: Vec<Outcome>,
    /// Total number of task starts.
    pub starts: usize,
}

/// A script: the cluster, the steps and the expected results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Description for readers.
    pub story: String,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each in a rack of its own.
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Duration of each task, in milliseconds.
    pub task_ms: u64,
    /// The steps of the script.
    pub steps: Vec<TimedStep>,
    /// Length of the replay, in milliseconds.
    pub end_ms: u64,
    /// The expected results.
    pub expect: Vec<Expectation>,
}

/// The state of a replay.
#[derive(Debug)]
pub(crate) struct Replay {
    pub task_time: Duration,
    pub frames_to_drop: Vec<(Frame, Direction, usize, usize)>,
    pub ids: BTreeMap<u32, SubmissionId>,
    pub outcomes: BTreeMap<SubmissionId, Vec<Outcome>>,
}

impl Script {
    /// Parses a script from JSON.
    pub fn parse(text: &str) -> Result<Self, ScriptError> {
        serde_json::from_str(text).map_err(|error| ScriptError::Malformed(error.to_string()))
    }

    /// Replays the script; fails on violations and on other results than expected.
    pub fn replay(&self) -> Result<(), ScriptError> {
        let mut simulation = Simulation::for_script(self, MAX_FRAME_DELAY);
        simulation.start_nodes();
        for timed in &self.steps {
            let at = simulation.start_time() + Duration::from_millis(timed.at_ms);
            simulation.schedule_at(at, SimEvent::ScriptStep(timed.step));
        }
        simulation.run_to_end();
        if !simulation.checks.violations.is_empty() {
            return Err(ScriptError::InvariantViolated(simulation.checks.violations));
        }
        self.expect.iter().try_for_each(|expected| expected.check(&simulation))
    }
}

impl Expectation {
    fn check(&self, simulation: &Simulation) -> Result<(), ScriptError> {
        let submission = self.submission;
        let Some(replay) = &simulation.replay else { return Ok(()) };
        let id = replay.ids.get(&submission).copied();
        let actual = id.and_then(|id| replay.outcomes.get(&id)).cloned().unwrap_or_default();
        if actual != self.outcomes {
            let expected = self.outcomes.clone();
            return Err(ScriptError::UnexpectedOutcome { submission, expected, actual });
        }
        let actual = id.map_or(0, |id| simulation.checks.started_tasks(id));
        if actual != self.starts {
            return Err(ScriptError::UnexpectedStarts {
                submission,
                expected: self.starts,
                actual,
            });
        }
        Ok(())
    }
}

impl Simulation {
    /// Applies a step of a script.
    pub fn apply_step(&mut self, step: Step) {
        match step {
            Step::Submit { submission, entry, tasks, deadline_ms } => {
                let id = self.submission_id(submission, tasks);
                self.submit_at(entry, id, Duration::from_millis(deadline_ms));
            }
            Step::Fetch { submission, entry } => {
                let id = self.submission_id(submission, 1);
                self.fetch_from(entry, id);
            }
            Step::Lose { frame, way, entry, agent } => {
                if let Some(replay) = &mut self.replay {
                    replay.frames_to_drop.push((frame, way, entry, agent));
                }
            }
            Step::Break { entry, agent } => self.break_connection(entry, agent),
            Step::KillEntry { entry } => self.kill_entry(entry),
            Step::KillAgent { agent } => self.kill_agent(agent),
            Step::StartEntry { entry } => self.start_entry(entry),
            Step::StartAgent { agent } => self.start_agent(agent),
            Step::StallAgent { agent, ms } => {
                self.agents[agent].node.stalled_until = self.now + Duration::from_millis(ms);
            }
            Step::ListLeaving { agent } => {
                let incarnation = self.agents[agent].node.incarnation;
                (0..self.entries.len())
                    .for_each(|entry| self.list_agent_leaving(entry, agent, incarnation));
            }
            Step::Leave { agent } => {
                let incarnation = self.agents[agent].node.incarnation;
                self.deliver_to_agent(agent, incarnation, agent::Event::Leave);
            }
        }
    }

    /// Returns the id of a submission by its number in the script; creates it at its first use.
    fn submission_id(&mut self, submission: u32, tasks: u32) -> SubmissionId {
        let now: Time = self.now;
        let Some(replay) = &mut self.replay else { return SubmissionId::from_parts(now, 0) };
        if let Some(id) = replay.ids.get(&submission) {
            return *id;
        }
        let id = SubmissionId::from_parts(now, u128::from(submission) << 64);
        replay.ids.insert(submission, id);
        let tasks = (0..tasks).map(|index| format!("{id} task {index}")).collect();
        self.checks.register(id, crate::checks::SubmissionSpec { tasks, repeatable: false });
        id
    }

    /// Returns whether the script drops this frame; each lose step drops one frame.
    pub fn drops_frame(
        &mut self,
        frame: Option<Frame>,
        direction: Direction,
        entry: usize,
        agent: usize,
    ) -> bool {
        let (Some(replay), Some(frame)) = (&mut self.replay, frame) else { return false };
        let wanted = (frame, direction, entry, agent);
        let Some(position) =
            replay.frames_to_drop.iter().position(|frame_to_drop| *frame_to_drop == wanted)
        else {
            return false;
        };
        replay.frames_to_drop.remove(position);
        true
    }
}
