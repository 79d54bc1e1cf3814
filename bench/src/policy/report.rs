//! Measurements of the simulation, as a table, as CSV and as a plot.

use std::fmt::Write as _;
use std::fs;
use std::time::Duration;

use plotters::prelude::*;
use telemetry::LatencyHistogram;

/// Measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Ratios of response time to ideal; a ratio of 1 is recorded as one second.
    pub ratios: LatencyHistogram,
    /// Jobs with an answer for every task.
    pub complete: u64,
    /// Jobs that were accepted but not completed.
    pub failed: u64,
    /// Jobs refused as not run.
    pub refused: u64,
    /// Slot time of the complete jobs, as a share of the slot time of all targets.
    pub useful_share: f64,
    /// Number of tasks of all jobs.
    pub tasks: u64,
    /// Number of messages between entries and agents.
    pub messages: u64,
    /// Number of those messages that led to no progress.
    pub wasted: u64,
}

impl Measurements {
    /// Records a complete job with its response time and its ideal.
    pub fn record_answer(&mut self, response: Duration, ideal: Duration) {
        self.complete += 1;
        let ratio = response.as_secs_f64() / ideal.as_secs_f64();
        self.ratios.record(Duration::from_secs_f64(ratio));
    }

    /// Returns a quantile, from 0 to 1, of the response time over the ideal.
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratios.quantile(quantile).as_secs_f64()
    }

    fn per_task(&self, count: u64) -> f64 {
        count as f64 / self.tasks.max(1) as f64
    }
}

/// Result of one policy in one scenario.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Measurements of the run.
    pub measurements: Measurements,
}

/// Prints the column headings of the table.
pub fn print_header() {
    println!(
        "{:<22} {:<18} {:>7} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7} {:>9} {:>9}",
        "scenario",
        "policy",
        "whole",
        "failed",
        "refused",
        "useful",
        "p50",
        "p99",
        "p99.9",
        "msgs/task",
        "wasted"
    );
}

/// Prints a row of the table.
pub fn print_row(row: &Row) {
    let measurements = &row.measurements;
    println!(
        "{:<22} {:<18} {:>7} {:>6} {:>7} {:>5.1}% {:>7.3} {:>7.3} {:>7.3} {:>9.2} {:>9.3}",
        row.scenario,
        row.policy,
        measurements.complete,
        measurements.failed,
        measurements.refused,
        measurements.useful_share * 100.0,
        measurements.ratio(0.5),
        measurements.ratio(0.99),
        measurements.ratio(0.999),
        measurements.per_task(measurements.messages),
        measurements.per_task(measurements.wasted),
    );
}

/// Writes every row as CSV; fails if the file can't be written.
pub fn write_csv(path: &str, rows: &[Row]) -> std::io::Result<()> {
    let mut text = String::from(
        "scenario,policy,whole,failed,refused,useful,p50,p99,p99_9,messages_per_task,wasted_per_task\n",
    );
    for row in rows {
        let measurements = &row.measurements;
        let _ = writeln!(
            text,
            "\"{}\",\"{}\",{},{},{},{:.4},{:.4},{:.4},{:.4},{:.4},{:.4}",
            row.scenario,
            row.policy,
            measurements.complete,
            measurements.failed,
            measurements.refused,
            measurements.useful_share,
            measurements.ratio(0.5),
            measurements.ratio(0.99),
            measurements.ratio(0.999),
            measurements.per_task(measurements.messages),
            measurements.per_task(measurements.wasted),
        );
    }
    fs::write(path, text)
}

/// Plots the response time over the ideal by quantile, for each policy of the first scenario, and
/// writes it as SVG. Writes nothing without rows; fails if the file can't be written.
pub fn write_plot(path: &str, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let Some(scenario) = rows.first().map(|row| row.scenario) else { return Ok(()) };
    let rows: Vec<&Row> = rows.iter().filter(|row| row.scenario == scenario).collect();
    let max_ratio = rows.iter().map(|row| row.measurements.ratio(0.999)).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("response over ideal, {scenario}"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..1.0, 1.0..max_ratio * 1.05)?;
    chart.configure_mesh().x_desc("share of requests").y_desc("times the ideal").draw()?;
    for (index, row) in rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = (0..=999).map(|permille| {
            let quantile = f64::from(permille) / 1_000.0;
            (quantile, row.measurements.ratio(quantile))
        });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(row.policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
