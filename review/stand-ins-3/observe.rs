//! What ordinary clients, executors and the platform see beside a crowd: jobs that are run,
//! heartbeats that are acknowledged, and the memory of each process.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Record;
use crate::fleet::{Fleet, describe, submission};
use crate::http::call;

/// The deadline of the sites' clients.
const DEADLINE_MS: u64 = 1_500;
const JOB_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const BYTES_PER_MB: u64 = 1 << 20;

/// A job of an ordinary client.
struct Attempt {
    sent: Instant,
    took: Duration,
    answer: String,
    completed: bool,
}

/// Observes a fleet until it is asked for what it has seen.
pub struct Observer {
    began: Instant,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<Attempt>>>,
    sampler: JoinHandle<()>,
    /// The most memory of each process, in bytes.
    peaks: Arc<Mutex<BTreeMap<String, u64>>>,
}

/// What was seen.
pub struct Seen {
    /// The longest time in which no job was run, by entry.
    pub without_jobs: Vec<Duration>,
    /// The longest time in which no heartbeat was acknowledged, by agent.
    pub without_heartbeats: Vec<Duration>,
    /// The most memory of each process, in MB.
    pub peaks_mb: BTreeMap<String, u64>,
    /// Processes that have ended by themselves.
    pub ended: Vec<String>,
}

impl Observer {
    /// Starts a client at each entry, which submits small jobs one after the other.
    pub fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let clients = (0..fleet.entries.len())
            .map(|entry| start_client(entry, fleet.front(entry), stop.clone()))
            .collect();
        let processes = fleet.keepers.iter().chain(&fleet.entries).chain(&fleet.agents);
        let ids: Vec<(String, u32)> =
            processes.map(|process| (process.name.clone(), process.id())).collect();
        let peaks = Arc::new(Mutex::new(BTreeMap::new()));
        let (sampled, stopped) = (peaks.clone(), stop.clone());
        let sampler = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                for (name, id) in &ids {
                    let bytes = anonymous_bytes(*id);
                    let mut peaks = sampled.lock().expect("no thread panics");
                    let peak: &mut u64 = peaks.entry(name.clone()).or_default();
                    *peak = (*peak).max(bytes);
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { began: Instant::now(), stop, clients, sampler, peaks }
    }

    /// Ends the observation and writes it to the record.
    pub fn finish(self, fleet: &mut Fleet, record: &Record) -> Result<Seen, String> {
        self.stop.store(true, Ordering::Relaxed);
        let (began, ended) = (self.began, Instant::now());
        let mut without_jobs = Vec::new();
        for (entry, client) in self.clients.into_iter().enumerate() {
            let attempts = client.join().map_err(|_| "a client panicked")?;
            for attempt in &attempts {
                let took = attempt.took.as_millis();
                let text = format!("job at entry {entry}: {} after {took} ms", attempt.answer);
                record.line_at(attempt.sent, &text);
            }
            let completed = attempts.iter().filter(|attempt| attempt.completed);
            let ends = completed.map(|attempt| attempt.sent + attempt.took);
            without_jobs.push(longest_gap(began, ended, ends));
        }
        let mut without_heartbeats = Vec::new();
        for executor in &fleet.executors {
            let heartbeats = executor.heartbeats();
            for beat in heartbeats.iter().filter(|beat| !beat.acknowledged && beat.sent > began) {
                let text = format!("{}: no answer to a heartbeat within a second", executor.id);
                record.line_at(beat.sent, &text);
            }
            let acknowledged = heartbeats.iter().filter(|beat| beat.acknowledged);
            let moments = acknowledged.map(|beat| beat.sent + beat.took);
            without_heartbeats.push(longest_gap(began, ended, moments));
        }
        self.sampler.join().map_err(|_| "the sampler panicked")?;
        let peaks = self.peaks.lock().expect("no thread panics").clone();
        let peaks_mb = peaks.into_iter().map(|(name, bytes)| (name, bytes / BYTES_PER_MB));
        let peaks_mb: BTreeMap<String, u64> = peaks_mb.collect();
        let mut gone = Vec::new();
        for process in fleet.keepers.iter_mut().chain(&mut fleet.entries).chain(&mut fleet.agents) {
            if !process.is_running() {
                gone.push(process.name.clone());
            }
        }
        let seen = Seen { without_jobs, without_heartbeats, peaks_mb, ended: gone };
        seen.write(record);
        Ok(seen)
    }
}

impl Seen {
    fn write(&self, record: &Record) {
        for (entry, gap) in self.without_jobs.iter().enumerate() {
            let ms = gap.as_millis();
            record
                .line(&format!("entry {entry}: longest time without a job that was run: {ms} ms"));
        }
        for (agent, gap) in self.without_heartbeats.iter().enumerate() {
            let ms = gap.as_millis();
            record.line(&format!(
                "agent {agent}: longest time without an acknowledged heartbeat: {ms} ms"
            ));
        }
        for (name, mb) in &self.peaks_mb {
            record.line(&format!("{name}: at most {mb} MB of its own memory"));
        }
        for name in &self.ended {
            record.line(&format!("{name} has ended by itself"));
        }
    }
}

/// The memory of a process without pages of files, which other processes share.
fn anonymous_bytes(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1_024
}

fn start_client(
    entry: usize,
    front: SocketAddr,
    stop: Arc<AtomicBool>,
) -> JoinHandle<Vec<Attempt>> {
    std::thread::spawn(move || {
        let mut attempts = Vec::new();
        let mut id = 0xb000_0000 + entry as u64 * 0x1_0000;
        while !stop.load(Ordering::Relaxed) {
            id += 1;
            let sent = Instant::now();
            let bytes = submission(id, 2, 1_600, 100, DEADLINE_MS);
            let answer = call(front, &bytes, Duration::from_millis(DEADLINE_MS));
            let completed = answer.as_ref().is_some_and(|answer| {
                answer.status() == 200 && answer.body_text().contains("completed")
            });
            let answer = describe(answer.as_ref());
            attempts.push(Attempt { sent, took: sent.elapsed(), answer, completed });
            std::thread::sleep(JOB_INTERVAL);
        }
        attempts
    })
}

/// The longest time between two of these moments, or between one and the begin or end.
fn longest_gap(began: Instant, ended: Instant, moments: impl Iterator<Item = Instant>) -> Duration {
    let mut last = began;
    let mut longest = Duration::ZERO;
    for moment in moments.filter(|moment| *moment > began).chain([ended]) {
        longest = longest.max(moment.saturating_duration_since(last));
        last = moment.max(last);
    }
    longest
}
