//! Token exchanges: what entries ask for, what they are told.

use std::time::Duration;

use execution::{Session, TokenChange};
use model::Time;
use telemetry::MessageKind;
use wire::{SyncReply, SyncRequest};

use crate::{Action, Agent, CallId, LogEvent, Reply};

/// Exchanges of one session that wait; an entry that asks again while one waits adds another.
const EXCHANGES_WAITING: usize = 4;
/// After this a target that could not be reached is tried again.
const TARGET_RETRY: Duration = Duration::from_millis(500);

impl Agent {
    pub(crate) fn sync(
        &mut self,
        session: Session,
        call: CallId,
        request: SyncRequest,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        state.waiting.push_back(call);
        if state.waiting.len() > EXCHANGES_WAITING {
            let news = std::mem::take(&mut state.news);
            let oldest = state.waiting.pop_front();
            oldest.into_iter().for_each(|call| self.reply_sync(call, news, out));
        }
        self.ledger.take_back(session, request.returned);
        self.ledger.set_wanted(session, request.wanted);
        let leaving = self.ledger.is_leaving();
        self.tell(session, |news| news.leaving |= leaving, out);
    }

    /// Adds to the news of a session and sends them where an exchange waits.
    pub(crate) fn tell(
        &mut self,
        session: Session,
        change: impl FnOnce(&mut SyncReply),
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        change(&mut state.news);
        if !state.has_news() {
            return;
        }
        let Some(call) = state.waiting.pop_front() else { return };
        let news = std::mem::take(&mut state.news);
        self.reply_sync(call, news, out);
    }

    /// Answers an exchange; one without news was of no use.
    fn reply_sync(&mut self, call: CallId, mut news: SyncReply, out: &mut Vec<Action>) {
        if news == SyncReply::default() {
            self.counters.messages.wasted(MessageKind::Sync, 1);
        }
        news.settings_version = self.settings_version;
        self.reply(call, Reply::Sync(news), out);
    }

    pub(crate) fn give_turns(&mut self, out: &mut Vec<Action>) {
        let mut changes = Vec::new();
        self.ledger.rebalance(&mut changes);
        for change in changes {
            match change {
                TokenChange::Grant(session, count) => {
                    self.tell(session, |news| news.granted += count, out);
                }
                TokenChange::Recall(session, count) => {
                    self.tell(session, |news| news.recalled += count, out);
                }
            }
        }
    }

    /// The target can't be reached: its slots are no use until it is tried again.
    pub(crate) fn pause(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.paused_until.is_none() {
            out.push(Action::Log(LogEvent::TargetUnreachable));
        }
        self.paused_until = Some(now + TARGET_RETRY);
        self.ledger.pause();
        self.tell_all(|news| news.void = true, out);
    }

    /// Tells every session.
    pub(crate) fn tell_all(&mut self, change: impl Fn(&mut SyncReply), out: &mut Vec<Action>) {
        let sessions: Vec<Session> = self.sessions.iter_mut().map(|(session, _)| session).collect();
        for session in sessions {
            self.tell(session, &change, out);
        }
    }

    /// Answers an exchange of each session that was silent for long, so that its entry renews the
    /// lease. Starts renew it too, so that a busy session needs no such answer.
    pub(crate) fn answer_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let renewal = self.renewal();
        let mut due = Vec::new();
        for (_, state) in self.sessions.iter_mut() {
            if state.heard + renewal <= now {
                due.extend(state.waiting.pop_front());
            }
        }
        for call in due {
            self.reply_sync(call, SyncReply::default(), out);
        }
    }
}
