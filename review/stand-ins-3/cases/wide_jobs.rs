//! A few clients at one entry send jobs of very many small tasks, one after the other.

use std::io::Write;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Record;
use crate::fleet::{Fleet, KYUTICKET_MEMORY_MB};
use crate::http::{connect, read_answer, request};
use crate::observe::Observer;

const CALM: Duration = Duration::from_secs(4);
const PRESS: Duration = Duration::from_secs(15);
const CLIENTS: u64 = 6;
/// The most tasks of a job that an entry takes by its settings.
const TASKS: u32 = 10_000;
/// CPU of a task, in thousandths of a core, and its time.
const TASK_CPU: u64 = 1;
const TASK_MS: u64 = 50;
const DEADLINE_MS: u64 = 1_500;
const PAUSE: Duration = Duration::from_millis(100);
/// Time without a run job at the entry that has no such clients from which the system counts as
/// hung: `contact_ms`.
const MAX_WITHOUT_JOBS: Duration = Duration::from_millis(3_000);

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let mut fleet = Fleet::start(2, 6, KYUTICKET_MEMORY_MB, record)?;
    let observer = Observer::start(&fleet);
    std::thread::sleep(CALM);
    let began = Instant::now();
    record.line("the clients of wide jobs begin at entry 0");
    let tasks = if trouble { TASKS } else { 2 };
    let until = began + PRESS;
    let front = fleet.front(0);
    let clients: Vec<JoinHandle<Vec<u16>>> = (0..CLIENTS)
        .map(|number| std::thread::spawn(move || submit_jobs(front, number, tasks, until)))
        .collect();
    for client in clients {
        let answers = client.join().map_err(|_| "a client panicked")?;
        record.line(&format!("a client of jobs of {tasks} tasks got {answers:?}"));
    }
    record.line("the clients of wide jobs have ended");
    std::thread::sleep(CALM);
    let seen = observer.finish(&mut fleet, record)?;
    let mut held = seen.without_jobs[1] < MAX_WITHOUT_JOBS && seen.ended.is_empty();
    for (name, mb) in &seen.peaks_mb {
        let limit = fleet.memory_of(name.split('-').next().unwrap_or_default());
        if *mb > limit {
            record.line(&format!("{name} takes {mb} MB on a machine of {limit} MB"));
            held = false;
        }
    }
    Ok(held)
}

/// The bytes of a submission of small tasks.
fn wide_submission(id: u64, tasks: u32) -> Vec<u8> {
    let body = format!(
        "{{\"best_effort\":true,\"spec\":\"cpu={TASK_CPU} ms={TASK_MS}\",\"steps\":[{{\
         \"count\":{tasks},\"cpu\":{TASK_CPU},\"mem_mb\":1,\"estimated_ms\":{TASK_MS}}}]}}"
    );
    let deadline = format!("X-Dockpass-Deadline-Milliseconds: {DEADLINE_MS}\r\n");
    request("POST", "nony24.example", &format!("/lohu930/{id:016x}"), &deadline, &body)
}

/// Submits jobs, each after the answer to the last one; returns the statuses, 0 without an answer.
fn submit_jobs(front: SocketAddr, number: u64, tasks: u32, until: Instant) -> Vec<u16> {
    let mut id = 0xd000_0000 + number * 0x1_0000;
    let mut answers = Vec::new();
    while Instant::now() < until {
        id += 1;
        let bytes = wide_submission(id, tasks);
        let answer = connect(front, Duration::from_secs(1)).and_then(|mut stream| {
            stream.write_all(&bytes).ok()?;
            read_answer(&mut stream, Duration::from_millis(DEADLINE_MS))
        });
        answers.push(answer.map_or(0, |answer| answer.status()));
        std::thread::sleep(PAUSE);
    }
    answers
}
