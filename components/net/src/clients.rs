//! The clients of all servers of a process: applies the decisions of the [`ClientTable`] to their
//! connections.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use clock::BootInstant;
use model::Time;

use crate::client_limits::{ClientLimits, LimitCounters, LimitReason, Refused, ServerLimits};
use crate::client_progress::Stage;
use crate::client_table::{ClientId, ClientTable, ServerId};

/// The clients of a process. Clones share the same limits, also between threads.
#[derive(Clone, Debug)]
pub struct Clients(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limits: ClientLimits,
    /// The origin of the table's times.
    started: BootInstant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: ClientTable,
    /// Closed to tell a connection that it has to close.
    close_signals: HashMap<ClientId, Sender<()>>,
}

impl State {
    /// Signals connections that they have to close.
    fn signal(&mut self, closed: Vec<ClientId>) {
        for id in closed {
            // Dropping the sender closes the channel.
            self.close_signals.remove(&id);
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Self::new(ClientLimits::default())
    }
}

impl Clients {
    /// Creates the clients of a process that has no server yet.
    pub fn new(limits: ClientLimits) -> Self {
        let state = State { table: ClientTable::new(limits), close_signals: HashMap::new() };
        Self(Arc::new(Shared { limits, started: BootInstant::now(), state: Mutex::new(state) }))
    }

    /// The limits of the process.
    pub fn limits(&self) -> ClientLimits {
        self.0.limits
    }

    /// How often limits were applied.
    pub fn counters(&self) -> LimitCounters {
        self.lock().table.counters().clone()
    }

    /// Bytes held for clients.
    pub fn used_bytes(&self) -> u64 {
        self.lock().table.used_bytes()
    }

    /// Registers a server.
    pub(crate) fn add_server(&self) -> ServerId {
        self.lock().table.add_server()
    }

    /// Whether a server may open a connection.
    pub(crate) fn can_open(&self, server: ServerId, limits: ServerLimits) -> bool {
        self.decide(|table, now, _| table.can_open(now, server, limits))
    }

    /// Registers a new connection until the returned slot is dropped.
    pub(crate) fn open(&self, server: ServerId, limits: ServerLimits) -> ClientSlot {
        let (signal, closed) = async_channel::bounded(1);
        let now = self.now();
        let mut others = Vec::new();
        // One lock, so that another thread can't close the connection before it has a signal.
        let mut state = self.lock();
        let id = state.table.open(now, server, limits, &mut others);
        state.close_signals.insert(id, signal);
        state.signal(others);
        drop(state);
        ClientSlot { clients: self.clone(), id, closed }
    }

    /// Closes the connections whose time is over; returns when the next one may expire, unless no
    /// connection is open.
    pub(crate) fn close_expired(&self) -> Option<Duration> {
        self.decide(|table, now, closed| {
            table.close_expired(now, closed);
            table.next_expiry().map(|at| at.since(now))
        })
    }

    /// Counts a request that was refused for a reason of its own server.
    pub fn count_refused(&self, reason: LimitReason) {
        self.lock().table.count_refused(reason);
    }

    /// Makes a decision and signals the connections that have to close.
    fn decide<T>(
        &self,
        decision: impl FnOnce(&mut ClientTable, Time, &mut Vec<ClientId>) -> T,
    ) -> T {
        let now = self.now();
        let mut closed = Vec::new();
        let mut state = self.lock();
        let result = decision(&mut state.table, now, &mut closed);
        state.signal(closed);
        result
    }

    /// The time of the table.
    fn now(&self) -> Time {
        Time::default() + self.0.started.elapsed()
    }

    /// Locks the state. A panic while the lock is held leaves it usable, so poisoning is ignored.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection's place among the clients; dropping it releases all that it holds.
#[derive(Debug)]
pub(crate) struct ClientSlot {
    clients: Clients,
    id: ClientId,
    closed: Receiver<()>,
}

impl ClientSlot {
    /// Records that the connection has entered a stage.
    pub fn set_stage(&self, stage: Stage) {
        self.clients.decide(|table, now, closed| table.set_stage(now, self.id, stage, closed));
    }

    /// Records that bytes were received or written.
    pub fn record_progress(&self, bytes: usize) {
        self.clients.decide(|table, now, _| table.record_progress(now, self.id, bytes as u64));
    }

    /// Counts a request of this connection that was refused.
    pub fn count_refused(&self, reason: LimitReason) {
        self.clients.count_refused(reason);
    }

    /// Holds bytes for the connection.
    pub fn hold(&self, bytes: u64) -> Result<Hold, Refused> {
        let mut hold = Hold { clients: self.clients.clone(), id: self.id, bytes: 0 };
        hold.resize(bytes)?;
        Ok(hold)
    }

    /// Whether the connection has to close. Once its request is being handled, this doesn't change.
    pub fn is_closed(&self) -> bool {
        self.closed.is_closed()
    }

    /// Waits until the connection has to close.
    pub async fn closed(&self) {
        // Nothing is ever sent; `recv` fails once the sender is dropped.
        let _ = self.closed.recv().await;
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        let mut state = self.clients.lock();
        state.close_signals.remove(&self.id);
        state.table.remove(self.id);
    }
}

/// Bytes held for a client, released when dropped.
#[derive(Debug)]
pub struct Hold {
    clients: Clients,
    id: ClientId,
    bytes: u64,
}

impl Hold {
    /// Changes the number of bytes held.
    ///
    /// # Errors
    ///
    /// Fails if the memory for clients doesn't suffice; the number stays as it was.
    pub fn resize(&mut self, bytes: u64) -> Result<(), Refused> {
        if bytes <= self.bytes {
            self.clients.lock().table.release(self.id, self.bytes - bytes);
        } else {
            let added = bytes - self.bytes;
            self.clients.decide(|table, now, closed| table.hold(now, self.id, added, closed))?;
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.clients.lock().table.release(self.id, self.bytes);
    }
}
