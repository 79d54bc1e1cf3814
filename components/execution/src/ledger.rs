//! The ledger of slot tokens, which allow entries to start tasks without asking for a slot first.
//!
//! An idle slot is either free or lent to exactly one session as a token. Starting a task spends a
//! token. When the task ends, the session gets the token back or the slot becomes free.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::waiters::Waiters;

/// Identifies a connection of an entry; allocated by the agent's daemon and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session(pub u64);

/// The tokens and tasks of a session.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Tokens lent and not yet spent.
    idle: u32,
    /// Running tasks, each of which uses a slot.
    busy: u32,
    /// Tokens lent since the last request of the session; as many idle ones are not recalled, since
    /// the session will probably spend them.
    newly_lent: u32,
    /// Tokens requested and not yet lent.
    wanted: u32,
    /// Tokens recalled and not yet returned.
    recalled: u32,
}

impl Account {
    fn total(self) -> u32 {
        self.idle + self.busy
    }

    /// Idle tokens that can be recalled.
    fn spare(self) -> u32 {
        self.idle.saturating_sub(self.newly_lent)
    }

    fn need(self) -> Need {
        Need { wanted: self.wanted, total: self.total() }
    }
}

/// The demand of a session relative to the slots it has; the greatest need is served first.
#[derive(Clone, Copy, Debug)]
struct Need {
    wanted: u32,
    total: u32,
}

impl PartialEq for Need {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Need {}

impl PartialOrd for Need {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Need {
    /// Compares `wanted / (total + 1)` by cross-multiplication.
    fn cmp(&self, other: &Self) -> Ordering {
        let left = u64::from(self.wanted) * u64::from(other.total + 1);
        let right = u64::from(other.wanted) * u64::from(self.total + 1);
        left.cmp(&right)
    }
}

/// A change of a session's tokens, to be sent to its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenChange {
    /// The session gets this many more tokens.
    Grant(Session, u32),
    /// The session must return this many idle tokens.
    Recall(Session, u32),
}

/// The accounts of all sessions that share the slots of one target.
#[derive(Debug)]
pub struct Ledger {
    slots: u32,
    /// Running tasks of closed sessions; their slots become free when the tasks end.
    orphaned: u32,
    accounts: BTreeMap<Session, Account>,
    waiters: Waiters,
    /// Whether the target is leaving, so that nothing is lent any more.
    leaving: bool,
    /// Whether the target is unreachable, so that nothing is lent until it resumes.
    paused: bool,
}

impl Ledger {
    /// Creates a ledger of `slots` free slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            orphaned: 0,
            accounts: BTreeMap::new(),
            waiters: Waiters::default(),
            leaving: false,
            paused: false,
        }
    }

    /// The number of slots that neither run a task nor are lent.
    pub fn free(&self) -> u32 {
        let used: u32 = self.accounts.values().map(|account| account.total()).sum();
        self.slots - used - self.orphaned
    }

    /// The number of slots that run a task.
    pub fn busy(&self) -> u32 {
        self.orphaned + self.accounts.values().map(|account| account.busy).sum::<u32>()
    }

    /// The number of tokens lent to a session and not yet spent.
    pub fn idle(&self, session: Session) -> u32 {
        self.accounts.get(&session).map_or(0, |account| account.idle)
    }

    /// Sets the number of tokens that a session requests; replaces its earlier request. All its
    /// idle tokens can be recalled from then on.
    pub fn set_wanted(&mut self, session: Session, wanted: u32) {
        let account = self.accounts.entry(session).or_default();
        account.wanted = wanted;
        account.newly_lent = 0;
        if wanted > 0 && !self.leaving {
            self.waiters.add(session);
        } else {
            self.waiters.remove(session);
        }
    }

    /// Takes idle tokens back from a session, at most as many as it has, and ends its outstanding
    /// recall.
    pub fn take_back(&mut self, session: Session, count: u32) {
        let Some(account) = self.accounts.get_mut(&session) else { return };
        account.idle -= count.min(account.idle);
        account.recalled = 0;
    }

    /// Takes all idle tokens of a session back and cancels its request, since its lease ended;
    /// returns the number of tokens.
    pub fn end_lease(&mut self, session: Session) -> u32 {
        let idle = self.idle(session);
        self.take_back(session, idle);
        self.set_wanted(session, 0);
        idle
    }

    /// Takes a slot for a start: a token of the session or else a free slot; false if there is
    /// neither or the target takes no work.
    pub fn spend(&mut self, session: Session) -> bool {
        if self.leaving || self.paused {
            return false;
        }
        let free = self.free();
        let account = self.accounts.entry(session).or_default();
        if account.idle > 0 {
            account.idle -= 1;
        } else if free == 0 {
            return false;
        }
        account.busy += 1;
        true
    }

    /// Ends a task that a session started; returns whether the session keeps the token.
    ///
    /// The session keeps it unless another waiting session has a greater need, so that the slots
    /// are shared in proportion to the tasks that wait at each entry.
    pub fn finish(&mut self, session: Session) -> bool {
        let Some(account) = self.accounts.get_mut(&session) else {
            self.orphaned = self.orphaned.saturating_sub(1);
            return false;
        };
        debug_assert!(account.busy > 0, "a task that was not running finished");
        account.busy = account.busy.saturating_sub(1);
        let need = account.need();
        if self.leaving || self.paused || self.another_needs_more(session, need) {
            return false;
        }
        if let Some(account) = self.accounts.get_mut(&session) {
            account.idle += 1;
        }
        true
    }

    fn another_needs_more(&self, session: Session, own: Need) -> bool {
        let others = self.waiters.iter().filter(|waiter| *waiter != session);
        let accounts = others.filter_map(|waiter| self.accounts.get(&waiter));
        accounts.map(|account| account.need()).any(|need| need > own)
    }

    /// Removes a session whose connection closed: its tokens become free, its tasks keep running.
    pub fn close(&mut self, session: Session) {
        if let Some(account) = self.accounts.remove(&session) {
            self.orphaned += account.busy;
        }
        self.waiters.remove(session);
    }

    /// Stops lending for good, since the target is leaving, and voids all idle tokens.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.end_all_leases();
    }

    fn end_all_leases(&mut self) {
        let sessions: Vec<Session> = self.accounts.keys().copied().collect();
        for session in sessions {
            self.end_lease(session);
        }
    }

    /// Stops lending until [`Ledger::resume`], since the target is unreachable, and voids all idle
    /// tokens.
    pub fn pause(&mut self) {
        self.paused = true;
        self.end_all_leases();
    }

    /// Lends tokens again after a pause.
    pub fn resume(&mut self) {
        self.paused = false;
    }

    /// Whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Grants free slots to the waiting sessions and, if some still wait, recalls idle tokens from
    /// another session. Appends the grants and recalls to `changes`.
    pub fn rebalance(&mut self, changes: &mut Vec<TokenChange>) {
        if self.paused {
            return;
        }
        self.grant_free(changes);
        self.recall_idle(changes);
    }

    /// Lends each free slot to the neediest session.
    fn grant_free(&mut self, changes: &mut Vec<TokenChange>) {
        for _ in 0..self.free() {
            let Some(session) = self.neediest() else { return };
            let Some(account) = self.accounts.get_mut(&session) else { return };
            account.idle += 1;
            account.newly_lent += 1;
            account.wanted -= 1;
            if account.wanted == 0 {
                self.waiters.remove(session);
            }
            add_grant(changes, session);
        }
    }

    /// The waiting session with the greatest need; of equals, the one that has waited longest.
    fn neediest(&self) -> Option<Session> {
        let need = |session: &Session| self.accounts.get(session).map(|account| account.need());
        let waiting = self.waiters.iter().filter(|session| need(session).is_some());
        // `max_by_key` returns the last of equal elements.
        let mut waiting: Vec<Session> = waiting.collect();
        waiting.reverse();
        waiting.into_iter().max_by_key(need)
    }

    /// Recalls tokens from the session with the most spare ones, to balance its idle tokens with
    /// those of the neediest session. Only one recall is outstanding at a time.
    fn recall_idle(&mut self, changes: &mut Vec<TokenChange>) {
        let Some(neediest) = self.neediest() else { return };
        if self.accounts.values().any(|account| account.recalled > 0) {
            return;
        }
        let neediest_account = self.accounts.get(&neediest).copied().unwrap_or_default();
        // A session that waits for tokens will spend the ones that it has.
        let can_give_up = |(session, account): &(&Session, &mut Account)| {
            **session != neediest && account.wanted == 0
        };
        let others = self.accounts.iter_mut().filter(can_give_up);
        let Some((session, donor)) = others.max_by_key(|(_, account)| account.spare()) else {
            return;
        };
        if donor.spare() <= neediest_account.idle {
            return;
        }
        let count =
            neediest_account.wanted.min((donor.spare() - neediest_account.idle).div_ceil(2));
        donor.recalled = count;
        changes.push(TokenChange::Recall(*session, count));
    }
}

/// Adds one token to the session's grant in `changes`.
fn add_grant(changes: &mut Vec<TokenChange>, session: Session) {
    for change in changes.iter_mut() {
        if let TokenChange::Grant(granted, count) = change
            && *granted == session
        {
            *count += 1;
            return;
        }
    }
    changes.push(TokenChange::Grant(session, 1));
}
