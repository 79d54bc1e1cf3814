//! Moves of keepers to other hosts: a new keeper with an empty disk and a new name replaces the old
//! one.
//!
//! Some replaced keepers return with their old disk. Some moves instead lose the disk of a keeper
//! twice, the second time right after a restart.

use std::time::Duration;

use consensus::Replica;
use model::{NodeName, Time};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::disks::KeeperNode;
use super::simulation::{KeeperSimulation, SimEvent};

/// Separates this random stream from the others of the seed, so that runs without moves stay
/// unchanged.
const RNG_STREAM: u64 = 0x0d0e_5a11_f0e5;
/// Longest time between two moves.
const MAX_PAUSE: Duration = Duration::from_secs(6);
/// Longest time until the replacement of a keeper starts.
const MAX_DOWNTIME: Duration = Duration::from_secs(4);
/// Percentage of replaced keepers that return, and the shortest and longest time until then.
const REPAIRED_PERCENT: u32 = 40;
const REPAIR_TIME: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(12));
/// Percentage of moves that lose a disk twice instead, and the longest time between the two losses.
const WIPED_TWICE_PERCENT: u32 = 25;
const MAX_SECOND_WIPE_DELAY: Duration = Duration::from_millis(800);

/// The random stream of the moves of a run.
#[derive(Debug)]
pub(crate) struct KeeperMoves {
    rng: ChaCha8Rng,
}

impl KeeperMoves {
    fn random_duration(&mut self, longest: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=longest.as_micros() as u64))
    }
}

impl KeeperSimulation {
    /// Schedules the first move, in runs whose members change.
    pub(super) fn set_up_moves(&mut self, seed: u64) {
        if !self.topology.membership_changes {
            return;
        }
        let mut moves = KeeperMoves { rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM) };
        let first = moves.random_duration(MAX_PAUSE);
        self.moves = Some(moves);
        self.schedule_after(first, SimEvent::MoveKeeper);
    }

    /// Replaces a keeper, or loses its disk twice, if the cluster tolerates it; schedules the next
    /// move.
    pub(super) fn move_random_keeper(&mut self) {
        if self.now >= self.calm_start {
            return;
        }
        let Some(moves) = &mut self.moves else { return };
        let next = moves.random_duration(MAX_PAUSE);
        let wipes_twice = moves.rng.random_ratio(WIPED_TWICE_PERCENT, 100);
        let present: Vec<usize> =
            (0..self.keepers.len()).filter(|number| !self.keepers[*number].removed).collect();
        let number = present[moves.rng.random_range(0..present.len())];
        self.schedule_after(next, SimEvent::MoveKeeper);
        if self.now < self.faults_start || self.tolerable_losses(&[number]) == 0 {
            return;
        }
        match wipes_twice {
            true => self.wipe_twice(number),
            false => self.replace_keeper(number),
        }
    }

    fn replace_keeper(&mut self, number: usize) {
        let Some(moves) = &mut self.moves else { return };
        let downtime = moves.random_duration(MAX_DOWNTIME);
        let is_repaired = moves.rng.random_ratio(REPAIRED_PERCENT, 100);
        let repair = REPAIR_TIME.0 + moves.random_duration(REPAIR_TIME.1 - REPAIR_TIME.0);
        self.keepers[number].keeper = None;
        self.keepers[number].removed = true;
        if is_repaired {
            self.schedule_after(repair, SimEvent::ReturnKeeper(number));
        }
        let name = NodeName::new(&format!("k{}", self.keepers.len()));
        self.keepers.push(KeeperNode::new(name, self.topology.empty_disk(), self.now));
        self.schedule_after(downtime, SimEvent::StartKeeper(self.keepers.len() - 1));
        self.checks.summary.moves += 1;
        self.update_contacts();
    }

    /// Restarts a replaced keeper with its old disk.
    pub(super) fn return_keeper(&mut self, number: usize) {
        self.keepers[number].removed = false;
        self.checks.summary.returned_keepers += 1;
        self.start_keeper(number);
    }

    fn wipe_twice(&mut self, number: usize) {
        let Some(moves) = &mut self.moves else { return };
        let delay = moves.random_duration(MAX_SECOND_WIPE_DELAY);
        self.wipe_disk(number);
        self.start_keeper(number);
        self.schedule_after(delay, SimEvent::WipeAgain(number));
    }

    /// Loses a disk for the second time, however much of it was restored, if the cluster tolerates
    /// it.
    pub(super) fn wipe_again(&mut self, number: usize) {
        if self.keepers[number].removed || self.tolerable_losses(&[number]) == 0 {
            return;
        }
        self.wipe_disk(number);
        self.checks.summary.disks_lost_twice += 1;
        self.start_keeper(number);
    }

    fn wipe_disk(&mut self, number: usize) {
        self.keepers[number].keeper = None;
        self.lose_disk(number);
    }

    /// Sets the contacts of all keepers to a random selection of the present ones: those that were
    /// not replaced, or have returned.
    fn update_contacts(&mut self) {
        let names = self.present_names();
        let Some(moves) = &mut self.moves else { return };
        let mut contacts = names;
        contacts.shuffle(&mut moves.rng);
        contacts.truncate(self.topology.voters);
        self.contacts = contacts;
        for keeper in self.keepers.iter_mut().filter_map(|keeper| keeper.keeper.as_mut()) {
            keeper.set_contacts(self.contacts.clone());
        }
    }

    fn present_names(&self) -> Vec<NodeName> {
        let present = self.keepers.iter().filter(|keeper| !keeper.removed);
        present.map(|keeper| keeper.name.clone()).collect()
    }

    /// Returns how many replaced keepers may still vote: all whose removal is not stored by a
    /// majority. A removal that only the leader stores is undone by the loss of its disk.
    pub(super) fn removed_voters(&self, now: Time) -> usize {
        let running = self.keepers.iter().filter_map(|keeper| keeper.keeper.as_ref());
        let leader =
            running.map(|keeper| keeper.replica()).find(|replica| replica.is_confirmed_leader(now));
        let removed = self.keepers.iter().filter(|keeper| keeper.removed);
        removed
            .filter(|keeper| {
                !leader.is_some_and(|leader| self.majority_removed(leader, &keeper.name))
            })
            .count()
    }

    /// Whether the leader and a majority of its voters have removed a keeper from the voters.
    fn majority_removed(&self, leader: &Replica, name: &NodeName) -> bool {
        let voters = leader.voters();
        let voting = self.keepers.iter().filter(|keeper| voters.contains(&keeper.name));
        let running = voting.filter_map(|keeper| keeper.keeper.as_ref());
        let agree = running.filter(|keeper| !keeper.replica().voters().contains(name)).count();
        !voters.contains(name) && agree > voters.len() / 2
    }
}
