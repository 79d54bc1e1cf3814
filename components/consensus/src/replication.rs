//! The follower: accepts entries and snapshots from the leader.

use model::{NodeName, Time};

use crate::log::{Entry, Index, Term};
use crate::replica::{Replica, Role};
use crate::{Action, LogEvent, Message, Record, Snapshot, Violation};

impl Replica {
    /// Handles an append or a snapshot; rejects it if the sender's term is outdated.
    pub(crate) fn handle_leader_message(
        &mut self,
        now: Time,
        from: &NodeName,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        if message.term() < self.term {
            return self.send_append_reply(
                from,
                false,
                self.log.last_index(),
                Time::default(),
                actions,
            );
        }
        self.adopt_term(message.term(), actions);
        if matches!(self.role, Role::Leader(_)) {
            return self.report_violation(Violation::TwoLeaders(self.term), actions);
        }
        self.role = Role::Follower;
        self.record_leader_contact(now, from, actions);
        match message {
            Message::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                sent,
                leader_confirmed,
                ..
            } => {
                let previous = (prev_index, prev_term);
                let Some(last) = self.append_entries(previous, entries, commit, actions) else {
                    let hint = self.log.last_index().min(prev_index.saturating_sub(1));
                    return self.send_append_reply(from, false, hint, sent, actions);
                };
                self.commit_to(commit.min(last), actions);
                if leader_confirmed && last >= commit {
                    self.finish_catch_up(actions);
                }
                self.send_append_reply(from, true, last, sent, actions);
            }
            Message::Install { snapshot, sent, .. } => {
                let index = snapshot.index;
                self.install_snapshot(snapshot, actions);
                self.send_append_reply(from, true, index, sent, actions);
            }
            _ => {}
        }
    }

    fn record_leader_contact(&mut self, now: Time, leader: &NodeName, actions: &mut Vec<Action>) {
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
            actions.push(Action::Log(LogEvent::FollowsLeader(leader.clone(), self.term)));
        }
        self.no_vote_before = now + self.timing.election;
        self.reset_election_timer(now);
    }

    fn send_append_reply(
        &self,
        to: &NodeName,
        matched: bool,
        index: Index,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let (term, blank) = (self.term, self.blank);
        actions.push(Action::Send(
            to.clone(),
            Message::AppendReply { term, matched, index, sent, blank },
        ));
    }

    /// Appends the leader's entries after the entry at `prev_index`. Returns the last index known
    /// to agree with the leader, or `None` if the entry at `prev_index` is missing or has another
    /// term.
    fn append_entries(
        &mut self,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        actions: &mut Vec<Action>,
    ) -> Option<Index> {
        let covered = prev_index < self.log.snapshot.index;
        if !covered && self.log.term(prev_index) != Some(prev_term) {
            return None;
        }
        let last = prev_index + entries.len() as Index;
        // Entries that the snapshot covers are committed and therefore agree with the leader's.
        let last = last.max(self.log.snapshot.index);
        let is_present = |entry: &Entry| {
            entry.index <= self.log.snapshot.index || self.log.term(entry.index) == Some(entry.term)
        };
        let new_entries: Vec<Entry> = entries.into_iter().skip_while(is_present).collect();
        let Some(first) = new_entries.first().map(|entry| entry.index) else { return Some(last) };
        if first <= self.commit {
            self.report_violation(Violation::CommittedEntryConflict(first), actions);
            return None;
        }
        let mut records = Vec::new();
        if first <= self.log.last_index() {
            self.log.truncate(first);
            records.push(Record::Truncate(first));
        }
        records.push(Record::Append(new_entries.clone()));
        records.push(Record::Commit(commit.min(last)));
        new_entries.into_iter().for_each(|entry| self.log.push(entry));
        actions.push(Action::Store(records));
        Some(last)
    }

    fn install_snapshot(&mut self, snapshot: Snapshot, actions: &mut Vec<Action>) {
        if snapshot.index <= self.commit && !self.log.snapshot.state.is_empty() {
            return;
        }
        self.commit = snapshot.index;
        self.log.compact(snapshot.clone());
        actions.push(Action::Rewrite(self.records()));
        actions.push(Action::Install(snapshot));
    }

    /// Marks a blank replica as caught up, so that it votes again.
    fn finish_catch_up(&mut self, actions: &mut Vec<Action>) {
        if self.blank {
            self.blank = false;
            actions.push(Action::Store(vec![Record::Blank(false)]));
            actions.push(Action::Log(LogEvent::CaughtUp(self.commit)));
        }
    }
}
