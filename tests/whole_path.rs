//! Requests through all roles, each with its own threads and sockets.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use api::RequestBody;
use client::{Outcome, new_submission_id, submission_id_at};
use fakes::{Behaviour, ServiceTime};
use model::{SubmissionId, Verdict};
use support::{answers, caller, finish, job, options, run, start};

const SLOW: ServiceTime = ServiceTime::FromTaskHash { min_ms: 150, max_ms: 160 };

fn failure(outcome: &Outcome) -> (u16, &str, Verdict) {
    match outcome {
        Outcome::Failed { status, code, verdict, .. } => (*status, code, *verdict),
        Outcome::Complete(_) => panic!("unexpectedly whole: {outcome:?}"),
    }
}

fn request(task: &str, repeatable: bool) -> RequestBody {
    RequestBody {
        service: "booking".to_owned(),
        kind: "lookups".to_owned(),
        task: task.into(),
        deadline_ms: Some(10_000),
        repeatable,
    }
}

#[test]
fn jobs_and_requests_are_answered_whole_and_in_order() {
    let cluster = start(options());
    let entries = [cluster.entry_address(0), cluster.entry_address(1)];
    run(|tasks| async move {
        for entry in entries {
            let caller = caller(entry, &tasks);
            let texts: Vec<String> = (0..690).map(|n| format!("seat {n}")).collect();
            let tasks: Vec<&str> = texts.iter().map(String::as_str).collect();
            let outcome = caller.submit_job(new_submission_id(), &job(&tasks)).await.unwrap();
            let expected: Vec<String> = texts.iter().map(|text| format!("done: {text}")).collect();
            assert_eq!(answers(&outcome), expected);
            for repeatable in [false, true] {
                let body = request("12:30", repeatable);
                let outcome = caller.submit_request(new_submission_id(), &body).await.unwrap();
                assert_eq!(answers(&outcome), ["done: 12:30"]);
            }
        }
    });
    finish(cluster);
}

#[test]
fn a_resubmission_gets_the_same_answer_at_any_entry() {
    let cluster = start(options());
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    run(|tasks| async move {
        let (first, second) = (caller(first, &tasks), caller(second, &tasks));
        let id = new_submission_id();
        let body = job(&["seat 1", "seat 2"]);
        let outcome = first.submit_job(id, &body).await.unwrap();
        assert_eq!(first.submit_job(id, &body).await.unwrap(), outcome);
        assert_eq!(second.submit_job(id, &body).await.unwrap(), outcome);
        assert_eq!(first.fetch_outcome(id).await.unwrap(), outcome);
        assert_eq!(second.fetch_outcome(id).await.unwrap(), outcome);
        let other = job(&["seat 3"]);
        for caller in [&first, &second] {
            let outcome = caller.submit_job(id, &other).await.unwrap();
            assert_eq!(failure(&outcome), (409, "id-conflict", Verdict::MayHaveRun));
        }
    });
    let started: usize = cluster.targets().iter().map(|target| target.start_summary().0).sum();
    assert_eq!(started, 2);
    finish(cluster);
}

#[test]
fn a_resubmission_joins_the_running_job() {
    let cluster = start(testbed::ClusterOptions { service_time: SLOW, ..options() });
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    run(|tasks| async move {
        let id = new_submission_id();
        let body = job(&["seat 1"]);
        let callers = [first, second, first].map(|entry| caller(entry, &tasks));
        let outcomes =
            futures::future::join_all(callers.iter().map(|caller| caller.submit_job(id, &body)))
                .await;
        let whole = |outcome: &Result<Outcome, _>| matches!(outcome, Ok(Outcome::Complete(answers)) if answers.len() == 1);
        // Claims that cross may leave one entry without a quorum: then it says so.
        assert!(outcomes.iter().any(whole), "{outcomes:?}");
    });
    let started: usize = cluster.targets().iter().map(|target| target.start_summary().0).sum();
    assert!(started <= 1);
    finish(cluster);
}

#[test]
fn bad_input_is_refused_as_not_run_and_harms_nothing() {
    let cluster = start(options());
    let entry = cluster.entry_address(0);
    run(|tasks| async move {
        let caller = caller(entry, &tasks);
        let mut unknown = job(&["seat 1"]);
        unknown.kind = "refunds".to_owned();
        let outcome = caller.submit_job(new_submission_id(), &unknown).await.unwrap();
        assert_eq!(failure(&outcome), (404, "unknown-kind", Verdict::NotRun));
        unknown.service = "bookings".to_owned();
        let outcome = caller.submit_job(new_submission_id(), &unknown).await.unwrap();
        assert_eq!(failure(&outcome), (404, "unknown-service", Verdict::NotRun));
        let outcome = caller.submit_job(new_submission_id(), &job(&[])).await.unwrap();
        assert_eq!(failure(&outcome), (400, "bad-body", Verdict::NotRun));
        let long = "x".repeat(20_000);
        let outcome = caller.submit_job(new_submission_id(), &job(&[&long])).await.unwrap();
        assert_eq!(failure(&outcome), (413, "too-large", Verdict::NotRun));
        let outcome = caller.fetch_outcome(new_submission_id()).await.unwrap();
        assert_eq!(failure(&outcome), (404, "unknown-id", Verdict::MayHaveRun));
        let old: SubmissionId = submission_id_at(Duration::from_secs(1_000_000_000));
        let outcome = caller.submit_job(old, &job(&["seat 1"])).await.unwrap();
        assert_eq!(failure(&outcome), (410, "id-too-old", Verdict::MayHaveRun));
        let future = submission_id_at(Duration::from_secs(10_000_000_000));
        let outcome = caller.submit_job(future, &job(&["seat 1"])).await.unwrap();
        assert_eq!(failure(&outcome), (400, "id-too-new", Verdict::NotRun));
        let outcome = caller.submit_job(new_submission_id(), &job(&["seat 1"])).await.unwrap();
        assert_eq!(answers(&outcome), ["done: seat 1"]);
    });
    finish(cluster);
}

#[test]
fn clients_that_speak_no_http_or_hang_up_harm_nothing() {
    let cluster = start(testbed::ClusterOptions { service_time: SLOW, ..options() });
    let entry = cluster.entry_address(0);
    let mut babble = TcpStream::connect(entry).unwrap();
    babble.write_all(b"\x00\xffnot http\r\n\r\n").unwrap();
    // The server answers with an error or just closes; either way it goes on.
    let _ = babble.read_to_end(&mut Vec::new());
    let half = TcpStream::connect(entry).unwrap();
    (&half).write_all(b"PUT /v1/jobs/x HTTP/1.1\r\nHo").unwrap();

    let id = new_submission_id();
    let body = serde_json::to_vec(&job(&["seat 1"])).unwrap();
    let head =
        format!("PUT /v1/jobs/{id} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut leaver = TcpStream::connect(entry).unwrap();
    leaver.write_all(head.as_bytes()).unwrap();
    leaver.write_all(&body).unwrap();
    cluster.wait_for(|cluster| cluster.entry_counters()[0].placed == 1).unwrap();
    drop(leaver);

    let other = cluster.entry_address(1);
    run(|tasks| async move {
        let outcome = caller(other, &tasks).fetch_outcome(id).await.unwrap();
        assert_eq!(answers(&outcome), ["done: seat 1"]);
    });
    finish(cluster);
}

#[test]
fn a_failing_target_gives_a_failed_job_that_ran() {
    let cluster = start(testbed::ClusterOptions { behaviour: Behaviour::Fail, ..options() });
    let entry = cluster.entry_address(0);
    run(|tasks| async move {
        let caller = caller(entry, &tasks);
        let outcome = caller.submit_job(new_submission_id(), &job(&["seat 1"])).await.unwrap();
        assert_eq!(failure(&outcome), (502, "target-failed", Verdict::Ran));
    });
    finish(cluster);
}

#[test]
fn a_stuck_target_gives_a_failed_job_at_its_deadline() {
    let cluster = start(testbed::ClusterOptions { behaviour: Behaviour::Hang, ..options() });
    let entry = cluster.entry_address(0);
    run(|tasks| async move {
        let mut body = job(&["seat 1"]);
        body.deadline_ms = Some(100);
        let outcome = caller(entry, &tasks).submit_job(new_submission_id(), &body).await.unwrap();
        assert_eq!(failure(&outcome), (504, "deadline-passed", Verdict::MayHaveRun));
    });
    finish(cluster);
}
