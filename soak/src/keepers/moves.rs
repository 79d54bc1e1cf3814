//! Operators that move keepers to other hosts: one is taken away for good, and another with an empty disk and a name of
//! its own is started for it. The settings of all name the keepers that there are then. Some come back from repair with
//! the disk that they had, when others have long taken their place; some lose their disk a second time as they return.
//!
//! All that is drawn here comes from a stream of its own, and only in runs that have such moves.

use std::time::Duration;

use consensus::Replica;
use model::{NodeName, Time};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::disks::Disked;
use super::world::{Happening, KeeperWorld};

/// Told apart from the seed of everything else.
const STREAM: u64 = 0x0d0e_5a11_f0e5;
/// Longest time from one move to the next.
const PAUSE: Duration = Duration::from_secs(6);
/// Longest time until the keeper starts that was put in another's place.
const LONGEST_AWAY: Duration = Duration::from_secs(4);
/// How many of 100 moved keepers come back from repair, and after how long.
const REPAIRED: u32 = 40;
const REPAIR: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(12));
/// How many of 100 moves are a disk that is lost twice instead, and how soon after its first return.
const WIPED_TWICE: u32 = 25;
const WIPED_AGAIN: Duration = Duration::from_millis(800);

/// The moves of a run.
#[derive(Debug)]
pub(crate) struct Moves {
    rng: ChaCha8Rng,
}

impl Moves {
    fn within(&mut self, longest: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=longest.as_micros() as u64))
    }
}

impl KeeperWorld {
    /// Plans the first move, in runs whose members change.
    pub(super) fn set_up_moves(&mut self, seed: u64) {
        if !self.arrangement.members_change {
            return;
        }
        let mut moves = Moves { rng: ChaCha8Rng::seed_from_u64(seed ^ STREAM) };
        let first = moves.within(PAUSE);
        self.moves = Some(moves);
        self.after(first, Happening::Move);
    }

    /// Moves a keeper, or wipes one twice, where the cluster bears that; plans the next.
    pub(super) fn move_any(&mut self) {
        if self.now >= self.calm_from {
            return;
        }
        let Some(moves) = &mut self.moves else { return };
        let next = moves.within(PAUSE);
        let twice = moves.rng.random_ratio(WIPED_TWICE, 100);
        let there: Vec<usize> =
            (0..self.keepers.len()).filter(|number| !self.keepers[*number].gone).collect();
        let number = there[moves.rng.random_range(0..there.len())];
        self.after(next, Happening::Move);
        if self.now < self.faults_from || self.losses_left(&[number]) == 0 {
            return;
        }
        match twice {
            true => self.wipe_twice(number),
            false => self.move_to_another_host(number),
        }
    }

    fn move_to_another_host(&mut self, number: usize) {
        let Some(moves) = &mut self.moves else { return };
        let away = moves.within(LONGEST_AWAY);
        let repaired = moves.rng.random_ratio(REPAIRED, 100);
        let repair = REPAIR.0 + moves.within(REPAIR.1 - REPAIR.0);
        self.keepers[number].keeper = None;
        self.keepers[number].gone = true;
        if repaired {
            self.after(repair, Happening::Repaired(number));
        }
        let name = NodeName::new(&format!("k{}", self.keepers.len()));
        self.keepers.push(Disked::new(name, self.arrangement.empty_disk(), self.now));
        self.after(away, Happening::KeeperStarts(self.keepers.len() - 1));
        self.checks.summary.moves += 1;
        self.name_keepers();
    }

    /// A keeper is back that was moved, with the disk that it had.
    pub(super) fn repaired(&mut self, number: usize) {
        self.keepers[number].gone = false;
        self.checks.summary.repaired += 1;
        self.start_keeper(number);
    }

    fn wipe_twice(&mut self, number: usize) {
        let Some(moves) = &mut self.moves else { return };
        let again = moves.within(WIPED_AGAIN);
        self.wipe(number);
        self.start_keeper(number);
        self.after(again, Happening::WipedAgain(number));
    }

    /// A keeper whose disk was lost loses the new one, however much of it was written, where the others still bear that.
    pub(super) fn wiped_again(&mut self, number: usize) {
        if self.keepers[number].gone || self.losses_left(&[number]) == 0 {
            return;
        }
        self.wipe(number);
        self.checks.summary.wiped_twice += 1;
        self.start_keeper(number);
    }

    fn wipe(&mut self, number: usize) {
        self.keepers[number].keeper = None;
        self.lose_disk(number);
    }

    /// The settings of all living keepers name those that there are, in any order.
    fn name_keepers(&mut self) {
        let names = self.present();
        let Some(moves) = &mut self.moves else { return };
        let mut named = names;
        named.shuffle(&mut moves.rng);
        named.truncate(self.arrangement.voters);
        self.contacts = named;
        for keeper in self.keepers.iter_mut().filter_map(|keeper| keeper.keeper.as_mut()) {
            keeper.set_contacts(self.contacts.clone());
        }
    }

    fn present(&self) -> Vec<NodeName> {
        let there = self.keepers.iter().filter(|keeper| !keeper.gone);
        there.map(|keeper| keeper.name.clone()).collect()
    }

    /// How many of those that are gone may still vote: all that the leader has not had removed by a majority. One that
    /// only the leader has removed votes again where that entry is lost with the leader's disk.
    pub(super) fn gone_voters(&self, now: Time) -> usize {
        let living = self.keepers.iter().filter_map(|keeper| keeper.keeper.as_ref());
        let leader =
            living.map(|keeper| keeper.replica()).find(|replica| replica.is_confirmed_leader(now));
        let gone = self.keepers.iter().filter(|keeper| keeper.gone);
        gone.filter(|keeper| !leader.is_some_and(|leader| self.have_removed(leader, &keeper.name)))
            .count()
    }

    /// Whether a leader and a majority of its voters no longer count a keeper among them.
    fn have_removed(&self, leader: &Replica, name: &NodeName) -> bool {
        let voters = leader.voters();
        let voting = self.keepers.iter().filter(|keeper| voters.contains(&keeper.name));
        let living = voting.filter_map(|keeper| keeper.keeper.as_ref());
        let agree = living.filter(|keeper| !keeper.replica().voters().contains(name)).count();
        !voters.contains(name) && agree > voters.len() / 2
    }
}
