//! The table, its CSV and its plot.

use std::fmt::Write as _;
use std::fs;
use std::time::Duration;

use plotters::prelude::*;
use telemetry::LatencyHistogram;

/// What one run measured.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Response over ideal; a ratio of 1 is stored as a second.
    pub ratios: LatencyHistogram,
    /// Jobs answered whole.
    pub whole: u64,
    /// Jobs that were not, after they were taken.
    pub failed: u64,
    /// Jobs refused at once as not run.
    pub refused: u64,
    /// Slot seconds of the jobs answered whole, over all there were.
    pub useful: f64,
    /// Tasks of all jobs.
    pub tasks: u64,
    /// Messages between entries and agents.
    pub messages: u64,
    /// Those that did no useful work.
    pub wasted: u64,
}

impl Measured {
    /// Adds a whole answer.
    pub fn answered(&mut self, response: Duration, ideal: Duration) {
        self.whole += 1;
        let ratio = response.as_secs_f64() / ideal.as_secs_f64();
        self.ratios.record(Duration::from_secs_f64(ratio));
    }

    /// A quantile of response over ideal.
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratios.quantile(quantile).as_secs_f64()
    }

    fn per_task(&self, count: u64) -> f64 {
        count as f64 / self.tasks.max(1) as f64
    }
}

/// One run of one policy.
#[derive(Clone, Debug)]
pub struct Row {
    /// The scenario.
    pub scenario: &'static str,
    /// The policy.
    pub policy: &'static str,
    /// What it measured.
    pub measured: Measured,
}

/// Prints the table's head.
pub fn print_head() {
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

/// Prints a row.
pub fn print_row(row: &Row) {
    let measured = &row.measured;
    println!(
        "{:<22} {:<18} {:>7} {:>6} {:>7} {:>5.1}% {:>7.3} {:>7.3} {:>7.3} {:>9.2} {:>9.3}",
        row.scenario,
        row.policy,
        measured.whole,
        measured.failed,
        measured.refused,
        measured.useful * 100.0,
        measured.ratio(0.5),
        measured.ratio(0.99),
        measured.ratio(0.999),
        measured.per_task(measured.messages),
        measured.per_task(measured.wasted),
    );
}

/// Writes every row as CSV.
pub fn write_csv(path: &str, rows: &[Row]) -> std::io::Result<()> {
    let mut text = String::from(
        "scenario,policy,whole,failed,refused,useful,p50,p99,p99_9,messages_per_task,wasted_per_task\n",
    );
    for row in rows {
        let measured = &row.measured;
        let _ = writeln!(
            text,
            "\"{}\",\"{}\",{},{},{},{:.4},{:.4},{:.4},{:.4},{:.4},{:.4}",
            row.scenario,
            row.policy,
            measured.whole,
            measured.failed,
            measured.refused,
            measured.useful,
            measured.ratio(0.5),
            measured.ratio(0.99),
            measured.ratio(0.999),
            measured.per_task(measured.messages),
            measured.per_task(measured.wasted),
        );
    }
    fs::write(path, text)
}

/// Plots response over ideal by quantile for each policy of the first scenario.
pub fn write_plot(path: &str, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let Some(scenario) = rows.first().map(|row| row.scenario) else { return Ok(()) };
    let rows: Vec<&Row> = rows.iter().filter(|row| row.scenario == scenario).collect();
    let top = rows.iter().map(|row| row.measured.ratio(0.999)).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("response over ideal, {scenario}"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..1.0, 1.0..top * 1.05)?;
    chart.configure_mesh().x_desc("share of requests").y_desc("times the ideal").draw()?;
    for (number, row) in rows.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = (0..=999).map(|mille| {
            let quantile = f64::from(mille) / 1_000.0;
            (quantile, row.measured.ratio(quantile))
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
