//! Pending calls of operators, which wait for a commit, and of nodes, which wait for a newer
//! version.

use std::time::Duration;

use consensus::Index;
use model::Time;
use wire::{PullReply, PullRequest};

use crate::{Action, CallId, Confirmation, Keeper, LogEvent, Reply};

/// Maximum wait of a node that already has the current version.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait of an operator for a commit; afterwards the outcome of the change is unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a hall command without a confirmation waits until its sender is asked for one. Senders
/// that cannot confirm retry after it, rather than use up their attempts at once.
const CONFIRM_DELAY: Duration = Duration::from_millis(250);

/// An operator's call that waits for a commit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingChange {
    call: CallId,
    until: Time,
}

/// A hall command whose sender will be asked for a confirmation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldHallCommand {
    call: CallId,
    until: Time,
}

/// A node's call that waits for a newer version of the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPull {
    call: CallId,
    have: Option<u64>,
    until: Time,
}

impl PendingChange {
    /// A call that starts to wait now.
    pub fn new(now: Time, call: CallId) -> Self {
        Self { call, until: now + CHANGE_TIMEOUT }
    }

    /// The call to answer.
    pub fn call(self) -> CallId {
        self.call
    }
}

impl Keeper {
    /// When the next tick is due; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Time> {
        let replica = (!self.disk_full).then(|| self.replica.next_timer());
        let pulls = self.pending_pulls.iter().map(|pending| pending.until);
        let changes = self.pending_changes.values().map(|pending| pending.until);
        let held = self.held_hall_commands.iter().map(|held| held.until);
        let watches = self.registry.next_timer();
        pulls.chain(changes).chain(held).chain(watches).chain(replica).min()
    }

    /// Answers a node's pull at once if there is a newer version; otherwise the call waits for one.
    pub(crate) fn handle_pull(
        &mut self,
        now: Time,
        call: CallId,
        request: &PullRequest,
        actions: &mut Vec<Action>,
    ) {
        let have = request.have;
        match self.state.update_since(have) {
            PullReply::Current if self.is_confirmed_leader(now) => {
                self.pending_pulls.push(PendingPull { call, have, until: now + PULL_TIMEOUT });
            }
            update => self.reply_if_leader(now, call, Reply::Pull(update), actions),
        }
    }

    /// Asks the sender of a hall command for a confirmation: at once if it sent an outdated one.
    pub(crate) fn ask_for_confirmation(
        &mut self,
        now: Time,
        call: CallId,
        outdated: Option<Confirmation>,
        actions: &mut Vec<Action>,
    ) {
        let wait = if outdated.is_some() { Duration::ZERO } else { CONFIRM_DELAY };
        self.held_hall_commands.push(HeldHallCommand { call, until: now + wait });
        self.answer_held_hall_commands(now, actions);
    }

    /// Answers the hall commands that have waited for long enough.
    fn answer_held_hall_commands(&mut self, now: Time, actions: &mut Vec<Action>) {
        let reply = Reply::ConfirmHall(Confirmation(self.replica.committed()));
        let due = self.held_hall_commands.extract_if(.., |held| held.until <= now);
        for held in due.collect::<Vec<_>>() {
            self.reply_if_leader(now, held.call, reply.clone(), actions);
        }
    }

    /// Answers the pending changes without a result, as this keeper no longer leads; the next
    /// leader decides whether they are committed.
    pub(crate) fn fail_pending_changes(&mut self, actions: &mut Vec<Action>) {
        for pending in std::mem::take(&mut self.pending_changes).into_values() {
            self.reply_not_leader(pending.call, actions);
        }
    }

    /// Answers the nodes for which there is a newer version or whose deadline has passed.
    pub(crate) fn answer_pending_pulls(&mut self, now: Time, actions: &mut Vec<Action>) {
        for pending in std::mem::take(&mut self.pending_pulls) {
            let update = self.state.update_since(pending.have);
            if update == PullReply::Current && now < pending.until {
                self.pending_pulls.push(pending);
            } else {
                self.reply_if_leader(now, pending.call, Reply::Pull(update), actions);
            }
        }
    }

    /// Removes silent nodes from the registry and answers all calls whose deadline has passed.
    pub(crate) fn expire_pending_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        let previous_len = self.registry.len();
        let watchers = self.registry.tick(now);
        if self.registry.len() != previous_len {
            actions.push(Action::Log(LogEvent::RegisteredNodes(self.registry.len())));
        }
        self.answer_watchers(watchers, actions);
        if self.pending_pulls.iter().any(|pending| pending.until <= now) {
            self.answer_pending_pulls(now, actions);
        }
        self.answer_held_hall_commands(now, actions);
        let expired = |(_, pending): &(&Index, &PendingChange)| pending.until <= now;
        let expired: Vec<Index> =
            self.pending_changes.iter().filter(expired).map(|(index, _)| *index).collect();
        for index in expired {
            if let Some(pending) = self.pending_changes.remove(&index) {
                self.reply_not_leader(pending.call, actions);
            }
        }
    }
}
