//! `dockpass load`: shows who waits, who is refused and how fast the targets are, over the whole
//! fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use comfy_table::{CellAlignment, Table, presets};
use futures::StreamExt;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use net::{Client, Spawner};
use serde_json::{Value, json};

use super::fleet_load::{self, QueueLoad, QueueLoads, QueueSummary, TargetSpeeds};
use super::{CommandError, EXIT_FAILED, parse_addresses};

/// Longest wait for the metrics page of a node.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of nodes that are asked at the same time.
const CONCURRENT_REQUESTS: usize = 32;

/// The kind of a node.
#[derive(Clone, Copy)]
enum Role {
    Entry,
    Agent,
}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }
}

/// What the nodes have answered.
#[derive(Default)]
struct Fleet {
    entries: BTreeMap<SocketAddr, QueueLoads>,
    /// Run times at the target of each agent relative to the usual ones, in percent.
    targets: BTreeMap<SocketAddr, f64>,
    agents_without_target: usize,
    /// Nodes without a usable answer, with the cause.
    unreachable: Vec<(Role, SocketAddr, String)>,
}

impl Fleet {
    fn add_page(&mut self, role: Role, address: SocketAddr, page: Result<String, String>) {
        let added = page.and_then(|page| match role {
            Role::Entry => fleet_load::parse_entry(&page).map(|queues| {
                self.entries.insert(address, queues);
            }),
            Role::Agent => fleet_load::parse_agent(&page).map(|speed| match speed {
                Some(percent) => {
                    self.targets.insert(address, percent);
                }
                None => self.agents_without_target += 1,
            }),
        });
        if let Err(cause) = added {
            self.unreachable.push((role, address, cause));
        }
    }
}

/// Prints the load of the given nodes; fails if one of them can't be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    // A node that is given twice counts once.
    let entries: BTreeSet<SocketAddr> = parse_addresses(matches, "entry")?.into_iter().collect();
    let agents: BTreeSet<SocketAddr> = parse_addresses(matches, "agent")?.into_iter().collect();
    if entries.is_empty() && agents.is_empty() {
        return Err(CommandError::BadInput(
            "at least one --entry or --agent is required".to_owned(),
        ));
    }
    let entries = entries.into_iter().map(|address| (Role::Entry, address));
    let agents = agents.into_iter().map(|address| (Role::Agent, address));
    let nodes = entries.chain(agents);
    let fleet = net::block_on(|tasks| async move {
        let fetch = |(role, address)| {
            let tasks = tasks.clone();
            async move { (role, address, fetch_page(address, tasks).await) }
        };
        let mut pages = futures::stream::iter(nodes.map(fetch)).buffered(CONCURRENT_REQUESTS);
        let mut fleet = Fleet::default();
        while let Some((role, address, page)) = pages.next().await {
            fleet.add_page(role, address, page);
        }
        fleet
    });
    let summaries = fleet_load::summarize(&fleet.entries);
    let speeds = fleet_load::target_speeds(&fleet.targets);
    match matches.get_flag("json") {
        true => print_json(&fleet, &summaries, speeds),
        false => print_text(&fleet, &summaries, speeds),
    }
    Ok(match fleet.unreachable.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAILED),
    })
}

async fn fetch_page(address: SocketAddr, tasks: Spawner) -> Result<String, String> {
    let client = Client::new(address, tasks);
    let (headers, body) = (HeaderMap::new(), Bytes::new());
    let reply = client
        .send(Method::GET, "/metrics", headers, body, PAGE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    match reply.status {
        200 => Ok(String::from_utf8_lossy(&reply.body).into_owned()),
        status => Err(format!("/metrics answers with status {status}")),
    }
}

fn print_text(
    fleet: &Fleet,
    summaries: &BTreeMap<String, QueueSummary>,
    speeds: Option<TargetSpeeds>,
) {
    if !fleet.entries.is_empty() {
        print_line!("{}", queue_table(summaries).trim_fmt());
    }
    if let Some(speeds) = speeds {
        let speed = |(agent, percent): (SocketAddr, f64)| format!("{percent:.0} % ({agent})");
        print_line!(
            "targets: {}, run time relative to the usual one: slowest {}, median {}, fastest {}",
            fleet.targets.len(),
            speed(speeds.slowest),
            speed(speeds.median),
            speed(speeds.fastest),
        );
    }
    if fleet.agents_without_target > 0 {
        print_line!("agents without a target: {}", fleet.agents_without_target);
    }
    for (role, address, cause) in &fleet.unreachable {
        print_line!("unreachable: {} {address}: {cause}", role.as_str());
    }
}

/// Builds a table with two rows for each queue: the sum over the entries and the worst entry.
fn queue_table(summaries: &BTreeMap<String, QueueSummary>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(["queue", "entry", "waiting", "in time", "late", "refused", "by cause"]);
    for column in 2..=5 {
        if let Some(column) = table.column_mut(column) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    for (queue, summary) in summaries {
        table.add_row(queue_row(queue, format!("all {}", summary.entries), &summary.total));
        if let Some((entry, load)) = &summary.worst {
            table.add_row(queue_row("", format!("worst {entry}"), load));
        }
    }
    table
}

fn queue_row(queue: &str, entry: String, load: &QueueLoad) -> Vec<String> {
    let causes = load.refused.iter().map(|(cause, count)| format!("{cause} {count}"));
    vec![
        queue.to_owned(),
        entry,
        load.waiting.to_string(),
        load.in_time.to_string(),
        load.late.to_string(),
        load.refused_total().to_string(),
        causes.collect::<Vec<String>>().join(", "),
    ]
}

fn print_json(
    fleet: &Fleet,
    summaries: &BTreeMap<String, QueueSummary>,
    speeds: Option<TargetSpeeds>,
) {
    let queues: Vec<Value> = summaries
        .iter()
        .map(|(queue, summary)| {
            let worst = summary.worst.as_ref().map(|(entry, load)| {
                let mut fields = load_fields(load);
                fields["entry"] = json!(entry);
                fields
            });
            json!({"queue": queue, "entries": summary.entries, "total": load_fields(&summary.total),
                "worst": worst})
        })
        .collect();
    let target = |(agent, percent): (SocketAddr, f64)| json!({"agent": agent, "percent": percent});
    let targets = speeds.map(|speeds| {
        json!({"known": fleet.targets.len(), "slowest": target(speeds.slowest),
            "median": target(speeds.median), "fastest": target(speeds.fastest)})
    });
    let unreachable: Vec<Value> = fleet
        .unreachable
        .iter()
        .map(|(role, address, cause)| {
            json!({"role": role.as_str(), "address": address, "cause": cause})
        })
        .collect();
    let report = json!({"queues": queues, "targets": targets,
        "agents_without_target": fleet.agents_without_target, "unreachable": unreachable});
    print_line!("{report}");
}

fn load_fields(load: &QueueLoad) -> Value {
    json!({"waiting": load.waiting, "in_time": load.in_time, "late": load.late,
        "refused": load.refused_total(), "refused_by_cause": load.refused})
}
