//! The daemon's log: counters now and then, and a line for each change of state.

use std::path::Path;
use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{FileSink, Sink, StdStream, StdStreamSink};
use thiserror::Error;

/// The log can't be written.
#[derive(Debug, Error)]
#[error("log: {0}")]
pub struct LogError(#[from] spdlog::Error);

/// Sends the log to a file, or to standard error where there is none.
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
