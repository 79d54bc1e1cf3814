//! Six replicas in three halls, of which five replicas vote: each hall in turn loses power or is
//! isolated while changes are in progress.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, ELECTION, name};
use consensus::{Event, ProposalId};
use model::NodeName;

/// The replicas of each hall. The first three, one in each hall, found the cluster.
const HALLS: [[usize; 2]; 3] = [[1, 4], [2, 5], [3, 6]];
/// All orders in which the halls fail.
const ORDERS: [[usize; 3]; 6] = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
/// Maximum time without a leader.
const FAILOVER_DUE: Duration = Duration::from_millis(1_500);
/// Time for the replicas of a recovered hall to catch up.
const CATCH_UP_DUE: Duration = Duration::from_secs(6);

/// How a hall fails.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The replicas lose power and restart with their disks.
    Power,
    /// The replicas keep running but are unreachable.
    Isolation,
}

fn hall(number: usize) -> [NodeName; 2] {
    HALLS[number].map(name)
}

fn fail_hall(cluster: &mut Cluster, names: &[NodeName], loss: Loss) {
    for name in names {
        match loss {
            Loss::Power => cluster.lose_power(name, 0),
            Loss::Isolation => drop(cluster.isolated.insert(name.clone())),
        }
    }
}

fn recover_hall(cluster: &mut Cluster, names: &[NodeName], loss: Loss) {
    for name in names {
        match loss {
            Loss::Power => cluster.start(name),
            Loss::Isolation => drop(cluster.isolated.remove(name)),
        }
    }
}

/// A cluster in which five of six replicas vote.
fn stable_cluster() -> Cluster {
    let mut cluster = Cluster::with_founders(3, 5, 6);
    cluster.run_for(ELECTION + CATCH_UP_DUE);
    let leader = cluster.leader().expect("there is a leader");
    assert_eq!(cluster.replica(&leader).voters().len(), 5);
    cluster
}

/// Runs until a replica outside the failed hall leads; returns the elapsed time.
fn run_until_led(cluster: &mut Cluster, lost: &[NodeName]) -> Duration {
    let started = cluster.now;
    while cluster.leader().is_none_or(|leader| lost.contains(&leader)) {
        cluster.run_for(Duration::from_millis(10));
        assert!(cluster.now.since(started) < FAILOVER_DUE, "there is no leader without {lost:?}");
    }
    cluster.now.since(started)
}

/// Fails the halls in turn, each with a change in progress, and checks that acknowledged changes
/// survive; returns the longest time without a leader.
fn fail_in_turn(order: [usize; 3], loss: Loss) -> Duration {
    let mut cluster = stable_cluster();
    let mut acknowledged: Vec<Vec<u8>> = Vec::new();
    let mut longest = Duration::ZERO;
    for (turn, number) in order.into_iter().enumerate() {
        let lost = hall(number);
        let before = format!("before {turn}").into_bytes();
        assert!(cluster.propose(&before), "{order:?} {loss:?}, turn {turn}");
        acknowledged.push(before);
        // Not acknowledged, so it may or may not survive.
        if let Some(leader) = cluster.leader() {
            let (id, command) = (ProposalId(1_000 + turn as u64), b"under way".to_vec());
            cluster.handle(&leader, Event::Propose { id, command });
        }
        fail_hall(&mut cluster, &lost, loss);
        longest = longest.max(run_until_led(&mut cluster, &lost));
        let during = format!("during {turn}").into_bytes();
        assert!(
            cluster.propose(&during),
            "{order:?} {loss:?}: a change failed while the hall was down"
        );
        acknowledged.push(during);
        recover_hall(&mut cluster, &lost, loss);
        cluster.run_for(CATCH_UP_DUE);
        let leader = cluster.leader().expect("there is a leader after the hall recovered");
        assert_eq!(cluster.replica(&leader).voters().len(), 5, "not all five replicas vote");
    }
    cluster.run_for(CATCH_UP_DUE);
    let leader = cluster.leader().expect("there is a leader");
    for command in &acknowledged {
        assert!(
            cluster.has_committed(&leader, command),
            "{order:?} {loss:?}: an acknowledged change is lost"
        );
    }
    longest
}

#[test]
fn acknowledged_changes_survive_power_loss_of_each_hall() {
    let longest = ORDERS.into_iter().map(|order| fail_in_turn(order, Loss::Power)).max();
    println!("longest time without a leader: {longest:?}");
}

#[test]
fn acknowledged_changes_survive_isolation_of_each_hall() {
    let longest = ORDERS.into_iter().map(|order| fail_in_turn(order, Loss::Isolation)).max();
    println!("longest time without a leader: {longest:?}");
}
