//! What waits and who may serve it, for one service.

use std::collections::BTreeMap;

use model::{SubmissionId, Time};
use placement::{FairQueue, Pool, Reserve, TargetId};

/// The queue and the targets of one service at one entry.
#[derive(Debug)]
pub(crate) struct Service {
    pub pool: Pool,
    pub queue: FairQueue<SubmissionId>,
    /// Tasks sent and not answered.
    pub busy: u32,
    /// Slots of the targets that can be placed on.
    pub slots: u32,
    /// The target asked last for tokens.
    pub asked_last: TargetId,
    asks: BTreeMap<TargetId, u32>,
    asked: u32,
    reserve: Reserve,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            pool: Pool::default(),
            queue: FairQueue::default(),
            busy: 0,
            slots: 0,
            asked_last: TargetId(0),
            asks: BTreeMap::new(),
            asked: 0,
            reserve: Reserve::default(),
        }
    }
}

impl Service {
    /// Notes a sent or ended task.
    pub fn set_busy(&mut self, busy: u32, now: Time) {
        self.reserve.note(self.busy as usize, now);
        self.busy = busy;
    }

    /// Tokens that are needed besides the idle ones and those asked for already: what waits, and
    /// the reserve once it is half used up.
    pub fn tokens_needed(&self) -> u32 {
        let waiting = u32::try_from(self.queue.tasks()).unwrap_or(u32::MAX);
        let at_hand = self.pool.idle() + self.asked;
        let reserve = self.reserve.target();
        let reserve = if at_hand < waiting + reserve.div_ceil(2) { reserve } else { 0 };
        (waiting + reserve).saturating_sub(at_hand).min(self.slots)
    }

    /// Sets how many tokens a target is asked for.
    pub fn set_asked(&mut self, target: TargetId, count: u32) {
        let before = match count {
            0 => self.asks.remove(&target),
            _ => self.asks.insert(target, count),
        };
        self.asked = self.asked + count - before.unwrap_or(0);
    }

    /// Takes back what a target is asked for, where the idle tokens are enough by now.
    pub fn wanted_now(&mut self, target: TargetId) -> u32 {
        let waiting = u32::try_from(self.queue.tasks()).unwrap_or(u32::MAX);
        if self.pool.idle() >= waiting.saturating_add(self.reserve.target()) {
            self.set_asked(target, 0);
        }
        self.asked_of(target)
    }

    /// How many tokens a target is asked for.
    pub fn asked_of(&self, target: TargetId) -> u32 {
        self.asks.get(&target).copied().unwrap_or(0)
    }

    /// Targets to ask next, in turn: those not asked yet.
    pub fn to_ask(&self) -> impl Iterator<Item = TargetId> + '_ {
        let all_asked = self.asks.len() >= self.pool.len();
        let round = self.pool.round_after(self.asked_last).filter(|id| self.asked_of(*id) == 0);
        round.take(if all_asked { 0 } else { self.pool.len() })
    }

    /// Slots that this entry may count on, where so many entries share the targets.
    pub fn slots_to_count_on(&self, entries: u32) -> u32 {
        let held = self.pool.idle() + self.busy;
        held.max(self.slots / entries.max(1))
    }
}
