//! Tests of the search for a task's target.

use std::time::Duration;

use placement::{Candidate, SearchOptions, SearchResult, TargetSearch, TaskNeeds};
use proptest::prelude::*;

const ALL_PARTS: SearchOptions =
    SearchOptions { fill_targets: true, use_slowdown: true, predict_end: true };

/// A task of 1.6 cores that runs 100 ms, in a job with an objective of 220 ms.
fn task() -> TaskNeeds {
    TaskNeeds {
        cpu_milli: 1_600,
        run_time: Duration::from_millis(100),
        longest_run_time: Duration::from_millis(100),
        objective: Duration::from_millis(220),
        elapsed: Duration::from_millis(15),
        names_label: false,
        remote_penalty: 1.0,
        capacity_is_scarce: false,
        must_run: false,
    }
}

/// A target of 16 cores without labels, numbered by its slowdown.
fn target(slowdown_percent: u32, free_cpu_milli: u64) -> Candidate<u32> {
    Candidate {
        id: slowdown_percent,
        free_cpu_milli,
        total_cpu_milli: 16_000,
        slowdown_percent,
        has_label: false,
        is_in_demand: false,
    }
}

/// Searches among all open targets, of which the fleet consists.
fn search(task: &TaskNeeds, targets: &[Candidate<u32>]) -> SearchResult<u32> {
    let slowdowns = targets.iter().map(|target| target.slowdown_percent).collect();
    TargetSearch::new(ALL_PARTS, slowdowns).best(task, targets.iter().copied())
}

/// Guards against an empty slow target that is preferred to a fast one although the task would be
/// late there.
#[test]
fn a_task_goes_where_it_is_in_time_before_it_goes_where_capacity_is_free() {
    let targets = [target(55, 3_000), target(120, 2_000), target(240, 16_000)];
    let search = TargetSearch::new(ALL_PARTS, vec![55, 120, 120, 240]);
    let best = |run_ms, targets: &[Candidate<u32>]| {
        let task = TaskNeeds { run_time: Duration::from_millis(run_ms), ..task() };
        search.best(&task, targets.iter().copied())
    };
    assert_eq!(best(130, &targets[1..]), SearchResult::Target(120));
    assert_eq!(best(210, &targets), SearchResult::Target(55));
    assert_eq!(best(210, &targets[1..]), SearchResult::Target(120), "late at both");
}

/// Guards against an empty target of half the speed that is preferred to a half-full one of median
/// speed while there is room.
#[test]
fn with_room_an_empty_slow_target_ranks_below_a_half_full_one() {
    let short = TaskNeeds { run_time: Duration::from_millis(50), ..task() };
    let targets = [target(100, 8_000), target(200, 16_000)];
    let search = TargetSearch::new(ALL_PARTS, vec![100, 100, 100, 200, 200]);
    let best = |task: &TaskNeeds| search.best(task, targets.into_iter());
    assert_eq!(best(&short), SearchResult::Target(100));
}

/// Guards against fast targets that are filled with tasks which would be in time on slow ones too.
#[test]
fn with_scarce_capacity_fast_targets_are_left_to_tasks_that_need_them() {
    let targets = [target(55, 5_000), target(120, 5_000)];
    let search = TargetSearch::new(ALL_PARTS, vec![55, 55, 120, 120]);
    let best = |task: &TaskNeeds| search.best(task, targets.into_iter());
    let relaxed = |capacity_is_scarce| TaskNeeds {
        objective: Duration::from_secs(1),
        capacity_is_scarce,
        ..task()
    };
    assert_eq!(best(&relaxed(true)), SearchResult::Target(120));
    assert_eq!(best(&relaxed(false)), SearchResult::Target(55));
    let urgent = TaskNeeds { elapsed: Duration::from_millis(100), ..relaxed(true) };
    let urgent = TaskNeeds { objective: Duration::from_millis(220), ..urgent };
    assert_eq!(best(&urgent), SearchResult::Target(55), "without a margin, the fast one");
}

/// Guards against a wide job of which the typical task is in time and the last one late, as the
/// margin is judged by a single task.
#[test]
fn the_margin_is_judged_by_the_longest_of_the_remaining_tasks() {
    let targets = [target(55, 5_000), target(120, 5_000)];
    let search = TargetSearch::new(ALL_PARTS, vec![55, 55, 120, 120]);
    let of_narrow_job = TaskNeeds { capacity_is_scarce: true, ..task() };
    let of_wide_job = TaskNeeds { longest_run_time: Duration::from_millis(160), ..of_narrow_job };
    let best = |task: &TaskNeeds| search.best(task, targets.into_iter());
    assert_eq!(best(&of_narrow_job), SearchResult::Target(120));
    assert_eq!(best(&of_wide_job), SearchResult::Target(55));
}

/// Guards against capacity spent on results that serve no caller, and against a late result that
/// is withheld although it does.
#[test]
fn a_late_result_is_produced_only_while_it_is_of_use() {
    let targets = [target(100, 16_000), target(200, 16_000)];
    let late = |elapsed| TaskNeeds { elapsed: Duration::from_millis(elapsed), ..task() };
    assert_eq!(search(&late(300), &targets), SearchResult::Target(100));
    assert_eq!(search(&late(500), &targets), SearchResult::Target(100));
    assert_eq!(search(&late(700), &targets), SearchResult::TooLate);
    assert_eq!(search(&late(700), &[]), SearchResult::NoCandidate);
    let fleet = TargetSearch::new(ALL_PARTS, vec![100, 200]);
    assert!(fleet.is_too_late(&late(700)) && !fleet.is_too_late(&late(550)));
}

/// Guards against started jobs whose last tasks are never placed, so that their clients wait for
/// the whole deadline: an objective from a low estimate may have passed three times.
#[test]
fn a_task_of_a_started_job_is_placed_however_late() {
    let targets = [target(100, 16_000), target(200, 16_000)];
    let late = TaskNeeds { elapsed: Duration::from_millis(700), must_run: true, ..task() };
    assert_eq!(search(&late, &targets), SearchResult::Target(100));
    let fleet = TargetSearch::new(ALL_PARTS, vec![100, 200]);
    assert!(!fleet.is_too_late(&late));
}

/// Guards against targets of unknown speed, as after the restart of an agent, that are taken to be
/// fast or to make others look slow.
#[test]
fn targets_of_unknown_speed_count_as_the_median() {
    let fleet = TargetSearch::new(ALL_PARTS, vec![0, 0, 0, 110, 110, 120]);
    assert_eq!(fleet.relative_slowdown(0), 1.0);
    assert_eq!(fleet.relative_slowdown(110), 1.0);
    let unknown = Candidate { id: 1, ..target(0, 10_000) };
    let targets = [unknown, target(55, 10_000), target(120, 10_000)];
    let tight = TaskNeeds { run_time: Duration::from_millis(190), ..task() };
    let fleet = TargetSearch::new(ALL_PARTS, vec![0, 55, 120, 120]);
    assert_eq!(fleet.best(&tight, targets.into_iter()), SearchResult::Target(55));
}

/// Guards against targets several times slower than the median, as after a fault, that get work
/// while there is room elsewhere.
#[test]
fn a_very_slow_target_is_a_last_resort() {
    let targets = [target(100, 2_000), target(300, 16_000)];
    let search = TargetSearch::new(ALL_PARTS, vec![100, 100, 100, 300]);
    let relaxed =
        TaskNeeds { objective: Duration::from_secs(5), capacity_is_scarce: true, ..task() };
    assert_eq!(search.best(&relaxed, targets.into_iter()), SearchResult::Target(100));
    assert_eq!(search.best(&relaxed, targets.into_iter().skip(1)), SearchResult::Target(300));
}

/// Guards against tasks that run away from their data where they would be late although a target
/// with the data has room, and the reverse.
#[test]
fn a_named_label_counts_by_the_penalty_elsewhere() {
    let near = |free| Candidate { id: 1, has_label: true, ..target(100, free) };
    let away = Candidate { id: 2, ..target(100, 16_000) };
    let named = |remote_penalty| TaskNeeds { names_label: true, remote_penalty, ..task() };
    for penalty in [1.0, 2.0, 3.0] {
        let result = search(&named(penalty), &[near(2_000), away]);
        assert_eq!(result, SearchResult::Target(1), "penalty {penalty}");
    }
    let slow_near = Candidate { slowdown_percent: 240, ..near(16_000) };
    let slow = TargetSearch::new(ALL_PARTS, vec![100, 100, 240]);
    let best = |penalty| slow.best(&named(penalty), [slow_near, away].into_iter());
    assert_eq!(best(2.0), SearchResult::Target(2), "in time only away from the data");
    assert_eq!(best(3.0), SearchResult::Target(1), "late at both, and earlier near the data");
}

/// The score before ends were predicted.
fn capacity_score(
    candidate: &Candidate<usize>,
    task: &TaskNeeds,
    median_slowdown: f64,
    fill_targets: bool,
) -> f64 {
    let free = candidate.free_cpu_milli.saturating_sub(task.cpu_milli);
    let mut score = free as f64 / candidate.total_cpu_milli.max(1) as f64;
    if fill_targets && (free as f64) < task.cpu_milli as f64 * 0.2 {
        score += 1.0;
    }
    let relative_slowdown = f64::from(candidate.slowdown_percent) / median_slowdown;
    score -= (relative_slowdown - 1.0).max(0.0) * 0.35;
    if relative_slowdown > 2.5 {
        score -= 100.0;
    }
    if task.names_label && candidate.has_label {
        score += 10.0;
    }
    score
}

fn best_by_capacity(
    targets: &[Candidate<usize>],
    task: &TaskNeeds,
    options: SearchOptions,
) -> SearchResult<usize> {
    let mut slowdowns: Vec<u32> = targets.iter().map(|target| target.slowdown_percent).collect();
    slowdowns.sort_unstable();
    let median = slowdowns.get(slowdowns.len() / 2).copied().unwrap_or_default().max(50);
    let median = if options.use_slowdown { f64::from(median) } else { f64::INFINITY };
    let score =
        |target: &Candidate<usize>| capacity_score(target, task, median, options.fill_targets);
    let best = targets.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
    best.map_or(SearchResult::NoCandidate, |best| SearchResult::Target(best.id))
}

fn candidates(slowdowns: std::ops::Range<u32>) -> impl Strategy<Value = Vec<Candidate<usize>>> {
    let candidate = (0..24_000_u64, 1..3_u64, slowdowns, any::<bool>());
    proptest::collection::vec(candidate, 0..80).prop_map(|all| {
        let number = |(id, (free, size, slowdown_percent, has_label))| Candidate {
            id,
            // Multiples make equal scores likely.
            free_cpu_milli: free / 400 * 400,
            total_cpu_milli: size * 12_000,
            slowdown_percent,
            has_label,
            is_in_demand: false,
        };
        all.into_iter().enumerate().map(number).collect()
    })
}

fn tasks() -> impl Strategy<Value = TaskNeeds> {
    let times = (0..3_000_u64, 0..3_000_u64, 1..2_000_u64, 0..5_000_u64);
    (1..8_000_u64, times, any::<bool>(), any::<bool>()).prop_map(
        |(cpu, (run, longest, objective, elapsed), names_label, capacity_is_scarce)| TaskNeeds {
            cpu_milli: cpu / 400 * 400,
            run_time: Duration::from_millis(run),
            longest_run_time: Duration::from_millis(longest),
            objective: Duration::from_millis(objective),
            elapsed: Duration::from_millis(elapsed),
            names_label,
            remote_penalty: 1.0,
            capacity_is_scarce,
            must_run: false,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against choices that change on fleets of equal targets.
    #[test]
    fn among_equal_targets_the_choice_is_that_by_capacity(
        (targets, task) in (candidates(100..125), tasks()),
        fill_targets: bool,
        use_slowdown: bool,
    ) {
        let options = SearchOptions { fill_targets, use_slowdown, predict_end: true };
        let slowdowns = targets.iter().map(|target| target.slowdown_percent).collect();
        let search = TargetSearch::new(options, slowdowns);
        let expected = best_by_capacity(&targets, &task, options);
        prop_assert_eq!(search.best(&task, targets.iter().copied()), expected);
        prop_assert!(!search.is_too_late(&task));
    }

    /// Guards against a switched-off part that still changes choices.
    #[test]
    fn without_predicted_ends_the_choice_is_that_by_capacity(
        (targets, task) in (candidates(20..600), tasks()),
        fill_targets: bool,
        use_slowdown: bool,
    ) {
        let options = SearchOptions { fill_targets, use_slowdown, predict_end: false };
        let slowdowns = targets.iter().map(|target| target.slowdown_percent).collect();
        let search = TargetSearch::new(options, slowdowns);
        let expected = best_by_capacity(&targets, &task, options);
        prop_assert_eq!(search.best(&task, targets.iter().copied()), expected);
    }

    /// Guards against a target where the task is late that is chosen although it would be in time
    /// at another.
    #[test]
    fn a_target_where_the_task_is_late_is_chosen_only_if_it_is_late_at_all(
        (targets, task) in (candidates(20..600), tasks()),
    ) {
        let slowdowns = targets.iter().map(|target| target.slowdown_percent).collect();
        let search = TargetSearch::new(ALL_PARTS, slowdowns);
        prop_assume!(search.predicts_end(&task));
        let is_in_time = |target: &Candidate<usize>| {
            let run_time = task.run_time.as_secs_f64() * search.relative_slowdown(target.slowdown_percent);
            task.elapsed.as_secs_f64() + run_time <= task.objective.as_secs_f64()
        };
        if let SearchResult::Target(id) = search.best(&task, targets.iter().copied()) {
            prop_assert!(is_in_time(&targets[id]) || !targets.iter().any(is_in_time));
        }
    }
}
