//! Retry delays of rejected clients and their effect.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{CallId, Event, Outcome, Reason, SessionId};
use model::{JobId, TaskId, Time};
use wire::{StartTask, TaskEnd, TaskReport, ToEntry};

use support::{Entry, job};

fn rejection(entry: &Entry, call: CallId) -> Option<(Reason, Duration)> {
    match entry.answer(call) {
        Some(Outcome::NotRun { reason, retry_after }) => Some((reason, retry_after)),
        _ => None,
    }
}

#[test]
fn jobs_that_no_target_can_run_are_rejected_at_once() {
    let mut entry = Entry::new();
    entry.add_agent(1, 16_000, &["a"]);
    let agents = [(1, 16_000)];
    let mut labelled = job(1, 200);
    labelled.shape.requirement = Some(Arc::from("b"));
    let early = entry.submit(labelled.clone());
    assert_eq!(entry.answer(early), None, "more agents may still connect");
    entry.run_for(2_500, &agents);
    labelled.id = JobId::new("00000000000000b1");
    let late = entry.submit(labelled);
    assert_eq!(rejection(&entry, late).map(|(reason, _)| reason), Some(Reason::NoTarget));
    let mut large = job(1, 200);
    large.id = JobId::new("00000000000000b2");
    large.shape.resources.cpu_milli = 17_000;
    let large = entry.submit(large);
    assert_eq!(rejection(&entry, large).map(|(reason, _)| reason), Some(Reason::NoTarget));
    let mut fits = job(1, 200);
    fits.id = JobId::new("00000000000000b3");
    let fits = entry.submit(fits);
    assert_eq!(entry.answer(fits), None);
    assert!(entry.take_starts().len() == 1);
}

#[test]
fn a_job_waits_for_a_target_that_just_disconnected() {
    let mut entry = Entry::with_agents([16_000]);
    entry.run_for(2_500, &[(1, 16_000)]);
    entry.handle(Event::AgentClosed(SessionId(1)));
    let call = entry.submit(job(1, 200));
    entry.run_for(50, &[]);
    assert_eq!(entry.answer(call), None);
    entry.add_agent(1, 16_000, &[]);
    assert_eq!(entry.take_starts().len(), 1);
}

/// Number of tasks that run at once, each for `TASK`.
const SLOTS: usize = 10;
const TASK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(5);
/// Maximum number of tries of a client.
const MAX_TRIES: u32 = 8;

/// How long a rejected client waits before it submits its job again.
#[derive(Clone, Copy)]
enum RetryDelay {
    OneSecond,
    RetryAfter,
}

/// Results of the clients of one priority.
#[derive(Clone, Debug, Default)]
struct ClientResults {
    clients: u32,
    served: u32,
    first_try: u32,
    tries: u32,
    waited: Vec<Duration>,
}

impl fmt::Display for ClientResults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { clients, served, first_try, tries, .. } = self;
        write!(f, "{served} of {clients} served, {first_try} at the first try, {tries} tries")
    }
}

impl ClientResults {
    fn wait_quantile(&mut self, quantile: f64) -> Duration {
        self.waited.sort_unstable();
        self.waited[(self.waited.len() as f64 * quantile) as usize]
    }
}

struct Client {
    arrived: Time,
    tries: u32,
    priority: u8,
}

/// Simulates clients that arrive at a target more slowly than it can serve them, except during a
/// burst.
struct Burst {
    entry: Entry,
    /// Running tasks with the time of their end.
    running: VecDeque<(Time, (u64, JobId, StartTask))>,
    clients: Vec<Client>,
    /// Client of each unanswered call.
    open: BTreeMap<CallId, usize>,
    /// Next submissions, by time and client.
    due: BTreeMap<(Time, usize), ()>,
    /// By priority.
    results: [ClientResults; 2],
}

impl Burst {
    fn run(burst_rate: f64, delay: RetryDelay) -> [ClientResults; 2] {
        let mut burst = Self {
            entry: Entry::new(),
            running: VecDeque::new(),
            clients: Vec::new(),
            open: BTreeMap::new(),
            due: BTreeMap::new(),
            results: Default::default(),
        };
        burst.entry.add_agent(1, 16_000, &[]);
        let mut arrivals_due = 0.0;
        for step in 0..4_000_u32 {
            let at = STEP * step;
            let in_burst = (5..7).contains(&at.as_secs());
            let arrival_rate = if at.as_secs() >= 15 {
                0.0
            } else if in_burst {
                burst_rate
            } else {
                70.0
            };
            arrivals_due += arrival_rate * STEP.as_secs_f64();
            while arrivals_due >= 1.0 {
                arrivals_due -= 1.0;
                burst.add_client();
            }
            burst.advance(delay);
        }
        burst.results
    }

    fn add_client(&mut self) {
        let number = self.clients.len();
        let priority = u8::from(!number.is_multiple_of(4));
        self.clients.push(Client { arrived: self.entry.now, tries: 0, priority });
        self.results[usize::from(priority)].clients += 1;
        self.due.insert((self.entry.now, number), ());
    }

    fn advance(&mut self, delay: RetryDelay) {
        self.entry.now = self.entry.now + STEP;
        let now = self.entry.now;
        while self.running.front().is_some_and(|(end, _)| *end <= now) {
            let Some((_, start)) = self.running.pop_front() else { break };
            self.report_end(&start);
        }
        self.report_load();
        while let Some(((_, number), ())) = self.due.first_key_value().map(|(k, ())| (*k, ()))
            && self.due.keys().next().is_some_and(|(at, _)| *at <= now)
        {
            self.due.pop_first();
            self.submit(number);
        }
        self.entry.handle(Event::Tick);
        self.take_starts();
        self.take_answers(delay);
    }

    fn free(&self) -> u64 {
        (SLOTS - self.running.len()) as u64 * 1_600
    }

    fn report_load(&mut self) {
        self.entry.report_load(1, self.free());
        self.take_starts();
    }

    fn report_end(&mut self, (_, job, start): &(u64, JobId, StartTask)) {
        let report = TaskReport {
            task: TaskId { job: job.clone(), index: start.index },
            sequence: start.sequence,
            end: TaskEnd::Done,
            ran_ms: TASK.as_millis() as u32,
        };
        let load = self.entry.load_with(self.free());
        let message = ToEntry::Ended { reports: vec![report], load };
        self.entry.handle(Event::FromAgent(SessionId(1), message));
        self.take_starts();
    }

    fn take_starts(&mut self) {
        for start in self.entry.take_starts() {
            assert!(self.running.len() < SLOTS);
            self.running.push_back((self.entry.now + TASK, start));
        }
    }

    fn submit(&mut self, number: usize) {
        let client = &mut self.clients[number];
        client.tries += 1;
        let mut request = job(1, 100);
        request.id = JobId::new(&format!("{:016x}", number as u64 * 100 + u64::from(client.tries)));
        request.priority = client.priority;
        let call = self.entry.submit(request);
        self.open.insert(call, number);
    }

    fn take_answers(&mut self, delay: RetryDelay) {
        let answers = std::mem::take(&mut self.entry.answers);
        for (call, outcome) in answers {
            let Some(number) = self.open.remove(&call) else { continue };
            let client = &self.clients[number];
            let result = &mut self.results[usize::from(client.priority)];
            match outcome {
                Outcome::Completed => {
                    result.served += 1;
                    result.first_try += u32::from(client.tries == 1);
                    result.tries += client.tries;
                    result.waited.push(self.entry.now.since(client.arrived));
                }
                Outcome::NotRun { retry_after, .. } if client.tries < MAX_TRIES => {
                    let pause = match delay {
                        RetryDelay::OneSecond => Duration::from_secs(1),
                        RetryDelay::RetryAfter => retry_after,
                    };
                    // Clients do not retry in lockstep.
                    let jitter = Duration::from_millis(number as u64 * 37 % 200);
                    self.due.insert((self.entry.now + pause + jitter, number), ());
                }
                _ => result.tries += client.tries,
            }
        }
    }
}

/// Runs a burst and prints the results of its clients.
fn run_and_print(name: &str, burst_rate: f64, delay: RetryDelay) -> [ClientResults; 2] {
    let mut results = Burst::run(burst_rate, delay);
    for (priority, result) in results.iter_mut().enumerate() {
        let waited = [0.5, 0.9, 0.99].map(|quantile| result.wait_quantile(quantile));
        println!("{name}, priority {priority}: {result}, waited {waited:?} at 50, 90, 99 of 100");
    }
    results
}

/// If all rejected clients returned after the same delay, they would displace new clients and need
/// more tries.
#[test]
fn assigned_retry_delays_need_fewer_tries() {
    let [_, after_a_second] = run_and_print("one second", 250.0, RetryDelay::OneSecond);
    let [urgent, as_assigned] = run_and_print("as assigned", 250.0, RetryDelay::RetryAfter);
    assert_eq!(urgent.first_try, urgent.clients);
    assert_eq!(as_assigned.served, as_assigned.clients);
    assert!(
        as_assigned.first_try * 4 > after_a_second.first_try * 5,
        "a quarter more at the first try"
    );
    assert!(as_assigned.tries * 4 < after_a_second.tries * 3, "a quarter fewer tries");
}

#[test]
fn the_most_urgent_clients_return_first() {
    let [mut urgent, mut others] = run_and_print("as assigned", 600.0, RetryDelay::RetryAfter);
    assert!(urgent.first_try < urgent.clients, "some urgent clients are rejected");
    assert_eq!(urgent.served, urgent.clients);
    assert!(urgent.wait_quantile(0.9) * 2 < others.wait_quantile(0.9));
}
