//! Nodes that are drained, killed or marked as leaving.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use client::{Outcome, new_submission_id};
use fakes::ServiceTime;
use model::Verdict;
use support::{
    answers, check_and_stop, cluster_options, entry_client, job, run_async, start_cluster,
};
use testbed::{Cluster, ClusterOptions};

/// Long enough that the job is still running when the node stops.
const SLOW: ServiceTime = ServiceTime::FromTaskHash { min_ms: 300, max_ms: 310 };
const TASKS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// Submits a job to the first entry from another thread, and waits until all its tasks are running.
fn submit_and_wait(cluster: &Cluster) -> std::thread::JoinHandle<Outcome> {
    let entry = cluster.entry_address(0);
    let submission = std::thread::spawn(move || {
        run_async(|tasks| async move {
            entry_client(entry, &tasks).submit_job(new_submission_id(), &job(&TASKS)).await.unwrap()
        })
    });
    let running = |cluster: &Cluster| -> u64 {
        cluster.agent_counters().iter().map(|counters| counters.running).sum()
    };
    cluster.wait_for(|cluster| running(cluster) == TASKS.len() as u64).unwrap();
    submission
}

#[test]
fn draining_an_agent_lets_running_jobs_complete() {
    let mut cluster = start_cluster(ClusterOptions { service_time: SLOW, ..cluster_options() });
    let submission = submit_and_wait(&cluster);
    cluster.drain_agent(0);
    let outcome = submission.join().unwrap();
    assert_eq!(answers(&outcome).len(), TASKS.len());
    check_and_stop(cluster);
}

#[test]
fn draining_an_entry_lets_running_jobs_complete() {
    let mut cluster = start_cluster(ClusterOptions { service_time: SLOW, ..cluster_options() });
    let submission = submit_and_wait(&cluster);
    cluster.drain_entry(0);
    let outcome = submission.join().unwrap();
    assert_eq!(answers(&outcome).len(), TASKS.len());
    check_and_stop(cluster);
}

#[test]
fn agent_listed_as_leaving_gets_no_new_tasks() {
    let cluster = start_cluster(cluster_options());
    cluster.mark_agent_leaving(1);
    let entries = [cluster.entry_address(0), cluster.entry_address(1)];
    let both_entries_run = |cluster: &Cluster| {
        // No counter shows when the entries learn that the agent is leaving, so jobs are repeated
        // below until none of their tasks start there.
        cluster.entry_counters().len() == 2
    };
    cluster.wait_for(both_entries_run).unwrap();
    cluster
        .wait_for(|cluster| {
            let before = cluster.target(1).start_summary().0;
            run_async(|tasks| async move {
                for entry in entries {
                    let client = entry_client(entry, &tasks);
                    let outcome =
                        client.submit_job(new_submission_id(), &job(&TASKS)).await.unwrap();
                    assert_eq!(answers(&outcome).len(), TASKS.len());
                }
            });
            cluster.target(1).start_summary().0 == before
        })
        .unwrap();
    check_and_stop(cluster);
}

#[test]
fn killing_an_agent_fails_its_job_with_verdict_may_have_run() {
    let mut cluster = start_cluster(ClusterOptions { service_time: SLOW, ..cluster_options() });
    let submission = submit_and_wait(&cluster);
    // Two agents have capacity for the whole job, so the third may run no task.
    let running: Vec<u64> =
        cluster.agent_counters().iter().map(|counters| counters.running).collect();
    let busiest = (0..running.len()).max_by_key(|index| running[*index]).unwrap();
    assert!(running[busiest] > 0);
    cluster.kill_agent(busiest);
    match submission.join().unwrap() {
        Outcome::Failed { code, verdict, .. } => {
            assert_eq!((code.as_str(), verdict), ("target-lost", Verdict::MayHaveRun));
        }
        Outcome::Complete(_) => panic!("the job completed without the killed agent's answers"),
    }
    check_and_stop(cluster);
}

#[test]
fn resubmission_after_the_owner_died_fails_without_a_second_start() {
    let mut cluster = start_cluster(ClusterOptions { service_time: SLOW, ..cluster_options() });
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    let id = new_submission_id();
    let submission = std::thread::spawn(move || {
        run_async(
            |tasks| async move { entry_client(first, &tasks).submit_job(id, &job(&TASKS)).await },
        )
    });
    cluster.wait_for(|cluster| cluster.entry_counters()[0].placed > 0).unwrap();
    cluster.kill_entry(0);
    // The client lost its connection or got a failure, as the entry was killed before the answer.
    let outcome = submission.join().unwrap();
    assert!(!matches!(outcome, Ok(Outcome::Complete(_))), "{outcome:?}");
    run_async(|tasks| async move {
        let outcome = entry_client(second, &tasks).submit_job(id, &job(&TASKS)).await.unwrap();
        match outcome {
            Outcome::Failed { code, verdict, .. } => {
                assert_eq!((code.as_str(), verdict), ("owner-lost", Verdict::MayHaveRun));
            }
            Outcome::Complete(_) => panic!("the job completed after its owner was killed"),
        }
    });
    check_and_stop(cluster);
}

/// Guards against a draining entry that closes connections before it has read their requests.
#[test]
fn draining_an_entry_answers_a_request_that_is_still_being_read() {
    let mut cluster = start_cluster(cluster_options());
    let mut stream = TcpStream::connect(cluster.entry_address(0)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let body = r#"{"service":"booking","kind":"holds","tasks":["a","b"],"deadline_ms":10000}"#;
    let head = format!(
        "PUT /v1/jobs/0123456789abcdef0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&body.as_bytes()[..20]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let mut writer = stream.try_clone().unwrap();
    let remaining_body = body.as_bytes()[20..].to_vec();
    let sender = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(1_500));
        // A write error is ignored because the read below then fails as well.
        let _ = writer.write_all(&remaining_body);
    });
    cluster.drain_entry(0);
    let read_result = stream.read_exact(&mut [0]);
    sender.join().unwrap();
    assert!(read_result.is_ok(), "{read_result:?}");
    check_and_stop(cluster);
}
