//! Pool of the targets of one service, ranked for placement.

use std::collections::{BTreeMap, BTreeSet};

/// Number of a target, assigned by its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u32);

/// Attributes of a target that determine its rank, besides its idle tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetProfile {
    /// Whether the target is in another data hall than the entry.
    pub remote: bool,
    /// Number of the rack, assigned by the entry.
    pub rack: u32,
    /// Penalty of the target: 0 by default, higher for a straggling or suspected target. Lower is
    /// preferred.
    pub penalty: u8,
}

/// Sort key of a target with idle tokens: lowest penalty, same data hall, most idle tokens, least
/// recently used.
type Rank = (u8, bool, u32, u64, TargetId);

/// Number of best-ranked targets considered when spreading a job over racks.
const SPREAD_CANDIDATES: usize = 4;

#[derive(Clone, Copy, Debug)]
struct TargetState {
    profile: TargetProfile,
    /// Idle tokens of the target.
    idle: u32,
    /// Value of the pool's `spend_count` when a token of the target was last spent.
    last_used: u64,
}

impl TargetState {
    /// The idle tokens if the target has no penalty, else 0.
    fn unpenalized(&self) -> u32 {
        if self.profile.penalty == 0 { self.idle } else { 0 }
    }

    fn rank(&self, id: TargetId) -> Rank {
        (self.profile.penalty, self.profile.remote, u32::MAX - self.idle, self.last_used, id)
    }
}

/// The targets of one service on which the entry may place tasks.
#[derive(Debug, Default)]
pub struct TargetPool {
    targets: BTreeMap<TargetId, TargetState>,
    /// Targets with idle tokens, best first.
    ranked: BTreeSet<Rank>,
    /// Idle tokens of all targets.
    idle: u32,
    /// Idle tokens of targets without a penalty.
    unpenalized: u32,
    /// Tokens spent so far, which orders targets by their last use.
    spend_count: u64,
}

impl TargetPool {
    /// Adds a target without tokens, or replaces the profile of a known target.
    pub fn upsert(&mut self, id: TargetId, profile: TargetProfile) {
        let old = self.targets.get(&id).copied();
        let (idle, last_used) = old.map_or((0, 0), |target| (target.idle, target.last_used));
        self.replace(id, TargetState { profile, idle, last_used });
    }

    /// Removes a target and discards its tokens.
    pub fn remove(&mut self, id: TargetId) {
        if let Some(old) = self.targets.remove(&id) {
            self.ranked.remove(&old.rank(id));
            self.idle -= old.idle;
            self.unpenalized -= old.unpenalized();
        }
    }

    /// Adds idle tokens to a target. Does nothing if the target is not in the pool.
    pub fn add_tokens(&mut self, id: TargetId, tokens: u32) {
        if let Some(target) = self.targets.get(&id).copied() {
            self.replace(id, TargetState { idle: target.idle + tokens, ..target });
        }
    }

    /// Removes up to `tokens` idle tokens of a target and returns the number removed.
    pub fn take_tokens(&mut self, id: TargetId, tokens: u32) -> u32 {
        let Some(target) = self.targets.get(&id).copied() else { return 0 };
        let taken = tokens.min(target.idle);
        self.replace(id, TargetState { idle: target.idle - taken, ..target });
        taken
    }

    /// Spends a token for a task and returns the target that runs it, or `None` if there is none.
    /// Targets with a penalty are used only if `allow_penalized` is set.
    ///
    /// `tasks_on_rack` returns the number of tasks of the same job on a rack. Among the best-ranked
    /// targets with equal penalty and locality, the one on the rack with the fewest tasks is
    /// selected.
    pub fn spend_token(
        &mut self,
        allow_penalized: bool,
        tasks_on_rack: impl Fn(u32) -> u32,
    ) -> Option<TargetId> {
        let best = *self.ranked.first()?;
        if best.0 > 0 && !allow_penalized {
            return None;
        }
        let same_tier = |rank: &&Rank| (rank.0, rank.1) == (best.0, best.1);
        let candidates = self.ranked.iter().take(SPREAD_CANDIDATES).take_while(same_tier);
        let id = candidates.map(|rank| rank.4).min_by_key(|id| tasks_on_rack(self.rack(*id)))?;
        let target = self.targets[&id];
        self.spend_count += 1;
        self.replace(
            id,
            TargetState { idle: target.idle - 1, last_used: self.spend_count, ..target },
        );
        Some(id)
    }

    /// Returns the rack of a target, or 0 if the target is not in the pool.
    pub fn rack(&self, id: TargetId) -> u32 {
        self.targets.get(&id).map_or(0, |target| target.profile.rack)
    }

    /// Returns the number of idle tokens of all targets.
    pub fn idle_tokens(&self) -> u32 {
        self.idle
    }

    /// Returns the number of idle tokens of targets without a penalty.
    pub fn unpenalized_tokens(&self) -> u32 {
        self.unpenalized
    }

    /// Returns the number of idle tokens of a target, or 0 if the target is not in the pool.
    pub fn idle_tokens_of(&self, id: TargetId) -> u32 {
        self.targets.get(&id).map_or(0, |target| target.idle)
    }

    /// Whether the target is in the pool.
    pub fn contains(&self, id: TargetId) -> bool {
        self.targets.contains_key(&id)
    }

    /// Iterates over all targets once, in round-robin order starting after `last`.
    pub fn round_robin_after(&self, last: TargetId) -> impl Iterator<Item = TargetId> + '_ {
        let after =
            self.targets.range((std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded));
        let before = self.targets.range(..=last);
        after.chain(before).map(|(id, _)| *id)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the pool has no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Inserts or replaces the state of a target and updates the ranking and the totals.
    fn replace(&mut self, id: TargetId, target: TargetState) {
        if let Some(old) = self.targets.insert(id, target) {
            self.ranked.remove(&old.rank(id));
            self.idle -= old.idle;
            self.unpenalized -= old.unpenalized();
        }
        if target.idle > 0 {
            self.ranked.insert(target.rank(id));
        }
        self.idle += target.idle;
        self.unpenalized += target.unpenalized();
    }
}
