//! A stand-in for a target: it takes orders over HTTP, runs tasks for as long as their spec says,
//! and reports of itself to its agent.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use net::{Body, BodyError, Limits};
use serde_json::{Value, json};

use super::call;

/// How often it reports of itself.
const BEAT: Duration = Duration::from_millis(100);
/// How often a hold that waits looks for an end.
const POLL: Duration = Duration::from_millis(5);
const CPU_MILLI: u64 = 8_000;

/// What a stand-in saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Starts by task.
    pub starts: BTreeMap<String, u32>,
    /// Most tasks at once.
    pub most: usize,
    /// When each run began and ended.
    pub spans: Vec<(String, Instant, Option<Instant>)>,
}

/// A running stand-in; it ends when dropped.
pub struct StandInTarget {
    pub seen: Arc<Mutex<Seen>>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

struct Run {
    number: u64,
    ends: Instant,
    lease: Instant,
}

struct State {
    began: Instant,
    fence: u64,
    runs: BTreeMap<String, Run>,
    barred: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next: u64,
    seen: Arc<Mutex<Seen>>,
}

impl StandInTarget {
    /// Starts a target that reports to its agent.
    pub fn start(address: SocketAddr, agent: SocketAddr, id: &str) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let began = Instant::now();
        let state_seen = seen.clone();
        let serving = stopped.clone();
        let serve = std::thread::spawn(move || serve(address, began, state_seen, serving));
        let path = format!("/instances/{id}/heartbeat");
        let beats = std::thread::spawn(move || {
            while !stopped.is_closed() {
                let clock_ms = 1_000 + began.elapsed().as_millis() as u64;
                let body = json!({"service": "work", "zone": "hall", "state": "ready",
                    "capacity": {"cpu": CPU_MILLI, "mem_mb": 32_768, "gpu": 0},
                    "clock_ms": clock_ms, "sequence": clock_ms});
                // An agent that is down hears of it later.
                let _ = call(agent, "POST", &path, &body.to_string(), Duration::from_secs(1));
                std::thread::sleep(BEAT);
            }
        });
        Self { seen, stop: Some(stop), threads: vec![serve, beats] }
    }
}

impl StandInTarget {
    /// How many tasks of a job began here.
    pub fn starts_of(&self, job: &str) -> u32 {
        let seen = self.seen.lock().expect("nobody panicked with it");
        let of_job = |(task, _): &(&String, &u32)| task.split('.').next() == Some(job);
        seen.starts.iter().filter(of_job).map(|(_, starts)| starts).sum()
    }

    /// Tasks of which two runs went on at once, at any targets.
    pub fn ran_twice_at_once(targets: &[Self]) -> Vec<String> {
        let mut spans: BTreeMap<String, Vec<(Instant, Instant)>> = BTreeMap::new();
        let now = Instant::now();
        for target in targets {
            let seen = target.seen.lock().expect("nobody panicked with it");
            for (task, began, ended) in &seen.spans {
                spans.entry(task.clone()).or_default().push((*began, ended.unwrap_or(now)));
            }
        }
        spans.retain(|_, runs| {
            runs.sort();
            runs.windows(2).any(|pair| pair[0].1 > pair[1].0)
        });
        for (task, runs) in &spans {
            for (began, ended) in runs {
                let ago = |at: &Instant| now.duration_since(*at).as_secs_f64();
                println!("{task}: from {:.3} to {:.3} s ago", ago(began), ago(ended));
            }
        }
        spans.into_keys().collect()
    }
}

impl Drop for StandInTarget {
    fn drop(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            // One that panicked has failed its test already.
            let _ = thread.join();
        }
    }
}

fn serve(
    address: SocketAddr,
    began: Instant,
    seen: Arc<Mutex<Seen>>,
    stopped: async_channel::Receiver<()>,
) {
    let limits = Limits {
        header_bytes: net::HEADER_BYTES,
        body_bytes: 1 << 20,
        read_time: Duration::from_secs(10),
        connections: 100,
    };
    let state = Rc::new(RefCell::new(State {
        began,
        fence: 0,
        runs: BTreeMap::new(),
        barred: BTreeMap::new(),
        ended: Vec::new(),
        next: 1,
        seen,
    }));
    let passing = state.clone();
    net::block_on(|tasks| async move {
        let listener = Async::<TcpListener>::bind(address).expect("the address is free");
        let handler = move |request: Request<Result<Bytes, BodyError>>| {
            let state = state.clone();
            async move { answer(&state, request).await }
        };
        tasks.spawn(net::serve(listener, tasks.clone(), move || limits, handler));
        tasks.spawn(async move {
            // Runs end and leases run out whether or not anyone asks.
            loop {
                passing.borrow_mut().pass();
                Timer::after(POLL).await;
            }
        });
        // Ends when the handle is dropped.
        let _ = stopped.recv().await;
    });
}

async fn answer(
    state: &Rc<RefCell<State>>,
    request: Request<Result<Bytes, BodyError>>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let order: Value =
        body.ok().and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default();
    let number = |name: &str| order[name].as_u64().unwrap_or_default();
    if number("fencing_token") < state.borrow().fence {
        let clock_ms = state.borrow().clock_ms();
        return respond(409, &json!({"clock_ms": clock_ms, "reason": "fence"}));
    }
    state.borrow_mut().fence = number("fencing_token");
    match head.uri.path() {
        "/run-start" => state.borrow_mut().start(&order),
        "/run-stop" => state.borrow_mut().stop(&order),
        "/hold" => hold(state, &order).await,
        _ => respond(404, &json!({})),
    }
}

async fn hold(state: &Rc<RefCell<State>>, order: &Value) -> Response<Body> {
    let number = |name: &str| order[name].as_u64().unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    // A lease that has run out can't be renewed.
    state.borrow_mut().pass();
    state.borrow_mut().renew(number("deadline_ms"));
    let last_seen = number("last_seen");
    state.borrow_mut().ended.retain(|(number, ..)| *number > last_seen);
    loop {
        state.borrow_mut().pass();
        if !state.borrow().ended.is_empty() || Instant::now() >= until {
            return state.borrow().lists();
        }
        Timer::after(POLL).await;
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn renew(&mut self, deadline_ms: u64) {
        let left = Duration::from_millis(deadline_ms.saturating_sub(self.clock_ms()));
        let lease = Instant::now() + left.min(Duration::from_secs(1));
        self.runs.values_mut().for_each(|run| run.lease = run.lease.max(lease));
    }

    fn pass(&mut self) {
        let now = Instant::now();
        let over = |run: &Run| run.ends <= now || run.lease <= now;
        let tasks: Vec<String> =
            self.runs.iter().filter(|(_, run)| over(run)).map(|(task, _)| task.clone()).collect();
        for task in tasks {
            let how = if self.runs[&task].ends <= now { "done" } else { "lapsed" };
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        let over = Instant::now().min(run.ends).min(run.lease);
        let mut seen = self.seen.lock().expect("nobody panicked with it");
        let span = seen.spans.iter_mut().rev().find(|(name, _, end)| name == task && end.is_none());
        if let Some((_, _, end)) = span {
            *end = Some(over);
        }
        drop(seen);
        self.barred.insert(task.to_owned(), run.number);
        self.ended.push((self.next, task.to_owned(), run.number, how));
        self.next += 1;
    }

    fn start(&mut self, order: &Value) -> Response<Body> {
        self.pass();
        let clock_ms = self.clock_ms();
        let refuse = |reason: &str| respond(409, &json!({"clock_ms": clock_ms, "reason": reason}));
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let number = order["run"].as_u64().unwrap_or_default();
        let deadline_ms = order["deadline_ms"].as_u64().unwrap_or_default();
        if deadline_ms <= clock_ms {
            return refuse("late");
        }
        if self.runs.get(&task).is_some_and(|run| run.number == number) {
            return respond(200, &json!({"clock_ms": clock_ms}));
        }
        let barred = self.barred.get(&task).is_some_and(|barred| number <= *barred);
        if barred || self.runs.contains_key(&task) {
            return refuse("old");
        }
        if (self.runs.len() as u64 + 1) * 1_000 > CPU_MILLI {
            return refuse("room");
        }
        let work: u64 = order["spec"].as_str().and_then(|spec| spec.parse().ok()).unwrap_or(1);
        let now = Instant::now();
        let lease = now + Duration::from_millis(deadline_ms - clock_ms);
        self.runs
            .insert(task.clone(), Run { number, ends: now + Duration::from_millis(work), lease });
        let mut seen = self.seen.lock().expect("nobody panicked with it");
        seen.spans.push((task.clone(), now, None));
        *seen.starts.entry(task).or_default() += 1;
        seen.most = seen.most.max(self.runs.len());
        respond(200, &json!({"clock_ms": clock_ms}))
    }

    fn stop(&mut self, order: &Value) -> Response<Body> {
        let task = order["task"].as_str().unwrap_or_default();
        let number = order["run"].as_u64().unwrap_or_default();
        if self.runs.get(task).is_some_and(|run| run.number == number) {
            self.end(task, "stopped");
        } else {
            self.barred.insert(task.to_owned(), number);
        }
        respond(200, &json!({"clock_ms": self.clock_ms()}))
    }

    fn lists(&self) -> Response<Body> {
        let running: Vec<Value> =
            self.runs.iter().map(|(task, run)| json!([task, run.number, "", 100])).collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let clock_ms = self.clock_ms();
        respond(200, &json!({"clock_ms": clock_ms, "running": running, "ended": ended}))
    }
}

fn respond(status: u16, body: &Value) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    response
}
