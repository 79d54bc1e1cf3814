//! `dockpass status`: shows the counters of entries and agents.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use client::EntryClient;
use net::Spawner;
use tarpc::client::{Config, NewClient};
use wire::{AgentServiceClient, AgentStatus};

use super::{CommandError, parse_addresses};

/// Timeout of a status request to an entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints one line per node, or with `--json` its full status.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let entries = parse_addresses(matches, "entry")?;
    let agents = parse_addresses(matches, "agent")?;
    if entries.is_empty() && agents.is_empty() {
        return Err(CommandError::BadInput(
            "at least one --entry or --agent is required".to_owned(),
        ));
    }
    let json = matches.get_flag("json");
    net::block_on(|tasks| async move {
        for entry in entries {
            let client = EntryClient::new(entry, tasks.clone(), ENTRY_TIMEOUT);
            print_entry(&client.status().await?, json);
        }
        for agent in agents {
            print_agent(&fetch_agent_status(agent, &tasks).await?, json);
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn print_entry(status: &serde_json::Value, json: bool) {
    if json {
        return print_line!("{status}");
    }
    let counters = &status["counters"];
    print_line!(
        "entry {} ready={} settings={} submitted={} completed={} failed={} refused={} active={} \
         queued={} idle={} breaches={}",
        status["name"].as_str().unwrap_or("?"),
        status["ready"],
        status["settings_version"],
        counters["submitted"],
        counters["completed"],
        counters["failed"],
        counters["refused"],
        counters["active"],
        counters["queued"],
        counters["idle"],
        counters["breaches"],
    );
}

async fn fetch_agent_status(
    address: SocketAddr,
    tasks: &Spawner,
) -> Result<AgentStatus, CommandError> {
    let request_failed = |error: String| CommandError::AgentRequest(address, error);
    let stream = net::connect(address).await.map_err(|error| request_failed(error.to_string()))?;
    let NewClient { client, dispatch } =
        AgentServiceClient::new(Config::default(), net::framed_transport(stream));
    tasks.spawn_rpc(async move {
        // A transport error also fails the pending call, which reports it.
        let _ = dispatch.await;
    });
    client.status(net::call_context()).await.map_err(|error| request_failed(error.to_string()))
}

fn print_agent(status: &AgentStatus, json: bool) {
    if json {
        let text = serde_json::to_string(status).expect("the agent status serializes to JSON");
        return print_line!("{text}");
    }
    let (info, counters) = (&status.info, &status.counters);
    print_line!(
        "agent {} service={} hall={} rack={} slots={} leaving={} settings={} running={} \
         started={} refused={} claims={} breaches={}",
        info.agent.name,
        info.service,
        info.hall,
        info.rack,
        info.slots,
        info.leaving,
        status.settings_version,
        counters.running,
        counters.started,
        counters.refused,
        counters.claims,
        counters.breaches,
    );
}
