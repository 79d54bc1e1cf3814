//! Starts, settles and ends tasks; a task starts at most once.

use execution::{Session, Settled, StartOutcome, TaskOutcome};
use model::{TaskKey, Time};
use telemetry::Breach;
use wire::{SettleReply, SettleRequest, StartRefusal, StartReply, StartRequest, StartResult};

use crate::{Action, Agent, CallId, Reply};

/// A task that runs on the target, with the calls that wait for its end.
#[derive(Debug)]
pub(crate) struct RunningTask {
    /// The session whose token the task uses.
    pub session: Session,
    /// Start calls to answer; the first one gets the token back.
    pub starts: Vec<CallId>,
    /// Settle calls to answer.
    pub settles: Vec<CallId>,
}

impl Agent {
    /// Starts a task, unless it is known, late or without a slot.
    pub(crate) fn start_task(
        &mut self,
        now: Time,
        session: Session,
        call: CallId,
        request: StartRequest,
        actions: &mut Vec<Action>,
    ) {
        if request.agent != self.setup.node.incarnation {
            self.counters.stale += 1;
            let token = self.has_unspent_token(session);
            return self.reply_start(call, StartResult::Unknown, token, actions);
        }
        if let Some(known) = self.table.peek(request.key, &request.owner) {
            return self.repeat_start(session, call, &request, known, actions);
        }
        if now >= request.deadline {
            return self.refuse_start(session, call, &request, StartRefusal::TooLate, actions);
        }
        if !self.ledger.spend(session) {
            let leaving = self.ledger.is_leaving();
            let reason = if leaving { StartRefusal::Leaving } else { StartRefusal::NoSlot };
            return self.refuse_start(session, call, &request, reason, actions);
        }
        self.start_new(session, call, request, actions);
    }

    /// Starts a new task, for which a slot is already taken.
    fn start_new(
        &mut self,
        session: Session,
        call: CallId,
        request: StartRequest,
        actions: &mut Vec<Action>,
    ) {
        let keep_until = self.window().kept_until(request.key.submission);
        let outcome = self.table.start(request.key, &request.owner, keep_until);
        debug_assert_eq!(outcome, StartOutcome::Starts);
        self.ledger.set_wanted(session, request.wanted);
        self.counters.started += 1;
        let running = RunningTask { session, starts: vec![call], settles: Vec::new() };
        self.running.insert(request.key, running);
        if self.running.len() > self.setup.slots as usize {
            self.report_breach(Breach::SlotsOverdrawn, actions);
        }
        actions.push(Action::Run {
            key: request.key,
            task: request.task,
            deadline: request.deadline,
        });
    }

    /// Answers a repeated start with the state of the task, `known`; the task is not started again.
    fn repeat_start(
        &mut self,
        session: Session,
        call: CallId,
        request: &StartRequest,
        known: StartOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.counters.repeated += 1;
        let result = match known {
            StartOutcome::Starts | StartOutcome::AlreadyRunning => {
                if let Some(running) = self.running.get_mut(&request.key) {
                    running.starts.push(call);
                }
                return;
            }
            StartOutcome::AlreadyEnded(Some(outcome)) => StartResult::Ended(outcome),
            StartOutcome::AlreadyEnded(None) => StartResult::OutcomeDropped,
            StartOutcome::Barred => StartResult::NotRun(StartRefusal::Barred),
            StartOutcome::Forgotten => StartResult::Unknown,
            StartOutcome::OtherOwner(first) => {
                let second = request.owner.clone();
                self.report_breach(Breach::TwoOwners { key: request.key, first, second }, actions);
                StartResult::Unknown
            }
        };
        let token = self.has_unspent_token(session);
        self.reply_start(call, result, token, actions);
    }

    /// Whether the session still has a token that a refused or repeated start did not spend.
    fn has_unspent_token(&self, session: Session) -> bool {
        self.ledger.idle(session) > 0
    }

    /// Refuses a start and bars the task, so that a delayed copy of the frame can't start it either
    /// and the refusal proves "not run".
    fn refuse_start(
        &mut self,
        session: Session,
        call: CallId,
        request: &StartRequest,
        reason: StartRefusal,
        actions: &mut Vec<Action>,
    ) {
        self.counters.refused += 1;
        let keep_until = self.window().kept_until(request.key.submission);
        let result = match self.table.settle(request.key, &request.owner, keep_until) {
            Settled::NotRun => StartResult::NotRun(reason),
            _ => StartResult::Unknown,
        };
        let token = self.has_unspent_token(session);
        self.reply_start(call, result, token, actions);
    }

    fn reply_start(
        &mut self,
        call: CallId,
        result: StartResult,
        token: bool,
        actions: &mut Vec<Action>,
    ) {
        self.reply(call, Reply::Start(StartReply { result, token }), actions);
    }

    /// Replies whether a task ran, or waits for the end of a running task.
    pub(crate) fn settle_task(
        &mut self,
        call: CallId,
        request: &SettleRequest,
        actions: &mut Vec<Action>,
    ) {
        self.counters.settled += 1;
        if request.agent != self.setup.node.incarnation {
            return self.reply(call, Reply::Settle(SettleReply::Unknown), actions);
        }
        let keep_until = self.window().kept_until(request.key.submission);
        let reply = match self.table.settle(request.key, &request.owner, keep_until) {
            Settled::NotRun => SettleReply::NotRun,
            Settled::Ended(Some(outcome)) => SettleReply::Ended(outcome),
            Settled::Ended(None) => SettleReply::OutcomeDropped,
            Settled::Forgotten => SettleReply::Unknown,
            Settled::Running => {
                if let Some(running) = self.running.get_mut(&request.key) {
                    running.settles.push(call);
                }
                return;
            }
        };
        self.reply(call, Reply::Settle(reply), actions);
    }

    /// Records the end of a task and answers the calls that wait for it.
    pub(crate) fn task_ended(
        &mut self,
        now: Time,
        key: TaskKey,
        outcome: TaskOutcome,
        actions: &mut Vec<Action>,
    ) {
        let was_running = self.table.end(key, outcome.clone());
        let Some(running) = self.running.remove(&key).filter(|_| was_running) else {
            return self.report_breach(Breach::EndedTwice(key), actions);
        };
        self.counters.ended += 1;
        if matches!(outcome, TaskOutcome::NeverSent(_)) {
            self.pause_target(now, actions);
        }
        let mut token = self.ledger.finish(running.session);
        for call in running.starts {
            self.reply_start(call, StartResult::Ended(outcome.clone()), token, actions);
            token = false;
        }
        for call in running.settles {
            self.reply(call, Reply::Settle(SettleReply::Ended(outcome.clone())), actions);
        }
    }
}
