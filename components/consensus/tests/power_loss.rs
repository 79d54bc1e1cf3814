//! All replicas lose power, and as many as the cluster tolerates also lose their disks.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, ELECTION, name};
use consensus::{Event, Payload, ProposalId, Record};
use model::NodeName;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum time until a replica leads after the last restart: four election timeouts at their
/// longest.
const LEADER_DUE: Duration = Duration::from_millis(4 * 2 * 400);
/// Maximum time until replicas that started on empty disks vote again.
const CAUGHT_UP_DUE: Duration = Duration::from_secs(6);
/// Maximum delay between two restarts after a power loss.
const RESTART_DELAY_MAX: Duration = Duration::from_millis(1_500);

/// Whether the command is in a replica's journal.
fn is_journaled(cluster: &Cluster, at: &NodeName, command: &[u8]) -> bool {
    let matches = |payload: &Payload| *payload == Payload::Command(command.to_vec());
    cluster.nodes[at].disk.iter().any(|record| match record {
        Record::Append(entries) => entries.iter().any(|entry| matches(&entry.payload)),
        _ => false,
    })
}

/// Runs until the condition holds or the time is over; returns whether it holds.
fn run_until(cluster: &mut Cluster, timeout: Duration, done: impl Fn(&Cluster) -> bool) -> bool {
    let end = cluster.now + timeout;
    while !done(cluster) && cluster.now < end {
        cluster.run_for(Duration::from_millis(1));
    }
    done(cluster)
}

/// A replica on an empty disk must not count as caught up with a leader that has not yet committed
/// an entry of its term. Otherwise it could vote for a replica that lacks a committed entry.
#[test]
fn a_blank_replica_does_not_catch_up_with_a_leader_that_has_not_committed_in_its_term() {
    let mut cluster = Cluster::with_voters(3);
    let lagging = name(3);
    cluster.isolated.insert(lagging.clone());
    cluster.run_for(ELECTION);
    // One more than fits into a single message, so that the lagging replica needs two messages.
    for number in 0..64_u8 {
        assert!(cluster.propose(&[number]));
    }
    let last = [63];
    let leader = cluster.leader().expect("there is a leader");
    let wiped = [1, 2].map(name).into_iter().find(|name| *name != leader).expect("another replica");
    for name in [&leader, &wiped, &lagging] {
        cluster.kill(name);
    }
    cluster.lose_disk(&wiped);
    cluster.drop_messages();
    cluster.isolated.clear();
    for name in [&leader, &wiped, &lagging] {
        cluster.start(name);
    }
    let before_last = [62];
    let has_entry = |cluster: &Cluster| is_journaled(cluster, &lagging, &before_last);
    assert!(run_until(&mut cluster, ELECTION, has_entry), "no leader was elected");
    cluster.kill(&lagging);
    cluster.run_for(Duration::from_millis(4));
    cluster.kill(&leader);
    cluster.drop_messages();
    cluster.start(&lagging);
    cluster.run_for(ELECTION);
    assert_eq!(cluster.leader(), None, "the leader lacks a committed entry");
    cluster.start(&leader);
    cluster.run_for(ELECTION + ELECTION);
    let leader = cluster.leader().expect("there is a leader again");
    assert!(cluster.has_committed(&leader, &last), "the committed entry is lost");
    assert!(!cluster.replica(&wiped).is_blank());
}

/// Proposes a command and runs just until the leader has committed it.
fn propose_and_commit(cluster: &mut Cluster, id: u64, command: &[u8]) -> bool {
    let Some(leader) = cluster.leader() else { return false };
    let event = Event::Propose { id: ProposalId(id), command: command.to_vec() };
    cluster.handle(&leader, event);
    run_until(cluster, Duration::from_millis(200), |cluster| {
        cluster.has_committed(&leader, command)
    })
}

/// Chooses the replicas that lose their disks: any, those that have the command first, or the
/// leader first.
fn disks_to_lose(
    cluster: &Cluster,
    rng: &mut ChaCha8Rng,
    count: usize,
    command: &[u8],
) -> Vec<NodeName> {
    let leader = cluster.leader();
    let mut all: Vec<NodeName> = cluster.nodes.keys().cloned().collect();
    all.shuffle(rng);
    match rng.random_range(0..3) {
        0 => {}
        1 => all.sort_by_key(|name| !is_journaled(cluster, name, command)),
        _ => all.sort_by_key(|name| {
            (Some(name) != leader.as_ref(), !is_journaled(cluster, name, command))
        }),
    }
    all.truncate(count);
    all
}

/// All replicas lose power, some also their disks, and restart in random order.
fn lose_all_power(cluster: &mut Cluster, rng: &mut ChaCha8Rng, wiped: &[NodeName]) {
    let mut all: Vec<NodeName> = cluster.nodes.keys().cloned().collect();
    for name in &all {
        let kept = rng.random_range(0..4);
        cluster.lose_power(name, kept);
    }
    wiped.iter().for_each(|name| cluster.lose_disk(name));
    cluster.drop_messages();
    all.shuffle(rng);
    for name in &all {
        if rng.random_bool(0.7) {
            let longest = RESTART_DELAY_MAX.as_millis() as u64;
            cluster.run_for(Duration::from_millis(rng.random_range(0..longest)));
        }
        cluster.start(name);
    }
}

/// Repeatedly commits changes and then cuts the power of all replicas and wipes some disks; all
/// acknowledged changes must survive.
fn run_seed(seed: u64, founders: usize, voters: usize, count: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::with_founders(founders, voters, count);
    cluster.run_for(ELECTION + ELECTION);
    let mut acknowledged: Vec<Vec<u8>> = Vec::new();
    for round in 0..6_u8 {
        for number in 0..rng.random_range(1..4_u8) {
            let command = vec![round, number];
            assert!(propose_and_commit(
                &mut cluster,
                u64::from(round) * 10 + u64::from(number),
                &command
            ));
            acknowledged.push(command);
        }
        let newest = acknowledged.last().cloned().expect("an entry was committed");
        let wiped = disks_to_lose(&cluster, &mut rng, voters / 2, &newest);
        if rng.random_bool(0.5) {
            // Another change is in progress when the power fails.
            let leader = cluster.leader().expect("there is a leader");
            let event = Event::Propose { id: ProposalId(1_000), command: vec![round, 99] };
            cluster.handle(&leader, event);
            cluster.run_for(Duration::from_millis(rng.random_range(0..4)));
        }
        lose_all_power(&mut cluster, &mut rng, &wiped);
        let leads = run_until(&mut cluster, LEADER_DUE, |cluster| cluster.leader().is_some());
        let context = format!("seed {seed}, round {round}, {wiped:?} lost their disks");
        assert!(leads, "{context}: there is no leader");
        let leader = cluster.leader().expect("there is a leader");
        for command in &acknowledged {
            assert!(cluster.has_committed(&leader, command), "{context}: {command:?} is lost");
        }
        let all_vote =
            |cluster: &Cluster| cluster.nodes.keys().all(|name| !cluster.replica(name).is_blank());
        assert!(
            run_until(&mut cluster, CAUGHT_UP_DUE, all_vote),
            "{context}: a replica has not caught up"
        );
    }
}

#[test]
fn three_replicas_survive_one_lost_disk_and_a_power_loss() {
    (0..200).for_each(|seed| run_seed(seed, 3, 3, 3));
}

#[test]
fn five_replicas_survive_two_lost_disks_and_a_power_loss() {
    (0..100).for_each(|seed| run_seed(seed, 5, 5, 5));
}

#[test]
fn six_replicas_with_five_voters_survive_two_lost_disks_and_a_power_loss() {
    (0..100).for_each(|seed| run_seed(seed, 3, 5, 6));
}

#[test]
fn four_replicas_with_three_voters_survive_one_lost_disk_and_a_power_loss() {
    (0..50).for_each(|seed| run_seed(seed, 3, 3, 4));
}

#[test]
fn five_replicas_with_three_founders_survive_two_lost_disks_and_a_power_loss() {
    (0..50).for_each(|seed| run_seed(seed, 3, 5, 5));
}

/// A new replica must be able to join even if no replica that it knows leads: the others refer it
/// to the leader.
#[test]
fn a_new_replica_joins_without_knowing_the_leader() {
    let mut cluster = Cluster::with_founders(3, 5, 5);
    cluster.run_for(ELECTION + ELECTION);
    // Transfers leadership until a replica leads that the new one does not know.
    for _ in 0..60 {
        let leader = cluster.leader().expect("there is a leader");
        if [4, 5].map(name).contains(&leader) {
            break;
        }
        cluster.handle(&leader, Event::Resign);
        cluster.run_for(ELECTION);
    }
    let leader = cluster.leader().expect("there is a leader");
    assert!([4, 5].map(name).contains(&leader), "a founder leads");
    let removed = name(1);
    cluster.kill(&removed);
    cluster.nodes.remove(&removed);
    cluster.add_blank(&name(6));
    cluster.run_for(CAUGHT_UP_DUE);
    assert!(!cluster.replica(&name(6)).is_blank(), "the new replica did not join");
    assert!(cluster.replica(&leader).voters().contains(&name(6)));
}

#[test]
fn repeated_power_losses_while_a_blank_replica_catches_up_lose_nothing() {
    for extra_ms in 0..400 {
        let mut cluster = Cluster::with_voters(3);
        cluster.run_for(ELECTION);
        assert!(cluster.propose(b"kept"));
        let leader = cluster.leader().expect("there is a leader");
        let all: Vec<NodeName> = cluster.nodes.keys().cloned().collect();
        let wiped = all.iter().find(|name| **name != leader).expect("another replica").clone();
        for _ in 0..2 {
            all.iter().for_each(|name| cluster.lose_power(name, 9));
            cluster.lose_disk(&wiped);
            cluster.drop_messages();
            all.iter().for_each(|name| cluster.start(name));
            cluster.run_for(Duration::from_millis(400 + extra_ms));
        }
        all.iter().for_each(|name| cluster.lose_power(name, 9));
        cluster.drop_messages();
        all.iter().for_each(|name| cluster.start(name));
        let leads = run_until(&mut cluster, LEADER_DUE, |cluster| cluster.leader().is_some());
        assert!(leads, "{extra_ms} ms extra: there is no leader");
        let leader = cluster.leader().expect("there is a leader");
        assert!(cluster.has_committed(&leader, b"kept"), "{extra_ms} ms extra: the entry is lost");
    }
}
