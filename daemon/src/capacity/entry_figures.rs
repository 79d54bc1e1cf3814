//! The entry's figures, as monitoring reads them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dispatch::{News, Outcome};
use net::Phase;
use telemetry::Latency;

use super::entry::Entry;
use super::entry_news::outcome_fields;
use super::metrics::Page;

/// What an entry counts of the jobs that it has answered.
#[derive(Default)]
pub(super) struct Figures {
    /// From handing in to the answer, of completed jobs, by queue.
    latencies: HashMap<String, Latency>,
    /// The longest wait of a task for room, of jobs of which something started.
    waits: Latency,
    /// How long jobs were held that were then told not to have run.
    holds: Latency,
    /// Answers by their outcome and its reason.
    outcomes: BTreeMap<(&'static str, &'static str), u64>,
    /// Responses by their status.
    statuses: BTreeMap<u16, u64>,
}

impl Figures {
    /// Takes note of a decision: how long a job took, waited, or was held before it was refused.
    pub fn note(&mut self, news: &News) {
        let News::Answered { queue, outcome, took_ms, waited_ms, starts, .. } = news else {
            if matches!(news, News::Refused { .. }) {
                self.holds.record(Duration::ZERO);
            }
            return;
        };
        let took = Duration::from_secs_f64(took_ms / 1e3);
        match outcome {
            Outcome::Completed => self.latency(queue).record(took),
            Outcome::NotRun { .. } => self.holds.record(took),
            _ => {}
        }
        if *starts > 0 {
            self.waits.record(Duration::from_secs_f64(waited_ms / 1e3));
        }
    }

    /// Takes note of what a client is told of its job.
    pub fn told(&mut self, outcome: Outcome) {
        *self.outcomes.entry(outcome_fields(outcome)).or_default() += 1;
    }

    /// Takes note of a response.
    pub fn answered(&mut self, status: u16) {
        *self.statuses.entry(status).or_default() += 1;
    }

    fn latency(&mut self, queue: &str) -> &mut Latency {
        if !self.latencies.contains_key(queue) {
            self.latencies.insert(queue.to_owned(), Latency::default());
        }
        self.latencies.get_mut(queue).expect("it was added")
    }

    fn fill(&self, page: &mut Page) {
        for (status, count) in &self.statuses {
            page.value("answers_total", &format!("{{status=\"{status}\"}}"), *count);
        }
        for ((outcome, reason), count) in &self.outcomes {
            let labels = format!("{{outcome=\"{outcome}\",reason=\"{reason}\"}}");
            page.value("outcomes_total", &labels, *count);
        }
        for (queue, latency) in &self.latencies {
            page.latency("job", "queue", queue, latency);
        }
        page.latency("job_phase", "phase", "wait", &self.waits);
        page.latency("job_phase", "phase", "refused", &self.holds);
    }
}

impl Entry {
    /// Writes them all.
    pub(super) fn fill(&self, page: &mut Page) {
        let dispatcher = self.dispatcher.borrow();
        let counters = dispatcher.counters();
        let outcomes = [
            ("completed", counters.completed),
            ("failed", counters.failed),
            ("not_run", counters.not_run),
            ("may_have_run", counters.may_have_run),
            ("cancelled", counters.cancelled),
        ];
        page.value("jobs_submitted_total", "", counters.submitted);
        for (outcome, count) in outcomes {
            page.value("jobs_total", &format!("{{outcome=\"{outcome}\"}}"), count);
        }
        page.value("starts_total", "", counters.starts);
        page.value("starts_refused_total", "", counters.refused_starts);
        page.value("task_failures_total", "", counters.failures);
        page.value("task_losses_total", "", counters.losses);
        page.value("breaches_total", "", counters.breaches);
        page.value("agents_lost_total", "", counters.agents_lost);
        page.value("agents", "{state=\"known\"}", dispatcher.known_agents() as u64);
        page.value("agents", "{state=\"open\"}", dispatcher.open_agents() as u64);
        page.value("jobs_active", "", dispatcher.active() as u64);
        page.value("tasks_queued", "", dispatcher.queued() as u64);
        let callers = &self.stop.callers;
        page.value("connections_accepted_total", "", callers.accepted());
        for phase in Phase::ALL {
            let label = format!("{{phase=\"{}\"}}", phase.as_str());
            page.value("connections", &label, callers.count(phase) as u64);
        }
        self.messages.fill(page);
        page.value("ready", "", u64::from(self.is_ready()));
        let version = self.table().map_or(0, |table| table.version);
        page.value("configuration_version", "", version);
        page.value("halls_revision", "", dispatcher.halls().revision);
        page.value("log_lines_omitted_total", "", self.log.omitted());
        self.figures.borrow().fill(page);
    }
}
