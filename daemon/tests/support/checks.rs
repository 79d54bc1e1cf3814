//! Checks of task runs that the fake targets observed.

use std::collections::BTreeMap;
use std::time::Instant;

use super::FakeTarget;
use super::fake_target::TaskRun;

/// Observed task runs by job.
pub struct ObservedRuns {
    runs: BTreeMap<String, Vec<TaskRun>>,
}

impl ObservedRuns {
    /// Collects the runs observed so far.
    pub fn of(targets: &[FakeTarget]) -> Self {
        let mut runs: BTreeMap<String, Vec<TaskRun>> = BTreeMap::new();
        for target in targets {
            let observed = target.observed.lock().expect("the mutex is not poisoned");
            for run in &observed.runs {
                runs.entry(job_of(&run.task).to_owned()).or_default().push(run.clone());
            }
        }
        Self { runs }
    }

    fn runs_of(&self, job: &str) -> &[TaskRun] {
        self.runs.get(job).map_or(&[], Vec::as_slice)
    }

    /// Number of runs of a job that started.
    pub fn starts_of(&self, job: &str) -> usize {
        self.runs_of(job).len()
    }

    /// Number of runs of a job that started by a time.
    pub fn starts_by(&self, job: &str, time: Instant) -> usize {
        self.runs_of(job).iter().filter(|run| run.started <= time).count()
    }

    /// Number of tasks of a job that had completed by a time.
    pub fn done_by(&self, job: &str, time: Instant) -> usize {
        self.outcomes_by(job, "done", time).len()
    }

    /// Largest number of failed runs of a single task of a job by a time.
    pub fn failures_by(&self, job: &str, time: Instant) -> usize {
        self.outcomes_by(job, "failed", time).into_values().max().unwrap_or_default()
    }

    /// Number of runs per task of a job that ended with an outcome by a time.
    fn outcomes_by(&self, job: &str, outcome: &str, time: Instant) -> BTreeMap<&str, usize> {
        let mut ends = BTreeMap::new();
        for run in self.runs_of(job) {
            if run.ended.is_some_and(|(at, run_outcome)| run_outcome == outcome && at <= time) {
                *ends.entry(run.task.as_str()).or_default() += 1;
            }
        }
        ends
    }
}

/// Job identifier in a task name.
fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

/// Returns tasks with two runs at the same time, on any targets.
pub fn overlapping_runs(targets: &[FakeTarget]) -> Vec<String> {
    let mut intervals: BTreeMap<String, Vec<(Instant, Instant)>> = BTreeMap::new();
    let now = Instant::now();
    for target in targets {
        let observed = target.observed.lock().expect("the mutex is not poisoned");
        for TaskRun { task, started, ended } in &observed.runs {
            let ended = ended.map_or(now, |(at, _)| at);
            intervals.entry(task.clone()).or_default().push((*started, ended));
        }
    }
    intervals.retain(|_, runs| {
        runs.sort();
        runs.windows(2).any(|pair| pair[0].1 > pair[1].0)
    });
    for (task, runs) in &intervals {
        for (started, ended) in runs {
            let ago = |at: &Instant| now.duration_since(*at).as_secs_f64();
            println!("{task}: from {:.3} to {:.3} s ago", ago(started), ago(ended));
        }
    }
    intervals.into_keys().collect()
}
