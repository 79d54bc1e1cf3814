//! Entries learn the error of each queue's estimates while agents learn the speed of their targets
//! from the corrected estimates.

mod support;

use std::sync::Arc;
use std::time::Duration;

use admission::{RunTimes, TargetSpeed};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use support::{ESTIMATE_ERROR, as_millis, factor, rng};

const ESTIMATE: Duration = Duration::from_millis(100);
/// Factors by which the run times of each queue differ from its estimates.
const QUEUES: [(&str, f64); 3] = [("short", 2.0), ("usual", 1.0), ("long", 0.6)];

struct Fleet {
    rng: ChaCha8Rng,
    entries: Vec<RunTimes>,
    /// True slowdown of each target, and what its agent has learned.
    targets: Vec<(f64, TargetSpeed)>,
}

impl Fleet {
    fn new(seed: u64, entries: usize, slowdowns: impl IntoIterator<Item = f64>) -> Self {
        let entries = (0..entries).map(|_| RunTimes::default()).collect();
        let unknown = |slowdown| (slowdown, TargetSpeed::default());
        Self { rng: rng(seed), entries, targets: slowdowns.into_iter().map(unknown).collect() }
    }

    /// Plays runs one after the other. `queue_of` chooses the queue by the target.
    fn play(&mut self, runs: usize, queue_of: impl Fn(&mut ChaCha8Rng, usize) -> usize) {
        let mut median = self.median_percent();
        for number in 0..runs {
            if number % 200 == 0 {
                median = self.median_percent();
            }
            let target = self.rng.random_range(0..self.targets.len());
            let entry = self.rng.random_range(0..self.entries.len());
            let (name, error) = QUEUES[queue_of(&mut self.rng, target)];
            let (slowdown, speed) = &mut self.targets[target];
            let run_times = &mut self.entries[entry];
            let relative = f64::from(speed.slowdown_percent()) / median;
            let sent = run_times.expected(name, ESTIMATE);
            let ran = ESTIMATE.mul_f64(error * *slowdown * factor(&mut self.rng, ESTIMATE_ERROR));
            speed.record(sent, ran);
            run_times.record(&Arc::from(name), ESTIMATE, ran, relative);
        }
    }

    fn median_percent(&self) -> f64 {
        median(self.targets.iter().map(|(_, speed)| f64::from(speed.slowdown_percent())))
    }

    fn median_slowdown(&self) -> f64 {
        median(self.targets.iter().map(|(slowdown, _)| *slowdown))
    }

    /// Checks what entries and agents have learned against the truth.
    fn check(&self) {
        let median_slowdown = self.median_slowdown();
        for run_times in &self.entries {
            for (name, error) in QUEUES {
                let correction = as_millis(run_times.expected(name, ESTIMATE)) / 100.0;
                let truth = error * median_slowdown;
                assert_near(correction, truth, 0.12, name);
            }
        }
        // A single target is known to 6 %, so the groups of equal targets are compared.
        let median_percent = self.median_percent();
        assert_near(median_percent, 100.0, 0.12, "median");
        for group in [0.55, 0.8, 1.0, 1.2, 1.25] {
            let of_group = self.targets.iter().filter(|(slowdown, _)| *slowdown == group);
            let learned: Vec<f64> =
                of_group.map(|(_, speed)| f64::from(speed.slowdown_percent())).collect();
            if !learned.is_empty() {
                let truth = group / median_slowdown;
                assert_near(median(learned) / median_percent, truth, 0.08, "target");
            }
        }
    }
}

fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn assert_near(value: f64, truth: f64, tolerance: f64, what: &str) {
    assert!((value / truth - 1.0).abs() < tolerance, "{what}: {value} instead of {truth}");
}

fn any_queue(rng: &mut ChaCha8Rng, _target: usize) -> usize {
    rng.random_range(0..QUEUES.len())
}

/// Speeds of 74 targets of which a quarter takes 0.55 of the usual time.
fn quarter_fast() -> impl Iterator<Item = f64> {
    (0..74).map(|number| if number % 4 == 0 { 0.55 } else { 1.2 })
}

/// Speeds of 65 targets, a third each.
fn thirds() -> impl Iterator<Item = f64> {
    (0..65).map(|number| [0.8, 1.0, 1.25][number % 3])
}

/// Guards against factors that don't separate: fast targets that look like good estimates, or the
/// reverse. 3,000 tasks per second end at 60 targets, so this takes about 7 s of work.
#[test]
fn queues_and_targets_are_told_apart() {
    let mut fleet = Fleet::new(1, 10, quarter_fast());
    fleet.play(20_000, any_queue);
    fleet.check();
    let mut fleet = Fleet::new(2, 7, thirds());
    fleet.play(20_000, any_queue);
    fleet.check();
}

/// Guards against a drift in which the corrections of the entries rise as the figures of the agents
/// fall, or the reverse, until both are at their bounds.
#[test]
fn factors_do_not_drift() {
    let mut fleet = Fleet::new(3, 10, quarter_fast());
    for _ in 0..5 {
        fleet.play(60_000, any_queue);
        fleet.check();
    }
}

/// Guards against factors that mix where queues prefer different targets, as jobs that name a rack
/// do.
#[test]
fn queues_on_different_targets_are_told_apart() {
    let mut fleet = Fleet::new(4, 5, quarter_fast());
    let queue_of = |rng: &mut ChaCha8Rng, target: usize| match target % 4 {
        0 if rng.random_bool(0.5) => 0,
        _ => rng.random_range(0..QUEUES.len()),
    };
    fleet.play(40_000, queue_of);
    fleet.check();
}

/// Guards against a restarted entry or agents that teach the others wrong factors: the rest of the
/// fleet stays as it was, and the restarted part is right again.
#[test]
fn restarts_do_not_disturb_the_others() {
    let mut fleet = Fleet::new(5, 5, thirds());
    fleet.play(20_000, any_queue);
    fleet.entries[0] = RunTimes::default();
    for (_, speed) in fleet.targets.iter_mut().step_by(4) {
        *speed = TargetSpeed::default();
    }
    fleet.play(3_000, any_queue);
    // The restarted entry has had 600 runs of its own.
    let correction = as_millis(fleet.entries[0].expected("short", ESTIMATE)) / 100.0;
    assert_near(correction, 2.0, 0.2, "restarted entry");
    fleet.play(30_000, any_queue);
    fleet.check();
}

/// Guards against an entry of an old build, which sends estimates as they are, that makes the other
/// entries' corrections wrong.
#[test]
fn plain_estimates_of_an_old_entry_are_tolerated() {
    let mut fleet = Fleet::new(6, 4, thirds());
    fleet.play(20_000, any_queue);
    for _ in 0..20_000 {
        let target = fleet.rng.random_range(0..fleet.targets.len());
        let error = QUEUES[fleet.rng.random_range(0..QUEUES.len())].1;
        let (slowdown, speed) = &mut fleet.targets[target];
        let ratio = error * *slowdown * factor(&mut fleet.rng, ESTIMATE_ERROR);
        speed.record(ESTIMATE, ESTIMATE.mul_f64(ratio));
        fleet.play(4, any_queue);
    }
    for run_times in &fleet.entries {
        for (name, error) in QUEUES {
            let correction = as_millis(run_times.expected(name, ESTIMATE)) / 100.0;
            assert_near(correction, error, 0.15, name);
        }
    }
}
