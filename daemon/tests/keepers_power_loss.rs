//! Keepers as real processes: right after a change is acknowledged, the tolerated number of keepers
//! lose their disks and all are killed, leaving torn writes in the journals.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

// This test uses only parts of the support module.
#[allow(unused_imports)]
mod support;

mod keeper_cluster;

use std::time::{Duration, Instant};

use keeper_cluster::Keepers;
use support::eventually;

/// Time in which the configuration must be readable after a restart.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Each round changes the configuration, wipes some disks, kills all keepers and restarts them in
/// another order.
fn run_rounds(count: usize, tolerated_losses: usize, rounds: usize) {
    let mut keepers = Keepers::start(count, tolerated_losses);
    for round in 0..rounds {
        eventually("all keepers have caught up", || keepers.all_have_caught_up());
        let version = 10 + round as u64;
        let acknowledged = keepers.configure(version);
        keepers.kill_all();
        // The acknowledging keeper loses its disk first, the others in a different order each
        // round.
        let candidates = (0..count).map(|step| (acknowledged + step * (round + 1)) % count);
        let mut wiped: Vec<usize> = Vec::new();
        candidates.for_each(|number| {
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
        let restarted = Instant::now();
        let mut read = None;
        eventually("the configuration is read back", || {
            read = keepers.read_configuration();
            read.is_some()
        });
        let took = restarted.elapsed();
        let read = read.expect("the configuration is read");
        assert!(read.contains(&format!("\"version\":{version}")), "round {round}: {read}");
        assert!(took < RECOVERY_TIMEOUT, "round {round}: read after {took:?}");
        println!("{count} keepers, {wiped:?} lost their disks: read after {took:?}");
    }
}

/// Guards against a keeper that takes a torn write for a damaged journal and does not start.
#[test]
fn three_keepers_keep_the_configuration_after_a_lost_disk_and_a_power_loss() {
    run_rounds(3, 1, 3);
}

#[test]
fn six_keepers_keep_the_configuration_after_two_lost_disks_and_a_power_loss() {
    run_rounds(6, 2, 2);
}
