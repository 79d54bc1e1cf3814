//! Run times of the tasks of a queue, as predicted from completed runs.

mod support;

use std::sync::Arc;
use std::time::Duration;

use admission::{PredictionError, PredictionErrors, RunTimes};
use rand::Rng;
use support::{ESTIMATE_ERROR, SPREAD_IN_JOB, as_millis, factor, millis, rng};

const ESTIMATE: Duration = Duration::from_millis(100);

fn queue(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn record_runs(times: &mut RunTimes, name: &str, runs: usize, ratio: f64) {
    (0..runs).for_each(|_| times.record(&queue(name), ESTIMATE, ESTIMATE.mul_f64(ratio), 1.0));
}

/// Guards against decisions by a handful of runs after a restart of the entry.
#[test]
fn estimate_is_used_until_enough_runs() {
    let mut times = RunTimes::default();
    record_runs(&mut times, "q", 19, 2.0);
    assert_eq!(times.expected("q", ESTIMATE), ESTIMATE);
    assert_eq!(times.longest_of("q", ESTIMATE, 8), ESTIMATE);
    record_runs(&mut times, "q", 1, 2.0);
    let expected = as_millis(times.expected("q", ESTIMATE));
    assert!((195.0..205.0).contains(&expected), "{expected}");
    assert_eq!(times.expected("other", ESTIMATE), ESTIMATE);
}

/// Guards against corrections of accurate estimates, which would change decisions for callers that
/// need none.
#[test]
fn accurate_estimates_are_not_corrected() {
    let mut times = RunTimes::default();
    record_runs(&mut times, "q", 10_000, 1.0);
    assert_eq!(times.expected("q", ESTIMATE), ESTIMATE);
}

/// Guards against a correction that follows tasks which return at once or hang.
#[test]
fn correction_is_bounded() {
    let mut times = RunTimes::default();
    record_runs(&mut times, "low", 100, 0.01);
    record_runs(&mut times, "high", 100, 90.0);
    assert_eq!(times.expected("low", ESTIMATE), Duration::from_millis(25));
    assert_eq!(times.expected("high", ESTIMATE), Duration::from_millis(800));
}

/// Guards against a panic or a lost queue after a run without an estimate or without a run time.
#[test]
fn unusable_runs_are_ignored() {
    let mut times = RunTimes::default();
    record_runs(&mut times, "q", 100, 1.0);
    (0..5_000).for_each(|_| {
        times.record(&queue("q"), Duration::ZERO, ESTIMATE, 1.0);
        times.record(&queue("q"), ESTIMATE, Duration::ZERO, 1.0);
    });
    assert_eq!(times.expected("q", ESTIMATE), ESTIMATE);
    times.record(&queue("q"), ESTIMATE, ESTIMATE, 0.0);
    times.record(&queue("q"), ESTIMATE, Duration::MAX, f64::INFINITY);
    times.record_job(&queue("q"), &[(Duration::ZERO, 1.0), (Duration::MAX, 0.0)]);
    assert_eq!(times.expected("q", ESTIMATE), ESTIMATE);
    assert_eq!(times.expected("q", Duration::ZERO), Duration::ZERO);
}

/// Guards against the speed of targets in a queue's correction: which targets run a queue's tasks
/// must not change what is expected of the median target.
#[test]
fn speed_of_targets_is_divided_out() {
    let mut rng = rng(1);
    let mut times = RunTimes::default();
    for _ in 0..4_000 {
        // Three quarters of the runs are on the fast quarter of the targets.
        let slowdown = if rng.random_bool(0.75) { 0.46 } else { 1.0 };
        let ratio = 1.5 * slowdown * factor(&mut rng, ESTIMATE_ERROR);
        times.record(&queue("q"), ESTIMATE, ESTIMATE.mul_f64(ratio), slowdown);
    }
    let expected = as_millis(times.expected("q", ESTIMATE));
    assert!((142.0..158.0).contains(&expected), "{expected}");
}

/// Guards against a correction that stays after clients have changed their estimates.
#[test]
fn old_runs_are_discarded() {
    let mut times = RunTimes::default();
    record_runs(&mut times, "q", 5_000, 3.0);
    record_runs(&mut times, "q", 5_000, 1.0);
    assert_eq!(times.expected("q", ESTIMATE), ESTIMATE);
}

/// Guards against a longest run time that counts the error of the job's estimate for each of its
/// tasks: jobs of 8 tasks would be taken to last 1.7 times as long and be refused without need.
#[test]
fn tasks_of_a_job_share_the_error_of_its_estimate() {
    let mut rng = rng(2);
    let mut times = RunTimes::default();
    let mut longest: Vec<f64> = Vec::new();
    for _ in 0..1_000 {
        let mean = 100.0 * factor(&mut rng, ESTIMATE_ERROR);
        let runs: Vec<(Duration, f64)> = (0..8)
            .map(|_| {
                let slowdown = [0.55, 1.0, 1.2][rng.random_range(0..3)];
                (millis(mean * slowdown * factor(&mut rng, SPREAD_IN_JOB)), slowdown)
            })
            .collect();
        for (ran, slowdown) in &runs {
            times.record(&queue("q"), ESTIMATE, *ran, *slowdown);
        }
        times.record_job(&queue("q"), &runs);
        let on_median = runs.iter().map(|(ran, slowdown)| as_millis(*ran) / slowdown);
        longest.push(on_median.fold(0.0, f64::max));
    }
    longest.sort_by(f64::total_cmp);
    let (median, predicted) = (longest[500], as_millis(times.longest_of("q", ESTIMATE, 8)));
    assert!((predicted / median - 1.0).abs() < 0.06, "{predicted} predicted, {median} measured");
    let one = times.longest_of("q", ESTIMATE, 1);
    assert_eq!(one, times.expected("q", ESTIMATE));
    assert!(times.longest_of("q", ESTIMATE, 2) < times.longest_of("q", ESTIMATE, 50));
}

/// Guards against a spread that shrinks for jobs of two tasks, whose mean follows both of them.
#[test]
fn spread_does_not_depend_on_the_size_of_jobs() {
    let longest_of = |tasks: usize| {
        let mut rng = rng(3);
        let mut times = RunTimes::default();
        for _ in 0..6_000 / tasks {
            let runs: Vec<(Duration, f64)> =
                (0..tasks).map(|_| (millis(100.0 * factor(&mut rng, 0.15)), 1.0)).collect();
            times.record_job(&queue("q"), &runs);
        }
        as_millis(times.longest_of("q", ESTIMATE, 8))
    };
    assert!((longest_of(2) / longest_of(20) - 1.0).abs() < 0.04);
}

/// Guards against memory that grows with names of queues, and against a full table that never
/// learns a new queue.
#[test]
fn number_of_queues_is_bounded() {
    let mut times = RunTimes::default();
    let mut errors = PredictionErrors::default();
    for number in 0..1_000 {
        let name = format!("q{number}");
        record_runs(&mut times, &name, 20, 2.0);
        record_runs(&mut times, "busy", 20, 2.0);
        errors.record(&queue(&name), ESTIMATE, ESTIMATE);
    }
    assert_eq!(times.expected("q0", ESTIMATE), ESTIMATE);
    assert!(times.expected("q999", ESTIMATE) > ESTIMATE);
    assert!(times.expected("busy", ESTIMATE) > ESTIMATE);
    assert_eq!(errors.iter().count(), 256);
}

/// Guards against a metric whose buckets don't add up, which no query can use.
#[test]
fn prediction_errors_are_counted_by_queue() {
    let mut errors = PredictionErrors::default();
    for ran in [20, 100, 101, 170, 900] {
        errors.record(&queue("q"), ESTIMATE, Duration::from_millis(ran));
    }
    errors.record(&queue("q"), Duration::ZERO, ESTIMATE);
    let all: Vec<(&str, &PredictionError)> = errors.iter().collect();
    let [("q", error)] = all[..] else { panic!("{all:?}") };
    assert_eq!(error.count(), 5);
    assert!((error.sum() - 12.91).abs() < 1e-9);
    let upto = |bound: f64| error.cumulative().find(|(at, _)| *at == bound).map(|(_, runs)| runs);
    assert_eq!(upto(0.25), Some(1));
    assert_eq!(upto(1.0), Some(2));
    assert_eq!(upto(1.1), Some(3));
    assert_eq!(upto(5.0), Some(4));
}
