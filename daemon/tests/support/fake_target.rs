//! A fake target: it accepts commands over HTTP, runs tasks for the time in their spec, and sends
//! heartbeats to its agent. It can crash or leave, restart as a new instance at the same address,
//! and replay a late heartbeat of an earlier instance.
//!
//! A spec is the run time in milliseconds; with the prefix `FAILS_PREFIX` the task then fails.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use hyper::{Request, Response, StatusCode};
use net::{Body, Clients, Limits, RequestBody};
use serde_json::{Value, json};

use super::call;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a waiting hold (a long poll of the agent) checks for ended runs.
const POLL: Duration = Duration::from_millis(5);
/// CPU capacity of a target in thousandths of a core; each task takes one core.
const CPU_MILLI: u64 = 8_000;
/// Spec prefix of a task that fails.
pub const FAILS_PREFIX: &str = "fails ";
/// A poll that is delayed by more than this may have left a command unanswered within the agent's
/// timeout.
const STALL: Duration = Duration::from_millis(25);
/// Request header with the instance that a command is for.
const EXPECTED_INSTANCE_HEADER: &str = "x-dockpass-expected-instance";
/// Status of the answer to a command for another instance.
const MISDIRECTED: u16 = 421;
/// Timeout of a heartbeat or a deregistration.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a target that leaves waits for the acknowledgement that it drains.
const MAX_DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// One run of a task as observed by a target.
#[derive(Clone, Debug)]
pub struct TaskRun {
    pub task: String,
    pub started: Instant,
    /// Time and outcome of the end.
    pub ended: Option<(Instant, &'static str)>,
}

/// Observations of a target over all its instances.
#[derive(Debug, Default)]
pub struct Observations {
    /// Number of starts by task.
    pub starts: BTreeMap<String, u32>,
    /// Most tasks that ran at the same time.
    pub max_running: usize,
    /// The runs in the order of their starts.
    pub runs: Vec<TaskRun>,
    /// Commands for other instances: time of arrival and instance.
    pub misdirected: Vec<(Instant, String)>,
    /// When the agent first acknowledged a heartbeat of the present instance.
    pub acknowledged: Option<Instant>,
    /// When the host last stalled this process long enough for commands to time out.
    pub stalled_at: Option<Instant>,
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Ready,
    Draining,
    /// It has deregistered and sends no more heartbeats.
    Left,
}

/// How a target leaves.
#[derive(Clone, Copy, Debug)]
pub struct Leave {
    /// Time from the announcement that it drains to the deregistration.
    pub drain: Duration,
    /// Time from the answer to the deregistration until the target and its runs end.
    pub end_delay: Duration,
    /// Whether the target closes its listener after the deregistration.
    pub closes_listener: bool,
}

/// A running fake target; stops when dropped.
pub struct FakeTarget {
    pub observed: Arc<Mutex<Observations>>,
    address: SocketAddr,
    agent: SocketAddr,
    hall: &'static str,
    id: String,
    started: Instant,
    phase: Arc<Mutex<Phase>>,
    /// Ends the instance when dropped.
    stop: Option<async_channel::Sender<()>>,
    /// Closes the listener when dropped.
    listener: Option<async_channel::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

struct ActiveRun {
    /// Number of the run among those of its task.
    number: u64,
    ends_at: Instant,
    /// Outcome unless the run is stopped, crashes or loses its lease before `ends_at`.
    outcome: &'static str,
    leased_until: Instant,
}

struct State {
    instance: Instance,
    /// Highest fencing token received; commands with a lower one are refused.
    fence: u64,
    /// Active runs by task.
    runs: BTreeMap<String, ActiveRun>,
    /// Run number by task up to which no run may start any more.
    barred: BTreeMap<String, u64>,
    /// Ended runs that the agent has not acknowledged: sequence number, task, run and outcome.
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Sequence number of the next ended run.
    next_sequence: u64,
}

impl FakeTarget {
    /// Starts a target that sends heartbeats to its agent.
    pub fn start(address: SocketAddr, agent: SocketAddr, id: &str) -> Self {
        Self::start_in(address, agent, id, "hall")
    }

    /// Starts a target in a given data hall.
    pub fn start_in(address: SocketAddr, agent: SocketAddr, id: &str, hall: &'static str) -> Self {
        let observed = Arc::new(Mutex::new(Observations::default()));
        let mut target = Self {
            observed,
            address,
            agent,
            hall,
            id: String::new(),
            started: Instant::now(),
            phase: Arc::new(Mutex::new(Phase::Ready)),
            stop: None,
            listener: None,
            threads: vec![],
        };
        target.start_instance(id);
        target
    }

    /// Starts the server and the heartbeats of a new instance.
    fn start_instance(&mut self, id: &str) {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (listener, closed) = async_channel::bounded::<()>(1);
        self.id = id.to_owned();
        self.started = Instant::now();
        self.phase = Arc::new(Mutex::new(Phase::Ready));
        self.observed.lock().expect("the mutex is not poisoned").acknowledged = None;
        let (address, started) = (self.address, self.started);
        let instance = Instance { id: id.to_owned(), started, observed: self.observed.clone() };
        let server_stopped = stopped.clone();
        let serve = std::thread::spawn(move || serve(address, instance, server_stopped, closed));
        let (agent, hall) = (self.agent, self.hall);
        let (observed, id, phase) = (self.observed.clone(), id.to_owned(), self.phase.clone());
        let heartbeats = std::thread::spawn(move || {
            while !stopped.is_closed() {
                let state = *phase.lock().expect("the mutex is not poisoned");
                if state == Phase::Left {
                    break;
                }
                // The agent may be down; the next heartbeat retries.
                if send_heartbeat(agent, hall, &id, clock_ms(started), state) {
                    let mut observed = observed.lock().expect("the mutex is not poisoned");
                    observed.acknowledged.get_or_insert_with(Instant::now);
                }
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        self.stop = Some(stop);
        self.listener = Some(listener);
        self.threads = vec![serve, heartbeats];
    }

    /// Leaves: announces that it drains, deregisters, and ends with all of its runs. Returns the
    /// number of runs that were active at the deregistration.
    pub fn leave(&mut self, leave: Leave) -> usize {
        self.set_phase(Phase::Draining);
        let noticed_by = Instant::now() + MAX_DRAIN_NOTICE;
        while !send_heartbeat(self.agent, self.hall, &self.id, self.clock_ms(), Phase::Draining)
            && Instant::now() < noticed_by
        {
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
        std::thread::sleep(leave.drain);
        self.set_phase(Phase::Left);
        let active = self.active_runs();
        let path = format!("/instances/{}/deregister", self.id);
        // The target ends all the same if its agent is down.
        let _ = call(self.agent, "POST", &path, "", HEARTBEAT_TIMEOUT);
        if leave.closes_listener {
            self.listener.take();
        }
        std::thread::sleep(leave.end_delay);
        self.shut_down();
        active
    }

    fn set_phase(&self, phase: Phase) {
        *self.phase.lock().expect("the mutex is not poisoned") = phase;
    }

    fn clock_ms(&self) -> u64 {
        clock_ms(self.started)
    }

    /// Number of active runs.
    pub fn active_runs(&self) -> usize {
        let observed = self.observed.lock().expect("the mutex is not poisoned");
        observed.runs.iter().filter(|run| run.ended.is_none()).count()
    }

    /// Crashes and restarts as a new instance at the same address, ending all runs. Returns the
    /// clock of the previous instance.
    pub fn restart(&mut self, id: &str) -> u64 {
        let clock_ms = self.clock_ms();
        self.shut_down();
        self.start_instance(id);
        clock_ms
    }

    /// Sends a heartbeat of an earlier instance; returns whether the agent acknowledged it.
    pub fn send_late_heartbeat(&self, id: &str, clock_ms: u64) -> bool {
        send_heartbeat(self.agent, self.hall, id, clock_ms, Phase::Ready)
    }

    fn shut_down(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            // A panic in the thread has already failed the test.
            let _ = thread.join();
        }
    }
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// An instance of a target.
struct Instance {
    id: String,
    started: Instant,
    observed: Arc<Mutex<Observations>>,
}

/// Clock of an instance that started at the given time.
fn clock_ms(started: Instant) -> u64 {
    1_000 + started.elapsed().as_millis() as u64
}

/// Sends a heartbeat to an agent; returns whether it was acknowledged.
fn send_heartbeat(agent: SocketAddr, hall: &str, id: &str, clock_ms: u64, phase: Phase) -> bool {
    let state = if phase == Phase::Ready { "ready" } else { "draining" };
    let body = json!({"service": "work", "zone": hall, "state": state, "labels": ["a"],
        "capacity": {"cpu": CPU_MILLI, "mem_mb": 32_768, "gpu": 0},
        "clock_ms": clock_ms, "sequence": clock_ms});
    let path = format!("/instances/{id}/heartbeat");
    call(agent, "POST", &path, &body.to_string(), HEARTBEAT_TIMEOUT)
        .is_some_and(|answer| answer.status == 200)
}

/// Serves until `stopped` is closed; accepts connections until `closed` is.
fn serve(
    address: SocketAddr,
    instance: Instance,
    stopped: async_channel::Receiver<()>,
    closed: async_channel::Receiver<()>,
) {
    let limits = Limits {
        max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(10),
        body_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(10),
        max_connections: 100,
        socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
    };
    let state = Rc::new(RefCell::new(State {
        instance,
        fence: 0,
        runs: BTreeMap::new(),
        barred: BTreeMap::new(),
        ended: Vec::new(),
        next_sequence: 1,
    }));
    let crashed_state = state.clone();
    let polled_state = state.clone();
    net::block_on(|tasks| async move {
        let listener = Async::<TcpListener>::bind(address).expect("the address is free");
        let handler = move |request: Request<RequestBody>| {
            let state = state.clone();
            async move { handle(&state, request).await }
        };
        let accept =
            net::serve(listener, tasks.clone(), Clients::default(), move || limits, handler);
        let until_closed = async move {
            // Returns when the sender is dropped.
            let _ = closed.recv().await;
        };
        tasks.spawn(accept.or(until_closed));
        tasks.spawn(async move {
            // Ends completed runs and runs with expired leases even without incoming commands.
            loop {
                let polled_at = Instant::now();
                polled_state.borrow_mut().end_due_runs();
                Timer::after(POLL).await;
                polled_state.borrow().note_stall(polled_at);
            }
        });
        // Returns when the sender is dropped.
        let _ = stopped.recv().await;
        crashed_state.borrow_mut().crash();
    });
}

/// Executes a command unless it is for another instance or its fencing token is too low.
async fn handle(state: &Rc<RefCell<State>>, request: Request<RequestBody>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let command: Value = body
        .read()
        .await
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or_default();
    let number = |name: &str| command[name].as_u64().unwrap_or_default();
    let expected = head.headers.get(EXPECTED_INSTANCE_HEADER).and_then(|id| id.to_str().ok());
    if let Some(other) = expected.filter(|id| *id != state.borrow().instance.id) {
        return state.borrow().misdirected_response(other);
    }
    if number("fencing_token") < state.borrow().fence {
        let clock_ms = state.borrow().clock_ms();
        return respond(409, &json!({"clock_ms": clock_ms, "reason": "fence"}));
    }
    state.borrow_mut().fence = number("fencing_token");
    match head.uri.path() {
        "/run-start" => state.borrow_mut().start(&command),
        "/run-stop" => state.borrow_mut().stop(&command),
        "/hold" => hold(state, &command).await,
        _ => respond(404, &json!({})),
    }
}

/// Answers a hold, the agent's long poll: it renews the leases of all runs and is answered once a
/// run has ended or its waiting time has passed.
async fn hold(state: &Rc<RefCell<State>>, command: &Value) -> Response<Body> {
    let number = |name: &str| command[name].as_u64().unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    // An expired lease cannot be renewed.
    state.borrow_mut().end_due_runs();
    state.borrow_mut().renew_leases(number("deadline_ms"));
    let last_seen = number("last_seen");
    state.borrow_mut().ended.retain(|(sequence, ..)| *sequence > last_seen);
    loop {
        state.borrow_mut().end_due_runs();
        if !state.borrow().ended.is_empty() || Instant::now() >= until {
            return state.borrow().hold_response();
        }
        Timer::after(POLL).await;
    }
}

impl State {
    /// Records a stall if the last poll was too long ago.
    fn note_stall(&self, polled_at: Instant) {
        if polled_at.elapsed() > POLL + STALL {
            let mut observed = self.instance.observed.lock().expect("the mutex is not poisoned");
            observed.stalled_at = Some(Instant::now());
        }
    }

    fn clock_ms(&self) -> u64 {
        clock_ms(self.instance.started)
    }

    fn observed(&self) -> MutexGuard<'_, Observations> {
        self.instance.observed.lock().expect("the mutex is not poisoned")
    }

    /// Rejects a command for another instance without executing it.
    fn misdirected_response(&self, id: &str) -> Response<Body> {
        self.observed().misdirected.push((Instant::now(), id.to_owned()));
        respond(MISDIRECTED, &json!({"clock_ms": self.clock_ms()}))
    }

    /// Ends all runs as crashed.
    fn crash(&mut self) {
        self.end_due_runs();
        let tasks: Vec<String> = self.runs.keys().cloned().collect();
        tasks.iter().for_each(|task| self.end_run(task, "crashed"));
    }

    fn renew_leases(&mut self, deadline_ms: u64) {
        let left = Duration::from_millis(deadline_ms.saturating_sub(self.clock_ms()));
        let leased_until = Instant::now() + left.min(Duration::from_secs(1));
        self.runs
            .values_mut()
            .for_each(|run| run.leased_until = run.leased_until.max(leased_until));
    }

    fn end_due_runs(&mut self) {
        let now = Instant::now();
        let is_due = |run: &ActiveRun| run.ends_at <= now || run.leased_until <= now;
        let tasks: Vec<String> =
            self.runs.iter().filter(|(_, run)| is_due(run)).map(|(task, _)| task.clone()).collect();
        for task in tasks {
            let run = &self.runs[&task];
            let outcome = if run.ends_at <= now { run.outcome } else { "lapsed" };
            self.end_run(&task, outcome);
        }
    }

    fn end_run(&mut self, task: &str, outcome: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        let ended_at = Instant::now().min(run.ends_at).min(run.leased_until);
        let mut observed = self.observed();
        let mut observed_runs = observed.runs.iter_mut().rev();
        if let Some(ended) = observed_runs.find(|other| other.task == task && other.ended.is_none())
        {
            ended.ended = Some((ended_at, outcome));
        }
        drop(observed);
        self.barred.insert(task.to_owned(), run.number);
        self.ended.push((self.next_sequence, task.to_owned(), run.number, outcome));
        self.next_sequence += 1;
    }

    fn start(&mut self, command: &Value) -> Response<Body> {
        self.end_due_runs();
        let clock_ms = self.clock_ms();
        let refuse = |reason: &str| respond(409, &json!({"clock_ms": clock_ms, "reason": reason}));
        let task = command["task"].as_str().unwrap_or_default().to_owned();
        let number = command["run"].as_u64().unwrap_or_default();
        let deadline_ms = command["deadline_ms"].as_u64().unwrap_or_default();
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
        let spec = command["spec"].as_str().unwrap_or_default();
        let outcome = if spec.starts_with(FAILS_PREFIX) { "failed" } else { "done" };
        let work: u64 = spec.trim_start_matches(FAILS_PREFIX).parse().unwrap_or(1);
        let now = Instant::now();
        let leased_until = now + Duration::from_millis(deadline_ms - clock_ms);
        let ends_at = now + Duration::from_millis(work);
        self.runs.insert(task.clone(), ActiveRun { number, ends_at, outcome, leased_until });
        let running = self.runs.len();
        let mut observed = self.observed();
        observed.runs.push(TaskRun { task: task.clone(), started: now, ended: None });
        *observed.starts.entry(task).or_default() += 1;
        observed.max_running = observed.max_running.max(running);
        drop(observed);
        respond(200, &json!({"clock_ms": clock_ms}))
    }

    fn stop(&mut self, command: &Value) -> Response<Body> {
        let task = command["task"].as_str().unwrap_or_default();
        let number = command["run"].as_u64().unwrap_or_default();
        if self.runs.get(task).is_some_and(|run| run.number == number) {
            self.end_run(task, "stopped");
        } else {
            self.barred.insert(task.to_owned(), number);
        }
        respond(200, &json!({"clock_ms": self.clock_ms()}))
    }

    fn hold_response(&self) -> Response<Body> {
        let running: Vec<Value> =
            self.runs.iter().map(|(task, run)| json!([task, run.number, "", 100])).collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(sequence, task, run, outcome)| json!([sequence, task, run, outcome, ""]))
            .collect();
        let clock_ms = self.clock_ms();
        respond(200, &json!({"clock_ms": clock_ms, "running": running, "ended": ended}))
    }
}

fn respond(status: u16, body: &Value) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).expect("the status is valid");
    response
}
