//! How long a change of the settings takes until keepers with synced disks have accepted it.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use client::{ChangeOutcome, OperatorClient};
use settings::Edit;
use telemetry::LatencyHistogram;
use testbed::{Cluster, ClusterOptions};
use wire::ChangeResult;

/// The settings tree that is changed.
const TREE: &str = "[booking]\n[booking/holds]\n[fleet]\nclock_skew_ms = 20\n";

/// Makes changes one after the other and prints how long each took.
pub fn run(arguments: &ArgMatches) -> Result<(), String> {
    let changes = arguments.get_one::<u64>("changes").copied().unwrap_or(1);
    println!("{:<10} {:>8} {:>9} {:>9} {:>9}", "keepers", "changes", "p50 ms", "p99 ms", "max ms");
    for keepers in [1, 3] {
        let options = ClusterOptions { keepers, ..ClusterOptions::small("booking", TREE) };
        let cluster = Cluster::start(options).map_err(|error| error.to_string())?;
        let latency = measure(&cluster, changes)?;
        let millis = |time: Duration| time.as_secs_f64() * 1e3;
        println!(
            "{keepers:<10} {changes:>8} {:>9.2} {:>9.2} {:>9.2}",
            millis(latency.quantile(0.5)),
            millis(latency.quantile(0.99)),
            millis(latency.quantile(1.0)),
        );
        cluster.stop();
    }
    Ok(())
}

fn measure(cluster: &Cluster, changes: u64) -> Result<LatencyHistogram, String> {
    let keepers = cluster.keeper_addresses();
    net::block_on(|tasks| async move {
        let operator = OperatorClient::new(&keepers, &tasks);
        let mut version =
            operator.read_settings().await.map_err(|error| error.to_string())?.version;
        let mut latency = LatencyHistogram::default();
        for number in 0..changes {
            let section = "booking".parse().map_err(|error| format!("{error}"))?;
            let value = (number + 1).to_string();
            let edit = Edit::Set { section, key: "deadline_ms".to_owned(), value };
            let started = Instant::now();
            match operator.submit_edits(version, vec![edit]).await {
                ChangeOutcome::Known(ChangeResult::Accepted { version: next }) => version = next,
                other => return Err(format!("not accepted: {other:?}")),
            }
            latency.record(started.elapsed());
        }
        Ok(latency)
    })
}
