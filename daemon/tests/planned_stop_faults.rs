//! Runs with overlapping planned stops and restarts of real processes under load: every request
//! that a process has read gets a complete answer.
//!
//! All runs are seeded. `DOCKPASS_STOP_SEEDS` and `DOCKPASS_KEEPER_STOP_SEEDS` (`FIRST..END`)
//! select other seeds, `DOCKPASS_STOP_ENTRIES`, `DOCKPASS_STOP_AGENTS` and `DOCKPASS_STOP_CALLERS`
//! the size of the fleet, and `DOCKPASS_KEEPER_FOLDER` the parent of the keeper's data folder.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod stops;
mod support;

use std::sync::atomic::Ordering;
use std::thread;

use stops::{
    Action, Actions, Client, FIRST_VERSION, KEEPER, Node, Record, TestRun, print_summary,
    run_actions,
};
use support::checks::{self, ObservedRuns};
use support::{FakeTarget, Fleet, eventually, number_from_env, seeds_from_env};

const ENTRIES: usize = 3;
const AGENTS: usize = 6;
/// Clients that send requests continuously.
const CALLERS: usize = 12;
/// Clients per caller that wait for a stop with an idle connection.
const WAITERS_PER_CALLER: u64 = 6;

/// Seeds that failed when a stopping entry exited before answering jobs with tasks longer than
/// estimated.
const REGRESSIONS: [u64; 2] = [6, 18];

/// Operators in the run that stops the keeper.
const OPERATORS: u64 = 4;

/// Actions on all roles; mostly stops of entries, which are few.
const ACTIONS: Actions = &[
    ("entry", Action::Stop),
    ("entry", Action::Stop),
    ("entry", Action::Stop),
    ("entry", Action::Stop),
    ("entry", Action::Stop),
    ("agent", Action::Stop),
    ("agent", Action::Stop),
    ("agent", Action::Kill),
    (KEEPER, Action::Stop),
    ("entry", Action::Reload),
    ("agent", Action::Reload),
    (KEEPER, Action::Reload),
];
/// Actions on the keeper.
const KEEPER_ACTIONS: Actions =
    &[(KEEPER, Action::Stop), (KEEPER, Action::Stop), (KEEPER, Action::Reload)];

#[test]
fn planned_stops_cut_no_request_that_was_read() {
    let entries = number_from_env("DOCKPASS_STOP_ENTRIES", ENTRIES);
    let agents = number_from_env("DOCKPASS_STOP_AGENTS", AGENTS);
    let callers = number_from_env("DOCKPASS_STOP_CALLERS", CALLERS) as u64;
    let clients = Clients { callers, waiters: callers * WAITERS_PER_CALLER, operators: 0 };
    let mut faults = Vec::new();
    for seed in seeds_from_env("DOCKPASS_STOP_SEEDS", &REGRESSIONS) {
        let fleet = Fleet::with_keeper_in_memory(entries, agents);
        faults.extend(run(seed, &fleet, ACTIONS, clients));
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

#[test]
fn planned_stops_of_a_keeper_cut_no_call_of_an_operator() {
    let clients = Clients { callers: 1, waiters: 0, operators: OPERATORS };
    let mut faults = Vec::new();
    for seed in seeds_from_env("DOCKPASS_KEEPER_STOP_SEEDS", &[]) {
        faults.extend(run(seed, &Fleet::with_keeper_in_memory(1, 1), KEEPER_ACTIONS, clients));
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Number of clients of each kind in a run.
#[derive(Clone, Copy)]
struct Clients {
    callers: u64,
    waiters: u64,
    operators: u64,
}

/// Runs one seed; returns the faults found.
fn run(seed: u64, fleet: &Fleet, actions: Actions, clients: Clients) -> Vec<String> {
    let agents = fleet.names().iter().filter(|name| name.starts_with("agent")).count();
    let targets: Vec<FakeTarget> = (0..agents)
        .map(|number| {
            FakeTarget::start(
                fleet.target_address(number),
                fleet.agent_address(number),
                &format!("i-{number}"),
            )
        })
        .collect();
    let mut nodes: Vec<Node> =
        fleet.names().into_iter().map(|name| Node::start(fleet, name)).collect();
    fleet.configure(FIRST_VERSION);
    fleet.wait_until_ready();
    let test_run = TestRun::new(seed, fleet, actions);
    let mut faults = Vec::new();
    thread::scope(|scope| {
        let test_run = &test_run;
        for entry in 0..fleet.entry_count() {
            scope.spawn(move || test_run.balancer.probe_until_finished(entry, &test_run.finished));
        }
        let Clients { callers, waiters, operators } = clients;
        for client in 0..callers {
            scope.spawn(move || Client::new(test_run, client).run_requests());
        }
        for client in callers..callers + waiters {
            scope.spawn(move || Client::new(test_run, client).wait_for_stops());
        }
        for client in callers + waiters..callers + waiters + operators {
            scope.spawn(move || Client::new(test_run, client).run_operator());
        }
        faults.extend(run_actions(test_run, &mut nodes));
        test_run.finished.store(true, Ordering::Relaxed);
    });
    fleet.wait_until_ready();
    let mut id = 0xcafe_0000;
    eventually("jobs are completed after the stops", || {
        id += 1;
        fleet.submit_job(id, 3, 50).is_some_and(|answer| answer.status == 200)
    });
    let records = test_run.records.into_inner().expect("no client panicked");
    faults.extend(collect_faults(&records, &targets));
    faults.iter().map(|fault| format!("seed {seed}: {fault}")).collect()
}

/// Collects wrong answers and overlapping runs.
fn collect_faults(records: &[Record], targets: &[FakeTarget]) -> Vec<String> {
    let observed_runs = ObservedRuns::of(targets);
    let mut faults: Vec<String> =
        records.iter().filter_map(|record| record.fault(&observed_runs)).collect();
    let overlapping = checks::overlapping_runs(targets);
    faults.extend(overlapping.iter().map(|task| format!("{task} had overlapping runs")));
    print_summary(records);
    if !records.iter().any(|record| record.entry.is_some() && record.is_answered(200)) {
        faults.push("no job was completed".to_owned());
    }
    faults
}
