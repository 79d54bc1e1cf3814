//! Random faults of keepers and their disks.

use std::time::Duration;

use keeper::Reply;
use model::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use wire::ChangeResult;

use super::simulation::{KeeperSimulation, SimEvent};

/// Longest downtime of a killed keeper.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);
/// Longest stall or isolation of a keeper.
const MAX_STALL: Duration = Duration::from_secs(8);
/// Longest time for which a disk is full.
const MAX_FULL_TIME: Duration = Duration::from_secs(8);
/// Percentage of acknowledged changes that are followed by a power loss.
const POWER_LOSS_PERCENT: u32 = 4;
/// Longest time from the acknowledgement to the power loss.
const MAX_POWER_LOSS_DELAY: Duration = Duration::from_millis(3);
/// Longest time until a keeper restarts after a power loss.
const MAX_POWER_OUTAGE: Duration = Duration::from_millis(1_500);
/// Time within which a leader must be elected after all keepers have restarted.
const LEADER_DEADLINE: Duration = Duration::from_secs(10);
/// Interval of the checks for a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl KeeperSimulation {
    /// Injects one or two faults and schedules the next ones.
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
                0 | 1 => self.kill_keeper(keeper),
                2 => self.stall_keeper(keeper),
                3 => self.isolate_keeper(keeper),
                4 => self.fill_disk(keeper),
                _ => self.kill_and_lose_disk(keeper),
            }
        }
    }

    fn kill_keeper(&mut self, number: usize) {
        if self.keepers[number].keeper.take().is_none() {
            return;
        }
        let downtime = self.random_duration(MAX_DOWNTIME);
        self.schedule_after(downtime, SimEvent::StartKeeper(number));
    }

    fn stall_keeper(&mut self, number: usize) {
        let stall = self.random_duration(MAX_STALL);
        self.keepers[number].stalled_until = self.now + stall;
    }

    fn isolate_keeper(&mut self, number: usize) {
        self.keepers[number].isolated = true;
        let time = self.random_duration(MAX_STALL);
        self.schedule_after(time, SimEvent::Reconnect(number));
    }

    fn fill_disk(&mut self, number: usize) {
        self.keepers[number].full = true;
        let time = self.random_duration(MAX_FULL_TIME);
        self.schedule_after(time, SimEvent::FreeDisk(number));
    }

    /// Kills a keeper and loses its disk, if the cluster tolerates the loss.
    fn kill_and_lose_disk(&mut self, number: usize) {
        let is_tolerable = self.tolerable_losses(&[number]) > 0;
        self.kill_keeper(number);
        if is_tolerable {
            self.lose_disk(number);
        }
    }

    /// Returns how many disks may be lost at once, those of `to_lose` included, so that a majority
    /// with all acknowledged records remains.
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

    /// Whether the cluster has its full number of voters; with fewer, it tolerates fewer losses.
    fn has_all_voters(&self) -> bool {
        if !self.topology.membership_changes {
            return true;
        }
        let running = self.keepers.iter().filter_map(|keeper| keeper.keeper.as_ref());
        let mut replicas = running.map(|keeper| keeper.replica());
        replicas.any(|replica| {
            replica.is_confirmed_leader(self.now) && replica.voters().len() >= self.topology.voters
        })
    }

    /// Schedules a power loss after some of the replies that accept a change.
    pub fn maybe_lose_power(&mut self, reply: &Reply) {
        let accepted = matches!(reply, Reply::Change(ChangeResult::Accepted { .. }));
        let calm = self.now >= self.calm_start || self.now < self.faults_start;
        if !accepted || calm || !self.rng.random_ratio(POWER_LOSS_PERCENT, 100) {
            return;
        }
        let wait = self.random_duration(MAX_POWER_LOSS_DELAY);
        self.schedule_after(wait, SimEvent::PowerLoss);
    }

    /// Stops all keepers, loses as many disks as the cluster tolerates, and restarts the keepers in
    /// random order.
    pub fn lose_power(&mut self) {
        if self.now < self.faults_start {
            return;
        }
        let wiped = self.disks_to_lose();
        self.checks.summary.power_losses += 1;
        let mut last_start = self.now;
        for number in 0..self.keepers.len() {
            self.crash_while_storing(number);
            self.keepers[number].stalled_until = self.now;
            self.keepers[number].isolated = false;
            let outage = self.random_duration(MAX_POWER_OUTAGE);
            self.schedule_after(outage, SimEvent::StartKeeper(number));
            last_start = last_start.max(self.now + outage);
        }
        wiped.into_iter().for_each(|number| self.lose_disk(number));
        let due = last_start + LEADER_DEADLINE;
        self.faults_start = due;
        self.schedule_at(last_start, SimEvent::CheckLeader(due));
    }

    /// Chooses the disks to lose: random ones, those with the newest entry, or the leader's first.
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

    /// Checks that a leader is elected after a power loss; other faults are paused until then.
    pub fn check_leader(&mut self, due: Time) {
        if self.has_leader() {
            self.faults_start = self.now;
        } else if self.now >= due {
            self.checks
                .violation(self.now, "no confirmed leader within the deadline after a power loss");
        } else {
            self.schedule_after(LEADER_CHECK_INTERVAL, SimEvent::CheckLeader(due));
        }
    }
}
