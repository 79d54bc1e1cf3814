//! Operators and nodes that wait: for a change to be committed, for a newer version.

use std::time::Duration;

use consensus::Index;
use model::Time;
use wire::{PullReply, PullRequest};

use crate::{Action, Keeper, News, Reply, Ticket};

/// How long a node that has the version in force waits for the next.
const PULL_TIME: Duration = Duration::from_secs(2);
/// Longest wait of an operator for a change; after it the outcome is unknown.
const CHANGE_TIME: Duration = Duration::from_secs(4);

/// An operator that waits for a change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    ticket: Ticket,
    until: Time,
}

/// A node that waits for a newer version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Puller {
    ticket: Ticket,
    have: Option<u64>,
    until: Time,
}

impl Waiter {
    /// One that begins to wait now.
    pub fn new(now: Time, ticket: Ticket) -> Self {
        Self { ticket, until: now + CHANGE_TIME }
    }

    /// Whom to answer.
    pub fn ticket(self) -> Ticket {
        self.ticket
    }
}

impl Keeper {
    /// When the next tick is due; none where nothing waits for one.
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

    /// No longer the leader: what becomes of the changes in hand is for the next one to say.
    pub(crate) fn give_up_waiters(&mut self, out: &mut Vec<Action>) {
        for waiter in std::mem::take(&mut self.waiters).into_values() {
            self.unsure(waiter.ticket, out);
        }
    }

    /// Answers nodes for which there is a newer version, or whose time is over.
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
