//! The tasks of one admitted job and their answers.

use std::collections::VecDeque;
use std::sync::Arc;

use model::{Incarnation, Verdict};

use crate::Answers;

/// To which life of its agent a task was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sent {
    pub agent: Incarnation,
}

#[derive(Clone, Debug)]
enum State {
    /// Not sent, or sent and proven not to have run.
    Waiting,
    /// Sent; its fate is open.
    Sent(Sent),
    /// It ran.
    Answered(Arc<str>),
    /// It ran, but gave no answer.
    Failed,
}

#[derive(Clone, Debug)]
struct Task {
    text: Arc<str>,
    attempt: u32,
    state: State,
    /// Whether some attempt may have run without proof of the contrary.
    may_have_run: bool,
}

/// The tasks of one job: sent, settled, answered, until it is whole.
#[derive(Clone, Debug)]
pub(crate) struct Gather {
    tasks: Vec<Task>,
    waiting: VecDeque<u32>,
    missing: usize,
    racks: Vec<(u32, u32)>,
}

impl Gather {
    pub fn new(texts: &[Arc<str>]) -> Self {
        let fresh = |text: &Arc<str>| Task {
            text: text.clone(),
            attempt: 0,
            state: State::Waiting,
            may_have_run: false,
        };
        Self {
            tasks: texts.iter().map(fresh).collect(),
            waiting: (0..texts.len() as u32).collect(),
            missing: texts.len(),
            racks: Vec::new(),
        }
    }

    /// Tasks that wait to be sent.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tasks of the job sent to a rack.
    pub fn on_rack(&self, rack: u32) -> u32 {
        self.racks.iter().find(|(known, _)| *known == rack).map_or(0, |(_, count)| *count)
    }

    /// Marks the next waiting task as sent; gives its index, attempt and text.
    pub fn send(&mut self, sent: Sent, rack: u32) -> Option<(u32, u32, Arc<str>)> {
        let index = self.waiting.pop_front()?;
        match self.racks.iter_mut().find(|(known, _)| *known == rack) {
            Some((_, count)) => *count += 1,
            None => self.racks.push((rack, 1)),
        }
        let task = &mut self.tasks[index as usize];
        debug_assert!(matches!(task.state, State::Waiting));
        task.state = State::Sent(sent);
        Some((index, task.attempt, task.text.clone()))
    }

    /// Where a task's present attempt was sent, while its fate is open.
    pub fn sent(&self, index: u32, attempt: u32) -> Option<Sent> {
        let task = self.tasks.get(index as usize)?;
        match task.state {
            State::Sent(sent) if task.attempt == attempt => Some(sent),
            _ => None,
        }
    }

    /// Takes the answer of an open task; false where it is late or doubled.
    pub fn answer(&mut self, index: u32, attempt: u32, text: Arc<str>) -> bool {
        if self.sent(index, attempt).is_none() {
            return false;
        }
        self.tasks[index as usize].state = State::Answered(text);
        self.missing -= 1;
        true
    }

    /// Notes that an open task ran and gave no answer.
    pub fn fail(&mut self, index: u32, attempt: u32) {
        if self.sent(index, attempt).is_some() {
            self.tasks[index as usize].state = State::Failed;
        }
    }

    /// Puts an open task back to be sent again, with the next attempt's number.
    pub fn put_back(&mut self, index: u32, attempt: u32, proven_not_run: bool) -> bool {
        if self.sent(index, attempt).is_none() {
            return false;
        }
        let task = &mut self.tasks[index as usize];
        task.attempt += 1;
        task.state = State::Waiting;
        task.may_have_run |= !proven_not_run;
        self.waiting.push_front(index);
        true
    }

    /// Whether every task has its answer.
    pub fn is_whole(&self) -> bool {
        self.missing == 0
    }

    /// Every answer in order; `None` when one is missing.
    pub fn answers(&self) -> Option<Answers> {
        let answer = |task: &Task| match &task.state {
            State::Answered(text) => Some(text.clone()),
            _ => None,
        };
        self.tasks.iter().map(answer).collect()
    }

    /// What is known of the job if it ends now.
    pub fn verdict(&self) -> Verdict {
        let of = |task: &Task| match task.state {
            State::Waiting if !task.may_have_run => Verdict::NotRun,
            State::Waiting | State::Sent(_) => Verdict::MayHaveRun,
            State::Answered(_) | State::Failed => Verdict::Ran,
        };
        self.tasks.iter().map(of).reduce(Verdict::and).unwrap_or(Verdict::NotRun)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SENT: Sent = Sent { agent: Incarnation(1) };

    fn two() -> Gather {
        Gather::new(&["a".into(), "b".into()])
    }

    #[test]
    fn answers_come_in_task_order_and_only_whole() {
        let mut gather = two();
        gather.send(SENT, 1);
        gather.send(SENT, 1);
        assert!(gather.answer(1, 0, "B".into()));
        assert_eq!((gather.is_whole(), gather.answers()), (false, None));
        assert!(!gather.answer(1, 0, "late".into()));
        assert!(gather.answer(0, 0, "A".into()));
        let answers: Vec<String> =
            gather.answers().unwrap().iter().map(|text| text.to_string()).collect();
        assert_eq!(answers, ["A", "B"]);
    }

    #[test]
    fn an_answer_to_an_earlier_attempt_is_late() {
        let mut gather = two();
        gather.send(SENT, 1);
        assert!(gather.put_back(0, 0, true));
        let (index, attempt, _) = gather.send(SENT, 1).unwrap();
        assert_eq!((index, attempt), (0, 1));
        assert!(!gather.answer(0, 0, "old".into()));
        assert!(gather.answer(0, 1, "new".into()));
    }

    #[test]
    fn verdicts_keep_what_is_not_proven() {
        let mut gather = two();
        assert_eq!(gather.verdict(), Verdict::NotRun);
        gather.send(SENT, 1);
        assert_eq!(gather.verdict(), Verdict::MayHaveRun);
        gather.put_back(0, 0, true);
        assert_eq!(gather.verdict(), Verdict::NotRun);
        gather.send(SENT, 1);
        gather.put_back(0, 1, false);
        assert_eq!(gather.verdict(), Verdict::MayHaveRun);
    }
}
