//! The replica's state, event dispatch and timers.

use std::time::Duration;

use model::{NodeName, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::election::Votes;
use crate::leader::LeaderState;
use crate::log::{Entry, Index, Log, Payload, Term};
use crate::record::{RecoverError, recover};
use crate::{Action, Event, LogEvent, Message, ProposalId, Record, Snapshot, Violation};

/// Timing and membership settings; all replicas of a cluster need the same values.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Minimum time without contact to the leader before a replica votes for another one or starts
    /// an election. The election timeout is a random time between this value and twice this value.
    pub election: Duration,
    /// How long a leader may rely on its leadership after sending an append that a quorum
    /// acknowledged. Has to be shorter than `election` by more than the drift between two clocks in
    /// that time.
    pub lease: Duration,
    /// Number of voting members to maintain: if there are fewer, or one has been silent for
    /// `replace_after`, a replica that has caught up is added. `None` keeps the members fixed.
    pub voters: Option<usize>,
    /// Time without a reply after which a member is replaced, provided that another replica has
    /// caught up.
    pub replace_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(80),
            election: Duration::from_millis(400),
            lease: Duration::from_millis(320),
            voters: None,
            replace_after: Duration::from_millis(2_500),
        }
    }
}

/// The role of a replica in the current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(LeaderState),
}

/// The state of a replica during one run of its process.
#[derive(Debug)]
pub struct Replica {
    pub(crate) name: NodeName,
    pub(crate) timing: Timing,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<NodeName>,
    /// Whether this replica started on an empty disk and has not caught up; it then neither votes
    /// nor counts towards a quorum.
    pub(crate) blank: bool,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeName>,
    /// No vote is granted before this time, as a leader may still rely on its lease.
    pub(crate) no_vote_before: Time,
    pub(crate) election_due_at: Time,
    /// Replicas to ask for the leader while this replica is not a member.
    pub(crate) contacts: Vec<NodeName>,
    /// Whether a join request is outstanding; the next referral is then followed.
    pub(crate) join_pending: bool,
}

impl Replica {
    /// Restores a replica from its journal records.
    ///
    /// The replica may have acknowledged an append just before it stopped, so it grants no vote
    /// until that leader's lease has run out.
    pub fn recover(
        name: NodeName,
        records: Vec<Record>,
        timing: Timing,
        seed: u64,
        now: Time,
    ) -> Result<Self, RecoverError> {
        let recovered = recover(records)?;
        let mut replica = Self {
            name,
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
            term: recovered.term,
            voted_for: recovered.voted_for,
            blank: recovered.blank,
            log: recovered.log,
            commit: recovered.commit,
            role: Role::Follower,
            leader: None,
            no_vote_before: now + timing.election,
            election_due_at: now,
            contacts: Vec::new(),
            join_pending: false,
        };
        // A cluster of one replica has no leader to wait for.
        if replica.members().len() > 1 {
            replica.reset_election_timer(now);
        }
        Ok(replica)
    }

    /// The journal records that a replica on an empty disk starts with.
    pub fn blank_records(members: Vec<NodeName>) -> Vec<Record> {
        let snapshot = Snapshot { index: 0, term: 0, members, state: Vec::new() };
        vec![Record::Snapshot(snapshot), Record::Blank(true)]
    }

    /// The entries after the snapshot that the journal records as committed, oldest first. They are
    /// not reported by [`Action::Commit`]: the state machine has to apply them after
    /// [`Replica::recover`] and before the first event.
    pub fn recovered_entries(&self) -> Vec<Entry> {
        let entries = self.log.entries_from(self.log.snapshot.index + 1);
        entries.into_iter().filter(|entry| entry.index <= self.commit).collect()
    }

    /// The entries of the log that are not known to be committed, oldest first.
    pub fn uncommitted_entries(&self) -> Vec<Entry> {
        self.log.entries_from(self.commit + 1)
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message { from, message } => self.handle_message(now, &from, message, actions),
            Event::Propose { id, command } => self.propose(now, id, command, actions),
            Event::Resign => self.resign(now, actions),
            Event::Tick => {}
        }
        self.tick(now, actions);
    }

    /// Sets the replicas to ask for the leader while this replica is not a member.
    pub fn set_contacts(&mut self, contacts: Vec<NodeName>) {
        self.contacts = contacts;
    }

    /// The voting members.
    pub fn voters(&self) -> &[NodeName] {
        self.members()
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_timer(&self) -> Time {
        match &self.role {
            Role::Leader(leader_state) => leader_state.heartbeat_due_at,
            _ => self.election_due_at,
        }
    }

    /// Whether this replica leads, holds a valid lease and has committed an entry of its term, so
    /// that its committed state is the latest.
    pub fn is_confirmed_leader(&self, now: Time) -> bool {
        match &self.role {
            Role::Leader(leader_state) => {
                leader_state.lease_until(self, now, None).is_some_and(|until| now < until)
                    && self.has_committed_in_term()
            }
            _ => false,
        }
    }

    /// The replica believed to be the leader.
    pub fn leader(&self) -> Option<&NodeName> {
        self.leader.as_ref()
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The index of the last entry known to be committed.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// Whether this replica started on an empty disk and has not caught up; it does not vote until
    /// then.
    pub fn is_blank(&self) -> bool {
        self.blank
    }

    /// The snapshot at the start of the log.
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    /// The number of entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// The total size of the committed commands after the snapshot, in bytes.
    pub fn committed_bytes(&self) -> usize {
        self.log.command_bytes_to(self.commit)
    }

    /// Replaces the committed entries by a snapshot. `state` has to be the state after the last
    /// committed entry.
    pub fn compact(&mut self, state: Vec<u8>, actions: &mut Vec<Action>) {
        let Some(term) = self.log.term(self.commit) else { return };
        let members = self.log.members_at(self.commit).to_vec();
        self.log.compact(Snapshot { index: self.commit, term, members, state });
        actions.push(Action::Rewrite(self.records()));
    }

    /// The complete durable state, for a rewrite of the journal.
    pub(crate) fn records(&self) -> Vec<Record> {
        let entries = self.log.entries_from(self.log.snapshot.index + 1);
        vec![
            Record::Snapshot(self.log.snapshot.clone()),
            Record::Blank(self.blank),
            Record::Vote { term: self.term, voted_for: self.voted_for.clone() },
            Record::Append(entries),
            Record::Commit(self.commit),
        ]
    }

    pub(crate) fn members(&self) -> &[NodeName] {
        self.log.members()
    }

    pub(crate) fn others(&self) -> Vec<NodeName> {
        self.members().iter().filter(|name| **name != self.name).cloned().collect()
    }

    pub(crate) fn quorum(&self) -> usize {
        self.members().len() / 2 + 1
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: &NodeName,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.handle_pre_vote(now, from, term, (last_term, last_index), actions);
            }
            Message::PreVoteReply { term, granted } => {
                self.handle_pre_vote_reply(now, from, term, granted, actions);
            }
            Message::Join => self.handle_join(now, from, actions),
            Message::Refer { leader } => self.handle_referral(leader, actions),
            Message::TakeOver { term } => self.handle_take_over(now, term, actions),
            Message::Vote { term, last_index, last_term, transfer } => {
                self.handle_vote(now, from, (term, transfer), (last_term, last_index), actions);
            }
            Message::VoteReply { term, granted } => {
                self.handle_vote_reply(now, from, term, granted, actions)
            }
            message @ (Message::Append { .. } | Message::Install { .. }) => {
                self.handle_leader_message(now, from, message, actions);
            }
            Message::AppendReply { term, matched, index, sent, blank } => {
                self.handle_append_reply(now, from, term, (matched, index, sent, blank), actions);
            }
        }
    }

    fn propose(&mut self, now: Time, id: ProposalId, command: Vec<u8>, actions: &mut Vec<Action>) {
        if !matches!(self.role, Role::Leader(_)) {
            return actions.push(Action::Rejected(id));
        }
        let index = self.append_entry(Payload::Command(command), actions);
        actions.push(Action::Proposed(id, index));
        self.replicate(now, actions);
    }

    /// Appends an entry of the current term to the leader's log.
    pub(crate) fn append_entry(&mut self, payload: Payload, actions: &mut Vec<Action>) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, payload };
        let records = vec![Record::Commit(self.commit), Record::Append(vec![entry.clone()])];
        actions.push(Action::Store(records));
        self.log.push(entry);
        index
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        match &self.role {
            Role::Leader(_) => self.leader_tick(now, actions),
            _ if self.election_due_at <= now => self.start_pre_vote(now, actions),
            _ => {}
        }
    }

    /// If the term is higher than the current one, adopts it and becomes a follower without a known
    /// leader.
    pub(crate) fn adopt_term(&mut self, term: Term, actions: &mut Vec<Action>) {
        if term <= self.term {
            return;
        }
        self.step_down(actions);
        self.term = term;
        self.voted_for = None;
        self.leader = None;
        actions.push(Action::Store(vec![Record::Vote { term, voted_for: None }]));
    }

    /// Returns to the follower role.
    pub(crate) fn step_down(&mut self, actions: &mut Vec<Action>) {
        if matches!(self.role, Role::Leader(_)) {
            actions.push(Action::Log(LogEvent::SteppedDown(self.term)));
            self.leader = None;
        }
        self.role = Role::Follower;
    }

    /// Restarts the election timer with a random timeout, to avoid split votes.
    pub(crate) fn reset_election_timer(&mut self, now: Time) {
        let shortest = self.timing.election.as_micros() as u64;
        let timeout = self.rng.random_range(shortest..=shortest * 2);
        self.election_due_at = now + Duration::from_micros(timeout);
    }

    /// Commits all entries up to and including `index`.
    pub(crate) fn commit_to(&mut self, index: Index, actions: &mut Vec<Action>) {
        while self.commit < index {
            let Some(entry) = self.log.get(self.commit + 1) else { return };
            if let Payload::Members(members) = &entry.payload {
                actions.push(Action::Log(LogEvent::MembersChanged(members.clone())));
            }
            actions.push(Action::Commit(entry.clone()));
            self.commit += 1;
        }
    }

    pub(crate) fn report_violation(&self, violation: Violation, actions: &mut Vec<Action>) {
        actions.push(Action::Log(LogEvent::Violation(violation)));
    }
}
