//! Nodes that stop, planned or not, while jobs run.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use client::{Outcome, new_submission_id};
use fakes::ServiceTime;
use model::Verdict;
use support::{answers, caller, finish, job, options, run, start};
use testbed::{Cluster, ClusterOptions};

/// Long enough that a job still runs when a node stops.
const SLOW: ServiceTime = ServiceTime::FromTaskHash { min_ms: 300, max_ms: 310 };
const TASKS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// Submits a job to the first entry from a thread, and waits until all its tasks run.
fn submit_and_wait(cluster: &Cluster) -> std::thread::JoinHandle<Outcome> {
    let entry = cluster.entry_address(0);
    let submitted = std::thread::spawn(move || {
        run(|tasks| async move {
            caller(entry, &tasks).submit_job(new_submission_id(), &job(&TASKS)).await.unwrap()
        })
    });
    let running = |cluster: &Cluster| -> u64 {
        cluster.agent_counters().iter().map(|counters| counters.running).sum()
    };
    cluster.wait_for(|cluster| running(cluster) == TASKS.len() as u64).unwrap();
    submitted
}

#[test]
fn a_planned_stop_of_an_agent_cuts_off_nothing() {
    let mut cluster = start(ClusterOptions { service_time: SLOW, ..options() });
    let submitted = submit_and_wait(&cluster);
    cluster.drain_agent(0);
    let outcome = submitted.join().unwrap();
    assert_eq!(answers(&outcome).len(), TASKS.len());
    finish(cluster);
}

#[test]
fn a_planned_stop_of_an_entry_cuts_off_nothing() {
    let mut cluster = start(ClusterOptions { service_time: SLOW, ..options() });
    let submitted = submit_and_wait(&cluster);
    cluster.drain_entry(0);
    let outcome = submitted.join().unwrap();
    assert_eq!(answers(&outcome).len(), TASKS.len());
    finish(cluster);
}

#[test]
fn a_target_that_the_list_says_is_leaving_gets_no_new_work() {
    let cluster = start(options());
    cluster.mark_agent_leaving(1);
    let entries = [cluster.entry_address(0), cluster.entry_address(1)];
    let told = |cluster: &Cluster| {
        // Its own agent was told, and refuses; the entries were told, and do not ask.
        cluster.entry_counters().len() == 2
    };
    cluster.wait_for(told).unwrap();
    cluster
        .wait_for(|cluster| {
            let before = cluster.target(1).start_summary().0;
            run(|tasks| async move {
                for entry in entries {
                    let caller = caller(entry, &tasks);
                    let outcome =
                        caller.submit_job(new_submission_id(), &job(&TASKS)).await.unwrap();
                    assert_eq!(answers(&outcome).len(), TASKS.len());
                }
            });
            cluster.target(1).start_summary().0 == before
        })
        .unwrap();
    finish(cluster);
}

#[test]
fn a_killed_agent_gives_a_failed_job_that_may_have_run() {
    let mut cluster = start(ClusterOptions { service_time: SLOW, ..options() });
    let submitted = submit_and_wait(&cluster);
    // Two agents have room for all tasks of the job, so that the first may have none.
    let running: Vec<u64> =
        cluster.agent_counters().iter().map(|counters| counters.running).collect();
    let busiest = (0..running.len()).max_by_key(|number| running[*number]).unwrap();
    assert!(running[busiest] > 0);
    cluster.kill_agent(busiest);
    match submitted.join().unwrap() {
        Outcome::Failed { code, verdict, .. } => {
            assert_eq!((code.as_str(), verdict), ("target-lost", Verdict::MayHaveRun));
        }
        Outcome::Complete(_) => panic!("the killed agent's answers can't be there"),
    }
    finish(cluster);
}

#[test]
fn the_owner_dead_a_resubmission_gets_a_verdict_and_no_second_start() {
    let mut cluster = start(ClusterOptions { service_time: SLOW, ..options() });
    let (first, second) = (cluster.entry_address(0), cluster.entry_address(1));
    let id = new_submission_id();
    let submitted = std::thread::spawn(move || {
        run(|tasks| async move { caller(first, &tasks).submit_job(id, &job(&TASKS)).await })
    });
    cluster.wait_for(|cluster| cluster.entry_counters()[0].placed > 0).unwrap();
    cluster.kill_entry(0);
    // Its connection broke, or it got a verdict; it can't be whole.
    let lost = submitted.join().unwrap();
    assert!(!matches!(lost, Ok(Outcome::Complete(_))), "{lost:?}");
    run(|tasks| async move {
        let outcome = caller(second, &tasks).submit_job(id, &job(&TASKS)).await.unwrap();
        match outcome {
            Outcome::Failed { code, verdict, .. } => {
                assert_eq!((code.as_str(), verdict), ("owner-lost", Verdict::MayHaveRun));
            }
            Outcome::Complete(_) => panic!("the owner is gone"),
        }
    });
    finish(cluster);
}

/// A caller saw its connection end within its request: a drained entry counted callers only from the moment
/// when their requests were read whole.
#[test]
fn a_request_that_is_being_read_when_an_entry_is_drained_is_answered() {
    let mut cluster = start(options());
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
    let mut rest = stream.try_clone().unwrap();
    let late = body.as_bytes()[20..].to_vec();
    let sender = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(1_500));
        // Fails where the connection is gone, which the read shows.
        let _ = rest.write_all(&late);
    });
    cluster.drain_entry(0);
    let read = stream.read_exact(&mut [0]);
    sender.join().unwrap();
    assert!(read.is_ok(), "{read:?}");
    finish(cluster);
}
