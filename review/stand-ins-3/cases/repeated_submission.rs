//! A client cancels a job at the entry that has it. Seconds later the job's submission arrives a
//! second time, at another entry.

use std::io::Write;
use std::time::{Duration, Instant};

use crate::Record;
use crate::executor::RunRecord;
use crate::fleet::{Fleet, KYUTICKET_MEMORY_MB, describe, job_request, submission};
use crate::http::{call, connect, read_answer};

const ROUNDS: u64 = 5;
const TASKS: u32 = 2;
const TASK_MS: u64 = 900;
const DEADLINE_MS: u64 = 1_500;
const CANCEL_AFTER: Duration = Duration::from_millis(300);
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
/// Time from the answer to the submission until it arrives again.
const REPEATED_AFTER: Duration = Duration::from_secs(4);

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let fleet = Fleet::start(2, 4, KYUTICKET_MEMORY_MB, record)?;
    let mut broken_rounds = 0;
    for round in 1..=ROUNDS {
        broken_rounds += u64::from(!run_round(&fleet, 0xf000 + round, trouble, record)?);
    }
    record.line(&format!("broken in {broken_rounds} of {ROUNDS} rounds"));
    Ok(broken_rounds == 0)
}

/// Returns whether no task started too late after the cancel.
fn run_round(fleet: &Fleet, id: u64, trouble: bool, record: &Record) -> Result<bool, String> {
    let bytes = submission(id, TASKS, 1_600, TASK_MS, DEADLINE_MS);
    let mut stream =
        connect(fleet.front(0), Duration::from_secs(1)).ok_or("no connection to entry 0")?;
    stream.write_all(&bytes).map_err(|error| error.to_string())?;
    record.line(&format!("client: job {id:016x} sent to entry 0"));
    std::thread::sleep(CANCEL_AFTER);
    let cancel = call(fleet.front(0), &job_request("DELETE", id), Duration::from_secs(1));
    let acknowledged_at = Instant::now();
    record.line(&format!("client: cancel at entry 0: {}", describe(cancel.as_ref())));
    let status = cancel.map_or(0, |answer| answer.status());
    if !(200..300).contains(&status) && status != 410 {
        return Err("the cancel was not acknowledged".to_owned());
    }
    let answer = read_answer(&mut stream, Duration::from_millis(DEADLINE_MS));
    record.line(&format!("client: answer to the job: {}", describe(answer.as_ref())));
    std::thread::sleep(REPEATED_AFTER);
    if trouble {
        record.line("client: the same submission again, at entry 1");
        let answer = call(fleet.front(1), &bytes, Duration::from_millis(DEADLINE_MS));
        record.line(&format!("client: answer to it: {}", describe(answer.as_ref())));
    }
    let job = format!("{id:016x}");
    let runs = fleet.executors.iter().flat_map(|executor| executor.runs());
    let runs: Vec<RunRecord> = runs.filter(|run| run.task.starts_with(&job)).collect();
    if runs.is_empty() {
        return Err("the job never ran".to_owned());
    }
    let late: Vec<&RunRecord> =
        runs.iter().filter(|run| run.started > acknowledged_at + CANCEL).collect();
    for run in &late {
        let ms = run.started.saturating_duration_since(acknowledged_at).as_millis();
        record.line(&format!(
            "UNASKED: {} (run {}) started on {} {ms} ms after the cancel was acknowledged",
            run.task, run.run, run.executor
        ));
    }
    Ok(late.is_empty())
}
