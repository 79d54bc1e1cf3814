//! What the tests of the whole path share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::JobBody;
use client::{EntryClient, Outcome};
use net::Spawner;
use testbed::{Cluster, ClusterOptions};

/// A tree with one service and short clocks.
pub const TREE: &str = "[booking]\nexpected_ms = 5\n[booking/holds]\n[booking/lookups]\n\
                        [fleet]\nclock_skew_ms = 20\n";

/// A small cluster for that tree.
pub fn options() -> ClusterOptions {
    ClusterOptions::small("booking", TREE)
}

/// Starts a cluster.
pub fn start(options: ClusterOptions) -> Cluster {
    // The nodes' log would bury the tests' own.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    Cluster::start(options).expect("the cluster starts")
}

pub use net::block_on as run;

/// A caller of an entry.
pub fn caller(entry: SocketAddr, tasks: &Spawner) -> EntryClient {
    EntryClient::new(entry, tasks.clone(), Duration::from_secs(30))
}

/// A job of holds.
pub fn job(tasks: &[&str]) -> JobBody {
    JobBody {
        service: "booking".to_owned(),
        kind: "holds".to_owned(),
        tasks: tasks.iter().map(|text| Arc::from(*text)).collect(),
        deadline_ms: Some(10_000),
    }
}

/// The answers of a whole outcome.
pub fn answers(outcome: &Outcome) -> Vec<&str> {
    match outcome {
        Outcome::Complete(answers) => answers.iter().map(|text| &**text).collect(),
        Outcome::Failed { .. } => panic!("not whole: {outcome:?}"),
    }
}

/// Checks what must hold after every test, and ends the cluster.
pub fn finish(cluster: Cluster) {
    let breaches: u64 = cluster
        .entry_counters()
        .iter()
        .map(|counters| counters.breaches)
        .chain(cluster.agent_counters().iter().map(|counters| counters.breaches))
        .sum();
    assert_eq!(breaches, 0, "breaches of what must always hold");
    let mut starts = std::collections::HashMap::new();
    for target in cluster.targets() {
        for (task, count) in target.start_counts() {
            *starts.entry(task).or_insert(0) += count;
        }
    }
    let twice: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "started twice: {twice:?}");
    cluster.stop();
}
