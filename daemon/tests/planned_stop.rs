//! Planned stops of an entry as seen by its clients.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use support::keep_alive::{KeepAliveConnection, job_request};
use support::{FakeTarget, Fleet, Process, call, eventually};

const COMPLETED: &str = "{\"state\":\"completed\"}";
/// Grace period between the stop signal and the kill by the platform.
const GRACE: Duration = Duration::from_secs(6);
/// Clients that are served after the balancer has noticed that the entry is not ready.
const CLIENTS_AFTER_NOTICE: u32 = 20;
/// Timeout for an answer, longer than any stop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A fleet with one ready entry.
struct ServingFleet {
    fleet: Fleet,
    target: FakeTarget,
    entry: Process,
    others: [Process; 2],
}

impl ServingFleet {
    fn start() -> Self {
        let fleet = Fleet::new(1);
        let target = FakeTarget::start(fleet.target_address(0), fleet.agent_address(0), "i-0");
        let others = ["keeper", "agent0"].map(|name| fleet.start(name));
        let entry = fleet.start("entry");
        fleet.configure(7);
        fleet.wait_until_ready();
        Self { fleet, target, entry, others }
    }

    fn connect(&self) -> KeepAliveConnection {
        KeepAliveConnection::open(self.fleet.entry_address())
            .expect("the address accepts connections")
    }

    /// Signals the entry to stop, and probes its readiness until it logs that the balancer has
    /// noticed.
    fn stop(&self) {
        self.entry.signal("TERM");
        eventually("the entry logs that the balancer has noticed its stop", || {
            // The answer is 503 once the signal has been handled.
            let _ = call(
                self.fleet.readiness_address(0),
                "GET",
                "/readiness",
                "",
                Duration::from_secs(1),
            );
            self.fleet.log("entry").contains("\"event\":\"closing\"")
        });
    }

    /// Submits a job that runs for longer than a stop may take.
    fn start_long_job(&self) -> KeepAliveConnection {
        let mut connection = self.connect();
        assert!(connection.send(job_request(1, 1, 20_000, 200).as_bytes()));
        eventually("the task is running", || self.started_tasks_of("0000000000000001") == 1);
        connection
    }

    fn running_tasks(&self) -> usize {
        let observed = self.target.observed.lock().expect("the mutex is not poisoned");
        observed.runs.iter().filter(|run| run.ended.is_none()).count()
    }

    /// Number of started tasks of a job.
    fn started_tasks_of(&self, job: &str) -> usize {
        let observed = self.target.observed.lock().expect("the mutex is not poisoned");
        observed.runs.iter().filter(|run| run.task.split('.').next() == Some(job)).count()
    }
}

/// Guards against a stop that closes connections without an answer because jobs take longer than
/// estimated.
#[test]
fn an_unfinished_job_gets_a_complete_answer_at_the_end_of_a_planned_stop() {
    let mut served = ServingFleet::start();
    let mut earlier = served.start_long_job();
    let stopped = Instant::now();
    served.stop();
    let later = served.connect().request(&job_request(2, 1, 20_000, 100), ANSWER_TIMEOUT);
    let later = later.expect("a complete request gets a complete answer");
    let earlier =
        earlier.read_answer(ANSWER_TIMEOUT).expect("a job started earlier gets a complete answer");
    for answer in [&earlier, &later] {
        assert_eq!(answer.status, 504, "the job may have run: {answer:?}");
        assert!(answer.head.contains("connection: close"), "{answer:?}");
    }
    assert!(served.entry.wait(), "the process exits successfully");
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    eventually("no task of an answered job is still running", || served.running_tasks() == 0);
}

/// Guards against an entry that exits while it reads a request, because no job exists yet.
#[test]
fn a_request_that_is_being_read_is_answered_before_the_entry_ends() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    let request = job_request(1, 2, 50, 50);
    let (first, rest) = request.split_at(request.len() / 2);
    assert!(connection.send(first.as_bytes()));
    served.stop();
    // An idle entry would exit within this time.
    thread::sleep(Duration::from_millis(600));
    assert!(served.entry.is_running(), "the entry waits for the rest of the request");
    assert!(connection.send(rest.as_bytes()));
    let answer =
        connection.read_answer(ANSWER_TIMEOUT).expect("the request gets a complete answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
    assert!(answer.head.contains("connection: close"), "{answer:?}");
    assert!(served.entry.wait(), "the process exits successfully");
}

/// Guards against refused connections while all entries of a data hall stop and the balancer sends
/// to entries that are not ready.
#[test]
fn a_busy_stopping_entry_serves_clients_that_the_balancer_still_sends() {
    let served = ServingFleet::start();
    let _busy = served.start_long_job();
    served.stop();
    for id in 2..=4 {
        let mut connection = KeepAliveConnection::open(served.fleet.entry_address())
            .expect("the entry still accepts connections");
        let answer = connection
            .request(&job_request(id, 2, 50, 50), ANSWER_TIMEOUT)
            .expect("the request is answered");
        assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
        assert!(answer.head.contains("connection: close"), "{answer:?}");
    }
}

/// Guards against accepting a job that cannot end in the remaining time.
#[test]
fn a_job_that_exceeds_the_remaining_stop_time_is_rejected_at_once() {
    let served = ServingFleet::start();
    let _busy = served.start_long_job();
    served.stop();
    let sent = Instant::now();
    let answer = served
        .connect()
        .request(&job_request(2, 1, 4_000, 4_000), ANSWER_TIMEOUT)
        .expect("the request is answered");
    assert_eq!(answer.status, 503, "not run: {answer:?}");
    assert!(answer.head.contains("retry-after: 1"), "{answer:?}");
    assert!(sent.elapsed() < Duration::from_millis(500), "{:?}", sent.elapsed());
    assert_eq!(served.started_tasks_of("0000000000000002"), 0);
}

/// Guards against losing the last log lines of a process.
#[test]
fn a_process_writes_its_last_lines_before_it_ends() {
    let mut served = ServingFleet::start();
    served.stop();
    assert!(served.entry.wait(), "the process exits successfully");
    let log = served.fleet.log("entry");
    for event in ["draining", "closing", "drained", "stop"] {
        assert!(log.contains(&format!("\"event\":\"{event}\"")), "{event}: {log}");
    }
}

/// Guards against a second SIGTERM, as from overlapping rollouts, that cuts off requests within the
/// grace period.
#[test]
fn a_second_stop_signal_leaves_no_request_without_an_answer() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    assert!(connection.send(job_request(1, 1, 20_000, 200).as_bytes()));
    eventually("the tasks are running", || served.started_tasks_of("0000000000000001") == 1);
    served.stop();
    served.entry.signal("TERM");
    let answer = connection.read_answer(ANSWER_TIMEOUT);
    let ended_successfully = served.entry.wait();
    let log = served.fleet.log("entry");
    assert!(
        answer.is_ok(),
        "{answer:?}, exited successfully: {ended_successfully}, last lines: {log}"
    );
}

/// Guards against dropping a partially received header on a reused connection.
#[test]
fn a_partial_header_on_a_reused_connection_is_answered() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    connection
        .request(&job_request(1, 1, 20, 20), ANSWER_TIMEOUT)
        .expect("the entry serves requests");
    let request = job_request(2, 2, 50, 50);
    let (first, rest) = request.split_at(30);
    assert!(connection.send(first.as_bytes()));
    thread::sleep(Duration::from_millis(50));
    served.stop();
    let _ = connection.send(rest.as_bytes());
    let answer = connection.read_answer(ANSWER_TIMEOUT);
    assert!(answer.is_ok(), "{answer:?}");
    assert!(served.entry.wait());
}

/// Guards against an incomplete request that delays the stop or is dropped without an answer.
#[test]
fn an_incomplete_request_is_answered_before_the_entry_ends() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    let request = job_request(1, 1, 20, 20);
    assert!(connection.send(&request.as_bytes()[..request.len() - 5]));
    thread::sleep(Duration::from_millis(50));
    let started = Instant::now();
    served.stop();
    let answer = connection.read_answer(ANSWER_TIMEOUT);
    assert!(served.entry.wait());
    println!("the stop took {:?}", started.elapsed());
    assert!(answer.is_ok(), "{answer:?} after {:?}", started.elapsed());
}

/// Guards against requests lost when the entry is suspended until shortly before the end of the
/// grace period.
#[test]
fn a_suspension_during_a_stop_leaves_no_request_without_an_answer() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    assert!(connection.send(job_request(1, 1, 20_000, 200).as_bytes()));
    let mut others: Vec<KeepAliveConnection> = (0..100)
        .map(|id| {
            thread::sleep(Duration::from_millis(2));
            let mut connection = served.connect();
            assert!(connection.send(job_request(100 + id, 1, 20_000, 9_000).as_bytes()));
            connection
        })
        .collect();
    eventually("the tasks are running", || served.started_tasks_of("0000000000000001") == 1);
    let started = Instant::now();
    served.stop();
    thread::sleep(Duration::from_millis(4_600).saturating_sub(started.elapsed()));
    served.entry.signal("STOP");
    thread::sleep(Duration::from_millis(1_100));
    served.entry.signal("CONT");
    let answer = connection.read_answer(ANSWER_TIMEOUT);
    let lost = others
        .iter_mut()
        .filter_map(|connection| connection.read_answer(ANSWER_TIMEOUT).err())
        .count();
    println!("exited successfully: {}, after {:?}", served.entry.wait(), started.elapsed());
    assert!(answer.is_ok() && lost == 0, "{answer:?}, {lost} others lost");
    eventually("no task of an answered job is still running", || served.running_tasks() == 0);
}

/// Guards against SIGHUP disturbing a stop.
#[test]
fn a_hangup_signal_during_a_stop_changes_nothing() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    assert!(connection.send(job_request(1, 1, 1_500, 1_500).as_bytes()));
    eventually("the tasks are running", || served.started_tasks_of("0000000000000001") == 1);
    served.stop();
    (0..20).for_each(|_| served.entry.signal("HUP"));
    let answer = connection.read_answer(ANSWER_TIMEOUT).expect("the request is answered");
    assert_eq!(answer.status, 200);
    assert!(served.entry.wait());
}

/// Guards against an entry that cannot stop before it has a configuration.
#[test]
fn an_entry_without_a_configuration_stops() {
    let fleet = Fleet::new(1);
    let mut entry = fleet.start("entry");
    eventually("the entry is running", || fleet.log("entry").contains("\"event\":\"start\""));
    let started = Instant::now();
    entry.signal("TERM");
    assert!(entry.wait());
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}

/// Guards against tasks that still run when the client retries their job.
#[test]
fn tasks_of_an_answered_job_end_before_it_is_sent_again() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    assert!(connection.send(job_request(1, 4, 20_000, 200).as_bytes()));
    eventually("the tasks are running", || served.started_tasks_of("0000000000000001") == 4);
    served.stop();
    let answer = connection.read_answer(ANSWER_TIMEOUT).expect("the request is answered");
    let answered = Instant::now();
    assert_eq!(answer.status, 504);
    eventually("no task of an answered job is still running", || served.running_tasks() == 0);
    println!("tasks ended {:?} after the answer", answered.elapsed());
    assert!(answered.elapsed() < Duration::from_millis(1_300));
    assert!(served.entry.wait());
}

/// Guards against a job left without an answer when its agent stops at the same time.
#[test]
fn an_agent_that_stops_with_its_entry_leaves_no_request_without_an_answer() {
    let mut served = ServingFleet::start();
    let mut connection = served.connect();
    assert!(connection.send(job_request(1, 2, 20_000, 200).as_bytes()));
    eventually("the tasks are running", || served.started_tasks_of("0000000000000001") == 2);
    served.others[1].signal("TERM");
    served.stop();
    let answer = connection.read_answer(ANSWER_TIMEOUT);
    assert!(answer.is_ok(), "{answer:?}");
    assert!(served.entry.wait() && served.others[1].wait());
    eventually("no task of an answered job is still running", || served.running_tasks() == 0);
}

/// Guards against an idle entry that exits while the balancer still sends clients to it.
#[test]
fn an_idle_stopping_entry_serves_clients_that_the_balancer_still_sends() {
    let served = ServingFleet::start();
    let balancer_noticed = AtomicBool::new(false);
    thread::scope(|scope| {
        // Clients connect one after the other, each over a new connection.
        let clients = scope.spawn(|| {
            let mut served_after_notice = 0;
            for id in 1.. {
                let mut connection = KeepAliveConnection::open(served.fleet.entry_address())
                    .expect("the address accepts connections");
                let answer = connection
                    .request(&job_request(id, 1, 20, 20), ANSWER_TIMEOUT)
                    .expect("the request is answered");
                assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
                served_after_notice += u32::from(balancer_noticed.load(Ordering::Relaxed));
                if served_after_notice == CLIENTS_AFTER_NOTICE {
                    return;
                }
            }
        });
        served.stop();
        balancer_noticed.store(true, Ordering::Relaxed);
        clients.join().expect("every client is served");
    });
}

/// Guards against an entry with little CPU time that exits before it has checked every open
/// connection for a request.
#[test]
fn an_entry_with_a_tenth_of_a_core_checks_every_connection_before_it_exits() {
    let mut served = ServingFleet::start();
    let request = "GET /q/00000000000000aa HTTP/1.1\r\nHost: queue.example\r\n\r\n";
    let mut connections = Vec::new();
    for number in 0..1_500 {
        let mut connection = served.connect();
        assert_eq!(
            connection.request(request, ANSWER_TIMEOUT).expect("the entry serves requests").status,
            410,
            "{number}"
        );
        connections.push(connection);
    }
    served.stop();
    let started = Instant::now();
    while served.entry.is_running() && started.elapsed() < Duration::from_secs(20) {
        served.entry.signal("STOP");
        thread::sleep(Duration::from_millis(36));
        served.entry.signal("CONT");
        thread::sleep(Duration::from_millis(4));
    }
    assert!(served.entry.wait(), "the process exits successfully");
    let log = served.fleet.log("entry");
    let lines = log.lines().filter(|line| {
        ["closing", "intake-closed", "drained", "paused"]
            .iter()
            .any(|step| line.contains(&format!("\"event\":\"{step}\"")))
    });
    let lines: Vec<&str> = lines.collect();
    println!("{lines:#?}");
    let drained = lines.last().expect("the entry has logged its stop");
    assert!(drained.contains("\"idle\":0"), "{drained}");
}
