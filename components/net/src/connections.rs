//! Tracks a server's open connections and the progress of their requests, for graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use clock::BootInstant;

use crate::client_progress::Stage;
use crate::clients::{ClientSlot, Hold};

/// The progress of a connection's current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No bytes were received yet.
    Fresh,
    /// The last response is written and no byte of a next request was received.
    Idle,
    /// A part of a request was received.
    Reading,
    /// The request's body was read or failed, and the handler runs.
    Handling,
    /// The response is being written.
    Answering,
}

impl Phase {
    /// All phases, in the order in which a connection passes through them.
    pub const ALL: [Self; 5] =
        [Self::Fresh, Self::Idle, Self::Reading, Self::Handling, Self::Answering];

    /// The name of the phase in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Idle => "idle",
            Self::Reading => "reading",
            Self::Handling => "handling",
            Self::Answering => "answering",
        }
    }

    /// Whether closing the connection now would leave a request without a response.
    pub fn is_busy(self) -> bool {
        matches!(self, Self::Reading | Self::Handling | Self::Answering)
    }
}

/// A client that sends nothing for this time within a request counts as stalled. Longer than the
/// retransmission of a lost packet.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a connection's progress is checked during a shutdown.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The state of one connection, shared by its stream, its service and the registry.
#[derive(Debug)]
pub(crate) struct ConnectionTracker {
    /// Its place among the clients of the process.
    pub slot: ClientSlot,
    peer: Option<SocketAddr>,
    phase: Cell<Phase>,
    phase_since: Cell<BootInstant>,
    /// Number of responses written on this connection.
    answered: Cell<u64>,
    /// When this connection last received bytes.
    last_received: Cell<BootInstant>,
    /// Whether bytes of a further request were received during the current one (pipelining).
    next_request_started: Cell<bool>,
    /// Whether the current request was started before the last answer was written.
    sent_ahead: Cell<bool>,
    /// Whether the handler reads the request's body.
    reading_body: Cell<bool>,
    /// Whether a part of the request's body stays unread, so that the connection can't be reused.
    body_unread: Cell<bool>,
    /// Memory of the answer that is being written.
    answer_hold: RefCell<Option<Hold>>,
    /// When the server last accepted a connection or received the start of a request.
    last_arrival: Rc<Cell<BootInstant>>,
}

impl ConnectionTracker {
    fn new(
        slot: ClientSlot,
        peer: Option<SocketAddr>,
        last_arrival: Rc<Cell<BootInstant>>,
    ) -> Self {
        Self {
            slot,
            peer,
            phase: Cell::new(Phase::Fresh),
            phase_since: Cell::new(BootInstant::now()),
            answered: Cell::new(0),
            last_received: Cell::new(BootInstant::now()),
            next_request_started: Cell::new(false),
            sent_ahead: Cell::new(false),
            reading_body: Cell::new(false),
            body_unread: Cell::new(false),
            answer_hold: RefCell::default(),
            last_arrival,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub fn set_phase(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.phase_since.set(BootInstant::now());
            self.slot.set_stage(match phase {
                Phase::Fresh => Stage::New,
                Phase::Idle => Stage::Idle,
                Phase::Reading => Stage::Head,
                Phase::Handling => Stage::Handling,
                Phase::Answering => Stage::Answering,
            });
        }
    }

    /// Records the head of a request; returns whether the client sent it before it had the answer to
    /// the last one.
    pub fn record_head(&self) -> bool {
        // Bytes that arrived with the last request were read before its answer was written.
        let was_buffered = matches!(self.phase(), Phase::Fresh | Phase::Idle);
        if was_buffered {
            self.set_phase(Phase::Reading);
        }
        self.sent_ahead.take() || was_buffered
    }

    /// Records that the handler reads the request's body.
    pub fn start_body(&self) {
        self.reading_body.set(true);
        // A request that waited for its turn was already being handled.
        self.set_phase(Phase::Reading);
        self.slot.set_stage(Stage::Body);
    }

    /// Records that the body is complete or has failed, and that the handler continues.
    pub fn end_body(&self) {
        self.reading_body.set(false);
        self.set_phase(Phase::Handling);
    }

    /// Whether the handler reads the request's body.
    pub fn is_reading_body(&self) -> bool {
        self.reading_body.get()
    }

    /// Records that a part of the request's body stays unread.
    pub fn set_body_unread(&self) {
        self.body_unread.set(true);
    }

    /// Whether a part of the request's body stays unread.
    pub fn is_body_unread(&self) -> bool {
        self.body_unread.get()
    }

    /// Keeps the memory of an answer until it is written.
    pub fn hold_answer(&self, hold: Hold) {
        self.answer_hold.replace(Some(hold));
    }

    /// Records received bytes, which start a new request unless one is being read.
    pub fn record_received_bytes(&self, bytes: usize) {
        let now = BootInstant::now();
        self.last_received.set(now);
        self.slot.record_progress(bytes);
        match self.phase() {
            Phase::Fresh | Phase::Idle => {
                self.set_phase(Phase::Reading);
                self.last_arrival.set(now);
            }
            Phase::Reading => {}
            Phase::Handling | Phase::Answering => self.next_request_started.set(true),
        }
    }

    /// Records bytes that were passed to the kernel.
    pub fn record_written_bytes(&self, bytes: usize) {
        self.slot.record_progress(bytes);
    }

    /// Records that all written bytes were passed to the kernel, which completes a response.
    pub fn record_flush(&self) {
        if self.phase() == Phase::Answering {
            self.answer_hold.take();
            self.answered.set(self.answered.get() + 1);
            let sent_ahead = self.next_request_started.take();
            self.sent_ahead.set(sent_ahead);
            self.set_phase(if sent_ahead { Phase::Reading } else { Phase::Idle });
        }
    }

    /// Whether the connection is new and its first request is still expected.
    fn is_first_request_expected(&self) -> bool {
        self.phase() == Phase::Fresh && self.phase_since.get().elapsed() < FIRST_REQUEST_TIMEOUT
    }

    /// Whether the client stopped sending within a request.
    fn is_stalled(&self) -> bool {
        self.phase() == Phase::Reading && self.last_received.get().elapsed() >= STALL_TIMEOUT
    }

    /// Whether the client stopped sending within a request's head.
    pub fn is_head_stalled(&self) -> bool {
        self.is_stalled() && !self.is_reading_body()
    }

    /// Waits until no request is expected or partly received. A request whose client stalls is
    /// given up only after the server has stopped accepting connections.
    pub async fn no_request_incoming(&self, connections: &Connections) {
        let gives_up = || connections.accepting_stop.is_set() && self.is_stalled();
        while self.is_first_request_expected() || (self.phase() == Phase::Reading && !gives_up()) {
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Waits until the client has stopped sending within a request.
    pub async fn client_stalled(&self) {
        while !self.is_stalled() {
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}

/// A snapshot of an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// The client's address, if known.
    pub peer: Option<SocketAddr>,
    /// The progress of its current request.
    pub phase: Phase,
    /// Time since the connection entered this phase.
    pub age: Duration,
    /// Number of responses written on this connection.
    pub answered: u64,
}

/// Time allowed for the first request on a new connection during a shutdown. Well above a round
/// trip within a region and short compared with a planned stop.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// A server's registry of open connections, and the control of its graceful shutdown.
#[derive(Debug)]
pub struct Connections {
    /// Number of the next connection, which is also the count of accepted ones.
    next_number: Cell<u64>,
    /// Open connections by number, so oldest first.
    open: RefCell<BTreeMap<u64, Rc<ConnectionTracker>>>,
    /// Receives a notice after a connection was opened.
    opened: (Sender<()>, Receiver<()>),
    /// When a connection was last accepted or the start of a request received.
    last_arrival: Rc<Cell<BootInstant>>,
    /// Set once connections close after their response and idle ones immediately.
    keep_alive_stop: OnceFlag,
    /// Set once no more connections are accepted.
    accepting_stop: OnceFlag,
}

/// A flag that is set once and can be waited for.
#[derive(Debug)]
struct OnceFlag {
    /// Dropped to set the flag.
    sender: RefCell<Option<Sender<()>>>,
    receiver: Receiver<()>,
}

impl Default for OnceFlag {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender: RefCell::new(Some(sender)), receiver }
    }
}

impl OnceFlag {
    fn set(&self) {
        self.sender.borrow_mut().take();
    }

    fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }

    async fn wait(&self) {
        // Nothing is ever sent; `recv` fails once the sender is dropped.
        let _ = self.receiver.recv().await;
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            next_number: Cell::default(),
            open: RefCell::default(),
            opened: async_channel::bounded(1),
            last_arrival: Rc::new(Cell::new(BootInstant::now())),
            keep_alive_stop: OnceFlag::default(),
            accepting_stop: OnceFlag::default(),
        }
    }
}

impl Connections {
    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// The number of connections accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.next_number.get()
    }

    /// The number of open connections in a phase.
    pub fn count(&self, phase: Phase) -> usize {
        self.open.borrow().values().filter(|tracker| tracker.phase() == phase).count()
    }

    /// Snapshots of all open connections, oldest first.
    pub fn list(&self) -> Vec<ConnectionInfo> {
        let info = |tracker: &Rc<ConnectionTracker>| ConnectionInfo {
            peer: tracker.peer,
            phase: tracker.phase(),
            age: tracker.phase_since.get().elapsed(),
            answered: tracker.answered.get(),
        };
        self.open.borrow().values().map(info).collect()
    }

    /// The number of connections that a graceful shutdown waits for.
    ///
    /// While connections are accepted, connections with a stalled client are excluded, since
    /// nothing closes them. After [`Self::close`] the server gives up stalled requests itself and
    /// they count until their response is written; otherwise the process could exit before that.
    pub fn active_count(&self) -> usize {
        let gives_up = self.accepting_stop.is_set();
        self.open.borrow().values().filter(|tracker| gives_up || !tracker.is_stalled()).count()
    }

    /// Time since a connection was accepted or the start of a request was received.
    pub fn time_since_arrival(&self) -> Duration {
        self.last_arrival.get().elapsed()
    }

    /// Stops keep-alive: connections close after their current response, and idle ones immediately.
    /// Partly received requests are still answered. New connections are still accepted.
    pub fn close_idle(&self) {
        self.keep_alive_stop.set();
    }

    /// Stops keep-alive and accepting. Connections already in the listen queue are still accepted.
    /// Requests whose client stalls are given up.
    pub fn close(&self) {
        self.keep_alive_stop.set();
        self.accepting_stop.set();
    }

    /// Whether connections close after their current response.
    pub(crate) fn is_keep_alive_stopped(&self) -> bool {
        self.keep_alive_stop.is_set()
    }

    /// Waits until [`Self::close_idle`] or [`Self::close`] is called.
    pub(crate) async fn keep_alive_stopped(&self) {
        self.keep_alive_stop.wait().await;
    }

    /// Waits until a connection is open.
    pub(crate) async fn wait_until_open(&self) {
        while self.is_empty() {
            // The sender is never dropped before the receiver.
            let _ = self.opened.1.recv().await;
        }
    }

    /// Waits until [`Self::close`] is called.
    pub(crate) async fn accepting_stopped(&self) {
        self.accepting_stop.wait().await;
    }

    /// Registers a connection until the returned guard is dropped.
    pub(crate) fn register(
        self: &Rc<Self>,
        peer: Option<SocketAddr>,
        slot: ClientSlot,
    ) -> ConnectionGuard {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.last_arrival.set(BootInstant::now());
        let tracker = Rc::new(ConnectionTracker::new(slot, peer, self.last_arrival.clone()));
        self.open.borrow_mut().insert(number, tracker.clone());
        // A full channel already holds the notice.
        let _ = self.opened.0.try_send(());
        ConnectionGuard { connections: self.clone(), number, tracker }
    }
}

/// Removes its connection from the registry when dropped.
pub(crate) struct ConnectionGuard {
    connections: Rc<Connections>,
    number: u64,
    pub tracker: Rc<ConnectionTracker>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}
