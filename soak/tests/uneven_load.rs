//! Loads with unequal targets, entries and queues: checks that the simulation has the load that its
//! parameters describe, as tests of the scheduling policy rely on it.

use std::time::Duration;

use soak::{CapacityTiming, DataDemand, Load, LoadFault, Surge, run_load};

/// A light load, in which no job waits for capacity.
fn light_load() -> Load {
    Load { entries: 4, agents: 18, sizes: None, utilization: 0.15, ..Load::default() }
}

/// Guards against speeds that are assigned but don't change run times, which would make every
/// comparison of policies with unequal targets meaningless.
#[test]
fn slow_targets_make_jobs_late() {
    let equal = run_load(&light_load());
    // Without the parts of the policy that avoid slow targets.
    let mut timing = CapacityTiming::default();
    for part in ["slowdown-score", "run-times", "predicted-end"] {
        assert!(timing.policy.disable(part));
    }
    let unequal = run_load(&Load { speed_factors: vec![0.55, 2.5], timing, ..light_load() });
    println!("equal: {equal:?}\nunequal: {unequal:?}");
    assert_eq!(equal.late, 0);
    assert!(unequal.late * 10 > unequal.jobs);
    assert!(unequal.late_on_slowest > unequal.in_time_on_slowest + 0.1);
}

/// Guards against shares of entries that are ignored or assigned to the wrong entry.
#[test]
fn entries_receive_their_shares() {
    let shares = vec![4.0, 1.0];
    let result = run_load(&Load { entry_shares: shares, utilization: 0.4, ..light_load() });
    let jobs: Vec<u64> = result.by_entry.iter().map(|entry| entry.jobs).collect();
    println!("{jobs:?}");
    assert_eq!(jobs.iter().sum::<u64>(), result.jobs);
    let (many, few) = (jobs[0] + jobs[2], jobs[1] + jobs[3]);
    assert!(many > 3 * few && many < 5 * few, "{jobs:?}");
}

/// Guards against a surge of one queue that also raises the others, or takes jobs from them.
#[test]
fn a_surge_of_one_queue_leaves_the_others() {
    let duration = Duration::from_secs(5);
    let surge = Surge { start: Duration::ZERO, duration, factor: 2.4 };
    // Enough jobs that the random difference in the rarest queue stays well within the bounds.
    let load = Load { agents: 108, duration, utilization: 0.4, ..light_load() };
    let usual = run_load(&load);
    let surged = run_load(&Load { surge: Some(surge), surge_queue: Some(1), ..load });
    let ratio =
        |queue: usize| surged.by_queue[queue].jobs as f64 / usual.by_queue[queue].jobs as f64;
    println!("{:?}", [ratio(0), ratio(1), ratio(2)]);
    assert!((0.85..1.18).contains(&ratio(0)));
    assert!((2.25..2.55).contains(&ratio(1)));
    assert!((0.65..1.5).contains(&ratio(2)));
}

/// Guards against jobs that name a rack but run elsewhere at no cost.
#[test]
fn tasks_outside_their_rack_take_longer() {
    let data = |remote_penalty| DataDemand {
        targets_per_rack: 1,
        share: 1.0,
        start: Duration::ZERO,
        duration: Duration::from_secs(2),
        remote_penalty,
    };
    // The rack has one of 18 targets and cannot hold the jobs that name it.
    let load = Load { utilization: 0.5, ..light_load() };
    let free = run_load(&Load { data: Some(data(1.0)), ..load.clone() });
    let costly = run_load(&Load { data: Some(data(3.0)), ..load });
    println!("free: {:?}\ncostly: {:?}", free.by_queue[0], costly.by_queue[0]);
    let (free, costly) = (free.by_queue[0], costly.by_queue[0]);
    assert!(free.in_time * 10 > free.jobs * 9 && costly.in_time * 2 < costly.jobs);
}

/// Guards against refused clients that never return, return at once, or are counted as refused for
/// good while they return.
#[test]
fn refused_clients_return_after_retry_after() {
    let load = Load { utilization: 1.6, ..light_load() };
    let without = run_load(&load);
    let with = run_load(&Load { return_period: Some(Duration::from_secs(8)), ..load });
    println!("without: {without:?}\nwith: {with:?}");
    let sum = |of: fn(&soak::GroupResult) -> u64| with.by_entry.iter().map(of).sum::<u64>();
    let (refused, returns) = (sum(|entry| entry.refused), sum(|entry| entry.returns));
    assert!(without.not_run > 50 && returns > 50);
    assert_eq!(refused - returns, with.not_run);
    assert!(with.in_time + with.late > without.in_time + without.late + returns / 4);
    assert!(with.by_entry.iter().all(|entry| entry.returns == 0 || entry.mean_return_ms >= 500.0));
}

/// Guards against random draws outside the seed, which make comparisons of policies unrepeatable.
#[test]
fn uneven_loads_are_deterministic() {
    let load = Load {
        duration: Duration::from_secs(1),
        return_period: Some(Duration::from_secs(3)),
        ..Load::deployment_q()
    };
    assert_eq!(run_load(&load), run_load(&load));
}

/// Guards against faults that are scheduled but have no effect on the load.
#[test]
fn faults_of_a_load_take_effect() {
    let load = Load { entry_shares: vec![1.0], utilization: 0.4, ..light_load() };
    let after = Duration::from_millis(500);
    let downtime = Duration::from_millis(300);
    let duration = Duration::from_secs(1);
    let agents = 0..load.agents;
    let all = |fault: &dyn Fn(usize) -> LoadFault| -> Vec<(Duration, LoadFault)> {
        agents.clone().map(|agent| (after, fault(agent))).collect()
    };
    let calm = run_load(&load);
    let cases = [
        vec![(after, LoadFault::PauseEntry { entry: 0, duration })],
        vec![(after, LoadFault::RestartEntry { entry: 0, downtime })],
        all(&|agent| LoadFault::RestartAgent { agent, downtime }),
        all(&|agent| LoadFault::CutAgent { agent, duration }),
    ];
    for faults in cases {
        let result = run_load(&Load { faults: faults.clone(), ..load.clone() });
        println!("{:?}: {} in time, {} without", faults[0], result.in_time, calm.in_time);
        assert!(result.in_time + 2 < calm.in_time, "{:?}", faults[0]);
    }
    let restarts = |speed_factor| {
        let faults = all(&|agent| LoadFault::RestartTarget { agent, downtime, speed_factor });
        run_load(&Load { faults, ..load.clone() })
    };
    let (same, slower) = (restarts(1.0), restarts(3.0));
    println!("restarted: {}, as slower ones: {} in time", same.in_time, slower.in_time);
    assert!(slower.in_time * 10 < same.in_time * 9);
}
