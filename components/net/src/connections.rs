//! The open connections of a server, and how far each is with its present request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use clock::BootInstant;

/// How far a connection is with its present request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has come yet.
    Fresh,
    /// Its last request is answered; the next may come.
    Idle,
    /// A part of a request has come.
    Reading,
    /// The whole request has come and its answer is being worked out.
    Handling,
    /// The answer is being written.
    Answering,
}

impl Phase {
    /// All of them, in the order in which a connection goes through them.
    pub const ALL: [Self; 5] =
        [Self::Fresh, Self::Idle, Self::Reading, Self::Handling, Self::Answering];

    /// The phase as a word, for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Idle => "idle",
            Self::Reading => "reading",
            Self::Handling => "handling",
            Self::Answering => "answering",
        }
    }

    /// Whether a request is under way, whose client would be left without an answer.
    pub fn is_busy(self) -> bool {
        matches!(self, Self::Reading | Self::Handling | Self::Answering)
    }
}

/// A client that sends nothing more of a request for so long has stopped: a lost packet is sent again after
/// some hundred milliseconds, a second at most.
const STALL: Duration = Duration::from_millis(1_500);
/// How often a connection of a closing server is looked at for what comes.
const LOOK: Duration = Duration::from_millis(10);

/// One connection, shared by the parts that serve it.
#[derive(Debug)]
pub(crate) struct Tracker {
    peer: Option<SocketAddr>,
    phase: Cell<Phase>,
    since: Cell<BootInstant>,
    answered: Cell<u64>,
    /// When bytes came last on this connection.
    last_bytes: Cell<BootInstant>,
    /// Bytes of the next request have come while this one is worked on.
    more_came: Cell<bool>,
    /// When anything came last at the server.
    last_arrival: Rc<Cell<BootInstant>>,
}

impl Tracker {
    fn new(peer: Option<SocketAddr>, last_arrival: Rc<Cell<BootInstant>>) -> Self {
        Self {
            peer,
            phase: Cell::new(Phase::Fresh),
            since: Cell::new(BootInstant::now()),
            answered: Cell::new(0),
            last_bytes: Cell::new(BootInstant::now()),
            more_came: Cell::new(false),
            last_arrival,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(BootInstant::now());
        }
    }

    /// Bytes have come: of the next request, unless one is being read.
    pub fn bytes_came(&self) {
        let now = BootInstant::now();
        self.last_bytes.set(now);
        match self.phase() {
            Phase::Fresh | Phase::Idle => {
                self.enter(Phase::Reading);
                self.last_arrival.set(now);
            }
            Phase::Reading => {}
            Phase::Handling | Phase::Answering => self.more_came.set(true),
        }
    }

    /// All that was to be written has been handed to the kernel.
    pub fn flushed(&self) {
        if self.phase() == Phase::Answering {
            self.answered.set(self.answered.get() + 1);
            let next = if self.more_came.take() { Phase::Reading } else { Phase::Idle };
            self.enter(next);
        }
    }

    /// Whether its first request is about to come.
    fn awaits_first(&self) -> bool {
        self.phase() == Phase::Fresh && self.since.get().elapsed() < FIRST_REQUEST
    }

    /// Whether a part of a request has come and nothing for long: its client does not go on.
    fn is_stalled(&self) -> bool {
        self.phase() == Phase::Reading && self.last_bytes.get().elapsed() >= STALL
    }

    /// Waits until no request is on its way to the server. One whose client has stopped sending is
    /// waited for as long as the server accepts connections: it costs nothing.
    pub async fn nothing_comes(&self, connections: &Connections) {
        let is_given_up = || connections.accepting.is_closed() && self.is_stalled();
        while self.awaits_first() || (self.phase() == Phase::Reading && !is_given_up()) {
            Timer::after(LOOK).await;
        }
    }

    /// Waits until the client has stopped in the midst of a request.
    pub async fn stalled(&self) {
        while !self.is_stalled() {
            Timer::after(LOOK).await;
        }
    }
}

/// What is known of an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// The other side, where it is known.
    pub peer: Option<SocketAddr>,
    /// How far it is with its present request.
    pub phase: Phase,
    /// For how long it has been so.
    pub age: Duration,
    /// Requests that it has carried and that are answered.
    pub answered: u64,
}

/// A client that has connected sends its first request within this time: far above a round trip
/// within a region, and short beside a planned stop.
const FIRST_REQUEST: Duration = Duration::from_millis(250);

/// The open connections of a server, and the way to close it.
#[derive(Debug)]
pub struct Connections {
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<Tracker>>>,
    /// When a connection or a request came last.
    last_arrival: Rc<Cell<BootInstant>>,
    /// Closed once connections close after their answer, and idle ones at once.
    keeping: Gate,
    /// Closed once no more connections are accepted.
    accepting: Gate,
}

/// Something that is open until it is closed for good.
#[derive(Debug)]
struct Gate {
    /// Dropped to close it.
    open: RefCell<Option<Sender<()>>>,
    closed: Receiver<()>,
}

impl Default for Gate {
    fn default() -> Self {
        let (open, closed) = async_channel::bounded(1);
        Self { open: RefCell::new(Some(open)), closed }
    }
}

impl Gate {
    fn close(&self) {
        self.open.borrow_mut().take();
    }

    fn is_closed(&self) -> bool {
        self.closed.is_closed()
    }

    async fn closed(&self) {
        // Nothing is ever sent; it ends with an error.
        let _ = self.closed.recv().await;
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            next: Cell::default(),
            open: RefCell::default(),
            last_arrival: Rc::new(Cell::new(BootInstant::now())),
            keeping: Gate::default(),
            accepting: Gate::default(),
        }
    }
}

impl Connections {
    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// How many have been accepted.
    pub fn accepted(&self) -> u64 {
        self.next.get()
    }

    /// How many are in a phase.
    pub fn count(&self, phase: Phase) -> usize {
        self.open.borrow().values().filter(|tracker| tracker.phase() == phase).count()
    }

    /// Every open connection, the oldest first.
    pub fn list(&self) -> Vec<ConnectionInfo> {
        let info = |tracker: &Rc<Tracker>| ConnectionInfo {
            peer: tracker.peer,
            phase: tracker.phase(),
            age: tracker.since.get().elapsed(),
            answered: tracker.answered.get(),
        };
        self.open.borrow().values().map(info).collect()
    }

    /// How many are open. While connections are accepted, those whose client has stopped in the midst of a
    /// request are left out, since nothing ends them. Afterwards the server gives them up by itself, and they
    /// count until their last answer is written: an end that did not wait for it left 4 of 24 such clients without
    /// an answer (an entry that drains, four of them at a time on one host).
    pub fn active_count(&self) -> usize {
        let gives_up = self.accepting.is_closed();
        self.open.borrow().values().filter(|tracker| gives_up || !tracker.is_stalled()).count()
    }

    /// Since a connection was accepted or a request began to come.
    pub fn time_since_arrival(&self) -> Duration {
        self.last_arrival.get().elapsed()
    }

    /// From now on each connection closes after its answer, and idle ones at once. A request of which
    /// a part has come is answered, unless its client stops sending. New connections are still accepted.
    pub fn close_idle(&self) {
        self.keeping.close();
    }

    /// Closes the server: what waits to be accepted is accepted, and no more; connections as above.
    pub fn close(&self) {
        self.keeping.close();
        self.accepting.close();
    }

    /// Whether connections close after their answer.
    pub(crate) fn keeps_none(&self) -> bool {
        self.keeping.is_closed()
    }

    /// Waits until no connection is kept open.
    pub(crate) async fn no_more_kept(&self) {
        self.keeping.closed().await;
    }

    /// Waits until no more connections are accepted.
    pub(crate) async fn no_more_accepted(&self) {
        self.accepting.closed().await;
    }

    /// Lists a connection for as long as the returned guard lives.
    pub(crate) fn open(self: &Rc<Self>, peer: Option<SocketAddr>) -> Listed {
        let number = self.next.get();
        self.next.set(number + 1);
        self.last_arrival.set(BootInstant::now());
        let tracker = Rc::new(Tracker::new(peer, self.last_arrival.clone()));
        self.open.borrow_mut().insert(number, tracker.clone());
        Listed { connections: self.clone(), number, tracker }
    }
}

/// A connection in the list of those that are open; dropped when it ends.
pub(crate) struct Listed {
    connections: Rc<Connections>,
    number: u64,
    pub tracker: Rc<Tracker>,
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}
