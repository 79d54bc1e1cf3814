//! Helpers shared by the cluster tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::JobBody;
use client::{EntryClient, Outcome};
use net::Spawner;
use testbed::{Cluster, ClusterOptions};

/// Settings tree with one service and a small clock skew.
pub const TREE: &str = "[booking]\nexpected_ms = 5\n[booking/holds]\n[booking/lookups]\n\
                        [fleet]\nclock_skew_ms = 20\n";

/// Options of a small cluster that uses [`TREE`].
pub fn cluster_options() -> ClusterOptions {
    ClusterOptions::small("booking", TREE)
}

/// Starts a cluster with the nodes' log turned off.
pub fn start_cluster(options: ClusterOptions) -> Cluster {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    Cluster::start(options).expect("the cluster starts")
}

pub use net::block_on as run_async;

/// Creates a client of an entry.
pub fn entry_client(entry: SocketAddr, tasks: &Spawner) -> EntryClient {
    EntryClient::new(entry, tasks.clone(), Duration::from_secs(30))
}

/// Builds a job of kind `holds` with the given tasks.
pub fn job(tasks: &[&str]) -> JobBody {
    JobBody {
        service: "booking".to_owned(),
        kind: "holds".to_owned(),
        tasks: tasks.iter().map(|text| Arc::from(*text)).collect(),
        deadline_ms: Some(10_000),
    }
}

/// Returns the answers of a complete outcome, and panics on a failed one.
pub fn answers(outcome: &Outcome) -> Vec<&str> {
    match outcome {
        Outcome::Complete(answers) => answers.iter().map(|text| &**text).collect(),
        Outcome::Failed { .. } => panic!("the job failed: {outcome:?}"),
    }
}

/// Checks that no node counted an invariant violation and that no task started twice, then stops
/// the cluster.
pub fn check_and_stop(cluster: Cluster) {
    let violations: u64 = cluster
        .entry_counters()
        .iter()
        .map(|counters| counters.breaches)
        .chain(cluster.agent_counters().iter().map(|counters| counters.breaches))
        .sum();
    assert_eq!(violations, 0, "invariant violations counted by the nodes");
    let mut start_counts = std::collections::HashMap::new();
    for target in cluster.targets() {
        for (task, count) in target.start_counts() {
            *start_counts.entry(task).or_insert(0) += count;
        }
    }
    let repeated: Vec<_> = start_counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "tasks started more than once: {repeated:?}");
    cluster.stop();
}
