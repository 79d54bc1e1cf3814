//! Keepers as real processes: right after a configuration was acknowledged as many as the cluster
//! bears lose their disks, and in the same moment all are killed. A loss of power is made of a kill and
//! of what it leaves of unsynced writes, at the end of each journal.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

// Entries, agents and targets take no part here.
#[allow(unused_imports)]
mod support;

mod keeper_cluster;

use std::time::{Duration, Instant};

use keeper_cluster::Keepers;
use support::eventually;

/// The shortest time that users allow from the return of the machines to service.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Rounds of: a change, its acknowledgement, disks lost and all killed, all back in another order.
fn run_rounds(count: usize, tolerated_losses: usize, rounds: usize) {
    let mut keepers = Keepers::start(count, tolerated_losses);
    for round in 0..rounds {
        eventually("all have caught up", || keepers.all_have_caught_up());
        let version = 10 + round as u64;
        let acknowledged = keepers.configure(version);
        keepers.kill_all();
        // The one that acknowledged loses its disk first, then others in another order each round.
        let next = (0..count).map(|step| (acknowledged + step * (round + 1)) % count);
        let mut wiped: Vec<usize> = Vec::new();
        next.for_each(|number| {
            if wiped.len() < tolerated_losses && !wiped.contains(&number) {
                wiped.push(number);
            }
        });
        for number in 0..count {
            match wiped.contains(&number) {
                true => keepers.lose_disk(number),
                false => keepers.tear_last_write(number),
            }
        }
        for step in 0..count {
            keepers.start_keeper((acknowledged + round + step) % count);
        }
        let back = Instant::now();
        let mut read = None;
        eventually("the configuration is read back", || {
            read = keepers.read_configuration();
            read.is_some()
        });
        let took = back.elapsed();
        let read = read.expect("it was read");
        assert!(read.contains(&format!("\"version\":{version}")), "round {round}: {read}");
        assert!(took < RECOVERY_TIMEOUT, "round {round}: read after {took:?}");
        println!("{count} keepers, {wiped:?} lost their disks: read after {took:?}");
    }
}

/// What users would see: after the last acknowledgement of a day a disk is lost as all power fails, and no
/// operator is answered again: a keeper that is needed for the majority takes a torn write for damage
/// and does not start. Evidence: it ends with "damaged at byte".
#[test]
fn a_lost_disk_of_three_and_a_loss_of_all_power_lose_no_configuration() {
    run_rounds(3, 1, 3);
}

#[test]
fn two_lost_disks_of_six_keepers_and_a_loss_of_all_power_lose_no_configuration() {
    run_rounds(6, 2, 2);
}
