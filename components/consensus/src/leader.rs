//! The leader: replicates its log, commits, keeps its lease.

use std::collections::BTreeMap;

use model::{NodeName, Time};

use crate::log::{Index, Payload, Term};
use crate::replica::{Replica, Role};
use crate::{Action, Message, News};

/// Most entries in one message.
const BATCH: usize = 64;

/// How far a follower is.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The next entry to send.
    next: Index,
    /// The last entry known to be on its disk.
    matched: Index,
    /// When the last append was sent that it acknowledged.
    acked: Time,
    /// It has not caught up since it began on an empty disk: it does not count.
    blank: bool,
}

/// A leader's state in its term.
#[derive(Debug)]
pub(crate) struct Leading {
    followers: BTreeMap<NodeName, Progress>,
    pub heartbeat_at: Time,
    /// When it began to lead.
    since: Time,
}

impl Leading {
    /// Until when a quorum grants no vote to another; `None` where no quorum has acknowledged
    /// anything. A follower may be left out of the count.
    pub fn lease_until(
        &self,
        replica: &Replica,
        now: Time,
        left_out: Option<&NodeName>,
    ) -> Option<Time> {
        let counts =
            |(name, progress): &(&NodeName, &Progress)| !progress.blank && left_out != Some(*name);
        let acks = self.followers.iter().filter(counts).map(|(_, progress)| progress.acked);
        let mut times: Vec<Time> = acks.chain([now]).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let weakest = *times.get(replica.quorum() - 1)?;
        (weakest > Time::default()).then(|| weakest + replica.timing.lease)
    }
}

impl Replica {
    /// Won an election: leads, and makes a first entry so that earlier ones can commit.
    pub(crate) fn lead(&mut self, now: Time, out: &mut Vec<Action>) {
        let next = self.log.last_index() + 1;
        let fresh = Progress { next, matched: 0, acked: Time::default(), blank: false };
        let followers = self.others().into_iter().map(|name| (name, fresh)).collect();
        self.role = Role::Leader(Leading { followers, heartbeat_at: now, since: now });
        self.leader = Some(self.name.clone());
        out.push(Action::News(News::Leads(self.term)));
        self.append_own(Payload::Empty, out);
        self.replicate(now, out);
    }

    /// Sends to every follower what it lacks, and commits what a quorum has.
    pub(crate) fn replicate(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Role::Leader(leading) = &mut self.role {
            leading.heartbeat_at = now + self.timing.heartbeat;
        }
        for follower in self.others() {
            self.send_append(now, &follower, out);
        }
        self.commit_quorum(out);
    }

    /// Shows that it leads, or steps down where no quorum has answered for long.
    pub(crate) fn lead_on(&mut self, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leading) = &self.role else { return };
        if leading.heartbeat_at > now {
            return;
        }
        let heard = leading.lease_until(self, now, None).unwrap_or(leading.since);
        if now.since(heard) > self.timing.election {
            self.step_down(out);
            return self.wait_for_leader(now);
        }
        self.replicate(now, out);
    }

    fn send_append(&mut self, now: Time, to: &NodeName, out: &mut Vec<Action>) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(progress) = leading.followers.get(to).copied() else { return };
        let sure = leading.lease_until(self, now, Some(to)).is_some_and(|until| now < until);
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_snapshot(now, to, out);
        };
        let entries = self.log.from(progress.next, BATCH);
        let sent = entries.len() as Index;
        let message = Message::Append {
            term: self.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent: now,
            sure,
        };
        out.push(Action::Send(to.clone(), message));
        // What is lost on the way shows when the next append does not fit.
        self.set_next(to, progress.next + sent);
    }

    fn send_snapshot(&mut self, now: Time, to: &NodeName, out: &mut Vec<Action>) {
        let snapshot = self.log.snapshot.clone();
        let next = snapshot.index + 1;
        out.push(Action::Send(
            to.clone(),
            Message::Install { term: self.term, snapshot, sent: now },
        ));
        self.set_next(to, next);
    }

    fn set_next(&mut self, follower: &NodeName, next: Index) {
        let Role::Leader(leading) = &mut self.role else { return };
        if let Some(progress) = leading.followers.get_mut(follower) {
            progress.next = next;
        }
    }

    /// Takes a follower's word on how far it is.
    pub(crate) fn append_reply(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        (fitted, index, sent, blank): (bool, Index, Time, bool),
        out: &mut Vec<Action>,
    ) {
        self.take_term(term, out);
        let last = self.log.last_index();
        let Role::Leader(leading) = &mut self.role else { return };
        if term != self.term {
            return;
        }
        let Some(progress) = leading.followers.get_mut(from) else { return };
        progress.acked = progress.acked.max(sent);
        if blank && !progress.blank {
            // Its disk is new: what it acknowledged before is gone.
            progress.matched = 0;
        }
        progress.blank = blank;
        if fitted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (index + 1).min(progress.next).max(1);
        }
        let lacks = progress.next <= last;
        self.commit_quorum(out);
        if lacks {
            self.send_append(now, from, out);
        }
    }

    /// Commits the entries of its own term that a quorum has on disk, and all before them.
    fn commit_quorum(&mut self, out: &mut Vec<Action>) {
        let Role::Leader(leading) = &self.role else { return };
        let counted = leading.followers.values().filter(|progress| !progress.blank);
        let mut matched: Vec<Index> = counted.map(|progress| progress.matched).collect();
        matched.push(self.log.last_index());
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit_to(index, out);
        }
    }
}
