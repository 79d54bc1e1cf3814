//! The targets of one service, ranked by where the next task should go.

use std::collections::{BTreeMap, BTreeSet};

/// A target, numbered by its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u32);

/// What the rank of a target depends on, besides its idle tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetProfile {
    /// Whether it is in another data hall than the entry.
    pub remote: bool,
    /// Its rack, numbered by the entry.
    pub rack: u32,
    /// How far it is to be avoided: 0 as a rule, more for a straggling or pressed one.
    pub penalty: u8,
}

/// Targets with idle tokens, best first: least avoided, near, most idle, longest unused.
type Rank = (u8, bool, u32, u64, TargetId);

/// How many of the best targets are looked at to spread a job over racks.
const SPREAD_LOOK: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Target {
    profile: TargetProfile,
    idle: u32,
    used: u64,
}

impl Target {
    fn ready(&self) -> u32 {
        if self.profile.penalty == 0 { self.idle } else { 0 }
    }

    fn rank(&self, id: TargetId) -> Rank {
        (self.profile.penalty, self.profile.remote, u32::MAX - self.idle, self.used, id)
    }
}

/// The targets of one service that the entry may place on.
#[derive(Debug, Default)]
pub struct TargetPool {
    targets: BTreeMap<TargetId, Target>,
    ranked: BTreeSet<Rank>,
    idle: u32,
    /// Of these, tokens of targets that are not to be avoided.
    ready: u32,
    uses: u64,
}

impl TargetPool {
    /// Adds a target without tokens, or gives a known one a new profile.
    pub fn upsert(&mut self, id: TargetId, profile: TargetProfile) {
        let old = self.targets.get(&id).copied();
        let (idle, used) = old.map_or((0, 0), |target| (target.idle, target.used));
        self.replace(id, Target { profile, idle, used });
    }

    /// Takes a target out; its tokens are gone.
    pub fn remove(&mut self, id: TargetId) {
        if let Some(old) = self.targets.remove(&id) {
            self.ranked.remove(&old.rank(id));
            self.idle -= old.idle;
            self.ready -= old.ready();
        }
    }

    /// Adds idle tokens of a target; none for one that is not in the pool.
    pub fn add_tokens(&mut self, id: TargetId, tokens: u32) {
        if let Some(target) = self.targets.get(&id).copied() {
            self.replace(id, Target { idle: target.idle + tokens, ..target });
        }
    }

    /// Takes up to so many idle tokens of a target; returns how many.
    pub fn take_tokens(&mut self, id: TargetId, tokens: u32) -> u32 {
        let Some(target) = self.targets.get(&id).copied() else { return 0 };
        let taken = tokens.min(target.idle);
        self.replace(id, Target { idle: target.idle - taken, ..target });
        taken
    }

    /// Spends a token for a task of a job and tells where the task goes. Targets that are to be
    /// avoided are only used where `any` says so.
    ///
    /// `tasks_on_rack` says how many tasks of the job a rack has; among the best few targets that
    /// are alike otherwise, the one on the rack with the fewest wins.
    pub fn spend_token(
        &mut self,
        any: bool,
        tasks_on_rack: impl Fn(u32) -> u32,
    ) -> Option<TargetId> {
        let best = *self.ranked.first()?;
        if best.0 > 0 && !any {
            return None;
        }
        let alike = |rank: &&Rank| (rank.0, rank.1) == (best.0, best.1);
        let look = self.ranked.iter().take(SPREAD_LOOK).take_while(alike);
        let id = look.map(|rank| rank.4).min_by_key(|id| tasks_on_rack(self.rack(*id)))?;
        let target = self.targets[&id];
        self.uses += 1;
        self.replace(id, Target { idle: target.idle - 1, used: self.uses, ..target });
        Some(id)
    }

    /// The rack of a target; 0 for one that is not in the pool.
    pub fn rack(&self, id: TargetId) -> u32 {
        self.targets.get(&id).map_or(0, |target| target.profile.rack)
    }

    /// Idle tokens of all targets.
    pub fn idle_tokens(&self) -> u32 {
        self.idle
    }

    /// Idle tokens of the targets that are not to be avoided.
    pub fn unpenalized_tokens(&self) -> u32 {
        self.ready
    }

    /// Idle tokens of one target.
    pub fn idle_tokens_of(&self, id: TargetId) -> u32 {
        self.targets.get(&id).map_or(0, |target| target.idle)
    }

    /// Whether a target is in the pool.
    pub fn contains(&self, id: TargetId) -> bool {
        self.targets.contains_key(&id)
    }

    /// The targets after a given one, in a round.
    pub fn round_robin_after(&self, last: TargetId) -> impl Iterator<Item = TargetId> + '_ {
        let after =
            self.targets.range((std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded));
        let before = self.targets.range(..=last);
        after.chain(before).map(|(id, _)| *id)
    }

    /// How many targets there are.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    fn replace(&mut self, id: TargetId, target: Target) {
        if let Some(old) = self.targets.insert(id, target) {
            self.ranked.remove(&old.rank(id));
            self.idle -= old.idle;
            self.ready -= old.ready();
        }
        if target.idle > 0 {
            self.ranked.insert(target.rank(id));
        }
        self.idle += target.idle;
        self.ready += target.ready();
    }
}
