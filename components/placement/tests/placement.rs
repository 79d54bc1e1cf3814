//! Tests of the target ranking and the fair queue.

use std::collections::HashMap;
use std::sync::Arc;

use model::Time;
use placement::{FairQueue, TargetId, TargetPool, TargetProfile};
use proptest::prelude::*;

fn pool(profiles: &[(TargetProfile, u32)]) -> TargetPool {
    let mut pool = TargetPool::default();
    for (number, (profile, idle)) in profiles.iter().enumerate() {
        let id = TargetId(number as u32);
        pool.upsert(id, *profile);
        pool.add_tokens(id, *idle);
    }
    pool
}

fn profile(remote: bool, rack: u32, penalty: u8) -> TargetProfile {
    TargetProfile { remote, rack, penalty }
}

#[test]
fn near_and_idle_targets_are_preferred_over_penalized_ones() {
    let mut pool =
        pool(&[(profile(false, 1, 1), 8), (profile(true, 2, 0), 8), (profile(false, 3, 0), 1)]);
    let order: Vec<u32> = (0..10).map(|_| pool.spend_token(true, |_| 0).unwrap().0).collect();
    assert_eq!(order, [2, 1, 1, 1, 1, 1, 1, 1, 1, 0]);
}

#[test]
fn penalized_targets_are_used_only_if_allowed() {
    let mut pool = pool(&[(profile(false, 1, 1), 2)]);
    assert_eq!((pool.idle_tokens(), pool.unpenalized_tokens()), (2, 0));
    assert_eq!(pool.spend_token(false, |_| 0), None);
    assert_eq!(pool.spend_token(true, |_| 0), Some(TargetId(0)));
}

#[test]
fn tasks_of_a_job_are_spread_over_racks() {
    let rack = |number| (profile(false, number, 0), 4);
    let mut pool = pool(&[rack(1), rack(1), rack(2), rack(3)]);
    let mut on_rack: HashMap<u32, u32> = HashMap::new();
    for _ in 0..6 {
        let id = pool.spend_token(true, |rack| on_rack.get(&rack).copied().unwrap_or(0)).unwrap();
        *on_rack.entry(pool.rack(id)).or_default() += 1;
    }
    assert_eq!(on_rack, HashMap::from([(1, 2), (2, 2), (3, 2)]));
}

#[test]
fn teams_share_slots_by_weight_and_jobs_run_by_deadline() {
    let (heavy, light): (Arc<str>, Arc<str>) = ("heavy".into(), "light".into());
    let mut queue = FairQueue::default();
    queue.insert(&heavy, 3, Time::from_millis(500), 1, 300, 'h');
    queue.insert(&light, 1, Time::from_millis(100), 2, 300, 'l');
    queue.insert(&light, 1, Time::from_millis(50), 3, 20, 'm');
    let mut served: HashMap<char, usize> = HashMap::new();
    for _ in 0..80 {
        let job = queue.head().unwrap();
        *served.entry(job).or_default() += 1;
        queue.take_task();
        if served.get(&'m') == Some(&20) && job == 'm' {
            queue.remove(&light, Time::from_millis(50), 3, 0);
        }
    }
    assert_eq!(served.get(&'m'), Some(&20));
    assert_eq!(served.get(&'h'), Some(&60));
    assert_eq!(queue.waiting_tasks(), 620 - 80);
}

#[test]
fn backlog_of_one_team_does_not_delay_another() {
    let (flood, calm): (Arc<str>, Arc<str>) = ("flood".into(), "calm".into());
    let mut queue = FairQueue::default();
    queue.insert(&flood, 1, Time::from_millis(500), 1, 10_000, 'f');
    assert_eq!(queue.tasks_ahead("calm", 1), 0);
    assert_eq!(queue.tasks_ahead("flood", 1), 10_000);
    queue.insert(&calm, 1, Time::from_millis(500), 2, 10, 'c');
    assert_eq!(queue.tasks_ahead("calm", 1), 20);
}

proptest! {
    #[test]
    fn pool_counts_idle_tokens(steps in proptest::collection::vec((0..5u8, 0..4u32, 0..6u32), 0..80)) {
        let mut pool = TargetPool::default();
        let mut expected: HashMap<u32, u32> = HashMap::new();
        for (step, target, tokens) in steps {
            let id = TargetId(target);
            match step {
                0 => { pool.upsert(id, profile(tokens > 2, target, 0)); expected.entry(target).or_default(); }
                1 => { pool.remove(id); expected.remove(&target); }
                2 => { pool.add_tokens(id, tokens); if let Some(idle) = expected.get_mut(&target) { *idle += tokens; } }
                3 => {
                    let taken = pool.take_tokens(id, tokens);
                    if let Some(idle) = expected.get_mut(&target) { *idle -= taken; }
                }
                _ => match pool.spend_token(true, |_| 0) {
                    Some(id) => *expected.get_mut(&id.0).unwrap() -= 1,
                    None => prop_assert_eq!(expected.values().sum::<u32>(), 0),
                }
            }
            prop_assert_eq!(pool.idle_tokens(), expected.values().sum::<u32>());
        }
    }

    #[test]
    fn queue_counts_waiting_tasks(jobs in proptest::collection::vec((0..3usize, 0..9u64, 1..5usize), 1..40)) {
        let teams: Vec<Arc<str>> = ["a", "b", "c"].map(Arc::from).into();
        let mut queue = FairQueue::default();
        let mut remaining: Vec<usize> = Vec::new();
        for (arrival, (team, deadline, tasks)) in jobs.iter().enumerate() {
            let deadline = Time::from_millis(*deadline);
            queue.insert(&teams[*team], 1, deadline, arrival as u64, *tasks, arrival);
            remaining.push(*tasks);
        }
        while let Some(job) = queue.head() {
            queue.take_task();
            remaining[job] -= 1;
            if remaining[job] == 0 {
                let (team, deadline, _) = jobs[job];
                queue.remove(&teams[team], Time::from_millis(deadline), job as u64, 0);
            }
            prop_assert_eq!(queue.waiting_tasks(), remaining.iter().sum::<usize>());
        }
        prop_assert_eq!(remaining.iter().sum::<usize>(), 0);
    }
}
