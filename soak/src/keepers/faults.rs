//! What goes wrong with keepers.

use std::time::Duration;

use rand::Rng;

use super::world::{Happening, KeeperWorld};

/// Longest time that a dead keeper stays away.
const LONGEST_AWAY: Duration = Duration::from_secs(6);
/// Longest stall, and longest cut.
const LONGEST_STALL: Duration = Duration::from_secs(8);

impl KeeperWorld {
    /// Makes one fault, or two at once, and plans the next.
    pub fn fault(&mut self) {
        if self.now >= self.calm_from {
            return;
        }
        let wait = self.within(Duration::from_secs(3));
        self.after(wait, Happening::Fault);
        let count = if self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..count {
            self.checks.summary.faults += 1;
            let keeper = self.any_keeper();
            match self.rng.random_range(0..5) {
                0 | 1 => self.kill(keeper),
                2 => self.stall(keeper),
                3 => self.cut(keeper),
                _ => self.kill_and_lose_disk(keeper),
            }
        }
    }

    fn kill(&mut self, number: usize) {
        if self.keepers[number].keeper.take().is_none() {
            return;
        }
        let away = self.within(LONGEST_AWAY);
        self.after(away, Happening::KeeperStarts(number));
    }

    fn stall(&mut self, number: usize) {
        let stall = self.within(LONGEST_STALL);
        self.keepers[number].stalled_until = self.now + stall;
    }

    fn cut(&mut self, number: usize) {
        self.keepers[number].cut_off = true;
        let time = self.within(LONGEST_STALL);
        self.after(time, Happening::Healed(number));
    }

    /// Loses a keeper with its disk. No more disks are lost before their repair than the cluster
    /// bears: a majority that has everything is always left.
    fn kill_and_lose_disk(&mut self, number: usize) {
        let holds_all = |keeper: &super::world::Disked| {
            let blank = |record: &consensus::Record| *record == consensus::Record::Blank(true);
            let full = |record: &consensus::Record| *record == consensus::Record::Blank(false);
            let last = keeper.disk.iter().rev().find(|record| blank(record) || full(record));
            last.is_some_and(full)
        };
        let whole = self.keepers.iter().enumerate();
        let left = whole.filter(|(other, keeper)| *other != number && holds_all(keeper)).count();
        if left < self.keepers.len() / 2 + 1 {
            return self.kill(number);
        }
        self.kill(number);
        self.lose_disk(number);
    }
}
