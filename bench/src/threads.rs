//! CPU time of this process's threads, read from `/proc` on Linux.

use std::collections::BTreeMap;
use std::fs;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time in seconds by thread name; threads of equal name are added up.
pub type Usage = BTreeMap<String, f64>;

/// Returns the CPU time used so far by the running threads; empty where `/proc` can't be read.
pub fn usage() -> Usage {
    let mut usage = Usage::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return usage };
    for task in tasks.flatten() {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        if let Some((name, seconds)) = parse_stat(&stat) {
            *usage.entry(name).or_default() += seconds;
        }
    }
    usage
}

/// Parses the thread name and the sum of its user and system time from `/proc/PID/task/TID/stat`.
fn parse_stat(stat: &str) -> Option<(String, f64)> {
    let (before, after) = stat.rsplit_once(')')?;
    let (_, name) = before.split_once('(')?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((name.to_owned(), (user + system) / TICKS_PER_SECOND))
}

/// Returns the CPU time used between two calls of [`usage`].
pub fn usage_between(before: &Usage, after: &Usage) -> Usage {
    let difference = |(name, seconds): (&String, &f64)| {
        (name.clone(), seconds - before.get(name).copied().unwrap_or_default())
    };
    after.iter().map(difference).collect()
}
