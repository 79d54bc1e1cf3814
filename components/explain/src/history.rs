//! The history of a job and the explanation of its outcome.

use std::collections::BTreeSet;

use crate::Line;

/// Events of nodes that can explain the outcome of a job.
const CONTEXT_EVENTS: [&str; 18] = [
    "start",
    "stop",
    "draining",
    "closing",
    "paused",
    "agent-lost",
    "agent-open",
    "session-lost",
    "target-left",
    "target-unreachable",
    "target-gone",
    "target-silent",
    "target-heard",
    "target-drains",
    "target-left-out",
    "target-taken-back",
    "configuration",
    "omitted",
];
/// How long before the first line of a job its context starts, in seconds.
const CONTEXT_LEAD_S: f64 = 1.5;

/// The outcome of a job and its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The outcome as logged by the entry; "unanswered" if there is none.
    pub outcome: String,
    /// A human-readable cause.
    pub cause: String,
}

/// The log lines of a job, and the concurrent state changes of the nodes involved. Both are sorted
/// by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The lines about the job.
    pub lines: Vec<Line>,
    /// State changes of the job's entries and agents.
    pub context: Vec<Line>,
}

impl History {
    /// Collects the history of a job from lines in any order; empty if no line is about the job.
    pub fn for_job(job: &str, all: Vec<Line>) -> Self {
        let (mut lines, others): (Vec<Line>, Vec<Line>) =
            all.into_iter().partition(|line| line.is_about_job(job));
        lines.sort_by(|a, b| a.time.total_cmp(&b.time));
        let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
            return Self::default();
        };
        let (from, to) = (first.time - CONTEXT_LEAD_S, last.time);
        let nodes: BTreeSet<&str> =
            lines.iter().flat_map(|line| [line.node.as_str(), line.text("agent")]).collect();
        let mut context: Vec<Line> = others
            .into_iter()
            .filter(|line| line.time >= from && line.time <= to)
            .filter(|line| line.is_state_change() && CONTEXT_EVENTS.contains(&line.event.as_str()))
            .filter(|line| nodes.contains(line.node.as_str()))
            .collect();
        context.sort_by(|a, b| a.time.total_cmp(&b.time));
        Self { lines, context }
    }

    /// Whether no line is about the job.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The lines of the job and the state changes, sorted by time.
    pub fn merged(&self) -> Vec<&Line> {
        let mut all: Vec<&Line> = self.lines.iter().chain(&self.context).collect();
        all.sort_by(|a, b| a.time.total_cmp(&b.time));
        all
    }

    /// Explains the outcome of the job from its last answer.
    pub fn explanation(&self) -> Explanation {
        let is_answer =
            |line: &&Line| ["answered", "completed", "refused"].contains(&line.event.as_str());
        let Some(answer) = self.lines.iter().rev().find(is_answer) else {
            return Explanation { outcome: "unanswered".to_owned(), cause: self.no_answer_cause() };
        };
        let outcome = match answer.text("outcome") {
            "" => "not-run",
            outcome => outcome,
        };
        let cause = match answer.text("reason") {
            "" => "every task succeeded".to_owned(),
            reason => self.cause(reason, answer),
        };
        Explanation { outcome: outcome.to_owned(), cause }
    }

    fn no_answer_cause(&self) -> String {
        let admission = self.lines.iter().find(|line| line.event == "admitted");
        match admission {
            Some(line) => {
                format!("{} admitted the job, then stopped without logging an answer", line.node)
            }
            None => "no entry logged that it admitted the job".to_owned(),
        }
    }

    fn cause(&self, reason: &str, answer: &Line) -> String {
        match reason {
            "no-room" => format!(
                "no target had free capacity in time: {} targets open, most free {}, {} tasks waiting",
                answer.fields.get("open").map(ToString::to_string).unwrap_or_default(),
                answer.text("most_free"),
                answer.fields.get("waiting").map(ToString::to_string).unwrap_or_default(),
            ),
            "attempts" => format!("a task failed too often: {}", self.agents_with("Failed")),
            "losses" => format!("a task was lost too often: {}", self.agents_with("Lost")),
            "agent-lost" => {
                let session_loss =
                    self.context.iter().rev().find(|line| line.event == "agent-lost");
                match session_loss {
                    Some(line) => format!(
                        "the session with {} was lost ({})",
                        line.text("agent"),
                        line.text("why")
                    ),
                    None => "the session with an agent was lost".to_owned(),
                }
            }
            "paused" => "the entry process was paused: see its 'paused' event".to_owned(),
            "deadline" => "the client's deadline passed".to_owned(),
            "client-gone" => "the client disconnected".to_owned(),
            "draining" => "the entry was shutting down".to_owned(),
            other => other.to_owned(),
        }
    }

    /// The agents at which tasks of the job ended with `end`, separated by commas.
    fn agents_with(&self, end: &str) -> String {
        let ended =
            self.lines.iter().filter(|line| line.event == "task-ended" && line.text("end") == end);
        ended.map(|line| line.text("agent").to_owned()).collect::<Vec<_>>().join(", ")
    }
}
