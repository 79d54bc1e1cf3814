//! Elections: a pre-vote that leaves the term unchanged, then the vote. Also how a replica outside
//! the member list asks to join.

use std::collections::BTreeSet;

use model::{NodeName, Time};

use crate::log::{Index, Term};
use crate::replica::{Replica, Role};
use crate::{Action, Message, Record};

/// The replicas that granted a pre-vote or a vote, including the candidate itself.
#[derive(Debug, Default)]
pub(crate) struct Votes {
    granted_by: BTreeSet<NodeName>,
}

impl Votes {
    fn with_own(name: &NodeName) -> Self {
        Self { granted_by: BTreeSet::from([name.clone()]) }
    }
}

impl Replica {
    /// Starts a pre-vote after the election timeout. A replica that is not a member asks to join
    /// instead, and a blank replica does nothing.
    pub(crate) fn start_pre_vote(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.reset_election_timer(now);
        if !self.members().contains(&self.name) {
            return self.request_join(actions);
        }
        if self.blank {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate(Votes::with_own(&self.name));
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        self.broadcast(&Message::PreVote { term: self.term + 1, last_index, last_term }, actions);
        self.count_votes(now, actions);
    }

    fn broadcast(&self, message: &Message, actions: &mut Vec<Action>) {
        actions.extend(self.others().into_iter().map(|other| Action::Send(other, message.clone())));
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        last: (Term, Index),
        actions: &mut Vec<Action>,
    ) {
        // A replica that was replaced while it was down does not know that it is no longer a
        // member; the leader brings it up to date.
        if !self.members().contains(from) {
            self.handle_join(now, from, actions);
        }
        let granted = term > self.term && self.would_grant_vote(now, last);
        let term = if granted { term } else { self.term };
        actions.push(Action::Send(from.clone(), Message::PreVoteReply { term, granted }));
    }

    /// Whether this replica would grant its vote: the candidate's log is complete enough and the
    /// lease of the last known leader has run out.
    fn would_grant_vote(&self, now: Time, (last_term, last_index): (Term, Index)) -> bool {
        now >= self.no_vote_before && self.can_grant_vote((last_term, last_index))
    }

    /// Whether this replica may grant a vote at all and the candidate's log is at least as up to
    /// date as its own.
    fn can_grant_vote(&self, (last_term, last_index): (Term, Index)) -> bool {
        !self.blank
            && !matches!(self.role, Role::Leader(_))
            && self.log.is_covered_by(last_term, last_index)
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted {
            return self.adopt_term(term, actions);
        }
        if term != self.term + 1 {
            return;
        }
        if let Role::PreCandidate(votes) = &mut self.role {
            votes.granted_by.insert(from.clone());
            self.count_votes(now, actions);
        }
    }

    /// Starts the election or becomes leader once a majority has granted the pre-vote or the vote.
    fn count_votes(&mut self, now: Time, actions: &mut Vec<Action>) {
        let has_majority = |votes: &Votes| votes.granted_by.len() >= self.quorum();
        match &self.role {
            Role::PreCandidate(votes) if has_majority(votes) => {
                self.start_election(now, false, actions);
            }
            Role::Candidate(votes) if has_majority(votes) => self.become_leader(now, actions),
            _ => {}
        }
    }

    /// Handles the leader's transfer of leadership to this replica: starts an election at once.
    pub(crate) fn handle_take_over(&mut self, now: Time, term: Term, actions: &mut Vec<Action>) {
        let eligible = !self.blank && self.members().contains(&self.name);
        if term == self.term && eligible && matches!(self.role, Role::Follower) {
            self.reset_election_timer(now);
            self.leader = None;
            self.start_election(now, true, actions);
        }
    }

    fn request_join(&mut self, actions: &mut Vec<Action>) {
        self.join_pending = true;
        let mut recipients: BTreeSet<&NodeName> = self.contacts.iter().collect();
        recipients.extend(self.members());
        recipients.remove(&self.name);
        actions.extend(recipients.into_iter().map(|to| Action::Send(to.clone(), Message::Join)));
    }

    /// Sends the join request to the leader that another replica named. Follows one referral per
    /// join request: two replicas that name each other as leader would otherwise refer this replica
    /// back and forth.
    pub(crate) fn handle_referral(&mut self, leader: NodeName, actions: &mut Vec<Action>) {
        let accepted =
            self.join_pending && leader != self.name && !self.members().contains(&self.name);
        if accepted {
            self.join_pending = false;
            actions.push(Action::Send(leader, Message::Join));
        }
    }

    fn start_election(&mut self, now: Time, transfer: bool, actions: &mut Vec<Action>) {
        self.term += 1;
        self.voted_for = Some(self.name.clone());
        self.role = Role::Candidate(Votes::with_own(&self.name));
        let record = Record::Vote { term: self.term, voted_for: self.voted_for.clone() };
        actions.push(Action::Store(vec![record]));
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let message = Message::Vote { term: self.term, last_index, last_term, transfer };
        self.broadcast(&message, actions);
        self.count_votes(now, actions);
    }

    pub(crate) fn handle_vote(
        &mut self,
        now: Time,
        from: &NodeName,
        (term, transfer): (Term, bool),
        last: (Term, Index),
        actions: &mut Vec<Action>,
    ) {
        // A higher term is ignored while the leader is in contact, so that no candidate deposes it.
        if term > self.term && (transfer || now >= self.no_vote_before) {
            self.adopt_term(term, actions);
        }
        let not_voted_for_other = self.voted_for.as_ref().is_none_or(|name| name == from);
        let lease_expired = transfer || now >= self.no_vote_before;
        let granted =
            term == self.term && not_voted_for_other && lease_expired && self.can_grant_vote(last);
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from.clone());
            let record = Record::Vote { term, voted_for: self.voted_for.clone() };
            actions.push(Action::Store(vec![record]));
            self.reset_election_timer(now);
        }
        actions.push(Action::Send(from.clone(), Message::VoteReply { term: self.term, granted }));
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        self.adopt_term(term, actions);
        if !granted || term != self.term {
            return;
        }
        if let Role::Candidate(votes) = &mut self.role {
            votes.granted_by.insert(from.clone());
            self.count_votes(now, actions);
        }
    }
}
