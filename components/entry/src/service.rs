//! What waits and who may serve it, for one service.

use std::collections::BTreeMap;

use model::SubmissionId;
use placement::{FairQueue, Pool, TargetId};

/// Targets looked at for asking again, each time something happens while work waits.
const ASK_AGAIN_LOOK: usize = 4;
/// Idle tokens to keep at hand, so that a first request finds one. More did not help: see
/// docs/MEASURES.md.
const RESERVE: u32 = 1;

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
        }
    }
}

impl Service {
    /// Tokens that are needed besides the idle ones and those asked for already.
    pub fn tokens_needed(&self) -> u32 {
        let waiting = u32::try_from(self.queue.tasks()).unwrap_or(u32::MAX);
        let at_hand = self.pool.ready() + self.asked;
        (waiting.saturating_add(RESERVE)).saturating_sub(at_hand)
    }

    /// Sets how many tokens a target is asked for.
    pub fn set_asked(&mut self, target: TargetId, count: u32) {
        let before = match count {
            0 => self.asks.remove(&target),
            _ => self.asks.insert(target, count),
        };
        self.asked = self.asked + count - before.unwrap_or(0);
    }

    /// What a target is asked for on a message that goes to it anyway: its part of what waits, or
    /// nothing where the idle tokens are enough.
    pub fn wanted_now(&mut self, target: TargetId) -> u32 {
        let waiting = u32::try_from(self.queue.tasks()).unwrap_or(u32::MAX);
        if self.pool.ready() >= waiting.saturating_add(RESERVE) {
            self.set_asked(target, 0);
        } else if waiting > 0 {
            self.set_asked(target, waiting.div_ceil(self.pool.len().max(1) as u32));
        }
        self.asked_of(target)
    }

    /// How many tokens a target is asked for.
    pub fn asked_of(&self, target: TargetId) -> u32 {
        self.asks.get(&target).copied().unwrap_or(0)
    }

    /// Targets to ask next, in turn, for `count` each: those not asked yet; where all are, those of
    /// the next few that were asked for half of it or less, since more waits by now.
    pub fn next_to_ask(&mut self, count: u32) -> Vec<TargetId> {
        let round = self.pool.round_after(self.asked_last);
        if self.asks.len() < self.pool.len() {
            return round.filter(|id| self.asked_of(*id) == 0).collect();
        }
        let looked_at: Vec<TargetId> = round.take(ASK_AGAIN_LOOK).collect();
        self.asked_last = looked_at.last().copied().unwrap_or(self.asked_last);
        looked_at.into_iter().filter(|id| self.asked_of(*id) * 2 <= count).collect()
    }

    /// Slots that this entry may count on, where so many entries share the targets.
    pub fn slots_to_count_on(&self, entries: u32) -> u32 {
        let held = self.pool.idle() + self.busy;
        held.max(self.slots / entries.max(1))
    }
}
