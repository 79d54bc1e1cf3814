//! Elections: a pre-vote that disturbs nobody, then a vote.

use std::collections::BTreeSet;

use model::{NodeName, Time};

use crate::log::{Index, Term};
use crate::replica::{Replica, Role};
use crate::{Action, Message, Record};

/// Who granted a vote.
#[derive(Debug, Default)]
pub(crate) struct Ballot {
    granted: BTreeSet<NodeName>,
}

impl Ballot {
    fn of(name: &NodeName) -> Self {
        Self { granted: BTreeSet::from([name.clone()]) }
    }
}

impl Replica {
    /// No leader was heard of: asks whether the others would vote for it.
    pub(crate) fn stand(&mut self, now: Time, out: &mut Vec<Action>) {
        self.wait_for_leader(now);
        if !self.members().contains(&self.name) {
            return self.ask_to_join(out);
        }
        if self.blank {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate(Ballot::of(&self.name));
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        self.ask_others(&Message::PreVote { term: self.term + 1, last_index, last_term }, out);
        self.count_votes(now, out);
    }

    fn ask_others(&self, message: &Message, out: &mut Vec<Action>) {
        out.extend(self.others().into_iter().map(|other| Action::Send(other, message.clone())));
    }

    pub(crate) fn pre_vote(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        last: (Term, Index),
        out: &mut Vec<Action>,
    ) {
        // One that was replaced while it was away does not know it yet.
        if !self.members().contains(from) {
            self.join(now, from, out);
        }
        let granted = term > self.term && self.would_vote(now, last);
        let term = if granted { term } else { self.term };
        out.push(Action::Send(from.clone(), Message::PreVoteReply { term, granted }));
    }

    /// Whether a log is complete enough and no leader counts on this replica.
    fn would_vote(&self, now: Time, (last_term, last_index): (Term, Index)) -> bool {
        now >= self.votes_from && self.may_vote((last_term, last_index))
    }

    /// Whether a log is complete enough.
    fn may_vote(&self, (last_term, last_index): (Term, Index)) -> bool {
        !self.blank
            && !matches!(self.role, Role::Leader(_))
            && self.log.is_covered_by(last_term, last_index)
    }

    pub(crate) fn pre_vote_reply(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if !granted {
            return self.take_term(term, out);
        }
        if term != self.term + 1 {
            return;
        }
        if let Role::PreCandidate(ballot) = &mut self.role {
            ballot.granted.insert(from.clone());
            self.count_votes(now, out);
        }
    }

    /// Goes on to the vote, or leads, once a majority has granted the pre-vote or the vote that is under way.
    fn count_votes(&mut self, now: Time, out: &mut Vec<Action>) {
        let has_majority = |ballot: &Ballot| ballot.granted.len() >= self.quorum();
        match &self.role {
            Role::PreCandidate(ballot) if has_majority(ballot) => {
                self.ask_for_votes(now, false, out);
            }
            Role::Candidate(ballot) if has_majority(ballot) => self.lead(now, out),
            _ => {}
        }
    }

    /// The leader has resigned in favour of this replica.
    pub(crate) fn take_over(&mut self, now: Time, term: Term, out: &mut Vec<Action>) {
        let fit = !self.blank && self.members().contains(&self.name);
        if term == self.term && fit && matches!(self.role, Role::Follower) {
            self.wait_for_leader(now);
            self.leader = None;
            self.ask_for_votes(now, true, out);
        }
    }

    fn ask_to_join(&mut self, out: &mut Vec<Action>) {
        self.asks_leader = true;
        let mut asked: BTreeSet<&NodeName> = self.contacts.iter().collect();
        asked.extend(self.members());
        asked.remove(&self.name);
        out.extend(asked.into_iter().map(|to| Action::Send(to.clone(), Message::Join)));
    }

    /// Another tells whom it takes for the leader. One is asked each time: two that take each other
    /// for the leader would send it to and fro.
    pub(crate) fn referred(&mut self, leader: NodeName, out: &mut Vec<Action>) {
        let asks = self.asks_leader && leader != self.name && !self.members().contains(&self.name);
        if asks {
            self.asks_leader = false;
            out.push(Action::Send(leader, Message::Join));
        }
    }

    fn ask_for_votes(&mut self, now: Time, transfer: bool, out: &mut Vec<Action>) {
        self.term += 1;
        self.voted_for = Some(self.name.clone());
        self.role = Role::Candidate(Ballot::of(&self.name));
        let record = Record::Vote { term: self.term, voted_for: self.voted_for.clone() };
        out.push(Action::Store(vec![record]));
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let message = Message::Vote { term: self.term, last_index, last_term, transfer };
        self.ask_others(&message, out);
        self.count_votes(now, out);
    }

    pub(crate) fn vote(
        &mut self,
        now: Time,
        from: &NodeName,
        (term, transfer): (Term, bool),
        last: (Term, Index),
        out: &mut Vec<Action>,
    ) {
        // A leader that is heard of is not disturbed by one who stands all the same.
        if term > self.term && (transfer || now >= self.votes_from) {
            self.take_term(term, out);
        }
        let free = self.voted_for.as_ref().is_none_or(|name| name == from);
        let timely = transfer || now >= self.votes_from;
        let granted = term == self.term && free && timely && self.may_vote(last);
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from.clone());
            let record = Record::Vote { term, voted_for: self.voted_for.clone() };
            out.push(Action::Store(vec![record]));
            self.wait_for_leader(now);
        }
        out.push(Action::Send(from.clone(), Message::VoteReply { term: self.term, granted }));
    }

    pub(crate) fn vote_reply(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        self.take_term(term, out);
        if !granted || term != self.term {
            return;
        }
        if let Role::Candidate(ballot) = &mut self.role {
            ballot.granted.insert(from.clone());
            self.count_votes(now, out);
        }
    }
}
