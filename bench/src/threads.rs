//! Processor time of this process's threads, by name, as Linux counts it.

use std::collections::BTreeMap;
use std::fs;

/// Clock ticks a second, as `/proc` counts them on Linux.
const TICKS: f64 = 100.0;

/// Seconds of processor time by thread name.
pub type Usage = BTreeMap<String, f64>;

/// What every thread has used up to now.
pub fn usage() -> Usage {
    let mut usage = Usage::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return usage };
    for task in tasks.flatten() {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        if let Some((name, seconds)) = parse(&stat) {
            *usage.entry(name).or_default() += seconds;
        }
    }
    usage
}

/// The name and the user and system time of a line of `/proc/PID/task/TID/stat`.
fn parse(stat: &str) -> Option<(String, f64)> {
    let (before, after) = stat.rsplit_once(')')?;
    let (_, name) = before.split_once('(')?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((name.to_owned(), (user + system) / TICKS))
}

/// What threads used between two looks.
pub fn between(before: &Usage, after: &Usage) -> Usage {
    let used = |(name, seconds): (&String, &f64)| {
        (name.clone(), seconds - before.get(name).copied().unwrap_or_default())
    };
    after.iter().map(used).collect()
}
