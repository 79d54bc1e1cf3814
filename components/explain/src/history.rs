//! What happened to one request.

use std::collections::BTreeSet;

use crate::Line;

/// Changes of state that explain what happens to requests.
const EXPLAINING: [&str; 16] = [
    "start",
    "stop",
    "draining",
    "closing",
    "paused",
    "agent-lost",
    "agent-open",
    "session-lost",
    "target-gone",
    "target-silent",
    "target-heard",
    "target-drains",
    "target-left-out",
    "target-taken-back",
    "configuration",
    "omitted",
];
/// How long before a request's first line a change of state may explain it, in seconds.
const BEFORE: f64 = 1.5;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The answer, as the entry's log names it; "unanswered" where there is none.
    pub outcome: String,
    /// Why, in a sentence.
    pub cause: String,
}

/// A request's lines, oldest first, and the changes of state at the same nodes meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The request's own lines.
    pub lines: Vec<Line>,
    /// What else its nodes wrote.
    pub context: Vec<Line>,
}

impl History {
    /// Finds a request in lines of any order.
    pub fn for_job(job: &str, all: Vec<Line>) -> Self {
        let (mut lines, others): (Vec<Line>, Vec<Line>) =
            all.into_iter().partition(|line| line.is_about_job(job));
        lines.sort_by(|a, b| a.time.total_cmp(&b.time));
        let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
            return Self::default();
        };
        let (from, to) = (first.time - BEFORE, last.time);
        let nodes: BTreeSet<&str> =
            lines.iter().flat_map(|line| [line.node.as_str(), line.text("agent")]).collect();
        let mut context: Vec<Line> = others
            .into_iter()
            .filter(|line| line.time >= from && line.time <= to)
            .filter(|line| line.is_state_change() && EXPLAINING.contains(&line.event.as_str()))
            .filter(|line| nodes.contains(line.node.as_str()))
            .collect();
        context.sort_by(|a, b| a.time.total_cmp(&b.time));
        Self { lines, context }
    }

    /// Whether nothing is known of the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// All lines with the changes of state between them, oldest first.
    pub fn merged(&self) -> Vec<&Line> {
        let mut all: Vec<&Line> = self.lines.iter().chain(&self.context).collect();
        all.sort_by(|a, b| a.time.total_cmp(&b.time));
        all
    }

    /// What became of the request, by its last answer.
    pub fn explanation(&self) -> Explanation {
        let is_answer =
            |line: &&Line| ["answered", "completed", "refused"].contains(&line.event.as_str());
        let Some(answer) = self.lines.iter().rev().find(is_answer) else {
            return Explanation { outcome: "unanswered".to_owned(), cause: self.unanswered() };
        };
        let outcome = match answer.text("outcome") {
            "" => "not-run",
            outcome => outcome,
        };
        let cause = match answer.text("reason") {
            "" => "every task was done".to_owned(),
            reason => self.cause(reason, answer),
        };
        Explanation { outcome: outcome.to_owned(), cause }
    }

    fn unanswered(&self) -> String {
        let owner = self.lines.iter().find(|line| line.event == "admitted");
        match owner {
            Some(line) => {
                format!("{} took it and wrote no answer: it ended or lost power", line.node)
            }
            None => "no entry wrote that it took it".to_owned(),
        }
    }

    fn cause(&self, reason: &str, answer: &Line) -> String {
        match reason {
            "no-room" => format!(
                "no target had room in time: {} open, the freest had {}, {} tasks waited",
                answer.fields.get("open").map(ToString::to_string).unwrap_or_default(),
                answer.text("most_free"),
                answer.fields.get("waiting").map(ToString::to_string).unwrap_or_default(),
            ),
            "attempts" => format!("a task failed as often as it may: {}", self.ends("Failed")),
            "losses" => format!("a task was lost too often: {}", self.ends("Lost")),
            "agent-lost" => {
                let lost = self.context.iter().rev().find(|line| line.event == "agent-lost");
                match lost {
                    Some(line) => format!(
                        "the session with {} died ({})",
                        line.text("agent"),
                        line.text("why")
                    ),
                    None => "the session with an agent died".to_owned(),
                }
            }
            "paused" => "the entry stood still: see its line 'paused'".to_owned(),
            "deadline" => "the client's time was over".to_owned(),
            "client-gone" => "the client went away".to_owned(),
            "draining" => "the entry was stopping".to_owned(),
            other => other.to_owned(),
        }
    }

    /// At which agents tasks ended so.
    fn ends(&self, end: &str) -> String {
        let ended =
            self.lines.iter().filter(|line| line.event == "task-ended" && line.text("end") == end);
        ended.map(|line| line.text("agent").to_owned()).collect::<Vec<_>>().join(", ")
    }
}
