//! Where tasks are placed when targets differ in speed or jobs name the rack of their data.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dispatch::{
    Action, CallId, DataLocation, Dispatcher, Event, JobRequest, LogEvent, Outcome, Policy, Reason,
    SessionId, Timing,
};
use model::JobId;
use wire::{Load, ToEntry};

use support::{Entry, START, job};

/// An entry with this penalty for tasks away from their data, and with these targets, numbered
/// from 1: free CPU, slowdown in percent, and labels.
fn entry_with(penalty: f64, policy: Policy, targets: &[(u64, u32, &[&str])]) -> Entry {
    let mut entry = Entry::new();
    entry.dispatcher =
        Dispatcher::new(Timing::default(), START).with_policy(policy).with_remote_penalty(penalty);
    for (id, (cpu, slowdown, labels)) in (1..).zip(targets) {
        entry.add_agent(id, *cpu, labels);
        report(&mut entry, id, *cpu, *slowdown);
    }
    entry
}

fn report(entry: &mut Entry, id: u64, cpu: u64, slowdown_percent: u32) {
    let load = Load { slowdown_percent, ..entry.load_with(cpu) };
    entry.handle(Event::FromAgent(SessionId(id), ToEntry::Load(load)));
}

/// Advances time by this many milliseconds, in steps of 10 ms, with a load of every target in each.
fn run_for(entry: &mut Entry, millis: u64, targets: &[(u64, u32, &[&str])]) {
    for _ in 0..millis / 10 {
        entry.now = entry.now + Duration::from_millis(10);
        for (id, (cpu, slowdown, _)) in (1..).zip(targets) {
            report(entry, id, *cpu, *slowdown);
        }
    }
}

fn numbered(number: u32, request: JobRequest) -> JobRequest {
    JobRequest { id: JobId::new(&format!("{number:016x}")), ..request }
}

fn near(label: &str, mut request: JobRequest) -> JobRequest {
    request.shape.affinity = Some(Arc::from(label));
    request
}

fn agents_of(entry: &mut Entry) -> Vec<u64> {
    entry.take_starts().iter().map(|(agent, ..)| *agent).collect()
}

fn is_refused(entry: &Entry, call: CallId) -> bool {
    matches!(entry.answer(call), Some(Outcome::NotRun { reason: Reason::NoCapacity, .. }))
}

/// Guards against an empty slow target that is preferred to a fast half-full one although the task
/// would be late there.
#[test]
fn a_task_is_placed_where_it_is_in_time() {
    let targets: &[(u64, u32, &[&str])] =
        &[(16_000, 250, &[]), (6_000, 100, &[]), (1_000, 100, &[])];
    let mut entry = entry_with(1.0, Policy::default(), targets);
    entry.submit(job(1, 200));
    assert_eq!(agents_of(&mut entry), [2]);
    let policy = Policy { predicted_end: false, ..Policy::default() };
    let mut entry = entry_with(1.0, policy, &[(16_000, 180, &[]), (6_000, 100, &[])]);
    entry.submit(job(1, 400));
    assert_eq!(agents_of(&mut entry), [1], "without the part, by free capacity");
}

/// Guards against results of no use that keep tasks which are in time from being placed.
#[test]
fn tasks_that_are_of_no_use_do_not_block_others() {
    let targets: &[(u64, u32, &[&str])] = &[(0, 60, &[]), (0, 100, &[])];
    let policy = Policy { early_refusal: false, ..Policy::default() };
    let mut entry = entry_with(1.0, policy, targets);
    // 32 tasks that take ten times as long as the caller waits for them.
    for number in 0..4 {
        let objective = Duration::from_millis(90);
        entry.submit(numbered(number, JobRequest { objective, ..job(8, 900) }));
    }
    entry.submit(JobRequest { priority: 1, ..job(1, 200) });
    report(&mut entry, 2, 16_000, 100);
    assert_eq!(entry.take_starts().len(), 1);
}

/// Guards against tasks that take a multiple of the time elsewhere although their rack frees up
/// sooner.
#[test]
fn a_task_waits_for_its_rack_while_that_ends_earlier() {
    let targets: &[(u64, u32, &[&str])] = &[(0, 100, &["r1"]), (16_000, 100, &["r2"])];
    let mut entry = entry_with(3.0, Policy::default(), targets);
    entry.submit(near("r1", job(2, 200)));
    run_for(&mut entry, 30, targets);
    assert!(entry.take_starts().is_empty(), "elsewhere, the tasks would be late");
    report(&mut entry, 1, 3_300, 100);
    assert_eq!(agents_of(&mut entry), [1, 1]);
    let policy = Policy { data_demand: false, ..Policy::default() };
    let mut entry = entry_with(3.0, policy, targets);
    entry.submit(near("r1", job(2, 200)));
    assert_eq!(agents_of(&mut entry), [2, 2], "without the part, at once");
}

/// Guards against tasks that wait for their rack beyond the time that running elsewhere costs.
#[test]
fn a_task_runs_elsewhere_once_waiting_has_cost_as_much() {
    let targets: &[(u64, u32, &[&str])] = &[(0, 100, &["r1"]), (16_000, 100, &["r2"])];
    let mut entry = entry_with(1.1, Policy::default(), targets);
    entry.submit(near("r1", job(2, 200)));
    run_for(&mut entry, 10, targets);
    assert!(entry.take_starts().is_empty(), "elsewhere, the tasks take 20 ms more");
    run_for(&mut entry, 20, targets);
    let starts = entry.take_starts();
    assert!(starts.len() == 2 && starts.iter().all(|(agent, ..)| *agent == 2));
    // The agent must not take the time away from the data for slowness of its target.
    assert!(starts.iter().all(|(.., start)| start.estimated_ms == 220));
}

/// Guards against tasks that wait for a rack that is lost or cut off.
#[test]
fn tasks_of_a_lost_rack_run_elsewhere_at_once() {
    let targets: &[(u64, u32, &[&str])] = &[(0, 100, &["r1"]), (16_000, 100, &["r2"])];
    let mut entry = entry_with(3.0, Policy::default(), targets);
    entry.submit(near("r1", job(2, 200)));
    assert!(entry.take_starts().is_empty());
    entry.handle(Event::AgentClosed(SessionId(1)));
    assert_eq!(agents_of(&mut entry), [2, 2]);
    entry.submit(numbered(2, near("r1", job(1, 200))));
    assert_eq!(agents_of(&mut entry), [2]);
}

/// Guards against jobs that wait a fifth of their objective although they can be in time neither
/// near their data nor elsewhere, and against refusals on a guess.
#[test]
fn a_job_that_is_late_near_its_data_and_elsewhere_is_refused_at_once() {
    let targets: &[(u64, u32, &[&str])] = &[(0, 100, &["r1"]), (16_000, 100, &["r2"])];
    let mut entry = entry_with(3.0, Policy::default(), targets);
    // Late already without a wait.
    let objective = Duration::from_millis(190);
    let late = entry.submit(near("r1", JobRequest { objective, ..job(2, 200) }));
    assert!(is_refused(&entry, late));
    let in_time = entry.submit(numbered(2, near("r1", job(2, 200))));
    assert_eq!(entry.answer(in_time), None);
    assert!(entry.take_starts().is_empty());
    entry.handle(Event::Cancel(JobId::new(&format!("{:016x}", 2))));
    // 20 waiting tasks find a target of the rack within a second; 16 tasks are then ahead of the
    // next job, for which the rack takes most of a second.
    for number in 3..23 {
        entry.submit(numbered(number, near("r1", job(1, 200))));
        entry.now = entry.now + Duration::from_millis(10);
        report(&mut entry, 1, 1_600, 100);
        report(&mut entry, 1, 0, 100);
        report(&mut entry, 2, 16_000, 100);
        assert_eq!(agents_of(&mut entry), [1], "job {number}");
    }
    let ahead: Vec<CallId> =
        (30..34).map(|number| entry.submit(numbered(number, near("r1", job(4, 200))))).collect();
    assert_eq!(entry.answer(ahead[0]), None, "the first of them can be in time");
    let last = entry.submit(numbered(40, near("r1", job(2, 200))));
    assert!(is_refused(&entry, last));
    assert!(entry.take_starts().is_empty());
}

/// Guards against other tasks that fill a rack in demand while there is room elsewhere.
#[test]
fn other_tasks_avoid_a_rack_in_demand() {
    let targets: &[(u64, u32, &[&str])] = &[(16_000, 100, &["r1"]), (2_000, 100, &["r2"])];
    let fill_rack = |policy: Policy, penalty: f64| {
        let mut entry = entry_with(penalty, policy, targets);
        for number in 0..2 {
            entry.submit(numbered(number, near("r1", job(8, 60))));
            report(&mut entry, 1, 16_000, 100);
        }
        assert_eq!(agents_of(&mut entry), [1; 16]);
        entry
    };
    let mut entry = fill_rack(Policy::default(), 2.0);
    entry.submit(numbered(10, job(2, 200)));
    // Starts are sent in the order of the agents.
    assert_eq!(agents_of(&mut entry), [1, 2], "the rack only once there is no room elsewhere");
    report(&mut entry, 2, 2_000, 100);
    run_for(&mut entry, 1_200, &[(16_000, 100, &["r1"]), (4_000, 100, &["r2"])]);
    entry.submit(numbered(11, job(1, 200)));
    assert_eq!(agents_of(&mut entry), [1], "the demand is over");
    let mut entry = fill_rack(Policy::default(), 1.0);
    entry.submit(numbered(10, job(1, 200)));
    let by_capacity = agents_of(&mut entry);
    let mut entry = fill_rack(Policy { data_demand: false, ..Policy::default() }, 2.0);
    entry.submit(numbered(10, job(1, 200)));
    assert_eq!(agents_of(&mut entry), by_capacity, "without a penalty, as without the part");
}

/// Guards against decision lines that don't tell whether a task ran near its data.
#[test]
fn the_placement_line_tells_where_the_data_is() {
    let mut entry =
        entry_with(1.0, Policy::default(), &[(1_700, 100, &["r1"]), (16_000, 100, &["r2"])]);
    let mut actions = Vec::new();
    let requests = [numbered(1, near("r1", job(2, 200))), numbered(2, job(1, 200))];
    for (call, request) in (1..).zip(requests) {
        let event = Event::Submit(CallId(call), request);
        entry.dispatcher.handle(entry.now, event, &mut actions);
    }
    let placed: Vec<Option<DataLocation>> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Log(LogEvent::Placed { data, .. }) => Some(*data),
            _ => None,
        })
        .collect();
    assert_eq!(placed, [Some(DataLocation::Near), Some(DataLocation::Away), None]);
}
