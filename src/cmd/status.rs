//! `dockpass status`: counters of entries and agents.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use client::EntryClient;
use net::Spawner;
use tarpc::client::{Config, NewClient};
use wire::{AgentServiceClient, AgentStatus};

use super::{CommandError, addresses};

/// Longest wait for a node.
const NODE_TIME: Duration = Duration::from_secs(3);

/// Prints a line for each node, or its whole status as JSON.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let entries = addresses(arguments, "entry")?;
    let agents = addresses(arguments, "agent")?;
    if entries.is_empty() && agents.is_empty() {
        return Err(CommandError::BadInput("name an --entry or an --agent".to_owned()));
    }
    let json = arguments.get_flag("json");
    net::block_on(|tasks| async move {
        for entry in entries {
            let caller = EntryClient::new(entry, tasks.clone(), NODE_TIME);
            print_entry(&caller.status().await?, json);
        }
        for agent in agents {
            print_agent(&ask_agent(agent, &tasks).await?, json);
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn print_entry(status: &serde_json::Value, json: bool) {
    if json {
        return say!("{status}");
    }
    let counters = &status["counters"];
    say!(
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

async fn ask_agent(address: SocketAddr, tasks: &Spawner) -> Result<AgentStatus, CommandError> {
    let failed = |error: String| CommandError::Agent(address, error);
    let stream = net::connect(address).await.map_err(|error| failed(error.to_string()))?;
    let NewClient { client, dispatch } =
        AgentServiceClient::new(Config::default(), net::framed_transport(stream));
    tasks.spawn_rpc(async move {
        // The call sees why it ended.
        let _ = dispatch.await;
    });
    client.status(net::call_context()).await.map_err(|error| failed(error.to_string()))
}

fn print_agent(status: &AgentStatus, json: bool) {
    if json {
        let text = serde_json::to_string(status).expect("plain structs become JSON");
        return say!("{text}");
    }
    let (info, counters) = (&status.info, &status.counters);
    say!(
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
