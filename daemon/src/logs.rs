//! The daemon's text log: counters at intervals, and a line for each state change.

use std::path::Path;
use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{FileSink, Sink, StdStream, StdStreamSink};
use thiserror::Error;

/// The log can't be opened.
#[derive(Debug, Error)]
#[error("log: {0}")]
pub struct LogError(#[from] spdlog::Error);

/// Sets up the log to a file, or to standard error without one.
pub fn init_logs(file: Option<&Path>) -> Result<(), LogError> {
    let formatter =
        PatternFormatter::new(pattern!("{date} {time}.{millisecond} {level} {payload}{eol}"));
    let sink: Arc<dyn Sink> = match file {
        Some(path) => Arc::new(FileSink::builder().path(path).formatter(formatter).build()?),
        None => Arc::new(
            StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(formatter).build()?,
        ),
    };
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
