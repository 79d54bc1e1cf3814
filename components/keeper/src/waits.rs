//! Pending calls of operators, which wait for a commit, and of nodes, which wait for a newer
//! version.

use std::time::Duration;

use consensus::Index;
use model::Time;
use wire::{PullReply, PullRequest};

use crate::{Action, Keeper, News, Reply, Ticket};

/// Maximum wait of a node that already has the current version.
const PULL_TIME: Duration = Duration::from_secs(2);
/// Maximum wait of an operator for a commit; afterwards the outcome of the change is unknown.
const CHANGE_TIME: Duration = Duration::from_secs(4);

/// An operator's call that waits for a commit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    ticket: Ticket,
    until: Time,
}

/// A node's call that waits for a newer version of the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Puller {
    ticket: Ticket,
    have: Option<u64>,
    until: Time,
}

impl Waiter {
    /// A call that starts to wait now.
    pub fn new(now: Time, ticket: Ticket) -> Self {
        Self { ticket, until: now + CHANGE_TIME }
    }

    /// The call to answer.
    pub fn ticket(self) -> Ticket {
        self.ticket
    }
}

impl Keeper {
    /// When the next tick is due; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Time> {
        let replica = (!self.disk_full).then(|| self.replica.next_timer());
        let pulls = self.pullers.iter().map(|puller| puller.until);
        let changes = self.waiters.values().map(|waiter| waiter.until);
        let watches = self.registry.next_timer();
        pulls.chain(changes).chain(watches).chain(replica).min()
    }

    pub(crate) fn pull(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &PullRequest,
        out: &mut Vec<Action>,
    ) {
        let have = request.have;
        match self.state.since(have) {
            PullReply::Current if self.is_sure(now) => {
                self.pullers.push(Puller { ticket, have, until: now + PULL_TIME });
            }
            newer => self.if_sure(now, ticket, Reply::Pull(newer), out),
        }
    }

    /// Answers the pending changes without a result after this keeper stopped leading; the next
    /// leader decides whether they are committed.
    pub(crate) fn give_up_waiters(&mut self, out: &mut Vec<Action>) {
        for waiter in std::mem::take(&mut self.waiters).into_values() {
            self.unsure(waiter.ticket, out);
        }
    }

    /// Answers the nodes for which there is a newer version or whose deadline has passed.
    pub(crate) fn answer_pullers(&mut self, now: Time, out: &mut Vec<Action>) {
        for puller in std::mem::take(&mut self.pullers) {
            let newer = self.state.since(puller.have);
            if newer == PullReply::Current && now < puller.until {
                self.pullers.push(puller);
            } else {
                self.if_sure(now, puller.ticket, Reply::Pull(newer), out);
            }
        }
    }

    pub(crate) fn end_waits(&mut self, now: Time, out: &mut Vec<Action>) {
        let before = self.registry.len();
        let ended = self.registry.tick(now);
        if self.registry.len() != before {
            out.push(Action::News(News::Nodes(self.registry.len())));
        }
        self.answer_watchers(ended, out);
        if self.pullers.iter().any(|puller| puller.until <= now) {
            self.answer_pullers(now, out);
        }
        let late = |(_, waiter): &(&Index, &Waiter)| waiter.until <= now;
        let late: Vec<Index> = self.waiters.iter().filter(late).map(|(index, _)| *index).collect();
        for index in late {
            if let Some(waiter) = self.waiters.remove(&index) {
                self.unsure(waiter.ticket, out);
            }
        }
    }
}
