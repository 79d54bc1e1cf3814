//! Randomised runs that must violate no invariant, and broken configurations that must violate one.

use std::thread;

use std::time::Duration;

use soak::{
    CapacitySummary, CapacityTiming, KeeperSummary, Options, Summary, Violation, run, run_capacity,
    run_capacity_with, run_keepers,
};

/// Number of seeds for runs of entries and agents, and for runs of keepers.
const SEEDS: u64 = 200;
/// Number of seeds for capacity runs.
const CAPACITY_SEEDS: u64 = 300;
/// Number of seeds for uneven capacity runs with unstable targets.
const UNEVEN_UNSTABLE_SEEDS: u64 = 100;
/// Number of seeds for keeper runs with hall commands.
const HALL_SEEDS: u64 = 250;
/// Number of seeds for keeper runs with moves.
const MOVE_SEEDS: u64 = 250;
/// Threads that share the seeds; each run is single-threaded and deterministic.
const THREADS: u64 = 8;

/// Runs all seeds and returns the summed counters; panics at the first seed with violations.
fn run_all<S: Default + Send + 'static>(
    seeds: u64,
    runner: fn(Options) -> Result<S, Vec<Violation>>,
    add: fn(&mut S, &S),
) -> S {
    let run_seeds = move |part: u64| {
        let mut total = S::default();
        for seed in (part..seeds).step_by(THREADS as usize) {
            match runner(Options::new(seed)) {
                Ok(summary) => add(&mut total, &summary),
                Err(violations) => {
                    let descriptions: Vec<String> =
                        violations.iter().map(ToString::to_string).collect();
                    panic!("seed {seed}:\n{}", descriptions.join("\n"));
                }
            }
        }
        total
    };
    let parts: Vec<_> = (0..THREADS).map(|part| thread::spawn(move || run_seeds(part))).collect();
    let mut total = S::default();
    for part in parts {
        add(&mut total, &part.join().expect("all seeds of a thread pass"));
    }
    total
}

#[test]
fn entry_and_agent_runs_keep_invariants() {
    let total = run_all(SEEDS, run, Summary::add);
    // The runs must cover these events.
    assert!(total.complete > 10_000, "{total:?}");
    assert!(total.not_run > 100 && total.may_have_run > 1_000, "{total:?}");
    assert!(total.unanswered > 100 && total.faults > 4_000, "{total:?}");
}

#[test]
fn keeper_runs_keep_invariants() {
    let total = run_all(SEEDS, |options| run_keepers(&options), KeeperSummary::add);
    // The runs must cover these events.
    assert!(total.accepted > 2_000 && total.refused > 500, "{total:?}");
    assert!(total.elections > 400 && total.disks_lost > 100, "{total:?}");
    assert!(total.power_losses > 100 && total.refused_writes > 200, "{total:?}");
    assert!(total.settings_received > 2_000 && total.reads > 2_000, "{total:?}");
}

#[test]
fn keeper_runs_with_hall_commands_keep_invariants() {
    let runner = |options| run_keepers(&Options { halls: true, ..options });
    let total = run_all(HALL_SEEDS, runner, KeeperSummary::add);
    // The runs must cover these events.
    assert!(total.hall_commands > 1_500 && total.power_losses > 150, "{total:?}");
    assert!(total.timed_hall_commands > 500, "{total:?}");
    assert!(total.disks_lost > 100 && total.refused_writes > 200, "{total:?}");
}

/// Seeds in which a keeper carried out a late copy of a hall command whose sender had disconnected.
const HALL_COMMAND_REGRESSIONS: [u64; 1] = [102_950];

#[test]
fn hall_command_regressions_keep_invariants() {
    for seed in HALL_COMMAND_REGRESSIONS {
        let run = run_keepers(&Options { halls: true, ..Options::new(seed) });
        assert!(run.is_ok(), "seed {seed}: {:?}", run.err());
    }
}

/// Replaces keepers while disks fill up or are lost and all power fails; some replaced keepers
/// return, and some lose their disk twice.
#[test]
fn keeper_runs_with_moves_keep_invariants() {
    let runner = |options| run_keepers(&Options { moves: true, halls: true, ..options });
    let total = run_all(MOVE_SEEDS, runner, KeeperSummary::add);
    // The runs must cover these events.
    assert!(
        total.moves > 250 && total.returned_keepers > 80 && total.disks_lost_twice > 50,
        "{total:?}"
    );
    assert!(total.power_losses > 150 && total.refused_writes > 200, "{total:?}");
}

/// Seeds in which no leader was elected after a power loss, as the harness counted a keeper as
/// removed that no majority had removed.
const KEEPER_MOVE_REGRESSIONS: [u64; 1] = [30_107_758];

#[test]
fn keeper_move_regressions_keep_invariants() {
    for seed in KEEPER_MOVE_REGRESSIONS {
        let run = run_keepers(&Options { moves: true, halls: true, ..Options::new(seed) });
        assert!(run.is_ok(), "seed {seed}: {:?}", run.err());
    }
}

#[test]
fn capacity_runs_with_hall_commands_keep_invariants() {
    let runner = |options| run_capacity(&Options { halls: true, ..options });
    let total = run_all(CAPACITY_SEEDS, runner, CapacitySummary::add);
    // The runs must cover these events.
    assert!(total.completed > 15_000 && total.completed_after_faults > 2_000, "{total:?}");
    assert!(total.faults > 1_000 && total.resubmitted > 2_000, "{total:?}");
}

/// Targets restart under the same id, change their capacity, and crash under some tasks.
#[test]
fn capacity_runs_with_unstable_targets_keep_invariants() {
    let runner = |options| run_capacity(&Options { unstable_targets: true, ..options });
    let total = run_all(CAPACITY_SEEDS, runner, CapacitySummary::add);
    // The runs must cover these events.
    assert!(total.completed > 15_000 && total.completed_after_faults > 2_000, "{total:?}");
    assert!(total.target_crashes > 300 && total.capacity_reductions > 1_000, "{total:?}");
}

/// Seeds of unstable targets that failed before, with the cause.
const UNSTABLE_TARGET_REGRESSIONS: [(u64, &str); 6] = [
    (4, "a start that the next target instance had received was given up before it was stopped"),
    (603, "the lease of the next target instance was measured by the clock of the previous one"),
    (11, "a run that was being stopped was not counted when its target crashed"),
    (5622, "a task was placed repeatedly at the only agent, which refused it"),
    (7678, "a start in flight was given up when the next target instance answered"),
    (5957, "a start was given up that arrived after the next target instance had listed its runs"),
];

#[test]
fn unstable_target_regressions_keep_invariants() {
    for (seed, cause) in UNSTABLE_TARGET_REGRESSIONS {
        let run = run_capacity(&Options { unstable_targets: true, ..Options::new(seed) });
        assert!(run.is_ok(), "seed {seed} ({cause}): {:?}", run.err());
    }
}

/// Guards against wrong counts of crashes under a task, where a target that left commands
/// unanswered crashes before it reports an end.
#[test]
fn seeds_of_unanswered_orders_before_a_crash_hold() {
    let seeds =
        [2_120, 3_445, 8_256, 9_945, 12_108, 12_325, 12_381, 13_035, 13_885, 15_947, 16_449];
    let failed = |seed: &u64| {
        run_capacity(&Options { unstable_targets: true, ..Options::new(*seed) }).is_err()
    };
    let failed: Vec<u64> = seeds.into_iter().filter(failed).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Seeds of unanswered commands before a crash that failed on later code, with what was seen.
const UNCERTAIN_CRASH_REGRESSIONS: [(u64, &str); 12] = [
    (150, WRONG_FAILURE),
    (2_715, WRONG_FAILURE),
    (7_386, WRONG_FAILURE),
    (10_394, WRONG_FAILURE),
    (6_049, SIXTH_START),
    (6_926, SIXTH_START),
    (8_256, SIXTH_START),
    (14_069, SIXTH_START),
    (14_371, SIXTH_START),
    (17_239, SIXTH_START),
    (17_365, SIXTH_START),
    (18_947, SIXTH_START),
];
const WRONG_FAILURE: &str =
    "a job was answered as failed although its task had ended before one of two crashes";
const SIXTH_START: &str = "a task started after five crashes under it";

#[test]
fn uncertain_crash_regressions_keep_invariants() {
    for (seed, seen) in UNCERTAIN_CRASH_REGRESSIONS {
        let run = run_capacity(&Options { unstable_targets: true, ..Options::new(seed) });
        assert!(run.is_ok(), "seed {seed} ({seen}): {:?}", run.err());
    }
}

/// Guards against a task that crashes target after target because entries are not told of crashes at
/// agents that don't serve them.
#[test]
fn seeds_of_crashes_that_an_entry_is_not_told_of_hold() {
    let seeds = [17_184, 1_014_423, 1_027_223, 1_038_981];
    let failed = |seed: &u64| {
        run_capacity(&Options { unstable_targets: true, ..Options::new(*seed) }).is_err()
    };
    let failed: Vec<u64> = seeds.into_iter().filter(failed).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against broken rules where targets differ in speed and get another one with a new
/// instance, jobs name a rack, entries receive unequal shares of the jobs, and refused clients
/// return to another entry.
#[test]
fn uneven_capacity_runs_keep_invariants() {
    let runner = |options| run_capacity(&Options { uneven: true, ..options });
    let total = run_all(CAPACITY_SEEDS, runner, CapacitySummary::add);
    // The runs must cover these events.
    assert!(total.completed > 15_000 && total.completed_after_faults > 2_000, "{total:?}");
    assert!(total.named_racks > 1_000 && total.returned > 1_000, "{total:?}");
}

/// Guards against broken rules where uneven targets also restart under the same id, change their
/// capacity and crash under some tasks.
#[test]
fn uneven_capacity_runs_with_unstable_targets_keep_invariants() {
    let runner =
        |options| run_capacity(&Options { uneven: true, unstable_targets: true, ..options });
    let total = run_all(UNEVEN_UNSTABLE_SEEDS, runner, CapacitySummary::add);
    // The runs must cover these events.
    assert!(total.target_crashes > 100 && total.returned > 300, "{total:?}");
}

/// Guards against tasks that start elsewhere while a target that has deregistered works on them.
#[test]
fn capacity_runs_with_leaves_keep_invariants() {
    let runner = |options| run_capacity(&Options { leaves: true, ..options });
    let total = run_all(CAPACITY_SEEDS, runner, CapacitySummary::add);
    // The runs must cover these events.
    assert!(total.completed > 15_000 && total.completed_after_faults > 2_000, "{total:?}");
    assert!(total.leaves > 800 && total.leaves_with_runs > 300, "{total:?}");
}

/// Guards against the same where targets also restart under the same id, so that a deregistration
/// may name the next instance, and crash under some tasks.
#[test]
fn capacity_runs_with_leaves_of_unstable_targets_keep_invariants() {
    let runner = |options| {
        run_capacity(&Options { leaves: true, unstable_targets: true, uneven: true, ..options })
    };
    let total = run_all(UNEVEN_UNSTABLE_SEEDS, runner, CapacitySummary::add);
    // The runs must cover these events.
    assert!(total.target_crashes > 100 && total.leaves_with_runs > 80, "{total:?}");
}

#[test]
fn entry_and_agent_runs_are_deterministic() {
    assert_eq!(run(Options::new(7)), run(Options::new(7)));
}

#[test]
fn keeper_runs_are_deterministic() {
    for seed in 0..8 {
        let summary = run_keepers(&Options::new(seed));
        assert_eq!(summary, run_keepers(&Options::new(seed)));
    }
}

#[test]
fn capacity_runs_keep_invariants() {
    let total = run_all(CAPACITY_SEEDS, |options| run_capacity(&options), CapacitySummary::add);
    // The runs must cover these events.
    assert!(total.completed > 20_000 && total.completed_after_faults > 2_000, "{total:?}");
    assert!(total.not_run > 1_000 && total.may_have_run > 500, "{total:?}");
    assert!(total.failed > 200 && total.faults > 1_000 && total.resubmitted > 2_000, "{total:?}");
}

/// Seeds of capacity runs that failed before, with the cause.
const CAPACITY_REGRESSIONS: [(u64, &str); 7] = [
    (1627, "a restarted agent renewed the lease of runs that its previous incarnation had started"),
    (4808, "an entry started jobs that had been queued during its pause"),
    (13762, "session timeout and lease together exceeded the retry delay of clients"),
    (15507, "as in seed 13762, with the agent killed"),
    (20754, "starts renewed the lease without being counted as renewals"),
    (19403, "the lease of a target that left stops unanswered was renewed for its other runs"),
    (51024, "a late end of a lost run was attributed to the next run"),
];

#[test]
fn capacity_regressions_keep_invariants() {
    for (seed, cause) in CAPACITY_REGRESSIONS {
        let violations = run_capacity(&Options::new(seed)).err().unwrap_or_default();
        assert!(violations.is_empty(), "seed {seed} ({cause}): {violations:?}");
    }
}

#[test]
fn capacity_runs_are_deterministic() {
    let summary = run_capacity(&Options::new(7));
    assert!(summary.is_ok());
    assert_eq!(summary, run_capacity(&Options::new(7)));
}

/// Checks that some seed detects a deliberately broken configuration.
fn assert_detected(timing: CapacityTiming, description: &str) {
    let detects = |seed| {
        let violations = run_capacity_with(&Options::new(seed), timing).err().unwrap_or_default();
        violations.iter().any(|violation| violation.description.contains(description))
    };
    assert!((0..SEEDS).any(detects), "no seed detects: {description}");
}

#[test]
fn detects_agents_that_keep_running_for_a_dead_entry() {
    let mut timing = CapacityTiming::default();
    timing.agent.session_timeout = Duration::from_secs(30);
    assert_detected(timing, "runs twice at once");
}

#[test]
fn detects_entries_that_do_not_wait_for_a_lost_lease() {
    let mut timing = CapacityTiming::default();
    timing.entry.lost_agent_lease = Duration::ZERO;
    assert_detected(timing, "runs twice at once");
}

#[test]
fn detects_entries_that_continue_after_a_pause() {
    let mut timing = CapacityTiming::default();
    timing.entry.pause_threshold = Duration::from_secs(60);
    timing.entry.session_timeout = Duration::from_secs(60);
    timing.entry.max_load_age = Duration::from_secs(60);
    timing.agent.max_start_age = Duration::from_secs(60);
    timing.agent.session_timeout = Duration::from_secs(60);
    assert_detected(timing, "");
}

#[test]
fn detects_starts_that_are_carried_out_late() {
    let mut timing = CapacityTiming::default();
    timing.agent.start_validity = Duration::from_secs(60);
    timing.agent.lease = Duration::from_millis(100);
    assert_detected(timing, "");
}
