//! The decision log: a file with one line per routing or placement decision.
//!
//! A thread of its own writes the lines, so that the log never delays a decision. If the channel to
//! the thread is full, decisions are dropped, and a later line reports how many.

use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};
use telemetry::Decision;

/// Capacity of the channel to the writer thread, in decisions.
const CHANNEL_CAPACITY: usize = 65_536;

/// A handle to the decision log; clones write to the same file.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    sender: Option<Sender<Decision>>,
    dropped: Arc<AtomicU64>,
}

impl DecisionLog {
    /// Returns a log that discards every decision.
    pub fn none() -> Self {
        Self { sender: None, dropped: Arc::default() }
    }

    /// Opens a file to append to and starts the writer thread, which ends once every clone is
    /// dropped.
    pub fn to_file(path: &Path) -> io::Result<(Self, JoinHandle<()>)> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (sender, decisions) = async_channel::bounded(CHANNEL_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = dropped.clone();
        let write = move || write_decisions(file, &decisions, &dropped_count);
        let thread = thread::Builder::new().name("decisions".to_owned()).spawn(write)?;
        Ok((Self { sender: Some(sender), dropped }, thread))
    }

    /// Adds a decision; drops and counts it if the channel is full.
    pub fn add(&self, decision: Decision) {
        let Some(sender) = &self.sender else { return };
        if sender.try_send(decision).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_decisions(file: File, decisions: &Receiver<Decision>, dropped: &AtomicU64) {
    let mut writer = BufWriter::new(file);
    while let Ok(decision) = decisions.recv_blocking() {
        // A failed write of the log must not stop the dispatcher.
        let _ = write_batch(&mut writer, decision, decisions, dropped);
    }
}

fn write_batch(
    writer: &mut BufWriter<File>,
    first: Decision,
    decisions: &Receiver<Decision>,
    dropped: &AtomicU64,
) -> io::Result<()> {
    writeln!(writer, "{first}")?;
    while let Ok(decision) = decisions.try_recv() {
        writeln!(writer, "{decision}")?;
    }
    let dropped_count = dropped.swap(0, Ordering::Relaxed);
    if dropped_count > 0 {
        writeln!(writer, "dropped {dropped_count} decisions: the log channel was full")?;
    }
    writer.flush()
}
