//! The whole path as real processes: a keeper, an entry, agents, and stand-ins for targets.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

mod support;

use std::thread;
use std::time::Duration;

use support::{FakeTarget, Fleet, call, eventually};

const COMPLETED: &str = "{\"state\":\"completed\"}";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

fn target(fleet: &Fleet, number: usize) -> FakeTarget {
    FakeTarget::start(
        fleet.target_address(number),
        fleet.agent_address(number),
        &format!("i-{number}"),
    )
}

#[test]
fn a_configuration_and_jobs_travel_the_whole_path() {
    let fleet = Fleet::new(2);
    let targets = [target(&fleet, 0), target(&fleet, 1)];
    let _processes = ["keeper", "entry", "agent0", "agent1"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    let answer = fleet.submit_job(1, 10, 100).expect("it is answered");
    assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
    let starts: usize =
        targets.iter().map(|target| target.observed.lock().unwrap().starts.len()).sum();
    assert_eq!(starts, 10, "each task once");
    assert!(targets.iter().all(|target| target.observed.lock().unwrap().max_running <= 8));

    // What is malformed or unknown gets a clear answer.
    let ask = |method, path: &str, body: &str| {
        call(fleet.entry_address(), method, path, body, ANSWER_TIMEOUT).expect("it is answered")
    };
    assert_eq!(ask("POST", "/nowhere/0000000000000001", "{}").status, 404);
    assert_eq!(ask("POST", "/q/short", "{}").status, 400);
    assert_eq!(ask("POST", "/q/0000000000000002", "{\"steps\":").status, 400);
    assert_eq!(ask("POST", "/q/0000000000000002", &"x".repeat(20_000)).status, 413);
    let kept = ask("POST", "/q/0000000000000002", "{\"steps\":[{\"count\":1}]}");
    assert_eq!(kept.status, 503);
    assert!(kept.body.contains("kept"), "{kept:?}");
    assert_eq!(ask("GET", "/q/", "").body, "{\"waiting\":0}");
    assert_eq!(ask("GET", "/q/0000000000000001", "").status, 410);

    // The configuration is read back as it was sent, and what is invalid is refused.
    let fetch = call(fleet.keeper_address(), "GET", "/configuration/fetch", "", ANSWER_TIMEOUT);
    assert!(fetch.is_some_and(|answer| answer.body.contains("\"version\":7")));
    let invalid = "{\"version\":9,\"routes\":[]";
    let refused =
        call(fleet.keeper_address(), "POST", "/configuration/replace", invalid, ANSWER_TIMEOUT);
    assert_eq!(refused.map(|answer| answer.status), Some(400));

    // The figures name what happened.
    let page =
        call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT).expect("a page").body;
    assert!(page.contains("dockpass_jobs_total{outcome=\"completed\"} 1\n"), "{page}");
    assert!(page.contains("dockpass_configuration_version 7\n"), "{page}");
    assert!(page.contains("dockpass_job_seconds_count{queue=\"q\"} 1\n"), "{page}");
    assert!(page.contains("dockpass_job_phase_seconds_count{phase=\"wait\"} 1\n"), "{page}");
    assert!(page.contains("dockpass_job_phase_seconds_count{phase=\"refused\"} 0\n"), "{page}");
}

/// An operator sees from the figures alone why jobs were refused, and that they were not kept waiting for it.
#[test]
fn the_figures_tell_refusals_by_their_reason_and_how_long_jobs_were_held() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let _processes = ["keeper", "entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    // The target has 8 cores, and each task asks for one: three jobs at once find no room.
    thread::scope(|scope| {
        let busy = scope.spawn(|| fleet.submit_job(1, 8, 1_500));
        eventually("it is full", || {
            let page = call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT);
            page.is_some_and(|page| page.body.contains("dockpass_starts_total 8\n"))
        });
        for id in 2..5 {
            assert_eq!(fleet.submit_job(id, 4, 50).expect("it is answered").status, 503);
        }
        assert_eq!(busy.join().expect("no panic").expect("it is answered").body, COMPLETED);
    });
    let page =
        call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT).expect("a page").body;
    for line in [
        "dockpass_outcomes_total{outcome=\"not-run\",reason=\"no-room\"} 3",
        "dockpass_outcomes_total{outcome=\"completed\",reason=\"\"} 1",
        "dockpass_job_phase_seconds_count{phase=\"refused\"} 3",
        "dockpass_job_phase_seconds_count{phase=\"wait\"} 1",
    ] {
        assert!(page.lines().any(|found| found == line), "{line}: {page}");
    }
}

/// What is refused or cancelled as it comes counts like what was held.
#[test]
fn the_figures_count_answers_that_are_given_at_once() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let _processes = ["keeper", "entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    let figures = || {
        call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT).expect("a page").body
    };
    let path = "/q/0000000000000001";
    assert_eq!(
        call(fleet.entry_address(), "DELETE", path, "", ANSWER_TIMEOUT).map(|answer| answer.status),
        Some(410)
    );
    assert_eq!(
        fleet.submit_job(1, 1, 50).expect("it is answered").body,
        "{\"state\":\"cancelled\"}"
    );
    let cancelled = "dockpass_outcomes_total{outcome=\"cancelled\",reason=\"\"} 1";
    assert!(figures().lines().any(|line| line == cancelled), "{}", figures());
    // No target has so much processor, which the entry is sure of some moments after its start.
    let large = "{\"spec\":\"50\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":64000}]}";
    let mut asked = 0;
    let no_target = "dockpass_outcomes_total{outcome=\"not-run\",reason=\"no-target\"} 1";
    eventually("it is refused as it comes", || {
        asked += 1;
        let answer = call(
            fleet.entry_address(),
            "POST",
            &format!("/q/{:016x}", 0xa00 + asked),
            large,
            ANSWER_TIMEOUT,
        );
        assert_eq!(answer.expect("it is answered").status, 503);
        figures().lines().any(|line| line == no_target)
    });
    let held = format!("dockpass_job_phase_seconds_count{{phase=\"refused\"}} {asked}");
    assert!(figures().lines().any(|line| line == held), "{held}: {}", figures());
}

#[test]
fn a_log_that_nobody_reads_holds_up_nothing() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let _others = ["keeper", "agent0"].map(|name| fleet.start(name));
    let _entry = fleet.start_with_unread_log("entry");
    fleet.configure(7);
    fleet.wait_until_ready();
    // Each of these writes a line of 200 bytes and more: the pipe takes 64 KiB, the ring 4,096 lines.
    let path = format!("/q/{}", "long".repeat(1_000));
    for _ in 0..400 {
        let answer = call(fleet.entry_address(), "POST", &path, "{}", ANSWER_TIMEOUT)
            .expect("it is answered");
        assert_eq!(answer.status, 400);
    }
    let answer = fleet.submit_job(1, 4, 50).expect("it is answered");
    assert_eq!(answer.body, COMPLETED);
}

#[test]
fn a_planned_stop_of_an_entry_and_an_agent_cuts_nothing() {
    let fleet = Fleet::new(2);
    let _targets = [target(&fleet, 0), target(&fleet, 1)];
    let _others = ["keeper", "agent1"].map(|name| fleet.start(name));
    let mut agent = fleet.start("agent0");
    let mut entry = fleet.start("entry");
    fleet.configure(7);
    fleet.wait_until_ready();
    thread::scope(|scope| {
        let jobs: Vec<_> = (1..=4)
            .map(|id| {
                let fleet = &fleet;
                scope.spawn(move || fleet.submit_job(id, 3, 600))
            })
            .collect();
        let busy = || {
            let page = call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT);
            page.is_some_and(|page| page.body.contains("dockpass_starts_total 12\n"))
        };
        eventually("all tasks are started", busy);
        agent.signal("TERM");
        entry.signal("TERM");
        for job in jobs {
            let answer = job.join().expect("no panic").expect("it is answered");
            assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
            assert!(answer.head.contains("connection: close"), "{answer:?}");
        }
        assert!(agent.wait() && entry.wait(), "both end well");
    });
}

#[test]
fn a_killed_agent_ends_its_jobs_and_serves_again_once_it_is_back() {
    let fleet = Fleet::new(1);
    let target = target(&fleet, 0);
    let _others = ["keeper", "entry"].map(|name| fleet.start(name));
    let agent = fleet.start("agent0");
    fleet.configure(7);
    fleet.wait_until_ready();
    thread::scope(|scope| {
        let job = scope.spawn(|| fleet.submit_job(1, 2, 300));
        eventually("it runs", || target.observed.lock().unwrap().starts.len() == 2);
        drop(agent);
        let answer = job.join().expect("no panic").expect("it is answered");
        assert_eq!(answer.status, 504, "it may have run: {answer:?}");
    });
    let _agent = fleet.start("agent0");
    let mut id = 2;
    eventually("jobs are served again", || {
        id += 1;
        fleet.submit_job(id, 2, 50).is_some_and(|answer| answer.body == COMPLETED)
    });
}

#[test]
fn a_keeper_that_restarts_has_its_configuration_and_entries_go_on_without_it() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let keeper = fleet.start("keeper");
    let _others = ["entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    drop(keeper);
    let answer = fleet.submit_job(1, 2, 50).expect("it is answered");
    assert_eq!(answer.body, COMPLETED, "without any keeper");
    let _keeper = fleet.start("keeper");
    eventually("the configuration is read back", || {
        call(fleet.keeper_address(), "GET", "/configuration/fetch", "", ANSWER_TIMEOUT)
            .is_some_and(|answer| answer.status == 200 && answer.body.contains("\"version\":7"))
    });
}
