//! The log of decisions: one JSON object a line on standard output.
//!
//! Lines go through a bounded ring to a thread of their own, so that a reader which stops reading
//! costs no request anything: what finds no room is dropped and counted. Each kind of line has a
//! budget a second; what exceeds it is counted and told once a second.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

use ::clock::BootInstant;
use async_channel::{Receiver, Sender, TrySendError};
use serde_json::{Map, Value};

use crate::clock::Clock;

/// Lines that wait to be written.
const CHANNEL_CAPACITY: usize = 4_096;
/// The writer gathers lines for so long: it wakes seldom.
const GATHER: Duration = Duration::from_millis(40);
/// The span that budgets hold for.
const SPAN: Duration = Duration::from_secs(1);
/// At its end a process waits at most so long for its last lines to be written: several times the
/// gathering, and short beside the time that a planned stop has left. A reader that has stopped
/// reading holds up the end no longer.
const FLUSH_TIME: Duration = Duration::from_millis(250);

/// How many lines of a kind are written a second.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Budget {
    /// Changes of state and what went wrong.
    Full,
    /// What happens to each request that goes well.
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

/// Lines of one kind in the present span.
#[derive(Debug, Default)]
struct Spent {
    written: u32,
    omitted: u64,
}

#[derive(Debug)]
struct Inner {
    node: String,
    clock: Clock,
    sender: Sender<String>,
    spent: HashMap<&'static str, Spent>,
    span_began: BootInstant,
    omitted: u64,
    /// Closed once the writer has ended.
    writer: mpsc::Receiver<()>,
}

/// Writes lines; clones write to the same ring.
#[derive(Clone, Debug)]
pub(crate) struct EventLog(Arc<Mutex<Inner>>);

impl EventLog {
    /// A log to standard output.
    pub fn to_stdout(node: &str, clock: Clock) -> io::Result<Self> {
        let (sender, lines) = async_channel::bounded(CHANNEL_CAPACITY);
        let (running, writer) = mpsc::channel();
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            write(&lines);
            drop(running);
        })?;
        let inner = Inner {
            node: node.to_owned(),
            clock,
            sender,
            spent: HashMap::new(),
            span_began: BootInstant::now(),
            omitted: 0,
            writer,
        };
        Ok(Self(Arc::new(Mutex::new(inner))))
    }

    /// A thread that panicked while it held the log left it whole enough to write on.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a line, if the kind's budget allows. `fields` is made only then; it gives an object.
    pub fn line(&self, kind: &'static str, budget: Budget, fields: impl FnOnce() -> Value) {
        let mut inner = self.lock();
        inner.turn_span();
        let spent = inner.spent.entry(kind).or_default();
        if spent.written >= budget.lines() {
            spent.omitted += 1;
            inner.omitted += 1;
            return;
        }
        spent.written += 1;
        let fields = fields();
        inner.send(kind, fields);
    }

    /// Lines that were not written since the start.
    pub fn omitted(&self) -> u64 {
        self.lock().omitted
    }

    /// Takes no more lines and waits until those before are written, but not for long.
    pub fn flush(&self) {
        let inner = self.lock();
        inner.sender.close();
        // Nothing is ever sent: it ends with the writer, or with the time.
        let _ = inner.writer.recv_timeout(FLUSH_TIME);
    }
}

impl Inner {
    fn turn_span(&mut self) {
        if self.span_began.elapsed() < SPAN {
            return;
        }
        self.span_began = BootInstant::now();
        let omitted: Map<String, Value> = self
            .spent
            .iter()
            .filter(|(_, spent)| spent.omitted > 0)
            .map(|(kind, spent)| ((*kind).to_owned(), Value::from(spent.omitted)))
            .collect();
        self.spent.clear();
        if !omitted.is_empty() {
            self.send("omitted", Value::Object(omitted));
        }
    }

    fn send(&mut self, kind: &str, fields: Value) {
        let time = self.clock.now().as_micros() as f64 / 1e6;
        let mut line =
            format!("{{\"time\":{time:.6},\"node\":\"{}\",\"event\":\"{kind}\"", self.node);
        let fields = fields.to_string();
        // The fields are an object: its opening brace gives way to a comma.
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

/// Writes what comes, gathered, until the ring is closed and empty.
fn write(lines: &Receiver<String>) {
    let mut out = String::new();
    while let Ok(line) = lines.recv_blocking() {
        out.push_str(&line);
        if !lines.is_closed() {
            thread::sleep(GATHER);
        }
        while let Ok(line) = lines.try_recv() {
            out.push_str(&line);
        }
        let stdout = io::stdout();
        // Nobody reads any more: the node goes on without a log.
        let _ = stdout.lock().write_all(out.as_bytes());
        out.clear();
    }
}
