//! End-to-end tests of real processes: a keeper, an entry, agents and fake targets.

// Tests measure wall-clock time and sleep.
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
fn a_configuration_and_jobs_pass_through_all_processes() {
    let fleet = Fleet::new(2);
    let targets = [target(&fleet, 0), target(&fleet, 1)];
    let _processes = ["keeper", "entry", "agent0", "agent1"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    let answer = fleet.submit_job(1, 10, 100).expect("the request is answered");
    assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
    let starts: usize =
        targets.iter().map(|target| target.observed.lock().unwrap().starts.len()).sum();
    assert_eq!(starts, 10, "each task is started once");
    assert!(targets.iter().all(|target| target.observed.lock().unwrap().max_running <= 8));

    // Malformed or unknown requests get specific status codes.
    let request = |method, path: &str, body: &str| {
        call(fleet.entry_address(), method, path, body, ANSWER_TIMEOUT)
            .expect("the request is answered")
    };
    assert_eq!(request("POST", "/nowhere/0000000000000001", "{}").status, 404);
    assert_eq!(request("POST", "/q/short", "{}").status, 400);
    assert_eq!(request("POST", "/q/0000000000000002", "{\"steps\":").status, 400);
    assert_eq!(request("POST", "/q/0000000000000002", &"x".repeat(20_000)).status, 413);
    let unsupported = request("POST", "/q/0000000000000002", "{\"steps\":[{\"count\":1}]}");
    assert_eq!(unsupported.status, 503);
    assert!(unsupported.body.contains("kept"), "{unsupported:?}");
    assert_eq!(request("GET", "/q/", "").body, "{\"waiting\":0}");
    assert_eq!(request("GET", "/q/0000000000000001", "").status, 410);

    // The configuration is read back as sent, and an invalid one is rejected.
    let fetch = call(fleet.keeper_address(), "GET", "/configuration/fetch", "", ANSWER_TIMEOUT);
    assert!(fetch.is_some_and(|answer| answer.body.contains("\"version\":7")));
    let invalid = "{\"version\":9,\"routes\":[]";
    let refused =
        call(fleet.keeper_address(), "POST", "/configuration/replace", invalid, ANSWER_TIMEOUT);
    assert_eq!(refused.map(|answer| answer.status), Some(400));

    // The metrics count what happened.
    let page = call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT)
        .expect("the metrics page is served")
        .body;
    assert!(page.contains("dockpass_jobs_total{outcome=\"completed\"} 1\n"), "{page}");
    assert!(page.contains("dockpass_configuration_version 7\n"), "{page}");
    assert!(page.contains("dockpass_job_seconds_count{queue=\"q\"} 1\n"), "{page}");
    assert!(page.contains("dockpass_job_phase_seconds_count{phase=\"wait\"} 1\n"), "{page}");
    assert!(page.contains("dockpass_job_phase_seconds_count{phase=\"refused\"} 0\n"), "{page}");
}

/// Guards against metrics that hide the reason of refusals or whether refused jobs had waited.
#[test]
fn metrics_count_refusals_by_reason_and_waiting_times() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let _processes = ["keeper", "entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    // The target has 8 cores and each task takes one, so no further job fits.
    thread::scope(|scope| {
        let busy = scope.spawn(|| fleet.submit_job(1, 8, 1_500));
        eventually("the target is full", || {
            let page = call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT);
            page.is_some_and(|page| page.body.contains("dockpass_starts_total 8\n"))
        });
        for id in 2..5 {
            assert_eq!(fleet.submit_job(id, 4, 50).expect("the request is answered").status, 503);
        }
        assert_eq!(
            busy.join().expect("the thread does not panic").expect("the request is answered").body,
            COMPLETED
        );
    });
    let page = call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT)
        .expect("the metrics page is served")
        .body;
    for line in [
        "dockpass_outcomes_total{outcome=\"not-run\",reason=\"no-room\"} 3",
        "dockpass_outcomes_total{outcome=\"completed\",reason=\"\"} 1",
        "dockpass_queue_refused_total{queue=\"q\",reason=\"no-room\"} 3",
        "dockpass_queue_jobs_total{queue=\"q\",result=\"in_time\"} 1",
        "dockpass_queue_jobs_total{queue=\"q\",result=\"late\"} 0",
        "dockpass_job_phase_seconds_count{phase=\"refused\"} 3",
        "dockpass_job_phase_seconds_count{phase=\"wait\"} 1",
    ] {
        assert!(page.lines().any(|found| found == line), "{line}: {page}");
    }
}

/// Guards against waiting tasks and slow targets that operators can't see, and against waiting
/// tasks that are still shown after they have run.
#[test]
fn metrics_show_waiting_tasks_and_the_speed_of_targets() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let _processes = ["keeper", "entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    let has_line = |line: &str| {
        let page = call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT);
        page.is_some_and(|page| page.body.lines().any(|found| found == line))
    };
    thread::scope(|scope| {
        let busy = scope.spawn(|| fleet.submit_job(1, 8, 1_500));
        eventually("the target is full", || has_line("dockpass_starts_total 8"));
        // The estimate leaves the job enough time to wait until the others end.
        let body = "{\"spec\":\"50\",\"best_effort\":true,\"steps\":[{\"count\":3,\
                    \"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":20000}]}";
        let path = "/q/0000000000000002";
        let address = fleet.entry_address();
        let timeout = Duration::from_secs(10);
        let waiting = scope.spawn(move || call(address, "POST", path, body, timeout));
        eventually("the tasks of the waiting job are counted", || {
            has_line("dockpass_queue_tasks_waiting{queue=\"q\"} 3")
        });
        for job in [busy, waiting] {
            let answer = job.join().expect("the thread does not panic");
            assert_eq!(answer.expect("the request is answered").body, COMPLETED);
        }
    });
    assert!(has_line("dockpass_queue_tasks_waiting{queue=\"q\"} 0"));
    assert!(has_line("dockpass_queue_jobs_total{queue=\"q\",result=\"in_time\"} 2"));
    assert!(has_line("dockpass_run_time_ratio_count{queue=\"q\"} 11"));
    assert!(has_line("dockpass_run_time_ratio_bucket{queue=\"q\",le=\"+Inf\"} 11"));
    let page = call(fleet.agent_metrics_address(0), "GET", "/metrics", "", ANSWER_TIMEOUT)
        .expect("the metrics page is served")
        .body;
    let name = "dockpass_target_slowdown_percent ";
    let percent = page.lines().find_map(|line| line.strip_prefix(name));
    let percent: u32 = percent.and_then(|text| text.parse().ok()).expect("the speed is shown");
    assert!((1..200).contains(&percent), "{page}");
}

/// Guards against immediate refusals and cancellations that are missing from the metrics.
#[test]
fn metrics_count_immediate_answers() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let _processes = ["keeper", "entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    let metrics = || {
        call(fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT)
            .expect("the metrics page is served")
            .body
    };
    let path = "/q/0000000000000001";
    assert_eq!(
        call(fleet.entry_address(), "DELETE", path, "", ANSWER_TIMEOUT).map(|answer| answer.status),
        Some(410)
    );
    assert_eq!(
        fleet.submit_job(1, 1, 50).expect("the request is answered").body,
        "{\"state\":\"cancelled\"}"
    );
    let cancelled = "dockpass_outcomes_total{outcome=\"cancelled\",reason=\"\"} 1";
    assert!(metrics().lines().any(|line| line == cancelled), "{}", metrics());
    // No target has this much CPU; the entry is sure of that only some moments after its start.
    let large = "{\"spec\":\"50\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":64000}]}";
    let mut attempts = 0;
    let no_target = "dockpass_outcomes_total{outcome=\"not-run\",reason=\"no-target\"} 1";
    eventually("the job is refused immediately", || {
        attempts += 1;
        let answer = call(
            fleet.entry_address(),
            "POST",
            &format!("/q/{:016x}", 0xa00 + attempts),
            large,
            ANSWER_TIMEOUT,
        );
        assert_eq!(answer.expect("the request is answered").status, 503);
        metrics().lines().any(|line| line == no_target)
    });
    let refused = format!("dockpass_job_phase_seconds_count{{phase=\"refused\"}} {attempts}");
    assert!(metrics().lines().any(|line| line == refused), "{refused}: {}", metrics());
}

#[test]
fn an_unread_log_blocks_nothing() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let _others = ["keeper", "agent0"].map(|name| fleet.start(name));
    let _entry = fleet.start_with_unread_log("entry");
    fleet.configure(7);
    fleet.wait_until_ready();
    // Each request logs a long line; together they exceed the pipe and the log buffer.
    let path = format!("/q/{}", "long".repeat(1_000));
    for _ in 0..400 {
        let answer = call(fleet.entry_address(), "POST", &path, "{}", ANSWER_TIMEOUT)
            .expect("the request is answered");
        assert_eq!(answer.status, 400);
    }
    let answer = fleet.submit_job(1, 4, 50).expect("the request is answered");
    assert_eq!(answer.body, COMPLETED);
}

#[test]
fn a_planned_stop_of_an_entry_and_an_agent_interrupts_no_job() {
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
            let answer =
                job.join().expect("the thread does not panic").expect("the request is answered");
            assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
            assert!(answer.head.contains("connection: close"), "{answer:?}");
        }
        assert!(agent.wait() && entry.wait(), "both processes exit successfully");
    });
}

#[test]
fn a_killed_agent_ends_its_jobs_and_serves_again_after_a_restart() {
    let fleet = Fleet::new(1);
    let target = target(&fleet, 0);
    let _others = ["keeper", "entry"].map(|name| fleet.start(name));
    let agent = fleet.start("agent0");
    fleet.configure(7);
    fleet.wait_until_ready();
    thread::scope(|scope| {
        let job = scope.spawn(|| fleet.submit_job(1, 2, 300));
        eventually("the tasks are running", || target.observed.lock().unwrap().starts.len() == 2);
        drop(agent);
        let answer =
            job.join().expect("the thread does not panic").expect("the request is answered");
        assert_eq!(answer.status, 504, "the job may have run: {answer:?}");
    });
    let _agent = fleet.start("agent0");
    let mut id = 2;
    eventually("jobs are served again", || {
        id += 1;
        fleet.submit_job(id, 2, 50).is_some_and(|answer| answer.body == COMPLETED)
    });
}

#[test]
fn a_restarted_keeper_keeps_its_configuration_and_entries_serve_without_it() {
    let fleet = Fleet::new(1);
    let _target = target(&fleet, 0);
    let keeper = fleet.start("keeper");
    let _others = ["entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    drop(keeper);
    let answer = fleet.submit_job(1, 2, 50).expect("the request is answered");
    assert_eq!(answer.body, COMPLETED, "the entry serves without a keeper");
    let _keeper = fleet.start("keeper");
    eventually("the configuration is read back", || {
        call(fleet.keeper_address(), "GET", "/configuration/fetch", "", ANSWER_TIMEOUT)
            .is_some_and(|answer| answer.status == 200 && answer.body.contains("\"version\":7"))
    });
}
