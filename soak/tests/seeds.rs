//! The seeds that every change has to pass.

use std::thread;

use soak::{KeeperSummary, Options, Summary, Violation, run, run_keepers};

/// How many seeds.
const SEEDS: u64 = 200;
/// Over how many threads they are spread; each run is single-threaded and repeatable.
const THREADS: u64 = 8;

/// Runs every seed and adds up what they did; panics at the first that fails.
fn run_all<S: Default + Send + 'static>(
    runner: fn(Options) -> Result<S, Vec<Violation>>,
    add: fn(&mut S, &S),
) -> S {
    let run_part = move |part: u64| {
        let mut total = S::default();
        for seed in (part..SEEDS).step_by(THREADS as usize) {
            match runner(Options::new(seed)) {
                Ok(summary) => add(&mut total, &summary),
                Err(violations) => {
                    let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
                    panic!("seed {seed}:\n{}", texts.join("\n"));
                }
            }
        }
        total
    };
    let parts: Vec<_> = (0..THREADS).map(|part| thread::spawn(move || run_part(part))).collect();
    let mut total = S::default();
    for part in parts {
        add(&mut total, &part.join().expect("no seed fails"));
    }
    total
}

#[test]
fn two_hundred_seeds_hold() {
    let total = run_all(run, Summary::add);
    // The runs have to reach what they are for.
    assert!(total.complete > 10_000, "{total:?}");
    assert!(total.not_run > 100 && total.may_have_run > 1_000, "{total:?}");
    assert!(total.unanswered > 100 && total.faults > 4_000, "{total:?}");
}

#[test]
fn two_hundred_seeds_of_keepers_hold() {
    let total = run_all(|options| run_keepers(&options), KeeperSummary::add);
    // The runs have to reach what they are for.
    assert!(total.accepted > 2_000 && total.refused > 500, "{total:?}");
    assert!(total.elections > 400 && total.disks_lost > 100, "{total:?}");
    assert!(total.spread > 2_000 && total.reads > 2_000, "{total:?}");
}

#[test]
fn a_seed_makes_the_same_run_again() {
    assert_eq!(run(Options::new(7)), run(Options::new(7)));
}
