//! Results of an entry's jobs by queue: in time or late by the objective that the entry knows, and
//! refused, by reason.

use std::collections::BTreeMap;
use std::time::Duration;

use admission::PredictionError;
use telemetry::{LatencyHistogram, QueueTable};

use super::metrics::{MetricsPage, escape_label};

/// Results of the jobs of all queues.
#[derive(Default)]
pub(super) struct QueueMetrics {
    queues: QueueTable<QueueResults>,
}

/// Results of the jobs of one queue.
#[derive(Default)]
struct QueueResults {
    /// Time from submission to outcome of completed jobs.
    completion_times: Option<LatencyHistogram>,
    in_time: u64,
    late: u64,
    /// Answers "not run" by reason.
    refused: BTreeMap<&'static str, u64>,
}

impl QueueMetrics {
    /// Counts a completed job.
    pub fn record_completed(&mut self, queue: &str, took: Duration, objective: Duration) {
        let results = self.queues.get_mut(queue);
        match took <= objective {
            true => results.in_time += 1,
            false => results.late += 1,
        }
        results.completion_times.get_or_insert_default().record(took);
    }

    /// Counts an answer "not run" to a client.
    pub fn record_refused(&mut self, queue: &str, reason: &'static str) {
        *self.queues.get_mut(queue).refused.entry(reason).or_default() += 1;
    }

    /// Adds the results of all queues to a page, with the number of tasks of each queue that wait
    /// for capacity.
    pub fn write_metrics<'a>(
        &'a self,
        waiting: impl IntoIterator<Item = (&'a str, usize)>,
        page: &mut MetricsPage,
    ) {
        let mut waiting_by_queue = QueueTable::<usize>::default();
        self.queues.iter().for_each(|(queue, _)| *waiting_by_queue.get_mut(queue) += 0);
        for (queue, tasks) in waiting {
            *waiting_by_queue.get_mut(queue) += tasks;
        }
        for (queue, tasks) in waiting_by_queue.iter() {
            let labels = format!("{{queue=\"{}\"}}", escape_label(queue));
            page.value("queue_tasks_waiting", &labels, *tasks as u64);
        }
        for (queue, results) in self.queues.iter() {
            for (result, count) in [("in_time", results.in_time), ("late", results.late)] {
                let labels = format!("{{queue=\"{}\",result=\"{result}\"}}", escape_label(queue));
                page.value("queue_jobs_total", &labels, count);
            }
        }
        for (queue, results) in self.queues.iter() {
            for (reason, count) in &results.refused {
                let labels = format!("{{queue=\"{}\",reason=\"{reason}\"}}", escape_label(queue));
                page.value("queue_refused_total", &labels, *count);
            }
        }
        for (queue, results) in self.queues.iter() {
            if let Some(times) = &results.completion_times {
                page.latency("job", "queue", &escape_label(queue), times);
            }
        }
    }
}

/// Adds the ratios of actual to predicted run time, by queue, as histograms.
pub(super) fn write_prediction_errors<'a>(
    errors: impl IntoIterator<Item = (&'a str, &'a PredictionError)>,
    page: &mut MetricsPage,
) {
    for (queue, error) in errors {
        let queue = escape_label(queue);
        for (bound, count) in error.cumulative() {
            let labels = format!("{{queue=\"{queue}\",le=\"{bound}\"}}");
            page.value("run_time_ratio_bucket", &labels, count);
        }
        let labels = format!("{{queue=\"{queue}\",le=\"+Inf\"}}");
        page.value("run_time_ratio_bucket", &labels, error.count());
        let labels = format!("{{queue=\"{queue}\"}}");
        page.decimal("run_time_ratio_sum", &labels, error.sum());
        page.value("run_time_ratio_count", &labels, error.count());
    }
}
