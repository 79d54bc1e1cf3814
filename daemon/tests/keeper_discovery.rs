//! Nodes whose settings name only keepers that are down.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::time::Duration;

use support::{FakeTarget, Fleet, Process, eventually};

const AGENTS: usize = 2;
const NODES_FILE: &str = "nodes.json";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const COMPLETED: &str = "{\"state\":\"completed\"}";

fn start_all(fleet: &Fleet) -> Vec<Process> {
    fleet.names().iter().map(|name| fleet.start(name)).collect()
}

/// Guards against nodes that never find the only running keeper after a complete outage, as their
/// settings do not name it. The keeper calls the nodes it knew before.
#[test]
fn a_keeper_missing_from_all_settings_is_found_after_a_complete_stop() {
    let fleet = Fleet::with_entries(1, AGENTS);
    let target = |number| {
        FakeTarget::start(
            fleet.target_address(number),
            fleet.agent_address(number),
            &format!("i-{number}"),
        )
    };
    let _targets: Vec<FakeTarget> = (0..AGENTS).map(target).collect();
    let processes = start_all(&fleet);
    fleet.configure(7);
    fleet.wait_until_ready();
    let nodes = fleet.names().into_iter().filter(|name| name != "keeper");
    let names: Vec<String> = nodes.collect();
    eventually("the keeper remembers all nodes", || {
        let nodes = fleet.keeper_file(NODES_FILE).unwrap_or_default();
        nodes.matches("\"host\"").count() == names.len()
    });
    drop(processes);
    names.iter().for_each(|name| fleet.replace_keepers_with_absent_one(name));
    let _processes = start_all(&fleet);
    fleet.wait_until_ready();
    let answer =
        fleet.submit_job_within(0, 1, 2, 50, ANSWER_TIMEOUT).expect("the request is answered");
    assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
}
