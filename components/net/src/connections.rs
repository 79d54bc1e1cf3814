//! The open connections of a server, and how far each is with its present request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

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

/// One connection, shared by the parts that serve it.
#[derive(Debug)]
pub(crate) struct Tracker {
    peer: Option<SocketAddr>,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    answered: Cell<u64>,
}

impl Tracker {
    fn new(peer: Option<SocketAddr>) -> Self {
        Self {
            peer,
            phase: Cell::new(Phase::Fresh),
            since: Cell::new(Instant::now()),
            answered: Cell::new(0),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(Instant::now());
        }
    }

    /// Bytes have come: of the next request, unless one is being worked on.
    pub fn bytes_came(&self) {
        if matches!(self.phase(), Phase::Fresh | Phase::Idle) {
            self.enter(Phase::Reading);
        }
    }

    /// All that was to be written has been handed to the kernel.
    pub fn flushed(&self) {
        if self.phase() == Phase::Answering {
            self.answered.set(self.answered.get() + 1);
            self.enter(Phase::Idle);
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

/// The open connections of a server.
#[derive(Debug, Default)]
pub struct Connections {
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<Tracker>>>,
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

    /// Lists a connection for as long as the returned guard lives.
    pub(crate) fn open(self: &Rc<Self>, peer: Option<SocketAddr>) -> Listed {
        let number = self.next.get();
        self.next.set(number + 1);
        let tracker = Rc::new(Tracker::new(peer));
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
