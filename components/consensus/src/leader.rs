//! The leader: replicates its log, commits, keeps its lease.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{NodeName, Time};

use crate::log::{Index, Payload, Term};
use crate::replica::{Replica, Role};
use crate::{Action, Message, News};

/// Most entries in one message.
const BATCH: usize = 64;
/// Most bytes of commands in one message, unless a single one is larger: a third of a second of a link of 25 Mbit/s, and
/// a thirtieth of the longest frame. By count alone 40 configurations of 845 kB made a message of 34 MB, which no
/// frame takes.
const BATCH_BYTES: usize = 1_000_000;
/// A replica that is no member and silent for longer is sent nothing more until it asks again.
const LEARNER_SILENCE: Duration = Duration::from_secs(3);
/// A replica whose last acknowledgement is older does not take a member's place.
const LEARNER_FRESH: Duration = Duration::from_millis(700);

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
    /// When it was first sent anything, or asked to join.
    known: Time,
}

impl Progress {
    fn new(next: Index, now: Time) -> Self {
        Self { next, matched: 0, acked: Time::default(), blank: false, known: now }
    }

    /// When it was last heard of, or first known.
    fn heard(&self) -> Time {
        self.acked.max(self.known)
    }
}

/// A leader's state in its term.
#[derive(Debug)]
pub(crate) struct Leading {
    followers: BTreeMap<NodeName, Progress>,
    pub heartbeat_at: Time,
    /// When it began to lead.
    since: Time,
    /// It has asked another to take over: it is sure of nothing any more.
    resigned: bool,
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
        if self.resigned {
            return None;
        }
        let members = replica.members();
        let counts = |(name, progress): &(&NodeName, &Progress)| {
            !progress.blank && left_out != Some(*name) && members.contains(name)
        };
        let acks = self.followers.iter().filter(counts).map(|(_, progress)| progress.acked);
        let mut times: Vec<Time> = acks.chain([now]).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let weakest = *times.get(replica.quorum() - 1)?;
        (weakest > Time::default()).then(|| weakest + replica.timing.lease)
    }
}

impl Leading {
    /// The member that has been silent for longest, and longer than `replace_after`.
    fn silent_member(&self, members: &[NodeName], now: Time, limit: Duration) -> Option<NodeName> {
        let silent = self.followers.iter().filter(|(name, progress)| {
            members.contains(name) && now.since(progress.heard().max(self.since)) > limit
        });
        silent.min_by_key(|(_, progress)| progress.heard()).map(|(name, _)| name.clone())
    }

    /// The follower among the members that is furthest behind.
    fn last_member(&self, members: &[NodeName]) -> Option<NodeName> {
        let followers = self.followers.iter().filter(|(name, _)| members.contains(name));
        followers.min_by_key(|(_, progress)| progress.matched).map(|(name, _)| name.clone())
    }

    /// A replica that is no member, has every committed entry, and was heard of just now.
    fn fresh_learner(&self, members: &[NodeName], now: Time, commit: Index) -> Option<NodeName> {
        let fit = |(name, progress): &(&NodeName, &Progress)| {
            !members.contains(name)
                && !progress.blank
                && progress.matched >= commit
                && now.since(progress.acked) < LEARNER_FRESH
        };
        self.followers.iter().find(fit).map(|(name, _)| name.clone())
    }
}

impl Replica {
    /// Won an election: leads, and makes a first entry so that earlier ones can commit.
    pub(crate) fn lead(&mut self, now: Time, out: &mut Vec<Action>) {
        let next = self.log.last_index() + 1;
        let fresh = Progress::new(next, now);
        let followers = self.others().into_iter().map(|name| (name, fresh)).collect();
        let leading = Leading { followers, heartbeat_at: now, since: now, resigned: false };
        self.role = Role::Leader(leading);
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
        let Role::Leader(leading) = &self.role else { return };
        let followers: Vec<NodeName> = leading.followers.keys().cloned().collect();
        for follower in followers {
            self.send_append(now, &follower, out);
        }
        self.commit_quorum(out);
    }

    /// A replica that is no member asks to be brought up to date. It may know none that leads, so it
    /// is told.
    pub(crate) fn join(&mut self, now: Time, from: &NodeName, out: &mut Vec<Action>) {
        let next = self.log.last_index() + 1;
        if let Role::Leader(leading) = &mut self.role {
            leading.followers.entry(from.clone()).or_insert(Progress::new(next, now));
        } else if let Some(leader) = self.leader.clone().filter(|leader| leader != from) {
            out.push(Action::Send(from.clone(), Message::Refer { leader }));
        }
    }

    /// Asks the follower that is furthest on to lead, once it has been sent all there is.
    pub(crate) fn resign(&mut self, now: Time, out: &mut Vec<Action>) {
        self.replicate(now, out);
        self.hand_over(now, out);
    }

    /// Asks the follower that is furthest on to lead, and is sure of nothing from then on. Nothing is stored
    /// and no entry is sent or committed, so that it is right also where the disk takes nothing more.
    pub fn hand_over(&mut self, now: Time, out: &mut Vec<Action>) {
        let term = self.term;
        let members = self.members().to_vec();
        let Role::Leader(leading) = &mut self.role else { return };
        let fit = leading.followers.iter().filter(|(name, progress)| {
            !progress.blank && members.contains(name) && now.since(progress.acked) < LEARNER_FRESH
        });
        let Some((successor, _)) = fit.max_by_key(|(_, progress)| progress.matched) else { return };
        let successor = successor.clone();
        leading.resigned = true;
        out.push(Action::Send(successor, Message::TakeOver { term }));
    }

    /// Changes the members by one where too few vote, or one has been silent for long and another
    /// replica has caught up. Only after an entry of its own term has committed, and one change at
    /// a time.
    fn adjust_members(&mut self, now: Time, out: &mut Vec<Action>) {
        let settled = self.knows_all_committed() && self.log.last_change() <= self.commit;
        if !settled || !self.is_sure(now) {
            return;
        }
        let Some(members) = self.next_members(now) else { return };
        self.append_own(Payload::Members(members), out);
        self.align_followers(now);
        self.replicate(now, out);
    }

    fn next_members(&self, now: Time) -> Option<Vec<NodeName>> {
        let Role::Leader(leading) = &self.role else { return None };
        let voters = self.timing.voters?;
        let mut members = self.members().to_vec();
        let silent = leading.silent_member(&members, now, self.timing.replace_after);
        if members.len() > voters {
            let gone = silent.or_else(|| leading.last_member(&members))?;
            members.retain(|name| *name != gone);
            return Some(members);
        }
        if members.len() == voters && silent.is_none() {
            return None;
        }
        members.push(leading.fresh_learner(&members, now, self.commit)?);
        members.sort();
        Some(members)
    }

    /// Every member but this one is a follower; replicas that are neither members nor heard of are
    /// forgotten.
    fn align_followers(&mut self, now: Time) {
        let fresh = Progress::new(self.log.last_index() + 1, now);
        let others = self.others();
        let Role::Leader(leading) = &mut self.role else { return };
        leading.followers.retain(|name, progress| {
            others.contains(name) || now.since(progress.heard()) < LEARNER_SILENCE
        });
        for name in others {
            leading.followers.entry(name).or_insert(fresh);
        }
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
        self.align_followers(now);
        self.adjust_members(now, out);
        self.replicate(now, out);
    }

    fn send_append(&mut self, now: Time, to: &NodeName, out: &mut Vec<Action>) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(progress) = leading.followers.get(to).copied() else { return };
        let sure = self.knows_all_committed()
            && leading.lease_until(self, now, Some(to)).is_some_and(|until| now < until);
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_snapshot(now, to, out);
        };
        let entries = self.log.batch(progress.next, BATCH, BATCH_BYTES);
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

    /// Whether an entry of its own term is committed; before that, entries of earlier leaders may be
    /// committed that it does not know to be.
    pub(crate) fn knows_all_committed(&self) -> bool {
        self.log.term(self.commit) == Some(self.term)
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
        let mut commits = Vec::new();
        self.commit_quorum(&mut commits);
        if !commits.is_empty() {
            // Followers hear of it before anyone else, so that they can tell it as soon as the leader: it does not
            // have to tell everyone.
            self.replicate(now, out);
        } else if lacks {
            self.send_append(now, from, out);
        }
        out.append(&mut commits);
    }

    /// Commits the entries of its own term that a quorum has on disk, and all before them.
    fn commit_quorum(&mut self, out: &mut Vec<Action>) {
        let Role::Leader(leading) = &self.role else { return };
        let members = self.members();
        let counted = leading
            .followers
            .iter()
            .filter(|(name, progress)| !progress.blank && members.contains(name));
        let mut matched: Vec<Index> = counted.map(|(_, progress)| progress.matched).collect();
        matched.push(self.log.last_index());
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit_to(index, out);
        }
    }
}
