//! Recorded traces: what happens, step by step, and the outcomes that have to follow.
//!
//! A trace is a small JSON file. It is replayed through the same libraries and by the same code
//! as the randomised runs, without any chance: frames take a fixed time, and only those are lost
//! that the trace says.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Code, SubmissionId, Time, Verdict};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::checks::Violation;
use crate::simulation::{SimEvent, Simulation};

/// How long frames take in a trace.
const FRAME_TIME: Duration = Duration::from_millis(1);

/// Why a trace did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScriptError {
    /// The file is not a trace.
    #[error("not a trace: {0}")]
    Malformed(String),
    /// What must always hold did not.
    #[error("violated: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    InvariantViolated(Vec<Violation>),
    /// Another outcome than stated.
    #[error("submission {submission}: expected {expected:?}, got {actual:?}")]
    UnexpectedOutcome {
        /// The submission's number in the trace.
        submission: u32,
        /// What the trace states, in the order of answering.
        expected: Vec<Outcome>,
        /// What came.
        actual: Vec<Outcome>,
    },
    /// Another number of task starts than stated.
    #[error("submission {submission}: expected {expected} task starts, got {actual}")]
    UnexpectedStarts {
        /// The submission's number in the trace.
        submission: u32,
        /// What the trace states.
        expected: usize,
        /// What came.
        actual: usize,
    },
}

/// The kinds of frames that a trace can lose.
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

/// The way of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From an entry to an agent.
    ToAgent,
    /// From an agent to an entry.
    ToEntry,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step", deny_unknown_fields)]
pub enum Step {
    /// A client submits, or submits again.
    Submit {
        /// The submission's number in the trace.
        submission: u32,
        /// The entry.
        entry: usize,
        /// How many tasks it has.
        tasks: u32,
        /// Time to the answer.
        deadline_ms: u64,
    },
    /// A client asks for the outcome.
    Fetch {
        /// The submission's number in the trace.
        submission: u32,
        /// The entry.
        entry: usize,
    },
    /// From now on the next frame of a kind between two nodes is lost.
    Lose {
        /// Its kind.
        frame: Frame,
        /// Its way.
        way: Direction,
        /// The entry.
        entry: usize,
        /// The agent.
        agent: usize,
    },
    /// A connection breaks; the entry dials again.
    Break {
        /// The entry.
        entry: usize,
        /// The agent.
        agent: usize,
    },
    /// An entry's process dies.
    KillEntry {
        /// The entry.
        entry: usize,
    },
    /// An agent's process dies; its target lives on.
    KillAgent {
        /// The agent.
        agent: usize,
    },
    /// A dead entry starts anew.
    StartEntry {
        /// The entry.
        entry: usize,
    },
    /// A dead agent starts anew.
    StartAgent {
        /// The agent.
        agent: usize,
    },
    /// An agent's process stands still.
    StallAgent {
        /// The agent.
        agent: usize,
        /// For how long.
        ms: u64,
    },
    /// The platform's list tells every entry that an agent's host leaves; the agent is silent.
    ListLeaving {
        /// The agent.
        agent: usize,
    },
    /// An agent is told to leave.
    Leave {
        /// The agent.
        agent: usize,
    },
}

/// A step and when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedStep {
    /// Milliseconds after the start.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub step: Step,
}

/// An outcome as a trace states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Whole.
    Complete,
    /// Failed, with its code and verdict.
    Failed(Code, Verdict),
}

/// What has to come of one submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The submission's number in the trace.
    pub submission: u32,
    /// The outcomes of its requests, in the order of answering.
    pub outcomes: Vec<Outcome>,
    /// How many of its tasks start, in all.
    pub starts: usize,
}

/// A whole trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// What it tells, for people.
    pub story: String,
    /// How many entries.
    pub entries: usize,
    /// How many agents, each in a rack of its own.
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
    /// How long each task takes.
    pub task_ms: u64,
    /// What happens.
    pub steps: Vec<TimedStep>,
    /// How long the replay goes on.
    pub end_ms: u64,
    /// What has to come of it.
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
    /// Reads a trace.
    pub fn parse(text: &str) -> Result<Self, ScriptError> {
        serde_json::from_str(text).map_err(|error| ScriptError::Malformed(error.to_string()))
    }

    /// Replays it and checks every stated outcome.
    pub fn replay(&self) -> Result<(), ScriptError> {
        let mut simulation = Simulation::for_script(self, FRAME_TIME);
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
    /// Takes a step of a trace.
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

    /// The id of a trace's submission; made at its first use.
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

    /// Whether a frame is one that the trace loses; each loss takes one frame.
    pub fn drops_frame(
        &mut self,
        frame: Option<Frame>,
        way: Direction,
        entry: usize,
        agent: usize,
    ) -> bool {
        let (Some(replay), Some(frame)) = (&mut self.replay, frame) else { return false };
        let wanted = (frame, way, entry, agent);
        let Some(position) =
            replay.frames_to_drop.iter().position(|frame_to_drop| *frame_to_drop == wanted)
        else {
            return false;
        };
        replay.frames_to_drop.remove(position);
        true
    }
}
