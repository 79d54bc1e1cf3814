//! A sound executor: takes orders as the pages say, runs tasks for the time that their spec names,
//! guards its capacity and sends heartbeats to the agent of its machine.
//!
//! A spec is `cpu=THOUSANDTHS ms=TIME`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Record;
use crate::http::{Json, Message, call, request, serve};

/// `max_hold_ms` of the sites.
const MAX_HOLD_MS: u64 = 1_000;
/// How long a stop takes; at most `stop_ms`, which is 50.
const STOP_TIME: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(1);

/// A run as the executor saw it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

/// An answer, or none, to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat {
    pub sent: Instant,
    pub took: Duration,
    pub acknowledged: bool,
}

struct ActiveRun {
    ends_at: Instant,
    stopped_at: Option<Instant>,
    cpu: u64,
    record: usize,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), ActiveRun>,
    barred: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    records: Vec<RunRecord>,
    heartbeats: Vec<Heartbeat>,
}

pub struct Executor {
    pub id: String,
    cpu: u64,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Executor {
    pub fn start(
        id: &str,
        address: SocketAddr,
        agent: SocketAddr,
        zone: &str,
        cpu: u64,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        let executor = Arc::new(Self {
            id: id.to_owned(),
            cpu,
            born: born as u64,
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let served = executor.clone();
        serve(address, move |message| served.answer(message))?;
        let ticking = executor.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.expire();
            }
        });
        let beating = executor.clone();
        let zone = zone.to_owned();
        std::thread::spawn(move || beating.send_heartbeats(address, agent, &zone));
        Ok(executor)
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.lock().expect("no thread panics").records.clone()
    }

    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.state.lock().expect("no thread panics").heartbeats.clone()
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    /// Sends a heartbeat about every `heartbeat_interval_ms` (1,500); one that gets no answer within
    /// a second is sent again.
    fn send_heartbeats(&self, address: SocketAddr, agent: SocketAddr, zone: &str) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                "{{\"service\":\"booking\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"capacity\":{{\"cpu\":{},\"mem_mb\":32768,\"gpu\":0}},\"labels\":[\"a\",\"r1\"],\
                 \"clock_ms\":{},\"born\":{},\"sequence\":{sequence}}}",
                self.cpu,
                self.clock_ms(),
                self.born
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            let bytes = request("POST", &agent.to_string(), &path, "", &body);
            let sent = Instant::now();
            let answer = call(agent, &bytes, Duration::from_secs(1));
            let acknowledged = answer.is_some_and(|answer| (200..300).contains(&answer.status()));
            let heartbeat = Heartbeat { sent, took: sent.elapsed(), acknowledged };
            self.state.lock().expect("no thread panics").heartbeats.push(heartbeat);
            let pause = if acknowledged { 1_500 } else { 300 };
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Ends the runs whose time, stop or lease is over.
    fn expire(&self) {
        let now = Instant::now();
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().expect("no thread panics");
        let lapsed = clock_ms > state.deadline_ms;
        let how = |run: &ActiveRun| match run.stopped_at {
            _ if run.ends_at <= now => Some("done"),
            Some(at) if now >= at + STOP_TIME => Some("stopped"),
            _ if lapsed => Some("lapsed"),
            _ => None,
        };
        let over: Vec<((String, u64), &'static str)> = state
            .running
            .iter()
            .filter_map(|(key, run)| how(run).map(|how| (key.clone(), how)))
            .collect();
        for ((task, number), how) in &over {
            let Some(run) = state.running.remove(&(task.clone(), *number)) else { continue };
            state.records[run.record].ended = Some((now, how));
            state.last_end += 1;
            let end = state.last_end;
            state.ended.push((end, task.clone(), *number, how));
            let barred = state.barred.entry(task.clone()).or_default();
            *barred = (*barred).max(*number);
            self.record.line_at(now, &format!("{} ended {task} run {number}: {how}", self.id));
        }
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn answer(&self, message: &Message) -> (u16, String) {
        if message.headers.get("x-dockpass-expected-instance").is_some_and(|id| *id != self.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&message.body) else { return (400, "{}".to_owned()) };
        let path = message.line.split(' ').nth(1).unwrap_or_default().to_owned();
        let fence = body.number("fencing_token").unwrap_or(0);
        {
            let mut state = self.state.lock().expect("no thread panics");
            if fence < state.fence {
                return self.refusal("fence");
            }
            state.fence = fence;
        }
        match path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn accepted(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn extend(&self, state: &mut State, deadline_ms: u64) {
        let longest = self.clock_ms() + MAX_HOLD_MS;
        state.deadline_ms = state.deadline_ms.max(deadline_ms.min(longest));
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let (task, spec) = (body.text("task"), body.text("spec"));
        let (Some(run), Some(deadline_ms)) = (body.number("run"), body.number("deadline_ms"))
        else {
            return (400, "{}".to_owned());
        };
        let figure = |name: &str| {
            let text = spec.split(' ').find_map(|part| part.strip_prefix(name))?;
            text.parse::<u64>().ok()
        };
        let (Some(cpu), Some(ms)) = (figure("cpu="), figure("ms=")) else {
            return (400, "{}".to_owned());
        };
        let now = Instant::now();
        let mut state = self.state.lock().expect("no thread panics");
        if deadline_ms < self.clock_ms() {
            return self.refusal("late");
        }
        self.extend(&mut state, deadline_ms);
        if state.running.contains_key(&(task.clone(), run)) {
            return self.accepted();
        }
        if state.barred.get(&task).is_some_and(|barred| run <= *barred) {
            return self.refusal("old");
        }
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + cpu > self.cpu {
            return self.refusal("room");
        }
        let record = state.records.len();
        state.records.push(RunRecord {
            executor: self.id.clone(),
            task: task.clone(),
            run,
            started: now,
            ended: None,
        });
        let ends_at = now + Duration::from_millis(ms);
        state
            .running
            .insert((task.clone(), run), ActiveRun { ends_at, stopped_at: None, cpu, record });
        self.record.line_at(now, &format!("{} started {task} run {run}", self.id));
        self.accepted()
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
        let mut state = self.state.lock().expect("no thread panics");
        let barred = state.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        if let Some(active) = state.running.get_mut(&(task, run)) {
            active.stopped_at.get_or_insert(Instant::now());
        }
        self.accepted()
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let last_seen = body.number("last_seen").unwrap_or(0);
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("no thread panics");
        if let Some(deadline_ms) = body.number("deadline_ms") {
            self.extend(&mut state, deadline_ms);
        }
        state.ended.retain(|(number, ..)| *number > last_seen);
        while state.ended.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).expect("no thread panics").0;
        }
        let running: Vec<String> =
            state.running.keys().map(|(task, run)| format!("[\"{task}\",{run},\"\",0]")).collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let answer = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, answer)
    }
}
