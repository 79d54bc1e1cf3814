//! One replica: its state, and which part takes which event.

use std::time::Duration;

use model::{NodeName, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::election::Ballot;
use crate::leader::Leading;
use crate::log::{Entry, Index, Log, Payload, Term};
use crate::record::{RecoverError, recover};
use crate::{Action, Event, Message, News, ProposalId, Record, Snapshot, Violation};

/// The times of a cluster; the same at every replica.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From one sign of the leader to the next.
    pub heartbeat: Duration,
    /// Silence of the leader after which a replica may stand or vote; they wait up to twice this.
    pub election: Duration,
    /// How long a leader is sure to lead after it sent what a quorum acknowledged. Shorter than
    /// `election` by more than two clocks run apart in that time.
    pub lease: Duration,
    /// How many replicas are to vote. Where fewer do, or one has been silent for `replace_after`,
    /// a replica that has caught up takes the place. `None`: the members never change.
    pub voters: Option<usize>,
    /// Silence after which a member is replaced by another that has caught up, if there is one.
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

/// What a replica does in its term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Leading),
}

/// One life of one replica.
#[derive(Debug)]
pub struct Replica {
    pub(crate) name: NodeName,
    pub(crate) timing: Timing,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<NodeName>,
    /// Began on an empty disk and has not caught up: it neither votes nor counts.
    pub(crate) blank: bool,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeName>,
    /// No vote is granted before: the leader may count on this replica's silence.
    pub(crate) votes_from: Time,
    pub(crate) election_at: Time,
    /// Replicas that may know the leader, for one that is no member.
    pub(crate) contacts: Vec<NodeName>,
    /// It has asked to join, and asks whom it is told to lead.
    pub(crate) asks_leader: bool,
}

impl Replica {
    /// A replica from its journal's records.
    ///
    /// It may have acknowledged a leader just before it died, so it votes only after a while.
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
            votes_from: now + timing.election,
            election_at: now,
            contacts: Vec::new(),
            asks_leader: false,
        };
        // A single replica waits for nobody.
        if replica.members().len() > 1 {
            replica.wait_for_leader(now);
        }
        Ok(replica)
    }

    /// The records that a replica on an empty disk begins with.
    pub fn blank_records(members: Vec<NodeName>) -> Vec<Record> {
        let snapshot = Snapshot { index: 0, term: 0, members, state: Vec::new() };
        vec![Record::Snapshot(snapshot), Record::Blank(true)]
    }

    /// The entries after the snapshot that the journal showed to be committed, oldest first. They
    /// are not reported by [`Action::Commit`]: the state machine applies them after
    /// [`Replica::recover`], before it hands in the first event.
    pub fn recovered_entries(&self) -> Vec<Entry> {
        let entries = self.log.from(self.log.snapshot.index + 1);
        entries.into_iter().filter(|entry| entry.index <= self.commit).collect()
    }

    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Message { from, message } => self.message(now, &from, message, out),
            Event::Propose { id, command } => self.propose(now, id, command, out),
            Event::Resign => self.resign(now, out),
            Event::Tick => {}
        }
        self.tick(now, out);
    }

    /// Names replicas that a replica which is no member asks to be brought up to date by.
    pub fn set_contacts(&mut self, contacts: Vec<NodeName>) {
        self.contacts = contacts;
    }

    /// The replicas that vote.
    pub fn voters(&self) -> &[NodeName] {
        self.members()
    }

    /// When the next tick is due.
    pub fn next_timer(&self) -> Time {
        match &self.role {
            Role::Leader(leading) => leading.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Whether it is sure to lead now: what it has committed is the newest there is.
    pub fn is_sure(&self, now: Time) -> bool {
        match &self.role {
            Role::Leader(leading) => {
                leading.lease_until(self, now, None).is_some_and(|until| now < until)
                    && self.knows_all_committed()
            }
            _ => false,
        }
    }

    /// Whom it takes for the leader.
    pub fn leader(&self) -> Option<&NodeName> {
        self.leader.as_ref()
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The last committed entry.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// Whether it does not vote because it has not caught up.
    pub fn is_blank(&self) -> bool {
        self.blank
    }

    /// The snapshot that the log begins with.
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    /// Entries in memory after the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Bytes of the commands in memory that are committed.
    pub fn committed_bytes(&self) -> usize {
        self.log.bytes_to(self.commit)
    }

    /// Replaces the log up to the last committed entry by the state after it.
    pub fn compact(&mut self, state: Vec<u8>, out: &mut Vec<Action>) {
        let Some(term) = self.log.term(self.commit) else { return };
        let members = self.log.members_at(self.commit).to_vec();
        self.log.compact(Snapshot { index: self.commit, term, members, state });
        out.push(Action::Rewrite(self.records()));
    }

    /// Everything that has to be on the disk.
    pub(crate) fn records(&self) -> Vec<Record> {
        let entries = self.log.from(self.log.snapshot.index + 1);
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

    fn message(&mut self, now: Time, from: &NodeName, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.pre_vote(now, from, term, (last_term, last_index), out);
            }
            Message::PreVoteReply { term, granted } => {
                self.pre_vote_reply(now, from, term, granted, out);
            }
            Message::Join => self.join(now, from, out),
            Message::Refer { leader } => self.referred(leader, out),
            Message::TakeOver { term } => self.take_over(now, term, out),
            Message::Vote { term, last_index, last_term, transfer } => {
                self.vote(now, from, (term, transfer), (last_term, last_index), out);
            }
            Message::VoteReply { term, granted } => self.vote_reply(now, from, term, granted, out),
            message @ (Message::Append { .. } | Message::Install { .. }) => {
                self.follow_leader(now, from, message, out);
            }
            Message::AppendReply { term, fitted, index, sent, blank } => {
                self.append_reply(now, from, term, (fitted, index, sent, blank), out);
            }
        }
    }

    fn propose(&mut self, now: Time, id: ProposalId, command: Vec<u8>, out: &mut Vec<Action>) {
        if !matches!(self.role, Role::Leader(_)) {
            return out.push(Action::Refused(id));
        }
        let index = self.append_own(Payload::Command(command), out);
        out.push(Action::Proposed(id, index));
        self.replicate(now, out);
    }

    /// Adds an entry of this leader's term.
    pub(crate) fn append_own(&mut self, payload: Payload, out: &mut Vec<Action>) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, payload };
        let records = vec![Record::Commit(self.commit), Record::Append(vec![entry.clone()])];
        out.push(Action::Store(records));
        self.log.push(entry);
        index
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        match &self.role {
            Role::Leader(_) => self.lead_on(now, out),
            _ if self.election_at <= now => self.stand(now, out),
            _ => {}
        }
    }

    /// Takes a higher term, as a follower of nobody yet.
    pub(crate) fn take_term(&mut self, term: Term, out: &mut Vec<Action>) {
        if term <= self.term {
            return;
        }
        self.step_down(out);
        self.term = term;
        self.voted_for = None;
        self.leader = None;
        out.push(Action::Store(vec![Record::Vote { term, voted_for: None }]));
    }

    /// Leads, or stands, no longer.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Action>) {
        if matches!(self.role, Role::Leader(_)) {
            out.push(Action::News(News::StepsDown(self.term)));
            self.leader = None;
        }
        self.role = Role::Follower;
    }

    /// Waits a random while for a sign of a leader.
    pub(crate) fn wait_for_leader(&mut self, now: Time) {
        let least = self.timing.election.as_micros() as u64;
        let wait = self.rng.random_range(least..=least * 2);
        self.election_at = now + Duration::from_micros(wait);
    }

    /// Commits up to an index.
    pub(crate) fn commit_to(&mut self, index: Index, out: &mut Vec<Action>) {
        while self.commit < index {
            let Some(entry) = self.log.get(self.commit + 1) else { return };
            if let Payload::Members(members) = &entry.payload {
                out.push(Action::News(News::Members(members.clone())));
            }
            out.push(Action::Commit(entry.clone()));
            self.commit += 1;
        }
    }

    pub(crate) fn violation(&self, violation: Violation, out: &mut Vec<Action>) {
        out.push(Action::News(News::Violation(violation)));
    }
}
