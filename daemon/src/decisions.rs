//! The decision log: one line for each routing or placement decision, in a file of its own.
//!
//! Lines are written by a thread of their own. Where its ring is full, a decision is left out and
//! counted, and the count is written once there is room: the log never slows the decisions.

use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};
use telemetry::Decision;

/// Decisions that wait to be written.
const CHANNEL_CAPACITY: usize = 65_536;

/// Where decisions go.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    sender: Option<Sender<Decision>>,
    left_out: Arc<AtomicU64>,
}

impl DecisionLog {
    /// A log that takes nothing.
    pub fn none() -> Self {
        Self { sender: None, left_out: Arc::default() }
    }

    /// A log to a file, appended to. The thread ends when every clone is dropped.
    pub fn to_file(path: &Path) -> io::Result<(Self, JoinHandle<()>)> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (sender, decisions) = async_channel::bounded(CHANNEL_CAPACITY);
        let left_out = Arc::new(AtomicU64::new(0));
        let count = left_out.clone();
        let write = move || write_all(file, &decisions, &count);
        let thread = thread::Builder::new().name("decisions".to_owned()).spawn(write)?;
        Ok((Self { sender: Some(sender), left_out }, thread))
    }

    /// Adds a decision, or counts it where there is no room.
    pub fn add(&self, decision: Decision) {
        let Some(sender) = &self.sender else { return };
        if sender.try_send(decision).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(file: File, decisions: &Receiver<Decision>, left_out: &AtomicU64) {
    let mut out = BufWriter::new(file);
    while let Ok(decision) = decisions.recv_blocking() {
        // A disk that takes no log must not stop the dispatcher.
        let _ = write_batch(&mut out, decision, decisions, left_out);
    }
}

fn write_batch(
    out: &mut BufWriter<File>,
    first: Decision,
    decisions: &Receiver<Decision>,
    left_out: &AtomicU64,
) -> io::Result<()> {
    writeln!(out, "{first}")?;
    while let Ok(decision) = decisions.try_recv() {
        writeln!(out, "{decision}")?;
    }
    let missing = left_out.swap(0, Ordering::Relaxed);
    if missing > 0 {
        writeln!(out, "left out {missing} decisions: the log's ring was full")?;
    }
    out.flush()
}
