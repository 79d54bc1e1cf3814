//! Helpers to measure memory and time and to print the results.

use std::time::Instant;

use crate::ALLOCATOR;

/// Prints the title and the column headings of a table.
pub fn print_header(title: &str, columns: &str) {
    println!("\n{title}\n{columns}");
}

/// Returns the slope of the least-squares line through `(x, y)` points.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Returns the growth of the allocated memory while `make` runs, in bytes, and its result.
pub fn measure_bytes<T>(make: impl FnOnce() -> T) -> (usize, T) {
    let before = ALLOCATOR.allocated();
    let value = make();
    (ALLOCATOR.allocated().saturating_sub(before), value)
}

/// Returns the duration of `run`, in seconds, and its result.
pub fn measure_seconds<T>(run: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let value = run();
    (started.elapsed().as_secs_f64(), value)
}
