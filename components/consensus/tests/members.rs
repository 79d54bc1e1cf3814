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

/// A cluster of three voters in which a fourth replica has replaced the first, and its leader.
fn cluster_with_first_replaced() -> (Cluster, NodeName) {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    cluster.kill(&name(1));
    cluster.add_blank(&name(4));
    cluster.run_for(CATCH_UP + ELECTION);
    let leader = cluster.leader().expect("there is a leader");
    (cluster, leader)
}

#[test]
fn a_lost_replica_is_replaced_by_a_new_one() {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"kept"));
    cluster.kill(&name(1));
    cluster.run_for(Duration::from_secs(1));
    cluster.add_blank(&name(4));
    cluster.run_for(CATCH_UP);
    let leader = cluster.leader().expect("there is a leader");
    assert_eq!(voters(&cluster, &leader), names(&[2, 3, 4]));
    assert!(!cluster.replica(&name(4)).is_blank());
    // The new members must tolerate another loss.
    let second =
        [2, 3].map(name).into_iter().find(|name| *name != leader).expect("another replica");
    cluster.kill(&second);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"after"));
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.has_committed(&name(4), b"after"));
}

#[test]
fn a_replica_replaced_while_it_was_down_no_longer_votes() {
    let (mut cluster, leader) = cluster_with_first_replaced();
    let term = cluster.replica(&leader).term();
    cluster.start(&name(1));
    cluster.run_for(CATCH_UP);
    assert_eq!(cluster.leader(), Some(leader.clone()), "the returning replica caused an election");
    assert_eq!(cluster.replica(&leader).term(), term);
    assert_eq!(voters(&cluster, &name(1)), names(&[2, 3, 4]), "outdated members");
    assert!(cluster.propose(b"next"));
    cluster.run_for(Duration::from_millis(300));
    assert!(
        cluster.has_committed(&name(1), b"next"),
        "the replaced replica is not kept up to date"
    );
}

#[test]
fn a_short_outage_does_not_change_the_members() {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    cluster.add_blank(&name(4));
    cluster.run_for(ELECTION);
    cluster.kill(&name(1));
    cluster.run_for(Duration::from_secs(2));
    cluster.start(&name(1));
    cluster.run_for(CATCH_UP);
    let leader = cluster.leader().expect("there is a leader");
    assert_eq!(voters(&cluster, &leader), names(&[1, 2, 3]));
}

#[test]
fn a_replica_lost_before_the_first_election_is_replaced() {
    let mut cluster = Cluster::with_voters(3);
    cluster.nodes.remove(&name(3));
    cluster.run_for(ELECTION);
    cluster.add_blank(&name(5));
    cluster.run_for(CATCH_UP + ELECTION);
    let leader = cluster.leader().expect("there is a leader");
    assert_eq!(voters(&cluster, &leader), names(&[1, 2, 5]));
}

#[test]
fn members_survive_a_snapshot_and_a_restart_of_all_replicas() {
    let (mut cluster, leader) = cluster_with_first_replaced();
    let mut actions = Vec::new();
    let node = cluster.nodes.get_mut(&leader).expect("the replica exists");
    node.replica.as_mut().expect("the replica is running").compact(b"state".to_vec(), &mut actions);
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
    let leader = cluster.leader().expect("there is a leader");
    assert_eq!(voters(&cluster, &leader), names(&[2, 3, 4]));
}

#[test]
fn a_lost_disk_during_a_restart_of_all_replicas_loses_nothing() {
    for lost in 1..=3 {
        let mut cluster = Cluster::with_voters(3);
        cluster.run_for(ELECTION);
        assert!(cluster.propose(b"kept"));
        let all = names(&[1, 2, 3]);
        all.iter().for_each(|name| cluster.kill(name));
        cluster.lose_disk(&name(lost));
        all.iter().for_each(|name| cluster.start(name));
        cluster.run_for(ELECTION + ELECTION);
        assert!(cluster.leader().is_some(), "there is no leader after k{lost} lost its disk");
        assert!(cluster.propose(b"next"));
        cluster.run_for(Duration::from_millis(300));
        assert!(
            all.iter().all(|name| cluster.has_committed(name, b"kept")),
            "an entry is lost after k{lost} lost its disk"
        );
        assert!(!cluster.replica(&name(lost)).is_blank());
    }
}

#[test]
fn a_resigned_leader_gives_up_its_lease_and_another_takes_over() {
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"kept"));
    let old = cluster.leader().expect("there is a leader");
    cluster.handle(&old, Event::Resign);
    assert_eq!(cluster.leader(), None);
    cluster.run_for(Duration::from_millis(50));
    let new = cluster.leader().expect("another replica leads");
    assert_ne!(new, old);
    assert!(cluster.propose(b"next"));
}

#[test]
fn a_replica_without_a_member_list_never_starts_an_election() {
    let mut cluster = Cluster::with_voters(3);
    names(&[1, 2, 3]).iter().for_each(|name| cluster.kill(name));
    cluster.add_blank(&name(4));
    cluster.run_for(Duration::from_secs(30));
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.replica(&name(4)).term(), 0);
}

/// Stops, restarts, isolates and replaces random replicas, and wipes one disk at a time. All
/// committed entries must be present at the end.
fn run_with_random_faults(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::with_voters(3);
    cluster.run_for(ELECTION);
    let mut committed = Vec::new();
    let mut next_number = 4;
    for step in 0..25_u8 {
        let up: Vec<NodeName> = cluster
            .nodes
            .iter()
            .filter(|(_, node)| node.replica.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        let healthy = cluster.isolated.is_empty() && up.len() >= 3;
        match rng.random_range(0..6) {
            0 if healthy => cluster.kill(&up[rng.random_range(0..up.len())].clone()),
            1 if healthy => {
                cluster.isolated.insert(up[rng.random_range(0..up.len())].clone());
            }
            2 if healthy => {
                // A replica is removed for good and replaced by a new one with an empty disk.
                let removed = up[rng.random_range(0..up.len())].clone();
                cluster.kill(&removed);
                cluster.nodes.remove(&removed);
                cluster.run_for(Duration::from_millis(rng.random_range(100..1_500)));
                cluster.add_blank(&name(next_number));
                next_number += 1;
                cluster.run_for(CATCH_UP + ELECTION);
            }
            3 if healthy => {
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
                cluster.isolated.clear();
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
            committed.push(step);
        }
    }
    cluster.isolated.clear();
    let names: Vec<NodeName> = cluster.nodes.keys().cloned().collect();
    for name in &names {
        if cluster.nodes[name].replica.is_none() {
            cluster.start(name);
        }
    }
    cluster.run_for(ELECTION + ELECTION);
    let leader = cluster.leader().unwrap_or_else(|| panic!("seed {seed}: there is no leader"));
    let present: BTreeSet<u8> = cluster.nodes[&leader]
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
    for step in committed {
        assert!(present.contains(&step), "seed {seed}: {step} was committed and is missing");
    }
}

#[test]
fn random_faults_keep_committed_entries() {
    (0..40).for_each(run_with_random_faults);
}
