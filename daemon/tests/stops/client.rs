//! The clients of a run: they send on, wait for stops, or operate.

use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Course, FIRST_VERSION, GRACE, POLL, Record};
use crate::support::balancer::pause;
use crate::support::exchange::{Connection, Exchange, Job, Request};
use crate::support::unix_seconds;

/// How long after a broken try a client sends again.
const RESEND: Duration = Duration::from_millis(1_300);
/// Most tries of a client.
const TRIES: u32 = 3;
/// How long a client waits for an answer: longer than any stop, so that none is missed.
const CLIENT_TIME: Duration = Duration::from_secs(12);
/// What clients say of how long they wait; without it the entry takes four objectives.
const DEADLINES: [Option<Duration>; 4] = [
    None,
    Some(Duration::from_millis(1_500)),
    Some(Duration::from_secs(8)),
    Some(Duration::from_secs(8)),
];
/// What clients think that a task takes, and the most tasks of such a job.
const ESTIMATES: [(u64, u32); 3] = [(60, 8), (200, 4), (900, 3)];
/// What a task takes, in parts of its estimate: one job in three takes much longer than its client
/// thinks.
const OF_ESTIMATE: [std::ops::Range<f64>; 3] = [0.5..1.5, 0.5..1.5, 3.0..4.0];
/// Some clients send so many milliseconds after an answer that may be the last of a stop.
const AS_IT_ENDS_MS: std::ops::Range<u64> = 0..60;
/// Time between changes of the configuration, in milliseconds.
const CHANGES_MS: std::ops::Range<u64> = 0..200;

/// A client of a run.
pub struct Client<'a> {
    course: &'a Course<'a>,
    number: u64,
    rng: ChaCha8Rng,
    /// Requests so far.
    requests: u64,
    connection: Option<Connection>,
    /// It speaks to the keeper.
    of_operator: bool,
}

impl<'a> Client<'a> {
    pub fn new(course: &'a Course<'a>, number: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(course.seed * 1_000 + number);
        Self { course, number, rng, requests: 0, connection: None, of_operator: false }
    }

    /// Sends one request after the other over a connection that it keeps.
    pub fn send_on(mut self) {
        while !self.course.is_over() {
            let request = self.request();
            self.send_until_answered(&request);
            let think = match self.rng.random_bool(0.05) {
                true => self.rng.random_range(1_000..4_000),
                false => self.rng.random_range(0..300),
            };
            pause(Duration::from_millis(think), &self.course.over);
        }
    }

    /// Connects, waits until the entry is told to stop, and sends into the stop: at any time of it, or
    /// as it may be about to end.
    pub fn wait_for_stops(mut self) {
        while !self.course.is_over() {
            self.connection = None;
            if !self.connect() {
                continue;
            }
            if self.rng.random_bool(0.5) {
                self.send(&Request::Count, 0);
            }
            let after = Duration::from_millis(self.rng.random_range(0..GRACE.as_millis() as u64));
            let moment = Duration::from_millis(self.rng.random_range(AS_IT_ENDS_MS));
            // At any time of a stop, or a moment after an answer: an entry that has closed its
            // listener ends once it has given its last.
            let due = match self.rng.random_bool(0.5) {
                true => self.waited_until(|told, _| told.elapsed() >= after),
                false => self.waited_until(|told, answered| {
                    answered.saturating_duration_since(told) >= after
                        && answered.elapsed() >= moment
                }),
            };
            if due {
                let request = self.request();
                self.send(&request, 0);
            }
        }
    }

    /// Waits until it is so, by when the entry was told to stop and when it answered last; whether
    /// the connection is still open.
    fn waited_until(&self, is_so: impl Fn(Instant, Instant) -> bool) -> bool {
        while let Some(connection) = &self.connection {
            if connection.has_ended() || self.course.is_over() {
                return false;
            }
            let told = self.course.told(connection.entry);
            if told.is_some_and(|told| is_so(told, self.course.answered(connection.entry))) {
                return true;
            }
            thread::sleep(POLL);
        }
        false
    }

    /// Changes the configuration and reads it back, over a connection to the keeper that it keeps.
    pub fn operate(mut self) {
        self.of_operator = true;
        let mut version = FIRST_VERSION;
        let mut acknowledged = FIRST_VERSION;
        while !self.course.is_over() {
            version += self.rng.random_range(1..5);
            if self.send(&Request::Replace(version), 0) == Some(200) {
                acknowledged = version;
            }
            self.send(&Request::Fetch(acknowledged), 0);
            let gap = Duration::from_millis(self.rng.random_range(CHANGES_MS));
            pause(gap, &self.course.over);
        }
    }

    fn send_until_answered(&mut self, request: &Request) {
        for attempt in 0..TRIES {
            let status = self.send(request, attempt);
            let is_over = status.is_some_and(|status| status != 504);
            if is_over || !pause(RESEND, &self.course.over) {
                return;
            }
        }
    }

    /// Sends a request once it is connected; returns the status of its answer.
    fn send(&mut self, request: &Request, attempt: u32) -> Option<u16> {
        if !self.connect() {
            return None;
        }
        let connection = self.connection.as_mut().expect("it is connected");
        // Some bodies come a moment after their heads.
        let slow = self.rng.random_bool(0.1).then(|| self.rng.random_range(10..150));
        let slow = Duration::from_millis(slow.unwrap_or_default());
        let told = self.course.told(connection.entry).map(|told| told.elapsed());
        let (sent, age) = (Instant::now(), connection.opened.elapsed());
        let (answered, unix_seconds) = (connection.answered, unix_seconds());
        let exchange = connection.exchange(request, slow, CLIENT_TIME);
        let entry = connection.entry;
        let (keep, status) = match &exchange {
            Exchange::Answered(answer) => (!answer.closes(), Some(answer.status)),
            _ => (false, None),
        };
        if !keep {
            self.connection = None;
        }
        let request = request.clone();
        let over = Instant::now();
        if matches!(exchange, Exchange::Answered(_)) {
            *self.course.answered[self.course.place(entry)]
                .lock()
                .expect("nobody panicked with it") = over;
        }
        let record = Record {
            request,
            attempt,
            entry,
            unix_seconds,
            sent,
            over,
            age,
            answered,
            told,
            exchange,
        };
        self.course.records.lock().expect("no client panicked").push(record);
        status
    }

    /// Keeps its connection, or has a new one from the balancer; false once the run is over.
    fn connect(&mut self) -> bool {
        if self.connection.as_ref().is_some_and(|one| !one.has_ended()) {
            return true;
        }
        loop {
            self.connection = self.open();
            if self.connection.is_some() {
                return true;
            }
            if !pause(POLL * 5, &self.course.over) {
                return false;
            }
        }
    }

    fn open(&mut self) -> Option<Connection> {
        let fleet = self.course.fleet;
        if self.of_operator {
            return Connection::open(None, fleet.keeper());
        }
        let entry = self.course.balancer.entry_for(self.rng.random())?;
        Connection::open(Some(entry), fleet.entry_number(entry))
    }

    fn request(&mut self) -> Request {
        self.requests += 1;
        let id = (self.course.seed << 32) | (self.number << 16) | self.requests;
        match self.rng.random_range(0..20) {
            0 => Request::State(id),
            1 => Request::Count,
            2 => Request::Nowhere,
            3 => Request::Malformed(id),
            _ => Request::Job(self.job(id)),
        }
    }

    fn job(&mut self, id: u64) -> Job {
        let (estimated_ms, most) = *ESTIMATES.choose(&mut self.rng).expect("there are some");
        let part = OF_ESTIMATE.choose(&mut self.rng).expect("there are some").clone();
        let work_ms = (estimated_ms as f64 * self.rng.random_range(part)) as u64;
        // A few: a target whose tasks fail one after the other is left out.
        let fails = estimated_ms < 900 && self.rng.random_bool(0.03);
        let count = if fails { 1 } else { self.rng.random_range(1..=most) };
        let deadline = *DEADLINES.choose(&mut self.rng).expect("there are some");
        Job { id, count, work_ms, estimated_ms, fails, deadline }
    }
}
