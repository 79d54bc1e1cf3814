//! Jobs and requests through a complete cluster, from the HTTP client to the targets.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use api::RequestBody;
use client::{Outcome, new_submission_id, submission_id_at};
use fakes::{Behaviour, ServiceTime};
use model::{SubmissionId, Verdict};
use support::{
    answers, check_and_stop, cluster_options, entry_client, job, run_async, start_cluster,
};

/// Long enough that the job is still running at the next step of the test.
const SLOW: ServiceTime = ServiceTime::FromTaskHash { min_ms: 150, max_ms: 160 };

fn failure(outcome: &Outcome) -> (u16, &str, Verdict) {
    match outcome {
        Outcome::Failed { status, code, verdict, .. } => (*status, code, *verdict),
        Outcome::Complete(_) => panic!("the job unexpectedly completed: {outcome:?}"),
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
fn jobs_and_requests_return_every_answer_in_order() {
    let cluster = start_cluster(cluster_options());
    let entries = [cluster.entry_address(0), cluster.entry_address(1)];
    run_async(|tasks| async move {
        for entry in entries {
            let client = entry_client(entry, &tasks);
            let texts: Vec<String> = (0..690).map(|n| format!("seat {n}")).collect();
            let tasks: Vec<&str> = texts.iter().map(String::as_str).collect();
            let outcome = client.submit_job(new_submission_id(), &job(&tasks)).await.unwrap();
            let expected: Vec<String> = texts.iter().map(|text| format!("done: {text}")).collect();
            assert_eq!(answers(&outcome), expected);
            for repeatable in [false, true] {
                let body = request("12:30", repeatable);
                let outcome = client.submit_request(new_submission_id(), &body).await.unwrap();
                assert_eq!(answers(&outcome), ["done: 12:30"]);
            }
        }
    });
    check_and_stop(cluster);
}

#[test]
fn resubmission_returns_the_same_outcome_at_any_entry() {
    let cluster = start_cluster(cluster_options());
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    run_async(|tasks| async move {
        let (first, second) = (entry_client(first, &tasks), entry_client(second, &tasks));
        let id = new_submission_id();
        let body = job(&["seat 1", "seat 2"]);
        let outcome = first.submit_job(id, &body).await.unwrap();
        assert_eq!(first.submit_job(id, &body).await.unwrap(), outcome);
        assert_eq!(second.submit_job(id, &body).await.unwrap(), outcome);
        assert_eq!(first.fetch_outcome(id).await.unwrap(), outcome);
        assert_eq!(second.fetch_outcome(id).await.unwrap(), outcome);
        let other = job(&["seat 3"]);
        for client in [&first, &second] {
            let outcome = client.submit_job(id, &other).await.unwrap();
            assert_eq!(failure(&outcome), (409, "id-conflict", Verdict::MayHaveRun));
        }
    });
    let started_tasks: usize =
        cluster.targets().iter().map(|target| target.start_summary().0).sum();
    assert_eq!(started_tasks, 2);
    check_and_stop(cluster);
}

#[test]
fn resubmission_attaches_to_the_running_job() {
    let cluster =
        start_cluster(testbed::ClusterOptions { service_time: SLOW, ..cluster_options() });
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    run_async(|tasks| async move {
        let id = new_submission_id();
        let body = job(&["seat 1"]);
        let clients = [first, second, first].map(|entry| entry_client(entry, &tasks));
        let outcomes =
            futures::future::join_all(clients.iter().map(|client| client.submit_job(id, &body)))
                .await;
        let is_complete = |outcome: &Result<Outcome, _>| matches!(outcome, Ok(Outcome::Complete(answers)) if answers.len() == 1);
        // Concurrent claims may leave an entry without a quorum, so that its client gets a failure.
        assert!(outcomes.iter().any(is_complete), "{outcomes:?}");
    });
    let started_tasks: usize =
        cluster.targets().iter().map(|target| target.start_summary().0).sum();
    assert!(started_tasks <= 1);
    check_and_stop(cluster);
}

#[test]
fn invalid_submissions_are_rejected_and_later_jobs_complete() {
    let cluster = start_cluster(cluster_options());
    let entry = cluster.entry_address(0);
    run_async(|tasks| async move {
        let client = entry_client(entry, &tasks);
        let mut unknown_job = job(&["seat 1"]);
        unknown_job.kind = "refunds".to_owned();
        let outcome = client.submit_job(new_submission_id(), &unknown_job).await.unwrap();
        assert_eq!(failure(&outcome), (404, "unknown-kind", Verdict::NotRun));
        unknown_job.service = "bookings".to_owned();
        let outcome = client.submit_job(new_submission_id(), &unknown_job).await.unwrap();
        assert_eq!(failure(&outcome), (404, "unknown-service", Verdict::NotRun));
        let outcome = client.submit_job(new_submission_id(), &job(&[])).await.unwrap();
        assert_eq!(failure(&outcome), (400, "bad-body", Verdict::NotRun));
        let long_task = "x".repeat(20_000);
        let outcome = client.submit_job(new_submission_id(), &job(&[&long_task])).await.unwrap();
        assert_eq!(failure(&outcome), (413, "too-large", Verdict::NotRun));
        let outcome = client.fetch_outcome(new_submission_id()).await.unwrap();
        assert_eq!(failure(&outcome), (404, "unknown-id", Verdict::MayHaveRun));
        let expired_id: SubmissionId = submission_id_at(Duration::from_secs(1_000_000_000));
        let outcome = client.submit_job(expired_id, &job(&["seat 1"])).await.unwrap();
        assert_eq!(failure(&outcome), (410, "id-too-old", Verdict::MayHaveRun));
        let future_id = submission_id_at(Duration::from_secs(10_000_000_000));
        let outcome = client.submit_job(future_id, &job(&["seat 1"])).await.unwrap();
        assert_eq!(failure(&outcome), (400, "id-too-new", Verdict::NotRun));
        let outcome = client.submit_job(new_submission_id(), &job(&["seat 1"])).await.unwrap();
        assert_eq!(answers(&outcome), ["done: seat 1"]);
    });
    check_and_stop(cluster);
}

#[test]
fn malformed_and_dropped_connections_do_not_stop_jobs() {
    let cluster =
        start_cluster(testbed::ClusterOptions { service_time: SLOW, ..cluster_options() });
    let entry = cluster.entry_address(0);
    let mut malformed_stream = TcpStream::connect(entry).unwrap();
    malformed_stream.write_all(b"\x00\xffnot http\r\n\r\n").unwrap();
    // The entry may respond with an error or only close the connection.
    let _ = malformed_stream.read_to_end(&mut Vec::new());
    let partial_stream = TcpStream::connect(entry).unwrap();
    (&partial_stream).write_all(b"PUT /v1/jobs/x HTTP/1.1\r\nHo").unwrap();

    let id = new_submission_id();
    let body = serde_json::to_vec(&job(&["seat 1"])).unwrap();
    let head =
        format!("PUT /v1/jobs/{id} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut abandoned_stream = TcpStream::connect(entry).unwrap();
    abandoned_stream.write_all(head.as_bytes()).unwrap();
    abandoned_stream.write_all(&body).unwrap();
    cluster.wait_for(|cluster| cluster.entry_counters()[0].placed == 1).unwrap();
    drop(abandoned_stream);

    let other = cluster.entry_address(1);
    run_async(|tasks| async move {
        let outcome = entry_client(other, &tasks).fetch_outcome(id).await.unwrap();
        assert_eq!(answers(&outcome), ["done: seat 1"]);
    });
    check_and_stop(cluster);
}

#[test]
fn failing_target_fails_the_job_with_verdict_ran() {
    let cluster =
        start_cluster(testbed::ClusterOptions { behaviour: Behaviour::Fail, ..cluster_options() });
    let entry = cluster.entry_address(0);
    run_async(|tasks| async move {
        let client = entry_client(entry, &tasks);
        let outcome = client.submit_job(new_submission_id(), &job(&["seat 1"])).await.unwrap();
        assert_eq!(failure(&outcome), (502, "target-failed", Verdict::Ran));
    });
    check_and_stop(cluster);
}

#[test]
fn hanging_target_fails_the_job_at_its_deadline() {
    let cluster =
        start_cluster(testbed::ClusterOptions { behaviour: Behaviour::Hang, ..cluster_options() });
    let entry = cluster.entry_address(0);
    run_async(|tasks| async move {
        let mut body = job(&["seat 1"]);
        body.deadline_ms = Some(100);
        let outcome =
            entry_client(entry, &tasks).submit_job(new_submission_id(), &body).await.unwrap();
        assert_eq!(failure(&outcome), (504, "deadline-passed", Verdict::MayHaveRun));
    });
    check_and_stop(cluster);
}
