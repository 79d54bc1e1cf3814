//! Points, and the line through them.

use std::time::Instant;

use crate::MEMORY;

/// Prints the head of a table.
pub fn head(title: &str, columns: &str) {
    println!("\n{title}\n{columns}");
}

/// The slope of the least-squares line through points.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Bytes that a value takes, and the value.
pub fn bytes_of<T>(make: impl FnOnce() -> T) -> (usize, T) {
    let before = MEMORY.allocated();
    let value = make();
    (MEMORY.allocated().saturating_sub(before), value)
}

/// Seconds that something takes, and what it gives.
pub fn seconds_of<T>(run: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let value = run();
    (started.elapsed().as_secs_f64(), value)
}
