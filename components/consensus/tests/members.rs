//! Clusters whose members change.

mod cluster;

use std::collections::BTreeSet;
use std::time::Duration;

use cluster::{Cluster, ELECTION, name};
use consensus::{Event, Payload};
use model::NodeName;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time for a new replica to catch up and become a voter.
const CATCH_UP: Duration = Duration::from_secs(4);

fn voters(cluster: &Cluster, at: &NodeName) -> Vec<NodeName> {
    cluster.replica(at).voters().to_vec()
}

fn names(numbers: &[usize]) -> Vec<NodeName> {
    numbers.iter().copied().map(name).collect()
}

/// Three voters, the first of which was replaced by a fourth, and the leader.
fn with_first_replaced() -> (Cluster, NodeName) {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    cluster.kill(&name(1));
    cluster.add(&name(4));
    cluster.run_for(CATCH_UP + ELECTION);
    let leader = cluster.leader().expect("one leads");
    (cluster, leader)
}

#[test]
fn a_replica_that_is_gone_for_good_is_replaced_by_one_that_joins() {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"kept"));
    cluster.kill(&name(1));
    cluster.run_for(Duration::from_secs(1));
    cluster.add(&name(4));
    cluster.run_for(CATCH_UP);
    let leader = cluster.leader().expect("one leads");
    assert_eq!(voters(&cluster, &leader), names(&[2, 3, 4]));
    assert!(!cluster.replica(&name(4)).is_blank());
    // The new members must tolerate another loss.
    let second = [2, 3].map(name).into_iter().find(|name| *name != leader).expect("another");
    cluster.kill(&second);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"after"));
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.has(&name(4), b"after"));
}

#[test]
fn a_replica_that_was_replaced_while_it_was_away_votes_no_more() {
    let (mut cluster, leader) = with_first_replaced();
    let term = cluster.replica(&leader).term();
    cluster.start(&name(1));
    cluster.run_for(CATCH_UP);
    assert_eq!(cluster.leader(), Some(leader.clone()), "the one that came back disturbed it");
    assert_eq!(cluster.replica(&leader).term(), term);
    assert_eq!(voters(&cluster, &name(1)), names(&[2, 3, 4]), "it does not know");
    assert!(cluster.propose(b"next"));
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.has(&name(1), b"next"), "it is kept up to date");
}

#[test]
fn a_short_absence_replaces_nobody() {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    cluster.add(&name(4));
    cluster.run_for(ELECTION);
    cluster.kill(&name(1));
    cluster.run_for(Duration::from_secs(2));
    cluster.start(&name(1));
    cluster.run_for(CATCH_UP);
    let leader = cluster.leader().expect("one leads");
    assert_eq!(voters(&cluster, &leader), names(&[1, 2, 3]));
}

#[test]
fn more_are_to_vote_than_founded_the_cluster() {
    let mut cluster = Cluster::with_voters(3);
    cluster.nodes.remove(&name(3));
    cluster.run_for(ELECTION);
    cluster.add(&name(5));
    cluster.run_for(CATCH_UP + ELECTION);
    let leader = cluster.leader().expect("one leads");
    assert_eq!(voters(&cluster, &leader), names(&[1, 2, 5]));
}

#[test]
fn members_outlive_a_restart_of_all_and_a_snapshot() {
    let (mut cluster, leader) = with_first_replaced();
    let mut actions = Vec::new();
    let node = cluster.nodes.get_mut(&leader).expect("it is there");
    node.replica.as_mut().expect("it lives").compact(b"state".to_vec(), &mut actions);
    for action in actions {
        if let consensus::Action::Rewrite(records) = action {
            node.disk = records;
        }
    }
    for number in [2, 3, 4] {
        cluster.kill(&name(number));
    }
    for number in [2, 3, 4] {
        cluster.start(&name(number));
    }
    cluster.run_for(ELECTION);
    let leader = cluster.leader().expect("one leads");
    assert_eq!(voters(&cluster, &leader), names(&[2, 3, 4]));
}

#[test]
fn a_lost_disk_while_all_others_lose_power_loses_nothing_acknowledged() {
    for lost in 1..=3 {
        let mut cluster = Cluster::with_voters(3);
        cluster.run_for(ELECTION);
        assert!(cluster.propose(b"kept"));
        let all = names(&[1, 2, 3]);
        all.iter().for_each(|name| cluster.kill(name));
        cluster.lose_disk(&name(lost));
        all.iter().for_each(|name| cluster.start(name));
        cluster.run_for(ELECTION + ELECTION);
        assert!(cluster.leader().is_some(), "nobody leads after k{lost} lost its disk");
        assert!(cluster.propose(b"next"));
        cluster.run_for(Duration::from_millis(300));
        assert!(all.iter().all(|name| cluster.has(name, b"kept")), "k{lost} lost its disk");
        assert!(!cluster.replica(&name(lost)).is_blank());
    }
}

#[test]
fn a_leader_that_resigns_is_sure_no_more_and_another_leads_at_once() {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"kept"));
    let old = cluster.leader().expect("one leads");
    cluster.handle(&old, Event::Resign);
    assert_eq!(cluster.leader(), None);
    cluster.run_for(Duration::from_millis(50));
    let new = cluster.leader().expect("another leads");
    assert_ne!(new, old);
    assert!(cluster.propose(b"next"));
}

#[test]
fn a_replica_without_members_never_stands() {
    let mut cluster = Cluster::with_voters(3);
    names(&[1, 2, 3]).iter().for_each(|name| cluster.kill(name));
    cluster.add(&name(4));
    cluster.run_for(Duration::from_secs(30));
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.replica(&name(4)).term(), 0);
}

/// Random faults: stops, restarts, isolation, replaced replicas, and one lost disk at a time. All
/// committed entries must be present at the end.
fn random_run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    let mut kept = Vec::new();
    let mut next = 4;
    for step in 0..25_u8 {
        let up: Vec<NodeName> = cluster
            .nodes
            .iter()
            .filter(|(_, node)| node.replica.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        let whole = cluster.cut.is_empty() && up.len() >= 3;
        match rng.random_range(0..6) {
            0 if whole => cluster.kill(&up[rng.random_range(0..up.len())].clone()),
            1 if whole => {
                cluster.cut.insert(up[rng.random_range(0..up.len())].clone());
            }
            2 if whole => {
                // A replica is removed for good and replaced by a new one with an empty disk.
                let gone = up[rng.random_range(0..up.len())].clone();
                cluster.kill(&gone);
                cluster.nodes.remove(&gone);
                cluster.run_for(Duration::from_millis(rng.random_range(100..1_500)));
                cluster.add(&name(next));
                next += 1;
                cluster.run_for(CATCH_UP + ELECTION);
            }
            3 if whole => {
                let wiped = up[rng.random_range(0..up.len())].clone();
                cluster.kill(&wiped);
                cluster.lose_disk(&wiped);
                cluster.start(&wiped);
                cluster.run_for(CATCH_UP + ELECTION);
            }
            4 => {
                // All replicas restart at once.
                up.iter().for_each(|name| cluster.kill(name));
                up.iter().for_each(|name| cluster.start(name));
            }
            _ => {
                cluster.cut.clear();
                let down: Vec<NodeName> = cluster
                    .nodes
                    .iter()
                    .filter(|(_, node)| node.replica.is_none())
                    .map(|(name, _)| name.clone())
                    .collect();
                down.iter().for_each(|name| cluster.start(name));
            }
        }
        cluster.run_for(Duration::from_millis(rng.random_range(0..4_000)));
        if cluster.propose(&[step]) {
            kept.push(step);
        }
    }
    cluster.cut.clear();
    let names: Vec<NodeName> = cluster.nodes.keys().cloned().collect();
    for name in &names {
        if cluster.nodes[name].replica.is_none() {
            cluster.start(name);
        }
    }
    cluster.run_for(ELECTION + ELECTION);
    let leader = cluster.leader().unwrap_or_else(|| panic!("seed {seed}: nobody leads"));
    let there: BTreeSet<u8> = cluster.nodes[&leader]
        .disk
        .iter()
        .flat_map(|record| match record {
            consensus::Record::Append(entries) => entries.clone(),
            _ => Vec::new(),
        })
        .filter_map(|entry| match entry.payload {
            Payload::Command(command) => command.first().copied(),
            _ => None,
        })
        .collect();
    for step in kept {
        assert!(there.contains(&step), "seed {seed}: {step} was committed and is gone");
    }
}

#[test]
fn forty_random_runs_keep_what_was_committed() {
    (0..40).for_each(random_run);
}
