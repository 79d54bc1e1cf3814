//! What targets saw, held against what callers were told.

use std::collections::BTreeMap;
use std::time::Instant;

use super::StandInTarget;
use super::fake_target::Span;

/// The runs that targets saw, by job.
pub struct Evidence {
    runs: BTreeMap<String, Vec<Span>>,
}

impl Evidence {
    /// What these targets have seen so far.
    pub fn of(targets: &[StandInTarget]) -> Self {
        let mut runs: BTreeMap<String, Vec<Span>> = BTreeMap::new();
        for target in targets {
            let seen = target.seen.lock().expect("nobody panicked with it");
            for span in &seen.spans {
                runs.entry(job_of(&span.task).to_owned()).or_default().push(span.clone());
            }
        }
        Self { runs }
    }

    fn runs_of(&self, job: &str) -> &[Span] {
        self.runs.get(job).map_or(&[], Vec::as_slice)
    }

    /// How many runs of a job began.
    pub fn starts_of(&self, job: &str) -> usize {
        self.runs_of(job).len()
    }

    /// How many runs of a job began by a time.
    pub fn starts_by(&self, job: &str, time: Instant) -> usize {
        self.runs_of(job).iter().filter(|run| run.began <= time).count()
    }

    /// Tasks of a job of which a run was done by a time.
    pub fn done_by(&self, job: &str, time: Instant) -> usize {
        self.ended_by(job, "done", time).len()
    }

    /// Most runs of one task of a job that failed by a time.
    pub fn failures_by(&self, job: &str, time: Instant) -> usize {
        self.ended_by(job, "failed", time).into_values().max().unwrap_or_default()
    }

    /// How many runs of each task of a job ended in a way by a time.
    fn ended_by(&self, job: &str, way: &str, time: Instant) -> BTreeMap<&str, usize> {
        let mut ends = BTreeMap::new();
        for run in self.runs_of(job) {
            if run.ended.is_some_and(|(at, how)| how == way && at <= time) {
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
pub fn ran_twice_at_once(targets: &[StandInTarget]) -> Vec<String> {
    let mut spans: BTreeMap<String, Vec<(Instant, Instant)>> = BTreeMap::new();
    let now = Instant::now();
    for target in targets {
        let seen = target.seen.lock().expect("nobody panicked with it");
        for Span { task, began, ended } in &seen.spans {
            let ended = ended.map_or(now, |(at, _)| at);
            spans.entry(task.clone()).or_default().push((*began, ended));
        }
    }
    spans.retain(|_, runs| {
        runs.sort();
        runs.windows(2).any(|pair| pair[0].1 > pair[1].0)
    });
    for (task, runs) in &spans {
        for (began, ended) in runs {
            let ago = |at: &Instant| now.duration_since(*at).as_secs_f64();
            println!("{task}: from {:.3} to {:.3} s ago", ago(began), ago(ended));
        }
    }
    spans.into_keys().collect()
}
