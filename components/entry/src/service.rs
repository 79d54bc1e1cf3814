//! The queue, the pool of targets and the token demand of one service.

use std::collections::BTreeMap;

use model::SubmissionId;
use placement::{FairQueue, TargetId, TargetPool};

/// Targets considered by one call of [`Service::next_request_targets`] when every target already
/// has a request.
const REPEAT_REQUEST_SCAN: usize = 4;
/// Idle tokens kept in reserve, so that a request after a pause finds one. More had no effect
/// (`docs/MEASURES.md`).
const RESERVE_TOKENS: u32 = 1;

/// The queue and the targets of one service at one entry.
#[derive(Debug)]
pub(crate) struct Service {
    pub pool: TargetPool,
    pub queue: FairQueue<SubmissionId>,
    /// Tasks sent and not yet answered.
    pub busy: u32,
    /// Slots of all targets in the pool.
    pub slots: u32,
    /// The target of the last token request; the next request starts after it.
    pub last_requested: TargetId,
    /// Tokens requested and not yet granted, by target.
    requested: BTreeMap<TargetId, u32>,
    /// Sum of all tokens requested and not yet granted.
    requested_total: u32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            pool: TargetPool::default(),
            queue: FairQueue::default(),
            busy: 0,
            slots: 0,
            last_requested: TargetId(0),
            requested: BTreeMap::new(),
            requested_total: 0,
        }
    }
}

impl Service {
    /// The number of tokens that are missing beyond the idle and the requested ones.
    pub fn tokens_needed(&self) -> u32 {
        let waiting = u32::try_from(self.queue.waiting_tasks()).unwrap_or(u32::MAX);
        let available = self.pool.unpenalized_tokens() + self.requested_total;
        (waiting.saturating_add(RESERVE_TOKENS)).saturating_sub(available)
    }

    /// Sets the number of tokens that are requested from a target.
    pub fn set_requested(&mut self, target: TargetId, count: u32) {
        let before = match count {
            0 => self.requested.remove(&target),
            _ => self.requested.insert(target, count),
        };
        self.requested_total = self.requested_total + count - before.unwrap_or(0);
    }

    /// Updates and returns the token request piggybacked on a message to a target: its share of the
    /// waiting tasks, or zero when the idle tokens suffice.
    pub fn update_wanted(&mut self, target: TargetId) -> u32 {
        let waiting = u32::try_from(self.queue.waiting_tasks()).unwrap_or(u32::MAX);
        if self.pool.unpenalized_tokens() >= waiting.saturating_add(RESERVE_TOKENS) {
            self.set_requested(target, 0);
        } else if waiting > 0 {
            self.set_requested(target, waiting.div_ceil(self.pool.len().max(1) as u32));
        }
        self.requested_from(target)
    }

    /// The number of tokens that are requested from a target.
    pub fn requested_from(&self, target: TargetId) -> u32 {
        self.requested.get(&target).copied().unwrap_or(0)
    }

    /// The targets of the next requests for `count` tokens each, in round-robin order.
    ///
    /// These are the targets without a request. When all have one, the next few are considered, and
    /// those are returned whose request is at most half of `count`, since demand has grown.
    pub fn next_request_targets(&mut self, count: u32) -> Vec<TargetId> {
        let in_order = self.pool.round_robin_after(self.last_requested);
        if self.requested.len() < self.pool.len() {
            return in_order.filter(|id| self.requested_from(*id) == 0).collect();
        }
        let candidates: Vec<TargetId> = in_order.take(REPEAT_REQUEST_SCAN).collect();
        self.last_requested = candidates.last().copied().unwrap_or(self.last_requested);
        candidates.into_iter().filter(|id| self.requested_from(*id) * 2 <= count).collect()
    }

    /// The slots that this entry can expect to use when `entries` entries share the targets.
    pub fn usable_slots(&self, entries: u32) -> u32 {
        let held = self.pool.idle_tokens() + self.busy;
        held.max(self.slots / entries.max(1))
    }
}
