//! Clients of a run: some send requests continuously, some send during stops, some act as
//! operators.

use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{FIRST_VERSION, GRACE, POLL, Record, TestRun};
use crate::support::balancer::sleep_unless_finished;
use crate::support::exchange::{Connection, Exchange, Job, Request};
use crate::support::unix_seconds;

/// Delay before a client retries a request.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Maximum number of tries per request.
const MAX_TRIES: u32 = 3;
/// Timeout of a client, longer than any stop, so that no answer is missed.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Deadlines that clients send; without one the entry uses its default.
const DEADLINES: [Option<Duration>; 4] = [
    None,
    Some(Duration::from_millis(1_500)),
    Some(Duration::from_secs(8)),
    Some(Duration::from_secs(8)),
];
/// Estimated run times of a task in milliseconds, and the maximum number of tasks of such a job.
const ESTIMATES: [(u64, u32); 3] = [(60, 8), (200, 4), (900, 3)];
/// Run time of a task relative to its estimate; some tasks far exceed it.
const WORK_PER_ESTIMATE: [std::ops::Range<f64>; 3] = [0.5..1.5, 0.5..1.5, 3.0..4.0];
/// Delay in milliseconds after an answer that may be the last one before an entry exits.
const AFTER_ANSWER_MS: std::ops::Range<u64> = 0..60;
/// Time between changes of the configuration in milliseconds.
const CHANGE_GAP_MS: std::ops::Range<u64> = 0..200;

/// A client with its own random choices and at most one open connection.
pub struct Client<'a> {
    test_run: &'a TestRun<'a>,
    number: u64,
    rng: ChaCha8Rng,
    /// Number of requests created so far, which makes job identifiers unique.
    requests: u64,
    connection: Option<Connection>,
    /// Whether the client is an operator, which connects to the keeper instead of an entry.
    is_operator: bool,
}

impl<'a> Client<'a> {
    pub fn new(test_run: &'a TestRun<'a>, number: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(test_run.seed * 1_000 + number);
        Self { test_run, number, rng, requests: 0, connection: None, is_operator: false }
    }

    /// Sends requests one after the other over a keep-alive connection.
    pub fn run_requests(mut self) {
        while !self.test_run.is_finished() {
            let request = self.request();
            self.send_until_answered(&request);
            let pause_ms = match self.rng.random_bool(0.05) {
                true => self.rng.random_range(1_000..4_000),
                false => self.rng.random_range(0..300),
            };
            sleep_unless_finished(Duration::from_millis(pause_ms), &self.test_run.finished);
        }
    }

    /// Connects, waits until the entry is asked to stop, and sends a request during the stop or
    /// right before its end.
    pub fn wait_for_stops(mut self) {
        while !self.test_run.is_finished() {
            self.connection = None;
            if !self.connect() {
                continue;
            }
            if self.rng.random_bool(0.5) {
                self.send(&Request::WaitingCount, 0);
            }
            let min_elapsed =
                Duration::from_millis(self.rng.random_range(0..GRACE.as_millis() as u64));
            let delay = Duration::from_millis(self.rng.random_range(AFTER_ANSWER_MS));
            // Either any time during a stop, or shortly after an answer: an entry that has closed
            // its listener exits after its last answer.
            let due = match self.rng.random_bool(0.5) {
                true => {
                    self.wait_until(|stop_requested, _| stop_requested.elapsed() >= min_elapsed)
                }
                false => self.wait_until(|stop_requested, answered| {
                    answered.saturating_duration_since(stop_requested) >= min_elapsed
                        && answered.elapsed() >= delay
                }),
            };
            if due {
                let request = self.request();
                self.send(&request, 0);
            }
        }
    }

    /// Waits until a condition on the time of the stop request and the time of the last answer
    /// holds; returns false if the connection is closed first.
    fn wait_until(&self, condition: impl Fn(Instant, Instant) -> bool) -> bool {
        while let Some(connection) = &self.connection {
            if connection.is_closed() || self.test_run.is_finished() {
                return false;
            }
            let stop_requested = self.test_run.stop_requested(connection.entry);
            if stop_requested.is_some_and(|stop_requested| {
                condition(stop_requested, self.test_run.answered(connection.entry))
            }) {
                return true;
            }
            thread::sleep(POLL);
        }
        false
    }

    /// Changes the configuration and reads it back over a keep-alive connection to the keeper.
    pub fn run_operator(mut self) {
        self.is_operator = true;
        let mut version = FIRST_VERSION;
        let mut acknowledged = FIRST_VERSION;
        while !self.test_run.is_finished() {
            version += self.rng.random_range(1..5);
            if self.send(&Request::ReplaceConfiguration(version), 0) == Some(200) {
                acknowledged = version;
            }
            self.send(&Request::FetchConfiguration(acknowledged), 0);
            let gap = Duration::from_millis(self.rng.random_range(CHANGE_GAP_MS));
            sleep_unless_finished(gap, &self.test_run.finished);
        }
    }

    fn send_until_answered(&mut self, request: &Request) {
        for attempt in 0..MAX_TRIES {
            let status = self.send(request, attempt);
            let is_answered = status.is_some_and(|status| status != 504);
            if is_answered || !sleep_unless_finished(RETRY_DELAY, &self.test_run.finished) {
                return;
            }
        }
    }

    /// Connects if necessary and sends a request; returns the status of the answer.
    fn send(&mut self, request: &Request, attempt: u32) -> Option<u16> {
        if !self.connect() {
            return None;
        }
        let connection = self.connection.as_mut().expect("the client is connected");
        // Some bodies are sent a moment after their heads.
        let body_delay = self.rng.random_bool(0.1).then(|| self.rng.random_range(10..150));
        let body_delay = Duration::from_millis(body_delay.unwrap_or_default());
        let stop_requested = self
            .test_run
            .stop_requested(connection.entry)
            .map(|stop_requested| stop_requested.elapsed());
        let (sent, age) = (Instant::now(), connection.opened.elapsed());
        let (answered, unix_seconds) = (connection.answered, unix_seconds());
        let exchange = connection.exchange(request, body_delay, CLIENT_TIMEOUT);
        let entry = connection.entry;
        let (keep, status) = match &exchange {
            Exchange::Answered(answer) => (!answer.closes(), Some(answer.status)),
            _ => (false, None),
        };
        if !keep {
            self.connection = None;
        }
        let request = request.clone();
        let ended_at = Instant::now();
        if matches!(exchange, Exchange::Answered(_)) {
            *self.test_run.answered[self.test_run.index_of(entry)]
                .lock()
                .expect("the mutex is not poisoned") = ended_at;
        }
        let record = Record {
            request,
            attempt,
            entry,
            unix_seconds,
            sent,
            ended_at,
            age,
            answered,
            stop_requested,
            exchange,
        };
        self.test_run.records.lock().expect("no client panicked").push(record);
        status
    }

    /// Keeps the open connection or opens one to an entry chosen by the balancer; returns false
    /// once the run has finished.
    fn connect(&mut self) -> bool {
        if self.connection.as_ref().is_some_and(|connection| !connection.is_closed()) {
            return true;
        }
        loop {
            self.connection = self.open();
            if self.connection.is_some() {
                return true;
            }
            if !sleep_unless_finished(POLL * 5, &self.test_run.finished) {
                return false;
            }
        }
    }

    fn open(&mut self) -> Option<Connection> {
        let fleet = self.test_run.fleet;
        if self.is_operator {
            return Connection::open(None, fleet.keeper_address());
        }
        let entry = self.test_run.balancer.entry_for(self.rng.random())?;
        Connection::open(Some(entry), fleet.entry_address_of(entry))
    }

    fn request(&mut self) -> Request {
        self.requests += 1;
        let id = (self.test_run.seed << 32) | (self.number << 16) | self.requests;
        match self.rng.random_range(0..20) {
            0 => Request::JobState(id),
            1 => Request::WaitingCount,
            2 => Request::UnknownRoute,
            3 => Request::MalformedJob(id),
            _ => Request::Job(self.job(id)),
        }
    }

    fn job(&mut self, id: u64) -> Job {
        let (estimated_ms, max_count) =
            *ESTIMATES.choose(&mut self.rng).expect("the list is not empty");
        let factor =
            WORK_PER_ESTIMATE.choose(&mut self.rng).expect("the list is not empty").clone();
        let work_ms = (estimated_ms as f64 * self.rng.random_range(factor)) as u64;
        // Failures are rare, as targets with repeated failures are excluded from placement.
        let fails = estimated_ms < 900 && self.rng.random_bool(0.03);
        let count = if fails { 1 } else { self.rng.random_range(1..=max_count) };
        let deadline = *DEADLINES.choose(&mut self.rng).expect("the list is not empty");
        Job { id, count, work_ms, estimated_ms, fails, deadline }
    }
}
