//! Latency of settings changes with one and with three keepers, which sync each change to disk.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use client::{ChangeOutcome, OperatorClient};
use settings::Edit;
use telemetry::LatencyHistogram;
use testbed::{Cluster, ClusterOptions};
use wire::ChangeResult;

/// Initial settings tree.
const SETTINGS_TREE: &str = "[booking]\n[booking/holds]\n[fleet]\nclock_skew_ms = 20\n";

/// Measures sequential changes for each number of keepers and prints the latency quantiles.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let changes = matches.get_one::<u64>("changes").copied().unwrap_or(1);
    println!("{:<10} {:>8} {:>9} {:>9} {:>9}", "keepers", "changes", "p50 ms", "p99 ms", "max ms");
    for keepers in [1, 3] {
        let options = ClusterOptions { keepers, ..ClusterOptions::small("booking", SETTINGS_TREE) };
        let cluster = Cluster::start(options).map_err(|error| error.to_string())?;
        let latency = measure_changes(&cluster, changes)?;
        let to_ms = |time: Duration| time.as_secs_f64() * 1e3;
        println!(
            "{keepers:<10} {changes:>8} {:>9.2} {:>9.2} {:>9.2}",
            to_ms(latency.quantile(0.5)),
            to_ms(latency.quantile(0.99)),
            to_ms(latency.quantile(1.0)),
        );
        cluster.stop();
    }
    Ok(())
}

fn measure_changes(cluster: &Cluster, changes: u64) -> Result<LatencyHistogram, String> {
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
                other => return Err(format!("change {number} was not accepted: {other:?}")),
            }
            latency.record(started.elapsed());
        }
        Ok(latency)
    })
}
