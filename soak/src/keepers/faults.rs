//! What goes wrong with keepers.

use std::time::Duration;

use keeper::Reply;
use model::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use wire::ChangeResult;

use super::simulation::{KeeperSimulation, SimEvent};

/// Longest time that a dead keeper stays away.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);
/// Longest stall, and longest cut.
const MAX_STALL: Duration = Duration::from_secs(8);
/// Longest time for which a disk is full.
const MAX_FULL_TIME: Duration = Duration::from_secs(8);
/// How many of 100 acknowledgements are followed by a loss of all power.
const POWER_LOSS_PERCENT: u32 = 4;
/// From an acknowledgement to the loss of power at most.
const MAX_POWER_LOSS_DELAY: Duration = Duration::from_millis(3);
/// Longest time until a keeper is back after a loss of power.
const MAX_POWER_OUTAGE: Duration = Duration::from_millis(1_500);
/// After all are back one leads within this: what users allow, less the time their own clients need.
const LEADER_DEADLINE: Duration = Duration::from_secs(10);
/// How often it is looked whether one leads.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl KeeperSimulation {
    /// Makes one fault, or two at once, and plans the next.
    pub fn inject_faults(&mut self) {
        if self.now >= self.calm_start {
            return;
        }
        let wait = self.random_duration(Duration::from_secs(3));
        self.schedule_after(wait, SimEvent::Fault);
        if self.now < self.faults_start {
            return;
        }
        let count = if self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..count {
            self.checks.summary.faults += 1;
            let keeper = self.random_keeper();
            match self.rng.random_range(0..6) {
                0 | 1 => self.kill(keeper),
                2 => self.stall(keeper),
                3 => self.isolate(keeper),
                4 => self.fill_disk(keeper),
                _ => self.kill_and_lose_disk(keeper),
            }
        }
    }

    fn kill(&mut self, number: usize) {
        if self.keepers[number].keeper.take().is_none() {
            return;
        }
        let downtime = self.random_duration(MAX_DOWNTIME);
        self.schedule_after(downtime, SimEvent::StartKeeper(number));
    }

    fn stall(&mut self, number: usize) {
        let stall = self.random_duration(MAX_STALL);
        self.keepers[number].stalled_until = self.now + stall;
    }

    fn isolate(&mut self, number: usize) {
        self.keepers[number].cut_off = true;
        let time = self.random_duration(MAX_STALL);
        self.schedule_after(time, SimEvent::Reconnect(number));
    }

    fn fill_disk(&mut self, number: usize) {
        self.keepers[number].full = true;
        let time = self.random_duration(MAX_FULL_TIME);
        self.schedule_after(time, SimEvent::FreeDisk(number));
    }

    /// Loses a keeper with its disk, where the cluster bears that.
    fn kill_and_lose_disk(&mut self, number: usize) {
        let is_tolerable = self.tolerable_losses(&[number]) > 0;
        self.kill(number);
        if is_tolerable {
            self.lose_disk(number);
        }
    }

    /// How many more disks may be lost before others are repaired: a majority that has everything is
    /// always left beside those that are to be lost.
    pub(super) fn tolerable_losses(&self, to_lose: &[usize]) -> usize {
        let others =
            self.keepers.iter().enumerate().filter(|(number, _)| !to_lose.contains(number));
        let empty = others.filter(|(_, keeper)| !keeper.holds_acknowledged()).count();
        let lost = empty + self.removed_voters(self.now);
        if self.has_all_voters() {
            self.topology.tolerated_losses().saturating_sub(lost)
        } else {
            0
        }
    }

    /// Whether as many vote as are to: before, the cluster bears fewer losses.
    fn has_all_voters(&self) -> bool {
        if !self.topology.membership_changes {
            return true;
        }
        let living = self.keepers.iter().filter_map(|keeper| keeper.keeper.as_ref());
        let mut replicas = living.map(|keeper| keeper.replica());
        replicas.any(|replica| {
            replica.is_confirmed_leader(self.now) && replica.voters().len() >= self.topology.voters
        })
    }

    /// An operator is about to be told that its change is accepted: at times all power fails then.
    pub fn maybe_lose_power(&mut self, reply: &Reply) {
        let accepted = matches!(reply, Reply::Change(ChangeResult::Accepted { .. }));
        let calm = self.now >= self.calm_start || self.now < self.faults_start;
        if !accepted || calm || !self.rng.random_ratio(POWER_LOSS_PERCENT, 100) {
            return;
        }
        let wait = self.random_duration(MAX_POWER_LOSS_DELAY);
        self.schedule_after(wait, SimEvent::PowerLoss);
    }

    /// All keepers lose power, as many as the cluster bears their disks too; all come back in any order.
    pub fn lose_power(&mut self) {
        if self.now < self.faults_start {
            return;
        }
        let wiped = self.disks_to_lose();
        self.checks.summary.power_losses += 1;
        let mut last = self.now;
        for number in 0..self.keepers.len() {
            self.crash_while_storing(number);
            self.keepers[number].stalled_until = self.now;
            self.keepers[number].cut_off = false;
            let outage = self.random_duration(MAX_POWER_OUTAGE);
            self.schedule_after(outage, SimEvent::StartKeeper(number));
            last = last.max(self.now + outage);
        }
        wiped.into_iter().for_each(|number| self.lose_disk(number));
        let due = last + LEADER_DEADLINE;
        self.faults_start = due;
        self.schedule_at(last, SimEvent::CheckLeader(due));
    }

    /// Any disks, or those of the leader and of others that have the newest entry.
    fn disks_to_lose(&mut self) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..self.keepers.len()).collect();
        numbers.shuffle(&mut self.rng);
        let leads = |number: usize| {
            let keeper = self.keepers[number].keeper.as_ref();
            keeper.is_some_and(|keeper| keeper.replica().is_confirmed_leader(self.now))
        };
        let newest_first = |number: usize| u64::MAX - self.keepers[number].last_entry_index();
        match self.rng.random_range(0..3) {
            0 => {}
            1 => numbers.sort_by_key(|number| newest_first(*number)),
            _ => numbers.sort_by_key(|number| (!leads(*number), newest_first(*number))),
        }
        numbers.retain(|number| self.keepers[*number].holds_acknowledged());
        let count = self.tolerable_losses(&[]);
        numbers.truncate(count);
        numbers
    }

    /// Looks whether one leads after a loss of power; other faults wait for that.
    pub fn check_leader(&mut self, due: Time) {
        if self.has_leader() {
            self.faults_start = self.now;
        } else if self.now >= due {
            self.checks.violation(self.now, "nobody leads long after a loss of power");
        } else {
            self.schedule_after(LEADER_CHECK_INTERVAL, SimEvent::CheckLeader(due));
        }
    }
}
