//! The follower: takes entries and snapshots from the leader.

use model::{NodeName, Time};

use crate::log::{Entry, Index, Term};
use crate::replica::{Replica, Role};
use crate::{Action, Message, News, Record, Snapshot, Violation};

impl Replica {
    /// Takes an append or a snapshot, unless its sender no longer leads.
    pub(crate) fn follow_leader(
        &mut self,
        now: Time,
        from: &NodeName,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if message.term() < self.term {
            return self.reply(from, false, self.log.last_index(), Time::default(), out);
        }
        self.take_term(message.term(), out);
        if matches!(self.role, Role::Leader(_)) {
            return self.violation(Violation::TwoLeaders(self.term), out);
        }
        self.role = Role::Follower;
        self.follow(now, from, out);
        match message {
            Message::Append { prev_index, prev_term, entries, commit, sent, sure, .. } => {
                let before = (prev_index, prev_term);
                let Some(last) = self.take_entries(before, entries, commit, out) else {
                    let hint = self.log.last_index().min(prev_index.saturating_sub(1));
                    return self.reply(from, false, hint, sent, out);
                };
                self.commit_to(commit.min(last), out);
                if sure && last >= commit {
                    self.caught_up(out);
                }
                self.reply(from, true, last, sent, out);
            }
            Message::Install { snapshot, sent, .. } => {
                let index = snapshot.index;
                self.install(snapshot, out);
                self.reply(from, true, index, sent, out);
            }
            _ => {}
        }
    }

    fn follow(&mut self, now: Time, leader: &NodeName, out: &mut Vec<Action>) {
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
            out.push(Action::News(News::Follows(leader.clone(), self.term)));
        }
        self.votes_from = now + self.timing.election;
        self.wait_for_leader(now);
    }

    fn reply(&self, to: &NodeName, fitted: bool, index: Index, sent: Time, out: &mut Vec<Action>) {
        let (term, blank) = (self.term, self.blank);
        out.push(Action::Send(
            to.clone(),
            Message::AppendReply { term, fitted, index, sent, blank },
        ));
    }

    /// Adds entries behind the one before them; returns the last entry known to be the leader's,
    /// or `None` where the one before them is missing or another.
    fn take_entries(
        &mut self,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        out: &mut Vec<Action>,
    ) -> Option<Index> {
        let covered = prev_index < self.log.snapshot.index;
        if !covered && self.log.term(prev_index) != Some(prev_term) {
            return None;
        }
        let last = prev_index + entries.len() as Index;
        // Committed entries, which a snapshot covers, are the leader's too.
        let last = last.max(self.log.snapshot.index);
        let known = |entry: &Entry| {
            entry.index <= self.log.snapshot.index || self.log.term(entry.index) == Some(entry.term)
        };
        let fresh: Vec<Entry> = entries.into_iter().skip_while(known).collect();
        let Some(first) = fresh.first().map(|entry| entry.index) else { return Some(last) };
        if first <= self.commit {
            self.violation(Violation::CommittedLost(first), out);
            return None;
        }
        let mut records = Vec::new();
        if first <= self.log.last_index() {
            self.log.truncate(first);
            records.push(Record::Truncate(first));
        }
        records.push(Record::Append(fresh.clone()));
        records.push(Record::Commit(commit.min(last)));
        fresh.into_iter().for_each(|entry| self.log.push(entry));
        out.push(Action::Store(records));
        Some(last)
    }

    fn install(&mut self, snapshot: Snapshot, out: &mut Vec<Action>) {
        if snapshot.index <= self.commit && !self.log.snapshot.state.is_empty() {
            return;
        }
        self.commit = snapshot.index;
        self.log.compact(snapshot.clone());
        out.push(Action::Rewrite(self.records()));
        out.push(Action::Install(snapshot));
    }

    /// Has every entry that a sure leader had committed: votes again.
    fn caught_up(&mut self, out: &mut Vec<Action>) {
        if self.blank {
            self.blank = false;
            out.push(Action::Store(vec![Record::Blank(false)]));
            out.push(Action::News(News::CaughtUp(self.commit)));
        }
    }
}
