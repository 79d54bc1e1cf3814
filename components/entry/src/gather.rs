//! The tasks of one admitted job: their attempts, states and answers.

use std::collections::VecDeque;
use std::sync::Arc;

use model::{Incarnation, Verdict};

use crate::Answers;

/// The recipient of a task's current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Recipient {
    /// The agent process that the task was sent to.
    pub agent: Incarnation,
}

#[derive(Clone, Debug)]
enum TaskState {
    /// Not sent yet, or to be sent again.
    Waiting,
    /// Sent, outcome not yet known.
    Sent(Recipient),
    /// Ran and was answered.
    Answered(Arc<str>),
    /// Ran, but without a usable answer.
    Failed,
}

#[derive(Clone, Debug)]
struct Task {
    text: Arc<str>,
    attempt: u32,
    state: TaskState,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
}

/// Tracks the tasks of one job until every task has its answer.
#[derive(Clone, Debug)]
pub(crate) struct Gather {
    tasks: Vec<Task>,
    /// Indexes of the tasks to send, in order.
    waiting: VecDeque<u32>,
    /// Tasks without an answer.
    missing: usize,
    /// Numbers of attempts sent to each rack, as pairs of rack and count.
    racks: Vec<(u32, u32)>,
}

impl Gather {
    pub fn new(texts: &[Arc<str>]) -> Self {
        let new_task = |text: &Arc<str>| Task {
            text: text.clone(),
            attempt: 0,
            state: TaskState::Waiting,
            may_have_run: false,
        };
        Self {
            tasks: texts.iter().map(new_task).collect(),
            waiting: (0..texts.len() as u32).collect(),
            missing: texts.len(),
            racks: Vec::new(),
        }
    }

    /// The number of tasks that wait to be sent.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The number of attempts of this job's tasks that were sent to a rack.
    pub fn on_rack(&self, rack: u32) -> u32 {
        self.racks.iter().find(|(known, _)| *known == rack).map_or(0, |(_, count)| *count)
    }

    /// Marks the next waiting task as sent and returns its index, attempt and text.
    pub fn send(&mut self, recipient: Recipient, rack: u32) -> Option<(u32, u32, Arc<str>)> {
        let index = self.waiting.pop_front()?;
        match self.racks.iter_mut().find(|(known, _)| *known == rack) {
            Some((_, count)) => *count += 1,
            None => self.racks.push((rack, 1)),
        }
        let task = &mut self.tasks[index as usize];
        debug_assert!(matches!(task.state, TaskState::Waiting));
        task.state = TaskState::Sent(recipient);
        Some((index, task.attempt, task.text.clone()))
    }

    /// The recipient of an attempt while its outcome is unknown; `None` once it is known, and for
    /// earlier attempts.
    pub fn recipient(&self, index: u32, attempt: u32) -> Option<Recipient> {
        let task = self.tasks.get(index as usize)?;
        match task.state {
            TaskState::Sent(recipient) if task.attempt == attempt => Some(recipient),
            _ => None,
        }
    }

    /// Stores the answer of a sent task; false when it is late or a duplicate.
    pub fn answer(&mut self, index: u32, attempt: u32, text: Arc<str>) -> bool {
        if self.recipient(index, attempt).is_none() {
            return false;
        }
        self.tasks[index as usize].state = TaskState::Answered(text);
        self.missing -= 1;
        true
    }

    /// Marks a sent task as run without an answer.
    pub fn fail(&mut self, index: u32, attempt: u32) {
        if self.recipient(index, attempt).is_some() {
            self.tasks[index as usize].state = TaskState::Failed;
        }
    }

    /// Returns a sent task to the waiting tasks as its next attempt; false when the outcome of the
    /// attempt is already known.
    pub fn requeue(&mut self, index: u32, attempt: u32, proven_not_run: bool) -> bool {
        if self.recipient(index, attempt).is_none() {
            return false;
        }
        let task = &mut self.tasks[index as usize];
        task.attempt += 1;
        task.state = TaskState::Waiting;
        task.may_have_run |= !proven_not_run;
        self.waiting.push_front(index);
        true
    }

    /// Whether every task has its answer.
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// The answers of all tasks, in task order; `None` while an answer is missing.
    pub fn answers(&self) -> Option<Answers> {
        let answer = |task: &Task| match &task.state {
            TaskState::Answered(text) => Some(text.clone()),
            _ => None,
        };
        self.tasks.iter().map(answer).collect()
    }

    /// The combined verdict of all tasks, for a job that ends now.
    pub fn verdict(&self) -> Verdict {
        let task_verdict = |task: &Task| match task.state {
            TaskState::Waiting if !task.may_have_run => Verdict::NotRun,
            TaskState::Waiting | TaskState::Sent(_) => Verdict::MayHaveRun,
            TaskState::Answered(_) | TaskState::Failed => Verdict::Ran,
        };
        self.tasks.iter().map(task_verdict).reduce(Verdict::and).unwrap_or(Verdict::NotRun)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AGENT: Recipient = Recipient { agent: Incarnation(1) };

    fn two_tasks() -> Gather {
        Gather::new(&["a".into(), "b".into()])
    }

    #[test]
    fn answers_are_in_task_order_and_only_when_complete() {
        let mut gather = two_tasks();
        gather.send(AGENT, 1);
        gather.send(AGENT, 1);
        assert!(gather.answer(1, 0, "B".into()));
        assert_eq!((gather.is_complete(), gather.answers()), (false, None));
        assert!(!gather.answer(1, 0, "late".into()));
        assert!(gather.answer(0, 0, "A".into()));
        let answers: Vec<String> =
            gather.answers().unwrap().iter().map(|text| text.to_string()).collect();
        assert_eq!(answers, ["A", "B"]);
    }

    #[test]
    fn an_answer_to_an_earlier_attempt_is_late() {
        let mut gather = two_tasks();
        gather.send(AGENT, 1);
        assert!(gather.requeue(0, 0, true));
        let (index, attempt, _) = gather.send(AGENT, 1).unwrap();
        assert_eq!((index, attempt), (0, 1));
        assert!(!gather.answer(0, 0, "old".into()));
        assert!(gather.answer(0, 1, "new".into()));
    }

    #[test]
    fn a_retry_without_proof_keeps_the_verdict_may_have_run() {
        let mut gather = two_tasks();
        assert_eq!(gather.verdict(), Verdict::NotRun);
        gather.send(AGENT, 1);
        assert_eq!(gather.verdict(), Verdict::MayHaveRun);
        gather.requeue(0, 0, true);
        assert_eq!(gather.verdict(), Verdict::NotRun);
        gather.send(AGENT, 1);
        gather.requeue(0, 1, false);
        assert_eq!(gather.verdict(), Verdict::MayHaveRun);
    }
}
