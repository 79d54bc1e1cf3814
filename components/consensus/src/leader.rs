//! The leader: replicates its log, commits entries, maintains its lease and changes the members.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{NodeName, Time};

use crate::log::{Index, Payload, Term};
use crate::replica::{Replica, Role};
use crate::{Action, LogEvent, Message};

/// Maximum number of entries in one message.
const BATCH_ENTRIES_MAX: usize = 64;
/// Maximum size of the commands in one message, unless a single command is larger: a third of a
/// second on a link of 25 Mbit/s and a thirtieth of the longest frame. With a limit on the count
/// alone, 40 configurations of 845 kB made a message of 34 MB, which no frame takes.
const BATCH_BYTES_MAX: usize = 1_000_000;
/// Time without a reply after which the leader stops replicating to a learner, that is a replica
/// which is not a member, until it asks to join again.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(3);
/// A replica whose last acknowledged append was sent longer ago neither becomes a member nor takes
/// over leadership.
const ACK_AGE_MAX: Duration = Duration::from_millis(700);

/// The leader's view of one follower, which may be a member or a learner.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The index of the next entry to send.
    next_index: Index,
    /// The highest index known to be on the follower's disk.
    match_index: Index,
    /// When the latest append that the follower acknowledged was sent.
    acked_at: Time,
    /// Whether the follower started on an empty disk and has not caught up, so that it does not
    /// count towards a quorum.
    blank: bool,
    /// When the leader started to track this follower.
    tracked_since: Time,
}

impl Progress {
    fn new(next_index: Index, now: Time) -> Self {
        Self {
            next_index,
            match_index: 0,
            acked_at: Time::default(),
            blank: false,
            tracked_since: now,
        }
    }

    /// When the latest acknowledged append was sent, or when tracking started.
    fn last_contact(&self) -> Time {
        self.acked_at.max(self.tracked_since)
    }
}

/// A leader's state during its term.
#[derive(Debug)]
pub(crate) struct LeaderState {
    followers: BTreeMap<NodeName, Progress>,
    pub heartbeat_due_at: Time,
    /// When this replica became leader.
    elected_at: Time,
    /// Whether another replica was asked to take over; this leader then no longer has a lease.
    resigned: bool,
}

impl LeaderState {
    /// The end of the lease, before which no other replica can be elected. `None` if this leader
    /// resigned or no quorum has acknowledged an append in this term. `excluded` is a follower that
    /// is not counted.
    pub fn lease_until(
        &self,
        replica: &Replica,
        now: Time,
        excluded: Option<&NodeName>,
    ) -> Option<Time> {
        if self.resigned {
            return None;
        }
        let members = replica.members();
        let counts = |(name, progress): &(&NodeName, &Progress)| {
            !progress.blank && excluded != Some(*name) && members.contains(name)
        };
        let acks = self.followers.iter().filter(counts).map(|(_, progress)| progress.acked_at);
        let mut times: Vec<Time> = acks.chain([now]).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_acked_at = *times.get(replica.quorum() - 1)?;
        (quorum_acked_at > Time::default()).then(|| quorum_acked_at + replica.timing.lease)
    }
}

impl LeaderState {
    /// The member that has not replied for the longest time, if that time exceeds `limit`.
    fn silent_member(&self, members: &[NodeName], now: Time, limit: Duration) -> Option<NodeName> {
        let silent = self.followers.iter().filter(|(name, progress)| {
            members.contains(name)
                && now.since(progress.last_contact().max(self.elected_at)) > limit
        });
        silent.min_by_key(|(_, progress)| progress.last_contact()).map(|(name, _)| name.clone())
    }

    /// The member, other than the leader, that is furthest behind.
    fn slowest_member(&self, members: &[NodeName]) -> Option<NodeName> {
        let followers = self.followers.iter().filter(|(name, _)| members.contains(name));
        followers.min_by_key(|(_, progress)| progress.match_index).map(|(name, _)| name.clone())
    }

    /// A learner that has every committed entry and replied recently.
    fn ready_learner(&self, members: &[NodeName], now: Time, commit: Index) -> Option<NodeName> {
        let eligible = |(name, progress): &(&NodeName, &Progress)| {
            !members.contains(name)
                && !progress.blank
                && progress.match_index >= commit
                && now.since(progress.acked_at) < ACK_AGE_MAX
        };
        self.followers.iter().find(eligible).map(|(name, _)| name.clone())
    }
}

impl Replica {
    /// Becomes leader after a won election. Appends an empty entry, since entries of earlier terms
    /// commit only together with one of the current term.
    pub(crate) fn become_leader(&mut self, now: Time, actions: &mut Vec<Action>) {
        let next = self.log.last_index() + 1;
        let initial = Progress::new(next, now);
        let followers = self.others().into_iter().map(|name| (name, initial)).collect();
        let leader_state =
            LeaderState { followers, heartbeat_due_at: now, elected_at: now, resigned: false };
        self.role = Role::Leader(leader_state);
        self.leader = Some(self.name.clone());
        actions.push(Action::Log(LogEvent::BecameLeader(self.term)));
        self.append_entry(Payload::Empty, actions);
        self.replicate(now, actions);
    }

    /// Sends every follower its missing entries or a heartbeat, and commits what a quorum has
    /// stored.
    pub(crate) fn replicate(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.heartbeat_due_at = now + self.timing.heartbeat;
        }
        let Role::Leader(leader_state) = &self.role else { return };
        let followers: Vec<NodeName> = leader_state.followers.keys().cloned().collect();
        for follower in followers {
            self.send_append(now, &follower, actions);
        }
        self.advance_commit(actions);
    }

    /// Handles the join request of a replica: the leader starts to replicate to it, any other
    /// replica refers it to the leader.
    pub(crate) fn handle_join(&mut self, now: Time, from: &NodeName, actions: &mut Vec<Action>) {
        let next = self.log.last_index() + 1;
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.followers.entry(from.clone()).or_insert(Progress::new(next, now));
        } else if let Some(leader) = self.leader.clone().filter(|leader| leader != from) {
            actions.push(Action::Send(from.clone(), Message::Refer { leader }));
        }
    }

    /// Sends all outstanding entries and then hands over leadership.
    pub(crate) fn resign(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.replicate(now, actions);
        self.transfer_leadership(now, actions);
    }

    /// Asks the most up-to-date recent follower to start an election and stops relying on the
    /// lease. Stores, appends and commits nothing, so that it also works when the disk is full.
    pub fn transfer_leadership(&mut self, now: Time, actions: &mut Vec<Action>) {
        let term = self.term;
        let members = self.members().to_vec();
        let Role::Leader(leader_state) = &mut self.role else { return };
        let ready = leader_state.followers.iter().filter(|(name, progress)| {
            !progress.blank && members.contains(name) && now.since(progress.acked_at) < ACK_AGE_MAX
        });
        let Some((successor, _)) = ready.max_by_key(|(_, p)| p.match_index) else { return };
        let successor = successor.clone();
        leader_state.resigned = true;
        actions.push(Action::Send(successor, Message::TakeOver { term }));
    }

    /// Adds or removes one member if the number of voters is not the configured one, or if a member
    /// has been silent for too long and a replacement has caught up. Only one change is in progress
    /// at a time, and only after an entry of the current term has been committed.
    fn adjust_members(&mut self, now: Time, actions: &mut Vec<Action>) {
        let ready = self.has_committed_in_term() && self.log.last_member_change() <= self.commit;
        if !ready || !self.is_confirmed_leader(now) {
            return;
        }
        let Some(members) = self.next_members(now) else { return };
        self.append_entry(Payload::Members(members), actions);
        self.update_followers(now);
        self.replicate(now, actions);
    }

    /// The members after the next change; `None` if no change is needed or possible now. A silent
    /// member is replaced in two changes: first a learner is added, then the member is removed.
    fn next_members(&self, now: Time) -> Option<Vec<NodeName>> {
        let Role::Leader(leader_state) = &self.role else { return None };
        let voters = self.timing.voters?;
        let mut members = self.members().to_vec();
        let silent = leader_state.silent_member(&members, now, self.timing.replace_after);
        if members.len() > voters {
            let removed = silent.or_else(|| leader_state.slowest_member(&members))?;
            members.retain(|name| *name != removed);
            return Some(members);
        }
        if members.len() == voters && silent.is_none() {
            return None;
        }
        members.push(leader_state.ready_learner(&members, now, self.commit)?);
        members.sort();
        Some(members)
    }

    /// Tracks every other member as a follower, and drops learners that have not replied recently.
    fn update_followers(&mut self, now: Time) {
        let initial = Progress::new(self.log.last_index() + 1, now);
        let others = self.others();
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.followers.retain(|name, progress| {
            others.contains(name) || now.since(progress.last_contact()) < LEARNER_TIMEOUT
        });
        for name in others {
            leader_state.followers.entry(name).or_insert(initial);
        }
    }

    /// Sends the periodic heartbeat, or steps down if the lease expired longer ago than the
    /// election timeout. Without a lease, the time since the election counts.
    pub(crate) fn leader_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Role::Leader(leader_state) = &self.role else { return };
        if leader_state.heartbeat_due_at > now {
            return;
        }
        let lease_end =
            leader_state.lease_until(self, now, None).unwrap_or(leader_state.elected_at);
        if now.since(lease_end) > self.timing.election {
            self.step_down(actions);
            return self.reset_election_timer(now);
        }
        self.update_followers(now);
        self.adjust_members(now, actions);
        self.replicate(now, actions);
    }

    fn send_append(&mut self, now: Time, to: &NodeName, actions: &mut Vec<Action>) {
        let Role::Leader(leader_state) = &self.role else { return };
        let Some(progress) = leader_state.followers.get(to).copied() else { return };
        let leader_confirmed = self.has_committed_in_term()
            && leader_state.lease_until(self, now, Some(to)).is_some_and(|until| now < until);
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_snapshot(now, to, actions);
        };
        let entries = self.log.batch(progress.next_index, BATCH_ENTRIES_MAX, BATCH_BYTES_MAX);
        let entry_count = entries.len() as Index;
        let message = Message::Append {
            term: self.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent: now,
            leader_confirmed,
        };
        actions.push(Action::Send(to.clone(), message));
        // Assumes delivery; after a loss the follower rejects the next append and reports its last
        // index.
        self.set_next_index(to, progress.next_index + entry_count);
    }

    /// Whether an entry of the current term is committed. Before that, the leader may not know of
    /// all committed entries of earlier terms.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.term)
    }

    fn send_snapshot(&mut self, now: Time, to: &NodeName, actions: &mut Vec<Action>) {
        let snapshot = self.log.snapshot.clone();
        let next = snapshot.index + 1;
        actions.push(Action::Send(
            to.clone(),
            Message::Install { term: self.term, snapshot, sent: now },
        ));
        self.set_next_index(to, next);
    }

    fn set_next_index(&mut self, follower: &NodeName, next: Index) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        if let Some(progress) = leader_state.followers.get_mut(follower) {
            progress.next_index = next;
        }
    }

    /// Handles a follower's reply to an append or a snapshot. The tuple holds the fields of
    /// [`Message::AppendReply`] after the term.
    pub(crate) fn handle_append_reply(
        &mut self,
        now: Time,
        from: &NodeName,
        term: Term,
        (matched, index, sent, blank): (bool, Index, Time, bool),
        actions: &mut Vec<Action>,
    ) {
        self.adopt_term(term, actions);
        let last = self.log.last_index();
        let Role::Leader(leader_state) = &mut self.role else { return };
        if term != self.term {
            return;
        }
        let Some(progress) = leader_state.followers.get_mut(from) else { return };
        progress.acked_at = progress.acked_at.max(sent);
        if blank && !progress.blank {
            // The follower restarted on an empty disk and lost what it had acknowledged before.
            progress.match_index = 0;
        }
        progress.blank = blank;
        if matched {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else {
            progress.next_index = (index + 1).min(progress.next_index).max(1);
        }
        let is_behind = progress.next_index <= last;
        let mut commits = Vec::new();
        self.advance_commit(&mut commits);
        if !commits.is_empty() {
            // Notifies the followers of the new commit index before the leader answers its callers,
            // so that followers can serve the committed state as early as the leader.
            self.replicate(now, actions);
        } else if is_behind {
            self.send_append(now, from, actions);
        }
        actions.append(&mut commits);
    }

    /// Commits up to the highest index that a quorum has stored, if that entry is of the current
    /// term.
    fn advance_commit(&mut self, actions: &mut Vec<Action>) {
        let Role::Leader(leader_state) = &self.role else { return };
        let members = self.members();
        let counted = leader_state
            .followers
            .iter()
            .filter(|(name, progress)| !progress.blank && members.contains(name));
        let mut match_indexes: Vec<Index> =
            counted.map(|(_, progress)| progress.match_index).collect();
        match_indexes.push(self.log.last_index());
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = match_indexes.get(self.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit_to(index, actions);
        }
    }
}
