//! What goes wrong with keepers.

use std::time::Duration;

use keeper::Reply;
use model::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use wire::ChangeResult;

use super::world::{Happening, KeeperWorld};

/// Longest time that a dead keeper stays away.
const LONGEST_AWAY: Duration = Duration::from_secs(6);
/// Longest stall, and longest cut.
const LONGEST_STALL: Duration = Duration::from_secs(8);
/// Longest time for which a disk is full.
const LONGEST_FULL: Duration = Duration::from_secs(8);
/// How many of 100 acknowledgements are followed by a loss of all power.
const POWER_LOSSES: u32 = 4;
/// From an acknowledgement to the loss of power at most.
const POWER_LOSS_WITHIN: Duration = Duration::from_millis(3);
/// Longest time until a keeper is back after a loss of power.
const LONGEST_DARK: Duration = Duration::from_millis(1_500);
/// After all are back one leads within this: what users allow, less the time their own clients need.
const LEADER_WITHIN: Duration = Duration::from_secs(10);
/// How often it is looked whether one leads.
const LEADER_LOOK: Duration = Duration::from_millis(50);

impl KeeperWorld {
    /// Makes one fault, or two at once, and plans the next.
    pub fn fault(&mut self) {
        if self.now >= self.calm_from {
            return;
        }
        let wait = self.within(Duration::from_secs(3));
        self.after(wait, Happening::Fault);
        if self.now < self.faults_from {
            return;
        }
        let count = if self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..count {
            self.checks.summary.faults += 1;
            let keeper = self.any_keeper();
            match self.rng.random_range(0..6) {
                0 | 1 => self.kill(keeper),
                2 => self.stall(keeper),
                3 => self.cut(keeper),
                4 => self.fill(keeper),
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

    fn fill(&mut self, number: usize) {
        self.keepers[number].full = true;
        let time = self.within(LONGEST_FULL);
        self.after(time, Happening::DiskHasRoom(number));
    }

    /// Loses a keeper with its disk, where the cluster bears that.
    fn kill_and_lose_disk(&mut self, number: usize) {
        let bears = self.losses_left(&[number]) > 0;
        self.kill(number);
        if bears {
            self.lose_disk(number);
        }
    }

    /// How many more disks may be lost before others are repaired: a majority that has everything is
    /// always left beside those that are to be lost.
    pub(super) fn losses_left(&self, to_lose: &[usize]) -> usize {
        let others =
            self.keepers.iter().enumerate().filter(|(number, _)| !to_lose.contains(number));
        let empty = others.filter(|(_, keeper)| !keeper.holds_all()).count();
        let lost = empty + self.gone_voters(self.now);
        if self.all_vote() { self.arrangement.losses().saturating_sub(lost) } else { 0 }
    }

    /// Whether as many vote as are to: before, the cluster bears fewer losses.
    fn all_vote(&self) -> bool {
        if !self.arrangement.members_change {
            return true;
        }
        let living = self.keepers.iter().filter_map(|keeper| keeper.keeper.as_ref());
        let mut replicas = living.map(|keeper| keeper.replica());
        replicas.any(|replica| {
            replica.is_confirmed_leader(self.now)
                && replica.voters().len() >= self.arrangement.voters
        })
    }

    /// An operator is about to be told that its change is accepted: at times all power fails then.
    pub fn perhaps_lose_power(&mut self, reply: &Reply) {
        let accepted = matches!(reply, Reply::Change(ChangeResult::Accepted { .. }));
        let calm = self.now >= self.calm_from || self.now < self.faults_from;
        if !accepted || calm || !self.rng.random_ratio(POWER_LOSSES, 100) {
            return;
        }
        let wait = self.within(POWER_LOSS_WITHIN);
        self.after(wait, Happening::PowerLoss);
    }

    /// All keepers lose power, as many as the cluster bears their disks too; all come back in any order.
    pub fn lose_power(&mut self) {
        if self.now < self.faults_from {
            return;
        }
        let wiped = self.disks_to_lose();
        self.checks.summary.power_losses += 1;
        let mut last = self.now;
        for number in 0..self.keepers.len() {
            self.die_while_storing(number);
            self.keepers[number].stalled_until = self.now;
            self.keepers[number].cut_off = false;
            let dark = self.within(LONGEST_DARK);
            self.after(dark, Happening::KeeperStarts(number));
            last = last.max(self.now + dark);
        }
        wiped.into_iter().for_each(|number| self.lose_disk(number));
        let due = last + LEADER_WITHIN;
        self.faults_from = due;
        self.at(last, Happening::LeaderDue(due));
    }

    /// Any disks, or those of the leader and of others that have the newest entry.
    fn disks_to_lose(&mut self) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..self.keepers.len()).collect();
        numbers.shuffle(&mut self.rng);
        let leads = |number: usize| {
            let keeper = self.keepers[number].keeper.as_ref();
            keeper.is_some_and(|keeper| keeper.replica().is_confirmed_leader(self.now))
        };
        let newest_first = |number: usize| u64::MAX - self.keepers[number].last_entry();
        match self.rng.random_range(0..3) {
            0 => {}
            1 => numbers.sort_by_key(|number| newest_first(*number)),
            _ => numbers.sort_by_key(|number| (!leads(*number), newest_first(*number))),
        }
        numbers.retain(|number| self.keepers[*number].holds_all());
        let count = self.losses_left(&[]);
        numbers.truncate(count);
        numbers
    }

    /// Looks whether one leads after a loss of power; other faults wait for that.
    pub fn leader_due(&mut self, due: Time) {
        if self.someone_leads() {
            self.faults_from = self.now;
        } else if self.now >= due {
            self.checks.violation(self.now, "nobody leads long after a loss of power");
        } else {
            self.after(LEADER_LOOK, Happening::LeaderDue(due));
        }
    }
}
