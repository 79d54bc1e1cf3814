//! What targets saw, held against what callers were told.

use std::collections::BTreeMap;
use std::time::Instant;

use super::FakeTarget;
use super::fake_target::TaskRun;

/// The runs that targets saw, by job.
pub struct ObservedRuns {
    runs: BTreeMap<String, Vec<TaskRun>>,
}

impl ObservedRuns {
    /// What these targets have seen so far.
    pub fn of(targets: &[FakeTarget]) -> Self {
        let mut runs: BTreeMap<String, Vec<TaskRun>> = BTreeMap::new();
        for target in targets {
            let observed = target.observed.lock().expect("nobody panicked with it");
            for run in &observed.runs {
                runs.entry(job_of(&run.task).to_owned()).or_default().push(run.clone());
            }
        }
        Self { runs }
    }

    fn runs_of(&self, job: &str) -> &[TaskRun] {
        self.runs.get(job).map_or(&[], Vec::as_slice)
    }

    /// How many runs of a job began.
    pub fn starts_of(&self, job: &str) -> usize {
        self.runs_of(job).len()
    }

    /// How many runs of a job began by a time.
    pub fn starts_by(&self, job: &str, time: Instant) -> usize {
        self.runs_of(job).iter().filter(|run| run.started <= time).count()
    }

    /// Tasks of a job of which a run was done by a time.
    pub fn done_by(&self, job: &str, time: Instant) -> usize {
        self.outcomes_by(job, "done", time).len()
    }

    /// Most runs of one task of a job that failed by a time.
    pub fn failures_by(&self, job: &str, time: Instant) -> usize {
        self.outcomes_by(job, "failed", time).into_values().max().unwrap_or_default()
    }

    /// How many runs of each task of a job ended in a way by a time.
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

/// The job of a task, by its name.
fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

/// Tasks of which two runs went on at once, at any targets.
pub fn overlapping_runs(targets: &[FakeTarget]) -> Vec<String> {
    let mut intervals: BTreeMap<String, Vec<(Instant, Instant)>> = BTreeMap::new();
    let now = Instant::now();
    for target in targets {
        let observed = target.observed.lock().expect("nobody panicked with it");
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
