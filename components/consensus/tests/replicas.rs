//! Clusters whose members never change.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, ELECTION, name};
use consensus::{Action, Event, ProposalId};
use model::NodeName;

#[test]
fn an_entry_is_committed_on_all_replicas() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"a"));
    cluster.run_for(Duration::from_millis(300));
    assert!((1..=3).all(|number| cluster.has_committed(&name(number), b"a")));
}

#[test]
fn a_single_replica_leads_alone() {
    let mut cluster = Cluster::new(1);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"a"));
}

#[test]
fn committed_entries_survive_the_loss_and_restart_of_the_leader() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"a"));
    let first = cluster.leader().unwrap();
    cluster.kill(&first);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"b"));
    cluster.start(&first);
    cluster.run_for(ELECTION);
    for number in 1..=3 {
        assert!(cluster.has_committed(&name(number), b"b"), "k{number} lacks b");
    }
}

#[test]
fn an_isolated_leader_loses_its_lease_and_commits_nothing() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let old = cluster.leader().unwrap();
    cluster.isolated.insert(old.clone());
    cluster.run_for(Duration::from_millis(700));
    assert_ne!(cluster.leader(), Some(old.clone()));
    cluster.run_for(ELECTION);
    let new = cluster.leader().unwrap();
    assert_ne!(new, old);
    let id = ProposalId(99);
    cluster.handle(&old, Event::Propose { id, command: b"stale".to_vec() });
    cluster.run_for(Duration::from_secs(600));
    assert!(!cluster.has_committed(&old, b"stale"));
    assert!(cluster.propose(b"fresh"));
    cluster.isolated.clear();
    cluster.run_for(ELECTION);
    assert!(cluster.has_committed(&old, b"fresh") && !cluster.has_committed(&old, b"stale"));
}

#[test]
fn a_paused_leader_has_lost_its_lease_when_it_resumes() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let old = cluster.leader().unwrap();
    let later = cluster.now + Duration::from_secs(600);
    assert!(!cluster.replica(&old).is_confirmed_leader(later));
}

#[test]
fn a_replica_with_a_lost_disk_does_not_vote_until_it_has_caught_up() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let leader = cluster.leader().unwrap();
    let others: Vec<NodeName> = (1..=3).map(name).filter(|name| *name != leader).collect();
    // Only the leader and the first follower have the entry.
    cluster.isolated.insert(others[1].clone());
    assert!(cluster.propose(b"kept"));
    // The first follower loses its disk and the leader stops; the follower without the entry
    // returns.
    cluster.kill(&others[0]);
    cluster.lose_disk(&others[0]);
    cluster.kill(&leader);
    cluster.isolated.clear();
    cluster.start(&others[0]);
    cluster.run_for(Duration::from_secs(30));
    assert_eq!(cluster.leader(), None, "a leader without the entry was elected");
    assert!(cluster.replica(&others[0]).is_blank());
    cluster.start(&leader);
    cluster.run_for(ELECTION + ELECTION);
    assert!(cluster.propose(b"next"));
    assert!((1..=3).all(|number| cluster.has_committed(&name(number), b"kept")));
    assert!(!cluster.replica(&others[0]).is_blank());
}

#[test]
fn two_disks_lost_one_after_the_other_lose_nothing() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"kept"));
    for number in [1, 2] {
        cluster.kill(&name(number));
        cluster.lose_disk(&name(number));
        cluster.run_for(ELECTION);
        cluster.start(&name(number));
        cluster.run_for(ELECTION);
        assert!(!cluster.replica(&name(number)).is_blank(), "k{number} has not caught up");
    }
    cluster.kill(&name(3));
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"next"));
    // Followers receive the new commit index with the next heartbeat.
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.has_committed(&name(1), b"next") && cluster.has_committed(&name(2), b"next"));
    let snapshot_or_entry = |number: usize| {
        cluster.has_committed(&name(number), b"kept")
            || cluster.replica(&name(number)).snapshot().index > 1
    };
    assert!(snapshot_or_entry(1) && snapshot_or_entry(2));
}

#[test]
fn a_follower_far_behind_gets_a_snapshot() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let leader = cluster.leader().unwrap();
    let behind = (1..=3).map(name).find(|name| *name != leader).unwrap();
    cluster.isolated.insert(behind.clone());
    for number in 0..20u8 {
        assert!(cluster.propose(&[number]));
    }
    let mut actions = Vec::new();
    let node = cluster.nodes.get_mut(&leader).unwrap();
    node.replica.as_mut().unwrap().compact(b"twenty".to_vec(), &mut actions);
    let Some(Action::Rewrite(records)) = actions.pop() else {
        panic!("compaction did not rewrite the journal")
    };
    node.disk = records;
    cluster.isolated.clear();
    cluster.run_for(ELECTION);
    assert_eq!(cluster.replica(&behind).snapshot().state, b"twenty");
    assert!(cluster.propose(b"after"));
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.has_committed(&behind, b"after"));
}

#[test]
fn a_restarted_replica_knows_committed_entries_before_an_election() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"first"));
    assert!(cluster.propose(b"second"));
    for number in 1..=3 {
        cluster.kill(&name(number));
    }
    for number in 1..=3 {
        cluster.start(&name(number));
        assert!(
            cluster.has_committed(&name(number), b"first"),
            "k{number} lacks the committed entry"
        );
    }
    assert_eq!(cluster.leader(), None);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"third"));
    cluster.run_for(Duration::from_millis(300));
    for number in 1..=3 {
        let committed = &cluster.nodes[&name(number)].committed;
        let indexes: Vec<u64> = committed.iter().map(|entry| entry.index).collect();
        let first = indexes[0];
        let in_order: Vec<u64> = (first..first + indexes.len() as u64).collect();
        assert_eq!(indexes, in_order, "k{number} committed an entry twice or skipped one");
    }
}

#[test]
fn an_entry_on_a_minority_is_not_committed_after_a_restart() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    assert!(cluster.propose(b"kept"));
    let leader = cluster.leader().unwrap();
    cluster.isolated.insert(leader.clone());
    assert!(!cluster.propose(b"lonely"));
    cluster.kill(&leader);
    cluster.start(&leader);
    assert!(cluster.has_committed(&leader, b"kept"));
    assert!(!cluster.has_committed(&leader, b"lonely"));
}

/// A replica that missed many large entries must receive them in messages that are shorter than the
/// longest frame of the transport.
#[test]
fn many_large_entries_are_sent_in_messages_of_limited_size() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(ELECTION);
    let leader = cluster.leader().unwrap();
    let behind = (1..=3).map(name).find(|name| *name != leader).unwrap();
    cluster.kill(&behind);
    let large = |number: u8| vec![number; 100_000];
    for number in 0..40 {
        assert!(cluster.propose(&large(number)));
    }
    cluster.start(&behind);
    cluster.run_for(ELECTION);
    assert!(cluster.has_committed(&behind, &large(39)));
    assert!(
        cluster.largest_message <= 1_100_000,
        "{} bytes in one message",
        cluster.largest_message
    );
    // An entry that exceeds the limit is sent on its own.
    let huge = vec![7; 3_000_000];
    assert!(cluster.propose(&huge));
    cluster.run_for(ELECTION);
    assert!(cluster.has_committed(&behind, &huge));
}
