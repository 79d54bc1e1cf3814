//! Slot tokens: who may start work on this target without asking.
//!
//! Each idle slot is free, or lent to exactly one entry's session as a token. Tokens travel on
//! messages that flow anyway: a start spends one, its answer gives it back.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::waiters::Waiters;

/// One connection of one entry, numbered by the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session(pub u64);

/// What a session has.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Tokens lent and not spent.
    idle: u32,
    /// Tasks running.
    busy: u32,
    /// Of these, tokens lent since the session was last heard of: it asked for them, and is about
    /// to spend them.
    fresh: u32,
    /// Tokens asked for and not yet lent.
    wanted: u32,
    /// Tokens asked back and not yet returned.
    recalled: u32,
}

impl Account {
    fn total(self) -> u32 {
        self.idle + self.busy
    }

    /// Tokens that can be asked back.
    fn spare(self) -> u32 {
        self.idle.saturating_sub(self.fresh)
    }

    fn need(self) -> Need {
        Need { wanted: self.wanted, total: self.total() }
    }
}

/// How much a session waits for beside what it has; the greater, the more it needs a token.
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
    /// Compares wanted / (total + 1), without fractions.
    fn cmp(&self, other: &Self) -> Ordering {
        let left = u64::from(self.wanted) * u64::from(other.total + 1);
        let right = u64::from(other.wanted) * u64::from(self.total + 1);
        left.cmp(&right)
    }
}

/// What the ledger wants told to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Lend it this many more tokens.
    Grant(Session, u32),
    /// Ask it for this many idle tokens back.
    Recall(Session, u32),
}

/// The tokens of one target's slots.
#[derive(Debug)]
pub struct Ledger {
    slots: u32,
    /// Tasks of sessions that have gone since; their slots come back when they end.
    orphans: u32,
    accounts: BTreeMap<Session, Account>,
    waiters: Waiters,
    leaving: bool,
    paused: bool,
}

impl Ledger {
    /// A ledger of so many slots, all free.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            orphans: 0,
            accounts: BTreeMap::new(),
            waiters: Waiters::default(),
            leaving: false,
            paused: false,
        }
    }

    /// Slots neither running nor lent.
    pub fn free(&self) -> u32 {
        let used: u32 = self.accounts.values().map(|account| account.total()).sum();
        self.slots - used - self.orphans
    }

    /// Slots running a task.
    pub fn busy(&self) -> u32 {
        self.orphans + self.accounts.values().map(|account| account.busy).sum::<u32>()
    }

    /// Tokens lent to a session and not spent.
    pub fn idle(&self, session: Session) -> u32 {
        self.accounts.get(&session).map_or(0, |account| account.idle)
    }

    /// Sets what a session asks for, in all; replaces what it asked before.
    pub fn want(&mut self, session: Session, wanted: u32) {
        let account = self.accounts.entry(session).or_default();
        account.wanted = wanted;
        account.fresh = 0;
        if wanted > 0 && !self.leaving {
            self.waiters.add(session);
        } else {
            self.waiters.remove(session);
        }
    }

    /// Takes idle tokens back from a session; more than it has is taken as all.
    pub fn give_back(&mut self, session: Session, count: u32) {
        let Some(account) = self.accounts.get_mut(&session) else { return };
        account.idle -= count.min(account.idle);
        account.recalled = 0;
    }

    /// Takes every idle token of a session back: its lease ended.
    pub fn end_lease(&mut self, session: Session) -> u32 {
        let idle = self.idle(session);
        self.give_back(session, idle);
        self.want(session, 0);
        idle
    }

    /// Spends a token for a start; a session without one gets a free slot where there is one.
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
    /// It goes to the session that waits for the most beside what it has, so that the slots are
    /// shared by what waits at each entry; the one that has it keeps it among equals.
    pub fn finish(&mut self, session: Session) -> bool {
        let Some(account) = self.accounts.get_mut(&session) else {
            self.orphans = self.orphans.saturating_sub(1);
            return false;
        };
        debug_assert!(account.busy > 0, "a finished task was running");
        account.busy = account.busy.saturating_sub(1);
        let own = account.need();
        if self.leaving || self.paused || self.another_needs_more(session, own) {
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

    /// Forgets a session whose connection is gone: its tokens are free, its tasks run on.
    pub fn close(&mut self, session: Session) {
        if let Some(account) = self.accounts.remove(&session) {
            self.orphans += account.busy;
        }
        self.waiters.remove(session);
    }

    /// Lends no more: the target is leaving. Idle tokens are void at once.
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

    /// Lends nothing for a while: the target can't be reached. Idle tokens are void at once.
    pub fn pause(&mut self) {
        self.paused = true;
        self.end_all_leases();
    }

    /// Lends again.
    pub fn resume(&mut self) {
        self.paused = false;
    }

    /// Whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Shares free tokens among those who wait, and asks idle ones back where none is free.
    pub fn turns(&mut self, out: &mut Vec<Turn>) {
        if self.paused {
            return;
        }
        self.grant_free(out);
        self.recall_idle(out);
    }

    fn grant_free(&mut self, out: &mut Vec<Turn>) {
        for _ in 0..self.free() {
            let Some(session) = self.neediest() else { return };
            let Some(account) = self.accounts.get_mut(&session) else { return };
            account.idle += 1;
            account.fresh += 1;
            account.wanted -= 1;
            if account.wanted == 0 {
                self.waiters.remove(session);
            }
            add_grant(out, session);
        }
    }

    /// The waiting session that needs a token most, the longest waiting of several.
    fn neediest(&self) -> Option<Session> {
        let need = |session: &Session| self.accounts.get(session).map(|account| account.need());
        let waiting = self.waiters.iter().filter(|session| need(session).is_some());
        // Of equals the last is taken, so the longest waiting comes last.
        let mut waiting: Vec<Session> = waiting.collect();
        waiting.reverse();
        waiting.into_iter().max_by_key(need)
    }

    /// Asks the session with the most idle tokens for half of what it has more than the neediest.
    fn recall_idle(&mut self, out: &mut Vec<Turn>) {
        let Some(neediest) = self.neediest() else { return };
        if self.accounts.values().any(|account| account.recalled > 0) {
            return;
        }
        let needy = self.accounts.get(&neediest).copied().unwrap_or_default();
        // One that waits itself will use what it has.
        let lends = |(session, account): &(&Session, &mut Account)| {
            **session != neediest && account.wanted == 0
        };
        let others = self.accounts.iter_mut().filter(lends);
        let Some((session, richest)) = others.max_by_key(|(_, account)| account.spare()) else {
            return;
        };
        if richest.spare() <= needy.idle {
            return;
        }
        let count = needy.wanted.min((richest.spare() - needy.idle).div_ceil(2));
        richest.recalled = count;
        out.push(Turn::Recall(*session, count));
    }
}

fn add_grant(out: &mut Vec<Turn>, session: Session) {
    for turn in out.iter_mut() {
        if let Turn::Grant(granted, count) = turn
            && *granted == session
        {
            *count += 1;
            return;
        }
    }
    out.push(Turn::Grant(session, 1));
}
