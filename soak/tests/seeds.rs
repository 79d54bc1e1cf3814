//! The seeds that every change has to pass.

use std::thread;

use soak::{KeeperSummary, Options, Summary, run, run_keepers};

/// How many seeds.
const SEEDS: u64 = 200;
/// Over how many threads they are spread; each run is single-threaded and repeatable.
const THREADS: u64 = 8;

/// Runs every eighth seed; panics at the first that fails.
fn run_part(part: u64) -> Summary {
    let mut total = Summary::default();
    for seed in (part..SEEDS).step_by(THREADS as usize) {
        match run(Options::new(seed)) {
            Ok(summary) => total.add(&summary),
            Err(violations) => {
                let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
                panic!("seed {seed}:\n{}", texts.join("\n"));
            }
        }
    }
    total
}

#[test]
fn two_hundred_seeds_hold() {
    let parts: Vec<_> = (0..THREADS).map(|part| thread::spawn(move || run_part(part))).collect();
    let mut total = Summary::default();
    for part in parts {
        total.add(&part.join().expect("no seed fails"));
    }
    // The runs have to reach what they are for.
    assert!(total.complete > 10_000, "{total:?}");
    assert!(total.not_run > 100 && total.may_have_run > 1_000, "{total:?}");
    assert!(total.unanswered > 100 && total.faults > 4_000, "{total:?}");
}

#[test]
fn a_seed_makes_the_same_run_again() {
    assert_eq!(run(Options::new(7)), run(Options::new(7)));
}

/// Runs every eighth seed of keepers; panics at the first that fails.
fn run_keeper_part(part: u64) -> KeeperSummary {
    let mut total = KeeperSummary::default();
    for seed in (part..SEEDS).step_by(THREADS as usize) {
        match run_keepers(&Options::new(seed)) {
            Ok(summary) => total.add(&summary),
            Err(violations) => {
                let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
                panic!("seed {seed}:\n{}", texts.join("\n"));
            }
        }
    }
    total
}

#[test]
fn two_hundred_seeds_of_keepers_hold() {
    let parts: Vec<_> =
        (0..THREADS).map(|part| thread::spawn(move || run_keeper_part(part))).collect();
    let mut total = KeeperSummary::default();
    for part in parts {
        total.add(&part.join().expect("no seed fails"));
    }
    // The runs have to reach what they are for.
    assert!(total.accepted > 2_000 && total.refused > 500, "{total:?}");
    assert!(total.elections > 400 && total.disks_lost > 100, "{total:?}");
    assert!(total.spread > 2_000 && total.reads > 2_000, "{total:?}");
}
