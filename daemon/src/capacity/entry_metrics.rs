//! The entry's metrics.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::{LogEvent, Outcome};
use net::Phase;
use telemetry::LatencyHistogram;

use super::entry::Entry;
use super::entry_log::outcome_and_reason;
use super::metrics::MetricsPage;
use super::queue_metrics::{self, QueueMetrics};

/// Latencies and counts of the jobs and requests that an entry has answered.
#[derive(Default)]
pub(super) struct EntryMetrics {
    queues: QueueMetrics,
    /// Longest wait of a task for capacity, per job that was started.
    wait_times: LatencyHistogram,
    /// Time from submission to refusal of jobs that did not run.
    refusal_times: LatencyHistogram,
    /// Outcomes by name and reason.
    outcomes: BTreeMap<(&'static str, &'static str), u64>,
    /// Responses by status.
    statuses: BTreeMap<u16, u64>,
}

impl EntryMetrics {
    /// Records the latencies of an answered or refused job.
    pub fn record_event(&mut self, event: &LogEvent) {
        let LogEvent::Answered { queue, outcome, took_ms, objective_ms, waited_ms, starts, .. } =
            event
        else {
            if matches!(event, LogEvent::Refused { .. }) {
                self.refusal_times.record(Duration::ZERO);
            }
            return;
        };
        let took = Duration::from_secs_f64(took_ms / 1e3);
        match outcome {
            Outcome::Completed => {
                let objective = Duration::from_millis(*objective_ms);
                self.queues.record_completed(queue, took, objective);
            }
            Outcome::NotRun { .. } => self.refusal_times.record(took),
            _ => {}
        }
        if *starts > 0 {
            self.wait_times.record(Duration::from_secs_f64(waited_ms / 1e3));
        }
    }

    /// Counts an outcome sent to a client.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        *self.outcomes.entry(outcome_and_reason(outcome)).or_default() += 1;
    }

    /// Counts an outcome sent to a client by its queue, if no task has run.
    pub fn record_refusal(&mut self, queue: &str, outcome: Outcome) {
        if let Outcome::NotRun { reason, .. } = outcome {
            self.queues.record_refused(queue, reason.as_str());
        }
    }

    /// Counts a response.
    pub fn record_response(&mut self, status: u16) {
        *self.statuses.entry(status).or_default() += 1;
    }

    fn write_metrics<'a>(
        &'a self,
        waiting: impl IntoIterator<Item = (&'a str, usize)>,
        page: &mut MetricsPage,
    ) {
        for (status, count) in &self.statuses {
            page.value("answers_total", &format!("{{status=\"{status}\"}}"), *count);
        }
        for ((outcome, reason), count) in &self.outcomes {
            let labels = format!("{{outcome=\"{outcome}\",reason=\"{reason}\"}}");
            page.value("outcomes_total", &labels, *count);
        }
        self.queues.write_metrics(waiting, page);
        page.latency("job_phase", "phase", "wait", &self.wait_times);
        page.latency("job_phase", "phase", "refused", &self.refusal_times);
    }
}

impl Entry {
    /// Adds the entry's metrics to a page.
    pub(super) fn write_metrics(&self, page: &mut MetricsPage) {
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
        page.value("starts_total", "", counters.starts_sent);
        page.value("starts_refused_total", "", counters.refused_starts);
        page.value("task_failures_total", "", counters.task_failures);
        page.value("task_losses_total", "", counters.task_losses);
        page.value("breaches_total", "", counters.breaches);
        page.value("agents_lost_total", "", counters.agents_lost);
        page.value("agents", "{state=\"known\"}", dispatcher.known_agents() as u64);
        page.value("agents", "{state=\"open\"}", dispatcher.open_agents() as u64);
        page.value("jobs_active", "", dispatcher.active_jobs() as u64);
        page.value("tasks_queued", "", dispatcher.queued_tasks() as u64);
        let waiting = dispatcher.waiting_by_queue();
        let waiting = waiting.iter().map(|(queue, tasks)| (&**queue, *tasks));
        queue_metrics::write_prediction_errors(dispatcher.prediction_errors().iter(), page);
        let connections = &self.stop.connections;
        page.value("connections_accepted_total", "", connections.accepted());
        for phase in Phase::ALL {
            let label = format!("{{phase=\"{}\"}}", phase.as_str());
            page.value("connections", &label, connections.count(phase) as u64);
        }
        self.message_counters.write_metrics(page);
        page.value("ready", "", u64::from(self.is_ready()));
        let version = self.route_table().map_or(0, |table| table.version);
        page.value("configuration_version", "", version);
        page.value("halls_revision", "", dispatcher.emptied_halls().revision);
        page.value("log_lines_omitted_total", "", self.log.omitted());
        self.metrics.borrow().write_metrics(waiting, page);
    }
}
