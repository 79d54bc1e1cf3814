//! The speed of a target, learned from the runs that it completes.

mod support;

use std::time::Duration;

use admission::TargetSpeed;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use support::{ESTIMATE_ERROR, SPREAD_IN_JOB, factor, rng};

const ESTIMATE: Duration = Duration::from_millis(100);
const SEEDS: u64 = 200;

fn run(speed: &mut TargetSpeed, rng: &mut ChaCha8Rng, slowdown: f64) {
    speed.record(ESTIMATE, ESTIMATE.mul_f64(slowdown * factor(rng, ESTIMATE_ERROR)));
}

/// Returns the reported slowdown after so many runs, for many seeds, in ascending order.
fn percents(mut play: impl FnMut(&mut TargetSpeed, &mut ChaCha8Rng)) -> Vec<u32> {
    let mut percents: Vec<u32> = (0..SEEDS)
        .map(|seed| {
            let mut speed = TargetSpeed::default();
            play(&mut speed, &mut rng(seed));
            speed.slowdown_percent()
        })
        .collect();
    percents.sort_unstable();
    percents
}

fn median(percents: &[u32]) -> u32 {
    percents[percents.len() / 2]
}

/// Returns the lowest and the highest but for one seed in a hundred at either end.
fn range(percents: &[u32]) -> (u32, u32) {
    (percents[percents.len() / 100], percents[percents.len() - 1 - percents.len() / 100])
}

/// Guards against a new target that counts as fast or slow before anything is known of it.
#[test]
fn new_target_is_reported_as_ordinary() {
    assert_eq!(TargetSpeed::default().slowdown_percent(), 100);
}

/// Guards against a correction where all runs take what was estimated.
#[test]
fn accurate_estimates_keep_a_target_ordinary() {
    let mut speed = TargetSpeed::default();
    (0..1_000).for_each(|_| speed.record(ESTIMATE, ESTIMATE));
    assert_eq!(speed.slowdown_percent(), 100);
}

/// Guards against targets that stay unknown for long after a restart of their agent: a busy target
/// completes about 50 runs per second.
#[test]
fn speed_is_learned_within_a_second_of_work() {
    for slowdown in [0.55, 1.2] {
        let percents = percents(|speed, rng| (0..50).for_each(|_| run(speed, rng, slowdown)));
        let truth = slowdown * 100.0;
        let middle = f64::from(median(&percents));
        assert!((middle / truth - 1.0).abs() < 0.06, "{middle} of {truth}");
        let (low, high) = range(&percents);
        assert!(f64::from(low) > truth * 0.8 && f64::from(high) < truth * 1.25, "{low} {high}");
    }
}

/// Guards against a target that is ranked by its first runs, whose single ratios spread more than
/// targets differ.
#[test]
fn first_runs_count_partly() {
    let mut speed = TargetSpeed::default();
    speed.record(ESTIMATE, ESTIMATE * 3);
    assert!((120..170).contains(&speed.slowdown_percent()), "{}", speed.slowdown_percent());
}

/// Guards against work that is sent to a target after it has become five times slower: the change
/// is accepted within 8 ends, and so is its end.
#[test]
fn lasting_change_and_its_end_are_accepted_within_8_runs() {
    let slowed = |speed: &mut TargetSpeed, rng: &mut ChaCha8Rng| {
        (0..200).for_each(|_| run(speed, rng, 1.0));
        (0..8).for_each(|_| run(speed, rng, 5.0));
    };
    let (low, high) = range(&percents(slowed));
    assert!(low > 300 && high < 800, "{low} {high}");
    let recovered = |speed: &mut TargetSpeed, rng: &mut ChaCha8Rng| {
        slowed(speed, rng);
        (0..50).for_each(|_| run(speed, rng, 5.0));
        (0..8).for_each(|_| run(speed, rng, 1.0));
    };
    let (low, high) = range(&percents(recovered));
    assert!(low > 60 && high < 165, "{low} {high}");
}

/// Guards against a figure that jumps with the usual errors of estimates, which moves work between
/// equal targets.
#[test]
fn usual_errors_of_estimates_are_no_change() {
    let (mut speed, mut rng) = (TargetSpeed::default(), rng(7));
    (0..200).for_each(|_| run(&mut speed, &mut rng, 1.0));
    let (mut low, mut high) = (u32::MAX, 0);
    for _ in 0..50_000 {
        run(&mut speed, &mut rng, 1.0);
        low = low.min(speed.slowdown_percent());
        high = high.max(speed.slowdown_percent());
    }
    assert!(low > 75 && high < 133, "{low} {high}");
}

/// Guards against a target that looks changed after all eight tasks of a wide job with a wrong
/// estimate ran on it: they share one error.
#[test]
fn tasks_of_one_wide_job_are_no_change() {
    let wide_job = |speed: &mut TargetSpeed, rng: &mut ChaCha8Rng| {
        (0..200).for_each(|_| run(speed, rng, 1.0));
        // Twice the usual error, which one job in twenty has.
        let error = if rng.random_bool(0.5) { 1.0 / 2.2 } else { 2.2 };
        for _ in 0..8 {
            let ratio = error * factor(rng, SPREAD_IN_JOB);
            speed.record(ESTIMATE, ESTIMATE.mul_f64(ratio));
        }
    };
    let (low, high) = range(&percents(wide_job));
    assert!(low > 75 && high < 133, "{low} {high}");
}

/// Guards against one run that hung or returned at once, which says nothing about the target.
#[test]
fn single_extreme_run_is_no_change() {
    for ran in [Duration::ZERO, Duration::from_millis(1), Duration::from_secs(60)] {
        let mut speed = TargetSpeed::default();
        (0..100).for_each(|_| speed.record(ESTIMATE, ESTIMATE));
        speed.record(ESTIMATE, ran);
        assert!((90..112).contains(&speed.slowdown_percent()), "{}", speed.slowdown_percent());
    }
}

/// Guards against runs without an estimate, which would have an infinite ratio.
#[test]
fn runs_without_an_estimate_are_ignored() {
    let mut speed = TargetSpeed::default();
    (0..100).for_each(|_| speed.record(Duration::ZERO, ESTIMATE));
    assert_eq!(speed.slowdown_percent(), 100);
}
