//! The keeper's deciding thread: applies changes once they are synced, and answers nodes.

use std::time::Duration;

use async_channel::Sender;
use journal::{Journal, Opened};
use keeper::{Command, State, Version};
use model::{NodeName, Time};
use serde::Serialize;
use settings::Tree;
use spdlog::{error, info, warn};
use wire::{ChangeRequest, ChangeResult, PullReply, PullRequest};

use super::KeeperError;
use crate::driver::Decider;

/// How long a node that has the version in force waits for the next.
const PULL_TIME: Duration = Duration::from_secs(2);

/// Versions shown to operators.
const HISTORY: usize = 100;

/// What reaches the deciding thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An operator's change.
    Change(ChangeRequest, Sender<ChangeResult>),
    /// An operator reads the tree.
    Read(Sender<TreeReply>),
    /// An operator reads the last versions.
    History(Sender<Vec<Version>>),
    /// A node asks for newer settings.
    Pull(PullRequest, Sender<PullReply>),
}

/// A version of the tree, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TreeReply {
    /// The version.
    pub version: u64,
    /// The tree as INI.
    pub tree: String,
}

/// A node that waits for a newer version.
struct Waiting {
    have: Option<u64>,
    until: Time,
    reply: Sender<PullReply>,
}

/// The deciding thread's state.
pub(crate) struct KeeperDecider {
    name: NodeName,
    state: State,
    journal: Journal,
    waiting: Vec<Waiting>,
    broken: bool,
}

impl KeeperDecider {
    /// The state that the journal's records lead to.
    pub(crate) fn recover(
        name: NodeName,
        opened: Opened,
        initial: Tree,
    ) -> Result<Self, KeeperError> {
        if opened.cut > 0 {
            warn!("keeper {}: cut a torn record of {} bytes", name, opened.cut);
        }
        let mut state = State::new(initial);
        for (number, record) in opened.records.iter().enumerate() {
            let command: Command =
                serde_json::from_slice(record).map_err(|_| KeeperError::BadRecord(number))?;
            state.apply(&command);
        }
        info!("keeper {}: settings {} recovered", name, state.version());
        Ok(Self { name, state, journal: opened.journal, waiting: Vec::new(), broken: false })
    }

    fn change(&mut self, now: Time, request: ChangeRequest, reply: &Sender<ChangeResult>) {
        if let Some(first) = self.state.result(&request.change) {
            // The one who asked may be gone.
            let _ = reply.try_send(first.clone());
            return;
        }
        let command = Command { request, taken: now };
        let record = serde_json::to_vec(&command).expect("plain structs become JSON");
        self.journal.append(&record);
        if let Err(error) = self.journal.sync() {
            // Nothing is known of the change: no answer, and nothing more is taken.
            error!("keeper {}: {}", self.name, error);
            self.broken = true;
            return;
        }
        let before = self.state.version();
        let result = self.state.apply(&command);
        if self.state.version() > before {
            info!("keeper {}: settings {} accepted", self.name, self.state.version());
            self.answer_waiting(now);
        }
        let _ = reply.try_send(result);
    }

    fn pull(&mut self, now: Time, request: &PullRequest, reply: Sender<PullReply>) {
        match self.state.since(request.have) {
            PullReply::Current => {
                let until = now + PULL_TIME;
                self.waiting.push(Waiting { have: request.have, until, reply });
            }
            newer => {
                let _ = reply.try_send(newer);
            }
        }
    }

    /// Answers nodes for which there is a newer version, or whose time is over.
    fn answer_waiting(&mut self, now: Time) {
        for waiting in std::mem::take(&mut self.waiting) {
            let newer = self.state.since(waiting.have);
            if newer == PullReply::Current && now < waiting.until {
                self.waiting.push(waiting);
                continue;
            }
            let _ = waiting.reply.try_send(newer);
        }
    }
}

impl Decider for KeeperDecider {
    type Input = Input;

    fn input(&mut self, now: Time, input: Input) {
        match input {
            Input::Change(request, reply) => self.change(now, request, &reply),
            Input::Read(reply) => {
                let tree = self.state.tree().to_ini();
                let _ = reply.try_send(TreeReply { version: self.state.version(), tree });
            }
            Input::History(reply) => {
                let _ = reply.try_send(self.state.history(HISTORY));
            }
            Input::Pull(request, reply) => self.pull(now, &request, reply),
        }
    }

    fn tick(&mut self, now: Time) {
        self.answer_waiting(now);
    }

    fn next_timer(&self) -> Option<Time> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }

    fn goes_on(&mut self) -> bool {
        !self.broken
    }
}
