//! Decides which connections a process keeps open and how many bytes it holds for its clients,
//! without I/O.
//!
//! All servers of a process share one table. A connection gives way to others by what its client
//! has done: sent no request, stopped within one, left an answer unread. A connection whose request
//! is being handled is never closed.

use std::collections::{BTreeMap, BTreeSet};

use model::Time;

use crate::client_limits::{ClientLimits, LimitCounters, LimitReason, Refused, ServerLimits};
use crate::client_progress::{Client, Evidence, Queue, SMALL_BYTES, Stage};

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

/// Identifies a server of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(u64);

/// Share of the clients' memory for larger ones, as a divisor.
const LARGE_SHARE_DIVISOR: u64 = 2;
/// Number of connections of each queue that are compared, those that wait longest.
const MAX_CANDIDATES: usize = 16;

/// The connections of a process and the bytes held for them.
#[derive(Debug)]
pub struct ClientTable {
    limits: ClientLimits,
    clients: BTreeMap<ClientId, Client>,
    /// The connections that may have to give way, those that wait longest first.
    queues: BTreeMap<(ServerId, Queue), BTreeSet<(Time, ClientId)>>,
    /// Number of connections by server that are not being closed.
    server_sizes: BTreeMap<ServerId, usize>,
    next_id: u64,
    next_server: u64,
    /// Bytes held by connections that are not being closed.
    used_bytes: u64,
    /// Those of large bodies, jobs and answers.
    large_bytes: u64,
    counters: LimitCounters,
}

impl ClientTable {
    /// Creates an empty table.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            clients: BTreeMap::new(),
            queues: BTreeMap::new(),
            server_sizes: BTreeMap::new(),
            next_id: 0,
            next_server: 0,
            used_bytes: 0,
            large_bytes: 0,
            counters: LimitCounters::default(),
        }
    }

    /// Registers a server.
    pub fn add_server(&mut self) -> ServerId {
        self.next_server += 1;
        let server = ServerId(self.next_server);
        self.server_sizes.insert(server, 0);
        server
    }

    /// Whether a server may open a connection: it is not full, or one of its connections gives way.
    pub fn can_open(&self, now: Time, server: ServerId, limits: ServerLimits) -> bool {
        self.server_size(server) < limits.max_connections
            || self.weakest_of_server(now, server).is_some()
    }

    /// Registers a new connection. Other connections to be closed are appended to `closed`.
    pub fn open(
        &mut self,
        now: Time,
        server: ServerId,
        limits: ServerLimits,
        closed: &mut Vec<ClientId>,
    ) -> ClientId {
        if self.server_size(server) >= limits.max_connections
            && let Some(id) = self.weakest_of_server(now, server)
        {
            self.mark_leaving(id, LimitReason::Connections, closed);
        }
        self.next_id += 1;
        let id = ClientId(self.next_id);
        let client = Client {
            server,
            limits,
            stage: Stage::New,
            stage_since: now,
            last_progress: now,
            body_bytes: 0,
            held_bytes: 0,
            leaving: false,
        };
        self.add(id, &client);
        self.clients.insert(id, client);
        *self.server_sizes.entry(server).or_default() += 1;
        self.make_room(now, id, 0, Evidence::Idle, closed);
        id
    }

    /// Returns the connection of a server that gives way to a new one. A large body that arrives
    /// takes no more connections than a small one.
    fn weakest_of_server(&self, now: Time, server: ServerId) -> Option<ClientId> {
        self.weakest(now, Some(server), None, |_, evidence| evidence != Evidence::Large)
    }

    /// Number of connections of a server that are not being closed.
    fn server_size(&self, server: ServerId) -> usize {
        self.server_sizes.get(&server).copied().unwrap_or(0)
    }

    /// Removes a closed connection with all that it holds.
    pub fn remove(&mut self, id: ClientId) {
        let Some(client) = self.clients.remove(&id) else { return };
        if !client.leaving {
            self.subtract(id, &client);
            self.shrink_server(client.server);
        }
    }

    /// Records that a connection has entered a stage.
    pub fn set_stage(&mut self, now: Time, id: ClientId, stage: Stage, closed: &mut Vec<ClientId>) {
        let is_larger = self.update(id, |client| {
            let before = client.connection_bytes();
            client.stage = stage;
            client.stage_since = now;
            client.last_progress = now;
            client.body_bytes = 0;
            client.connection_bytes() > before
        });
        if is_larger == Some(true) {
            self.make_room(now, id, 0, Evidence::Idle, closed);
        }
    }

    /// Records that bytes were received or written on a connection.
    pub fn record_progress(&mut self, now: Time, id: ClientId, bytes: u64) {
        self.update(id, |client| {
            client.last_progress = now;
            client.body_bytes += bytes;
        });
    }

    /// Holds further bytes for a connection. Other connections to be closed are appended to
    /// `closed`.
    ///
    /// # Errors
    ///
    /// Fails if the memory for clients is used up and no other connection has to give way, or if
    /// the connection is being closed itself.
    pub fn hold(
        &mut self,
        now: Time,
        id: ClientId,
        bytes: u64,
        closed: &mut Vec<ClientId>,
    ) -> Result<(), Refused> {
        let Some(client) = self.clients.get(&id).filter(|client| !client.leaving) else {
            return Err(self.refuse(LimitReason::Memory));
        };
        let is_large = client.held_bytes + bytes > SMALL_BYTES;
        // A large one takes no memory from clients that behave.
        let min_evidence = if is_large { Evidence::SlowBody } else { Evidence::Idle };
        if is_large {
            let added = client.held_bytes + bytes - client.large_bytes();
            self.make_room_for_large(now, id, added, closed)?;
        }
        if !self.make_room(now, id, bytes, min_evidence, closed) {
            return Err(self.refuse(LimitReason::Memory));
        }
        self.update(id, |client| client.held_bytes += bytes);
        Ok(())
    }

    /// Releases bytes that were held for a connection.
    pub fn release(&mut self, id: ClientId, bytes: u64) {
        self.update(id, |client| client.held_bytes = client.held_bytes.saturating_sub(bytes));
    }

    /// Counts a request that was refused for a reason of its own server.
    pub fn count_refused(&mut self, reason: LimitReason) {
        *self.counters.refused.entry(reason).or_default() += 1;
    }

    /// Appends the connections whose time is over to `closed`.
    pub fn close_expired(&mut self, now: Time, closed: &mut Vec<ClientId>) {
        let expiry = |(id, client): (&ClientId, &Client)| {
            let (at, reason) = client.expiry(&self.limits)?;
            (!client.leaving && at <= now).then_some((*id, reason))
        };
        let expired: Vec<(ClientId, LimitReason)> =
            self.clients.iter().filter_map(expiry).collect();
        for (id, reason) in expired {
            self.mark_leaving(id, reason, closed);
        }
    }

    /// Returns when the next connection expires, unless something happens on it before.
    pub fn next_expiry(&self) -> Option<Time> {
        let open = self.clients.values().filter(|client| !client.leaving);
        open.filter_map(|client| client.expiry(&self.limits)).map(|(at, _)| at).min()
    }

    /// Bytes held for clients.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Number of open connections, including those that are being closed.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// How often limits were applied.
    pub fn counters(&self) -> &LimitCounters {
        &self.counters
    }

    /// Closes connections that don't behave until the share of large ones has room for `bytes`.
    fn make_room_for_large(
        &mut self,
        now: Time,
        id: ClientId,
        bytes: u64,
        closed: &mut Vec<ClientId>,
    ) -> Result<(), Refused> {
        let share = self.limits.memory_bytes / LARGE_SHARE_DIVISOR;
        while self.large_bytes + bytes > share {
            let is_large = |client: &Client, evidence| {
                client.large_bytes() > 0 && evidence >= Evidence::SlowBody
            };
            match self.weakest(now, None, Some(id), is_large) {
                Some(other) => self.mark_leaving(other, LimitReason::LargeShare, closed),
                None => return Err(self.refuse(LimitReason::LargeShare)),
            }
        }
        Ok(())
    }

    /// Closes other connections with at least this evidence until `bytes` more fit; returns whether
    /// they do.
    fn make_room(
        &mut self,
        now: Time,
        id: ClientId,
        bytes: u64,
        min_evidence: Evidence,
        closed: &mut Vec<ClientId>,
    ) -> bool {
        while self.used_bytes + bytes > self.limits.memory_bytes {
            match self.weakest(now, None, Some(id), |_, evidence| evidence >= min_evidence) {
                Some(other) => self.mark_leaving(other, LimitReason::Memory, closed),
                None => return false,
            }
        }
        true
    }

    /// Returns the candidate with the strongest evidence for closing it, other than `spared`.
    fn weakest(
        &self,
        now: Time,
        server: Option<ServerId>,
        spared: Option<ClientId>,
        is_candidate: impl Fn(&Client, Evidence) -> bool,
    ) -> Option<ClientId> {
        let in_scope = |key: &(ServerId, Queue)| server.is_none_or(|server| key.0 == server);
        let queues = self.queues.iter().filter(|(key, _)| in_scope(key));
        let longest_waiting = queues.flat_map(|(_, waiting)| waiting.iter().take(MAX_CANDIDATES));
        let candidates = longest_waiting.filter_map(|(_, id)| {
            let client = self.clients.get(id).filter(|_| Some(*id) != spared)?;
            let (evidence, strength) = client.evidence(now, &self.limits)?;
            is_candidate(client, evidence).then_some((evidence, strength, *id))
        });
        candidates.max().map(|(_, _, id)| id)
    }

    fn mark_leaving(&mut self, id: ClientId, reason: LimitReason, closed: &mut Vec<ClientId>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let before = *client;
        client.leaving = true;
        self.subtract(id, &before);
        self.shrink_server(before.server);
        *self.counters.closed.entry(reason).or_default() += 1;
        closed.push(id);
    }

    fn refuse(&mut self, reason: LimitReason) -> Refused {
        self.count_refused(reason);
        Refused(reason)
    }

    /// Changes a connection and the sums that it is part of.
    fn update<T>(&mut self, id: ClientId, change: impl FnOnce(&mut Client) -> T) -> Option<T> {
        let client = self.clients.get_mut(&id)?;
        let before = *client;
        let result = change(client);
        let after = *client;
        if !before.leaving {
            self.subtract(id, &before);
            self.add(id, &after);
        }
        Some(result)
    }

    /// Adds a connection to the sums and queues.
    fn add(&mut self, id: ClientId, client: &Client) {
        self.used_bytes += client.connection_bytes() + client.held_bytes;
        self.large_bytes += client.large_bytes();
        if let Some((queue, since)) = client.place() {
            self.queues.entry((client.server, queue)).or_default().insert((since, id));
        }
    }

    /// Takes a connection out of the sums and queues.
    fn subtract(&mut self, id: ClientId, client: &Client) {
        self.used_bytes -= client.connection_bytes() + client.held_bytes;
        self.large_bytes -= client.large_bytes();
        if let Some((queue, since)) = client.place()
            && let Some(waiting) = self.queues.get_mut(&(client.server, queue))
        {
            waiting.remove(&(since, id));
        }
    }

    fn shrink_server(&mut self, server: ServerId) {
        if let Some(size) = self.server_sizes.get_mut(&server) {
            *size -= 1;
        }
    }
}
