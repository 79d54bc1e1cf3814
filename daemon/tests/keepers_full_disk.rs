//! Keepers as real processes with full disks, simulated by a file size limit.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

// This test uses only parts of the support module.
#[allow(unused_imports)]
mod support;

mod keeper_cluster;

use std::time::{Duration, Instant};

use keeper_cluster::Keepers;
use support::eventually;

const FETCH: &str = "/configuration/fetch";
/// Time in which a change is acknowledged although the leader's disk is full.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

fn has_full_disk(keepers: &Keepers, number: usize) -> bool {
    keepers.status(number).is_some_and(|status| status["disk_full"] == true)
}

fn document_version(keepers: &Keepers, number: usize) -> u64 {
    keepers.status(number).and_then(|status| status["document"].as_u64()).unwrap_or(0)
}

fn find_leader(keepers: &Keepers) -> Option<usize> {
    (0..keepers.count())
        .find(|number| keepers.status(*number).is_some_and(|status| status["leads"] == true))
}

/// Waits for a leader.
fn wait_for_leader(keepers: &Keepers) -> usize {
    let mut leader = None;
    eventually("a keeper leads", || {
        leader = find_leader(keepers);
        leader.is_some()
    });
    leader.expect("a keeper leads")
}

/// Guards against keepers that exit on a refused write instead of staying up and rejoining.
#[test]
fn keepers_with_full_disks_keep_running_and_rejoin() {
    let mut keepers = Keepers::start(5, 2);
    let leader = wait_for_leader(&keepers);
    keepers.configure(10);
    let full: Vec<usize> = (0..5).filter(|number| *number != leader).take(2).collect();
    full.iter().for_each(|number| keepers.fill_disk(*number));
    for version in 11..15 {
        keepers.configure(version);
    }
    for number in &full {
        eventually("the keeper reports a full disk", || has_full_disk(&keepers, *number));
        let read = keepers.call(*number, "GET", FETCH, "").expect("the keeper answers");
        assert_ne!(
            read.status, 200,
            "a keeper with a full disk must not confirm a configuration: {read:?}"
        );
        assert!(keepers.is_running(*number));
    }
    // With the maximum number of tolerated losses, changes are still acknowledged and kept.
    assert!(
        keepers.read_configuration().expect("the configuration is read").contains("\"version\":14")
    );
    full.iter().for_each(|number| keepers.free_disk(*number));
    for number in full {
        eventually("the keeper has caught up", || document_version(&keepers, number) == 14);
        assert!(!has_full_disk(&keepers, number) && keepers.is_running(number));
    }
    eventually("all keepers have caught up", || keepers.all_have_caught_up());
}

/// Guards against a leader with a full disk that blocks changes until its silence is noticed.
#[test]
fn a_leader_with_a_full_disk_hands_over() {
    let mut keepers = Keepers::start(3, 1);
    for version in 20..23 {
        let leader = wait_for_leader(&keepers);
        keepers.fill_disk(leader);
        let started = Instant::now();
        keepers.configure(version);
        let took = started.elapsed();
        println!("version {version} acknowledged {took:?} after the leader's disk had filled");
        assert!(took < HANDOVER_TIMEOUT, "{took:?}");
        assert!(keepers.is_running(leader) && has_full_disk(&keepers, leader));
        keepers.free_disk(leader);
        eventually("the keeper has caught up", || document_version(&keepers, leader) == version);
    }
}

/// Guards against a keeper that cannot start on a full disk, and against lost changes after all
/// keepers are killed.
#[test]
fn a_keeper_starts_on_a_full_disk_and_keeps_acknowledged_changes() {
    let mut keepers = Keepers::start(5, 2);
    let leader = wait_for_leader(&keepers);
    let full = (leader + 1) % 5;
    keepers.configure(30);
    keepers.fill_disk(full);
    keepers.configure(31);
    eventually("the keeper reports a full disk", || has_full_disk(&keepers, full));
    keepers.kill_all();
    keepers.lose_disk(leader);
    for number in 0..5 {
        keepers.start_keeper(number);
        if number == full {
            keepers.fill_disk(number);
        }
    }
    let mut read = None;
    eventually("the configuration is read back", || {
        read = keepers.read_configuration();
        read.is_some()
    });
    assert!(read.expect("the configuration is read").contains("\"version\":31"));
    keepers.configure(32);
    assert!(keepers.is_running(full));
    keepers.free_disk(full);
    eventually("the keeper has caught up", || document_version(&keepers, full) == 32);
}
