//! What callers of an entry see while it is stopped by plan.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use support::keep_alive::{KeepAliveConnection, job_request};
use support::{FakeTarget, Fleet, Process, call, eventually};

const COMPLETED: &str = "{\"state\":\"completed\"}";
/// What the platform grants a process from the request to stop to its end.
const GRACE: Duration = Duration::from_secs(6);
/// Callers that come after the balancer has noticed: for a second and more, as each takes 50 ms and more.
const CALLERS_AFTER_NOTICE: u32 = 20;
/// Longest wait for an answer: beyond the end of every process that is told to stop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A fleet of one entry that serves.
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
        KeepAliveConnection::open(self.fleet.entry_address()).expect("it listens")
    }

    /// Tells the entry to stop, and has the balancer notice it.
    fn stop(&self) {
        self.entry.signal("TERM");
        eventually("it has taken note of the balancer", || {
            // The answer is 503 once the signal has arrived.
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

    /// Begins a job that keeps the entry for longer than its stop may take.
    fn start_long_job(&self) -> KeepAliveConnection {
        let mut connection = self.connect();
        assert!(connection.send(job_request(1, 1, 20_000, 200).as_bytes()));
        eventually("it runs", || self.started_tasks_of("0000000000000001") == 1);
        connection
    }

    fn running_tasks(&self) -> usize {
        let observed = self.target.observed.lock().expect("nobody panicked with it");
        observed.runs.iter().filter(|run| run.ended.is_none()).count()
    }

    /// How many tasks of a job have begun.
    fn started_tasks_of(&self, job: &str) -> usize {
        let observed = self.target.observed.lock().expect("nobody panicked with it");
        observed.runs.iter().filter(|run| run.task.split('.').next() == Some(job)).count()
    }
}

/// Callers saw their connections end with no answer when an entry was stopped by plan: requests came 4.4 and 4.6 s
/// after the request to stop, were handed to targets, and both connections ended at 5.4 s, the longest time of a
/// stop.
///
/// Cause: the end of the stop answered nobody. Only a guess at how long a job takes, made when the
/// request came, kept jobs from being open then. Evidence: both connections ended at that age of their entry's
/// stop; and a job that takes longer than the guess, as here, is cut at it on the code before the mend.
#[test]
fn an_unfinished_job_gets_a_complete_answer_at_the_end_of_a_planned_stop() {
    let mut served = ServingFleet::start();
    let mut early = served.start_long_job();
    let stopped = Instant::now();
    served.stop();
    let late = served.connect().request(&job_request(2, 1, 20_000, 100), ANSWER_TIMEOUT);
    let late = late.expect("a request that was sent whole is answered whole");
    let early =
        early.read_answer(ANSWER_TIMEOUT).expect("a job that was begun before is answered whole");
    for answer in [&early, &late] {
        assert_eq!(answer.status, 504, "it may have run: {answer:?}");
        assert!(answer.head.contains("connection: close"), "{answer:?}");
    }
    assert!(served.entry.wait(), "it ends well");
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    eventually("nothing of them goes on", || served.running_tasks() == 0);
}

/// Callers saw open connections end as their next request was under way: a stopping entry ended as
/// soon as it had no job, though a connection carried a part of a request.
///
/// Cause: the end looked at jobs only, and a job exists from the moment when its request is read
/// whole. Evidence: each of 12 ends of one day came in the first moment without a job, with 7 to 36
/// connections open over which requests had come until then; and a request of which half has come is
/// cut on the code before the mend.
#[test]
fn a_request_that_is_being_read_is_answered_before_the_entry_ends() {
    let mut served = ServingFleet::start();
    let mut kept = served.connect();
    let request = job_request(1, 2, 50, 50);
    let (first, rest) = request.split_at(request.len() / 2);
    assert!(kept.send(first.as_bytes()));
    served.stop();
    // Longer than an entry that has nothing to do takes to end.
    thread::sleep(Duration::from_millis(600));
    assert!(served.entry.is_running(), "it waits for the rest");
    assert!(kept.send(rest.as_bytes()));
    let answer = kept.read_answer(ANSWER_TIMEOUT).expect("it is answered whole");
    assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
    assert!(answer.head.contains("connection: close"), "{answer:?}");
    assert!(served.entry.wait(), "it ends well");
}

/// Callers could not connect while all entries of their data hall were stopped one after the other: the
/// balancer then sends to those that are not ready as well, and a stopping entry had closed its
/// listener though it had the time to serve.
#[test]
fn a_caller_that_the_balancer_still_sends_is_served_while_there_is_time() {
    let served = ServingFleet::start();
    let _busy = served.start_long_job();
    served.stop();
    for id in 2..=4 {
        let mut new =
            KeepAliveConnection::open(served.fleet.entry_address()).expect("it still listens");
        let answer =
            new.request(&job_request(id, 2, 50, 50), ANSWER_TIMEOUT).expect("it is answered");
        assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
        assert!(answer.head.contains("connection: close"), "{answer:?}");
    }
}

/// What surely does not end in the time that is left is rejected at once, and told when to come back.
#[test]
fn a_job_that_exceeds_the_remaining_stop_time_is_rejected_at_once() {
    let served = ServingFleet::start();
    let _busy = served.start_long_job();
    served.stop();
    let asked = Instant::now();
    let answer = served
        .connect()
        .request(&job_request(2, 1, 4_000, 4_000), ANSWER_TIMEOUT)
        .expect("it is answered");
    assert_eq!(answer.status, 503, "not run: {answer:?}");
    assert!(answer.head.contains("retry-after: 1"), "{answer:?}");
    assert!(asked.elapsed() < Duration::from_millis(500), "{:?}", asked.elapsed());
    assert_eq!(served.started_tasks_of("0000000000000002"), 0);
}

/// The last lines of a process are those that explain its end.
#[test]
fn a_process_writes_its_last_lines_before_it_ends() {
    let mut served = ServingFleet::start();
    served.stop();
    assert!(served.entry.wait(), "it ends well");
    let log = served.fleet.log("entry");
    for event in ["draining", "closing", "drained", "stop"] {
        assert!(log.contains(&format!("\"event\":\"{event}\"")), "{event}: {log}");
    }
}

/// SIGTERM comes twice, as when a rolling restart and the removal of the host overlap: the platform's
/// time still runs, and a request that was read whole ends without an answer.
#[test]
fn a_second_stop_signal_leaves_no_request_without_an_answer() {
    let mut served = ServingFleet::start();
    let mut early = served.connect();
    assert!(early.send(job_request(1, 1, 20_000, 200).as_bytes()));
    eventually("it runs", || served.started_tasks_of("0000000000000001") == 1);
    served.stop();
    served.entry.signal("TERM");
    let answer = early.read_answer(ANSWER_TIMEOUT);
    let ended_successfully = served.entry.wait();
    let log = served.fleet.log("entry");
    assert!(answer.is_ok(), "{answer:?}, ended well: {ended_successfully}, last lines: {log}");
}

/// A part of the next head has come over a connection that was used before.
#[test]
fn a_partial_header_on_a_reused_connection_is_answered() {
    let mut served = ServingFleet::start();
    let mut kept = served.connect();
    kept.request(&job_request(1, 1, 20, 20), ANSWER_TIMEOUT).expect("it serves");
    let request = job_request(2, 2, 50, 50);
    let (first, rest) = request.split_at(30);
    assert!(kept.send(first.as_bytes()));
    thread::sleep(Duration::from_millis(50));
    served.stop();
    let _ = kept.send(rest.as_bytes());
    let answer = kept.read_answer(ANSWER_TIMEOUT);
    assert!(answer.is_ok(), "{answer:?}");
    assert!(served.entry.wait());
}

/// A caller that sends a part of a request and no more: does it hold up the stop, and is it told
/// anything?
#[test]
fn an_incomplete_request_is_answered_before_the_entry_ends() {
    let mut served = ServingFleet::start();
    let mut kept = served.connect();
    let request = job_request(1, 1, 20, 20);
    assert!(kept.send(&request.as_bytes()[..request.len() - 5]));
    thread::sleep(Duration::from_millis(50));
    let started = Instant::now();
    served.stop();
    let answer = kept.read_answer(ANSWER_TIMEOUT);
    assert!(served.entry.wait());
    println!("the stop took {:?}", started.elapsed());
    assert!(answer.is_ok(), "{answer:?} after {:?}", started.elapsed());
}

/// The entry is held up in the midst of its stop, until just before the platform's time is over.
#[test]
fn a_suspension_during_a_stop_leaves_no_request_without_an_answer() {
    let mut served = ServingFleet::start();
    let mut early = served.connect();
    assert!(early.send(job_request(1, 1, 20_000, 200).as_bytes()));
    let mut others: Vec<KeepAliveConnection> = (0..100)
        .map(|id| {
            thread::sleep(Duration::from_millis(2));
            let mut kept = served.connect();
            assert!(kept.send(job_request(100 + id, 1, 20_000, 9_000).as_bytes()));
            kept
        })
        .collect();
    eventually("it runs", || served.started_tasks_of("0000000000000001") == 1);
    let started = Instant::now();
    served.stop();
    thread::sleep(Duration::from_millis(4_600).saturating_sub(started.elapsed()));
    served.entry.signal("STOP");
    thread::sleep(Duration::from_millis(1_100));
    served.entry.signal("CONT");
    let answer = early.read_answer(ANSWER_TIMEOUT);
    let lost = others.iter_mut().filter_map(|kept| kept.read_answer(ANSWER_TIMEOUT).err()).count();
    println!("ended well: {}, after {:?}", served.entry.wait(), started.elapsed());
    assert!(answer.is_ok() && lost == 0, "{answer:?}, {lost} others lost");
    eventually("nothing of them goes on", || served.running_tasks() == 0);
}

/// SIGHUP while the entry stops.
#[test]
fn a_hangup_signal_during_a_stop_changes_nothing() {
    let mut served = ServingFleet::start();
    let mut early = served.connect();
    assert!(early.send(job_request(1, 1, 1_500, 1_500).as_bytes()));
    eventually("it runs", || served.started_tasks_of("0000000000000001") == 1);
    served.stop();
    (0..20).for_each(|_| served.entry.signal("HUP"));
    let answer = early.read_answer(ANSWER_TIMEOUT).expect("it is answered");
    assert_eq!(answer.status, 200);
    assert!(served.entry.wait());
}

/// SIGTERM before the entry has a configuration: it ends well and soon.
#[test]
fn an_entry_without_a_configuration_stops() {
    let fleet = Fleet::new(1);
    let mut entry = fleet.start("entry");
    eventually("it runs", || fleet.log("entry").contains("\"event\":\"start\""));
    let started = Instant::now();
    entry.signal("TERM");
    assert!(entry.wait());
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}

/// What runs when an answered job's entry ends is stopped well before the client sends it again.
#[test]
fn tasks_of_an_answered_job_end_before_it_is_sent_again() {
    let mut served = ServingFleet::start();
    let mut early = served.connect();
    assert!(early.send(job_request(1, 4, 20_000, 200).as_bytes()));
    eventually("it runs", || served.started_tasks_of("0000000000000001") == 4);
    served.stop();
    let answer = early.read_answer(ANSWER_TIMEOUT).expect("it is answered");
    let answered = Instant::now();
    assert_eq!(answer.status, 504);
    eventually("nothing of it goes on", || served.running_tasks() == 0);
    println!("over {:?} after the answer", answered.elapsed());
    assert!(answered.elapsed() < Duration::from_millis(1_300));
    assert!(served.entry.wait());
}

/// The agent and the entry stop at once: the job gets a whole answer.
#[test]
fn an_agent_that_stops_with_its_entry_leaves_no_request_without_an_answer() {
    let mut served = ServingFleet::start();
    let mut early = served.connect();
    assert!(early.send(job_request(1, 2, 20_000, 200).as_bytes()));
    eventually("it runs", || served.started_tasks_of("0000000000000001") == 2);
    served.others[1].signal("TERM");
    served.stop();
    let answer = early.read_answer(ANSWER_TIMEOUT);
    assert!(answer.is_ok(), "{answer:?}");
    assert!(served.entry.wait() && served.others[1].wait());
    eventually("nothing of it goes on", || served.running_tasks() == 0);
}

/// The balancer still sends where all entries of a data hall stop; an entry that has no long job ended a
/// moment after the second notice, and the callers found nobody.
#[test]
fn callers_that_the_balancer_still_sends_are_served_without_a_long_job() {
    let served = ServingFleet::start();
    let balancer_noticed = AtomicBool::new(false);
    thread::scope(|scope| {
        // One caller after the other comes, each over a connection of its own.
        let callers = scope.spawn(|| {
            let mut after = 0;
            for id in 1.. {
                let mut new =
                    KeepAliveConnection::open(served.fleet.entry_address()).expect("it listens");
                let answer =
                    new.request(&job_request(id, 1, 20, 20), ANSWER_TIMEOUT).expect("an answer");
                assert_eq!((answer.status, answer.body.as_str()), (200, COMPLETED));
                after += u32::from(balancer_noticed.load(Ordering::Relaxed));
                if after == CALLERS_AFTER_NOTICE {
                    return;
                }
            }
        });
        served.stop();
        balancer_noticed.store(true, Ordering::Relaxed);
        callers.join().expect("every caller is served");
    });
}

/// An entry on a tenth of a core (the process runs 4 ms of every 40) ended with open connections that
/// had not had a last look, perhaps with a request in them.
#[test]
fn every_connection_is_checked_before_the_end_on_a_tenth_of_a_core() {
    let mut served = ServingFleet::start();
    let ask = "GET /q/00000000000000aa HTTP/1.1\r\nHost: queue.example\r\n\r\n";
    let mut kept = Vec::new();
    for number in 0..1_500 {
        let mut one = served.connect();
        assert_eq!(one.request(ask, ANSWER_TIMEOUT).expect("it serves").status, 410, "{number}");
        kept.push(one);
    }
    served.stop();
    let started = Instant::now();
    while served.entry.is_running() && started.elapsed() < Duration::from_secs(20) {
        served.entry.signal("STOP");
        thread::sleep(Duration::from_millis(36));
        served.entry.signal("CONT");
        thread::sleep(Duration::from_millis(4));
    }
    assert!(served.entry.wait(), "it ends well");
    let log = served.fleet.log("entry");
    let lines = log.lines().filter(|line| {
        ["closing", "intake-closed", "drained", "paused"]
            .iter()
            .any(|step| line.contains(&format!("\"event\":\"{step}\"")))
    });
    let lines: Vec<&str> = lines.collect();
    println!("{lines:#?}");
    let drained = lines.last().expect("it drained");
    assert!(drained.contains("\"idle\":0"), "{drained}");
}
