//! Token exchanges with entries: requests, grants, recalls and lease renewal.

use std::time::Duration;

use execution::{Session, TokenChange};
use model::Time;
use telemetry::MessageKind;
use wire::{SyncReply, SyncRequest};

use crate::{Action, Agent, CallId, LogEvent, Reply};

/// Greatest number of exchanges that wait in one session; beyond it, the oldest one is answered.
const WAITING_SYNCS_MAX: usize = 4;
/// Time after which a target that could not be reached is tried again.
const TARGET_RETRY: Duration = Duration::from_millis(500);

impl Agent {
    /// Applies a token exchange of an entry; the reply waits until there is something to report.
    pub(crate) fn exchange_tokens(
        &mut self,
        session: Session,
        call: CallId,
        request: SyncRequest,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        state.waiting.push_back(call);
        if state.waiting.len() > WAITING_SYNCS_MAX {
            let reply = std::mem::take(&mut state.pending);
            let oldest = state.waiting.pop_front();
            oldest.into_iter().for_each(|call| self.reply_sync(call, reply, actions));
        }
        self.ledger.take_back(session, request.returned);
        self.ledger.set_wanted(session, request.wanted);
        let leaving = self.ledger.is_leaving();
        self.notify(session, |pending| pending.leaving |= leaving, actions);
    }

    /// Changes the pending reply of a session and sends it if an exchange waits.
    pub(crate) fn notify(
        &mut self,
        session: Session,
        change: impl FnOnce(&mut SyncReply),
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        change(&mut state.pending);
        if !state.has_pending() {
            return;
        }
        let Some(call) = state.waiting.pop_front() else { return };
        let reply = std::mem::take(&mut state.pending);
        self.reply_sync(call, reply, actions);
    }

    /// Answers an exchange; an empty reply counts as a wasted message.
    fn reply_sync(&mut self, call: CallId, mut reply: SyncReply, actions: &mut Vec<Action>) {
        if reply == SyncReply::default() {
            self.counters.messages.wasted(MessageKind::Sync, 1);
        }
        reply.settings_version = self.settings_version;
        self.reply(call, Reply::Sync(reply), actions);
    }

    /// Sends the grants and recalls that the ledger decided on.
    pub(crate) fn send_token_changes(&mut self, actions: &mut Vec<Action>) {
        let mut changes = Vec::new();
        self.ledger.rebalance(&mut changes);
        for change in changes {
            match change {
                TokenChange::Grant(session, count) => {
                    self.notify(session, |pending| pending.granted += count, actions);
                }
                TokenChange::Recall(session, count) => {
                    self.notify(session, |pending| pending.recalled += count, actions);
                }
            }
        }
    }

    /// Voids all tokens of an unreachable target and lends none until the next retry.
    pub(crate) fn pause_target(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.paused_until.is_none() {
            actions.push(Action::Log(LogEvent::TargetUnreachable));
        }
        self.paused_until = Some(now + TARGET_RETRY);
        self.ledger.pause();
        self.notify_all(|pending| pending.void = true, actions);
    }

    /// Changes the pending reply of every session and sends it where an exchange waits.
    pub(crate) fn notify_all(
        &mut self,
        change: impl Fn(&mut SyncReply),
        actions: &mut Vec<Action>,
    ) {
        let sessions: Vec<Session> = self.sessions.iter_mut().map(|(session, _)| session).collect();
        for session in sessions {
            self.notify(session, &change, actions);
        }
    }

    /// Answers a waiting exchange of each session that was silent for the renewal time, so that its
    /// entry sends another one and thereby renews the lease. Starts renew it too, so that a busy
    /// session needs no such answer.
    pub(crate) fn answer_silent_sessions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let renewal = self.renewal();
        let mut due = Vec::new();
        for (_, state) in self.sessions.iter_mut() {
            if state.last_contact + renewal <= now {
                due.extend(state.waiting.pop_front());
            }
        }
        for call in due {
            self.reply_sync(call, SyncReply::default(), actions);
        }
    }
}
