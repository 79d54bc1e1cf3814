//! The event log: one JSON object per line on standard output.
//!
//! Lines go through a bounded channel to a writer thread, so that a blocked reader never delays a
//! request; lines that do not fit into the channel are dropped and counted. Each kind of line has a
//! budget per second; the omitted lines are counted and reported once per second.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

use ::clock::BootInstant;
use async_channel::{Receiver, Sender, TrySendError};
use serde_json::{Map, Value};

use crate::clock::Clock;
use crate::text::shortened;

/// Capacity of the channel to the writer thread, in lines.
const CHANNEL_CAPACITY: usize = 4_096;
/// How long the writer collects lines before it writes them, to reduce wake-ups.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// The time window of the budgets.
const WINDOW: Duration = Duration::from_secs(1);
/// How long an ending process waits at most until its last lines are written, so that a blocked
/// reader does not delay the end. Longer than `BATCH_DELAY`.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// How many lines of a kind are written per second.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Budget {
    /// The budget of state changes and errors.
    Full,
    /// The budget of lines for successful requests.
    Sampled,
}

impl Budget {
    fn lines(self) -> u32 {
        match self {
            Self::Full => 400,
            Self::Sampled => 60,
        }
    }
}

/// The numbers of lines of one kind in the current window.
#[derive(Debug, Default)]
struct LineCounts {
    written: u32,
    omitted: u64,
}

#[derive(Debug)]
struct Inner {
    node: String,
    clock: Clock,
    sender: Sender<String>,
    counts: HashMap<&'static str, LineCounts>,
    window_started: BootInstant,
    omitted: u64,
    /// Disconnected once the writer thread has ended.
    writer_ended: mpsc::Receiver<()>,
}

/// A handle to write lines; clones share the channel and the budgets.
#[derive(Clone, Debug)]
pub(crate) struct EventLog(Arc<Mutex<Inner>>);

impl EventLog {
    /// Creates a log to standard output and starts its writer thread.
    pub fn to_stdout(node: &str, clock: Clock) -> io::Result<Self> {
        let (sender, lines) = async_channel::bounded(CHANNEL_CAPACITY);
        let (writer_alive, writer_ended) = mpsc::channel();
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            write_lines(&lines);
            drop(writer_alive);
        })?;
        let inner = Inner {
            node: node.to_owned(),
            clock,
            sender,
            counts: HashMap::new(),
            window_started: BootInstant::now(),
            omitted: 0,
            writer_ended,
        };
        Ok(Self(Arc::new(Mutex::new(inner))))
    }

    /// Locks the state. A panic while the lock is held leaves it usable, so poisoning is ignored.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a line if the budget of its kind allows. Only then is `fields` called, which has to
    /// return a JSON object.
    pub fn line(&self, kind: &'static str, budget: Budget, fields: impl FnOnce() -> Value) {
        let mut inner = self.lock();
        inner.advance_window();
        let counts = inner.counts.entry(kind).or_default();
        if counts.written >= budget.lines() {
            counts.omitted += 1;
            inner.omitted += 1;
            return;
        }
        counts.written += 1;
        let mut fields = fields();
        shorten_texts(&mut fields);
        inner.send(kind, fields);
    }

    /// Returns the number of lines over their budget or dropped since the start.
    pub fn omitted(&self) -> u64 {
        self.lock().omitted
    }

    /// Closes the log and waits, up to a timeout, until the pending lines are written.
    pub fn flush(&self) {
        let inner = self.lock();
        inner.sender.close();
        // Nothing is ever sent: the call returns once the writer ends or the timeout expires.
        let _ = inner.writer_ended.recv_timeout(FLUSH_TIMEOUT);
    }
}

impl Inner {
    fn advance_window(&mut self) {
        if self.window_started.elapsed() < WINDOW {
            return;
        }
        self.window_started = BootInstant::now();
        let omitted: Map<String, Value> = self
            .counts
            .iter()
            .filter(|(_, counts)| counts.omitted > 0)
            .map(|(kind, counts)| ((*kind).to_owned(), Value::from(counts.omitted)))
            .collect();
        self.counts.clear();
        if !omitted.is_empty() {
            self.send("omitted", Value::Object(omitted));
        }
    }

    fn send(&mut self, kind: &str, fields: Value) {
        let time = self.clock.now().as_micros() as f64 / 1e6;
        let mut line =
            format!("{{\"time\":{time:.6},\"node\":\"{}\",\"event\":\"{kind}\"", self.node);
        let fields = fields.to_string();
        // Merges the object into the line: a comma replaces its opening brace.
        if fields.len() > "{}".len() {
            line.push(',');
            line.push_str(&fields[1..]);
        } else {
            line.push('}');
        }
        line.push('\n');
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
            self.omitted += 1;
        }
    }
}

/// Shortens the texts of a line, which may quote what a client has sent.
fn shorten_texts(fields: &mut Value) {
    let Value::Object(fields) = fields else { return };
    for value in fields.values_mut() {
        if let Value::String(text) = value {
            text.truncate(shortened(text).len());
        }
    }
}

/// Writes lines in batches until the channel is closed and empty.
fn write_lines(lines: &Receiver<String>) {
    let mut batch = String::new();
    while let Ok(line) = lines.recv_blocking() {
        batch.push_str(&line);
        if !lines.is_closed() {
            thread::sleep(BATCH_DELAY);
        }
        while let Ok(line) = lines.try_recv() {
            batch.push_str(&line);
        }
        let stdout = io::stdout();
        // Fails if standard output is closed; the node continues without a log.
        let _ = stdout.lock().write_all(batch.as_bytes());
        batch.clear();
    }
}
