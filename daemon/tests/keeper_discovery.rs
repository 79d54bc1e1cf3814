//! Nodes whose settings name no keeper that is up, as real processes.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

mod support;

use std::time::Duration;

use support::{FakeTarget, Fleet, Process, eventually};

const AGENTS: usize = 2;
const REMEMBERED: &str = "nodes.json";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const COMPLETED: &str = "{\"state\":\"completed\"}";

fn start_all(fleet: &Fleet) -> Vec<Process> {
    fleet.names().iter().map(|name| fleet.start(name)).collect()
}

/// All hosts had lost power, and the keepers that the nodes' settings name came back last. Another keeper was up
/// 0.25 to 0.35 s before them, and nobody asked it: clients found no entry that served. A keeper calls the nodes that it
/// knew before.
#[test]
fn a_keeper_that_no_settings_name_is_found_after_all_has_stopped() {
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
    let all = fleet.names().into_iter().filter(|name| name != "keeper");
    let names: Vec<String> = all.collect();
    eventually("the keeper remembers all nodes", || {
        let nodes = fleet.keeper_file(REMEMBERED).unwrap_or_default();
        nodes.matches("\"host\"").count() == names.len()
    });
    drop(processes);
    names.iter().for_each(|name| fleet.name_only_absent_keeper(name));
    let _processes = start_all(&fleet);
    fleet.wait_until_ready();
    let answer = fleet.submit_job_within(0, 1, 2, 50, ANSWER_TIMEOUT).expect("it is answered");
    assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
}
