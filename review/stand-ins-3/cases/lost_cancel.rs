//! A side machine freezes while it runs a task of a job; the job's client loses its connection,
//! sends the job again to another entry and cancels it at the first one.

use std::io::Write;
use std::time::{Duration, Instant};

use crate::Record;
use crate::executor::RunRecord;
use crate::fleet::{
    Fleet, KYUTICKET_MEMORY_MB, SIGCONT, SIGSTOP, describe, job_request, reset_on_close, submission,
};
use crate::http::{call, connect, read_answer};

const ROUNDS: u64 = 3;
const AGENTS: usize = 4;
const TASKS: u32 = 4;
const TASK_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 14_000;
const FREEZE: Duration = Duration::from_millis(2_500);
const RESEND: Duration = Duration::from_millis(1_300);
/// `cancel_ms` and `stop_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(50);
/// `contact_ms`: from then on after the end of the freeze, no disruption is near.
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let fleet = Fleet::start(2, AGENTS, KYUTICKET_MEMORY_MB, record)?;
    let mut held = true;
    for round in 1..=ROUNDS {
        held &= run_round(&fleet, 0xe000 + round, round as usize % AGENTS, trouble, record)?;
        std::thread::sleep(Duration::from_secs(4));
    }
    Ok(held)
}

fn run_round(
    fleet: &Fleet,
    id: u64,
    frozen: usize,
    trouble: bool,
    record: &Record,
) -> Result<bool, String> {
    let bytes = submission(id, TASKS, 4_000, TASK_MS, DEADLINE_MS);
    let mut first =
        connect(fleet.front(0), Duration::from_secs(1)).ok_or("no connection to entry 0")?;
    first.write_all(&bytes).map_err(|error| error.to_string())?;
    record.line(&format!("client: job {id:016x} sent to entry 0"));
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        fleet.agents[frozen].signal(SIGSTOP);
        record.line(&format!("{} freezes", fleet.agents[frozen].name));
    }
    let frozen_at = Instant::now();
    std::thread::sleep(Duration::from_millis(50));
    reset_on_close(&first);
    drop(first);
    record.line("the client's connection to entry 0 is reset");
    std::thread::sleep(RESEND);
    let mut second =
        connect(fleet.front(1), Duration::from_secs(1)).ok_or("no connection to entry 1")?;
    second.write_all(&bytes).map_err(|error| error.to_string())?;
    record.line(&format!("client: job {id:016x} sent again, to entry 1"));
    std::thread::sleep(Duration::from_millis(100));
    let cancel = call(fleet.front(0), &job_request("DELETE", id), Duration::from_secs(1));
    let acknowledged_at = Instant::now();
    record.line(&format!("client: cancel at entry 0: {}", describe(cancel.as_ref())));
    let status = cancel.map_or(0, |answer| answer.status());
    if !(200..300).contains(&status) && status != 410 {
        return Err("the cancel was not acknowledged".to_owned());
    }
    std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if trouble {
        fleet.agents[frozen].signal(SIGCONT);
        record.line(&format!("{} wakes", fleet.agents[frozen].name));
    }
    let thawed_at = Instant::now();
    let point = (acknowledged_at + CANCEL + STOP).max(thawed_at + CONTACT);
    std::thread::sleep(point.saturating_duration_since(Instant::now()));
    let job = format!("{id:016x}");
    let runs: Vec<RunRecord> =
        fleet.executors.iter().flat_map(|executor| executor.runs()).collect();
    let alive: Vec<&RunRecord> =
        runs.iter().filter(|run| run.task.starts_with(&job) && run.ended.is_none()).collect();
    for run in &alive {
        record.line(&format!(
            "UNASKED: {} (run {}) still runs on {}, {} ms after the cancel was acknowledged",
            run.task,
            run.run,
            run.executor,
            acknowledged_at.elapsed().as_millis()
        ));
    }
    let answer = read_answer(&mut second, Duration::from_millis(DEADLINE_MS));
    record.line(&format!("client: answer of entry 1: {}", describe(answer.as_ref())));
    if !runs.iter().any(|run| run.task.starts_with(&job)) {
        return Err("the job never ran".to_owned());
    }
    Ok(alive.is_empty())
}
