//! Ordinary clients and a crowd that share a client table, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use net::{ClientId, ClientLimits, ClientTable, ServerId, ServerLimits, Stage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a step of virtual time.
const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 600;
/// Ordinary clients, each of which keeps its connection.
const ORDINARY_CLIENTS: usize = 100;
/// Bytes of an ordinary body.
const ORDINARY_BODY_BYTES: u64 = 1_024;
const LARGE_BODY_BYTES: u64 = 256 * 1_024;
/// Steps after which a crowd's client connects again.
const RECONNECT_STEPS: u64 = 10;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug)]
pub enum Crowd {
    /// Send nothing.
    Silent,
    /// Send a byte of a head now and then.
    SlowHeads,
    /// Send a large body but for its last byte.
    StalledBodies,
    /// Send a large body in small pieces.
    SlowBodies,
    /// Send large bodies at full speed, one after the other.
    LargeBodies,
    /// Don't read their answers.
    UnreadAnswers,
    /// Each client is of one of these kinds.
    Mixed,
}

impl Crowd {
    pub const ALL: [Self; 7] = [
        Self::Silent,
        Self::SlowHeads,
        Self::StalledBodies,
        Self::SlowBodies,
        Self::LargeBodies,
        Self::UnreadAnswers,
        Self::Mixed,
    ];

    fn of_client(self, number: usize) -> Self {
        match self {
            Self::Mixed => Self::ALL[number % (Self::ALL.len() - 1)],
            kind => kind,
        }
    }
}

/// What was seen in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunResult {
    /// Requests of ordinary clients.
    pub sent: u64,
    pub served: u64,
    /// Connections of ordinary clients that were closed.
    pub closed: u64,
    pub peak_bytes: u64,
}

/// A client, ordinary or of the crowd.
#[derive(Clone, Copy, Debug)]
struct Actor {
    /// `None` for an ordinary client.
    crowd: Option<Crowd>,
    connection: Option<ClientId>,
    /// Steps since the connection was opened or its last request began.
    step: u64,
    /// When the client acts next, in steps.
    next: u64,
}

pub struct Simulation {
    table: ClientTable,
    server: ServerId,
    limits: ServerLimits,
    random: ChaCha8Rng,
    open: BTreeMap<ClientId, usize>,
    result: RunResult,
}

impl Simulation {
    pub fn new(limits: ClientLimits, server_limits: ServerLimits, seed: u64) -> Self {
        let mut table = ClientTable::new(limits);
        let server = table.add_server();
        Self {
            table,
            server,
            limits: server_limits,
            random: ChaCha8Rng::seed_from_u64(seed),
            open: BTreeMap::new(),
            result: RunResult::default(),
        }
    }

    /// Plays ordinary clients beside a crowd of this size.
    pub fn run(&mut self, crowd: Crowd, size: usize) -> RunResult {
        let ordinary = (0..ORDINARY_CLIENTS).map(|_| None);
        let crowd = (0..size).map(|number| Some(crowd.of_client(number)));
        let mut actors: Vec<Actor> = ordinary
            .chain(crowd)
            .map(|crowd| Actor {
                crowd,
                connection: None,
                step: 0,
                next: self.random.random_range(0..100),
            })
            .collect();
        for step in 0..STEPS {
            let now = Time::default() + STEP * step as u32;
            let mut closed = Vec::new();
            self.table.close_expired(now, &mut closed);
            self.drop_closed(&mut actors, step, closed);
            for number in 0..actors.len() {
                if actors[number].next > step {
                    continue;
                }
                let mut closed = Vec::new();
                let mut actor = actors[number];
                self.act(now, step, number, &mut actor, &mut closed);
                actors[number] = actor;
                self.drop_closed(&mut actors, step, closed);
                self.result.peak_bytes = self.result.peak_bytes.max(self.table.used_bytes());
            }
        }
        self.result
    }

    /// Closes all connections; returns the number of bytes that are still held.
    pub fn close_all(&mut self) -> u64 {
        std::mem::take(&mut self.open).into_keys().for_each(|id| self.table.remove(id));
        self.table.used_bytes()
    }

    fn drop_closed(&mut self, actors: &mut [Actor], step: u64, closed: Vec<ClientId>) {
        for id in closed {
            self.table.remove(id);
            let Some(number) = self.open.remove(&id) else { continue };
            let actor = &mut actors[number];
            if actor.connection == Some(id) {
                self.result.closed += u64::from(actor.crowd.is_none());
                actor.connection = None;
                actor.next = step + RECONNECT_STEPS;
            }
        }
    }

    fn act(
        &mut self,
        now: Time,
        step: u64,
        number: usize,
        actor: &mut Actor,
        closed: &mut Vec<ClientId>,
    ) {
        let Some(id) = actor.connection else {
            if self.table.can_open(now, self.server, self.limits) {
                let id = self.table.open(now, self.server, self.limits, closed);
                self.open.insert(id, number);
                actor.connection = Some(id);
                actor.step = 0;
            }
            actor.next = step + 1;
            return;
        };
        actor.step += 1;
        actor.next = step + 1;
        match actor.crowd {
            None => self.act_ordinary(now, step, id, actor, closed),
            Some(kind) => self.act_in_crowd(now, step, id, kind, actor, closed),
        }
    }

    /// An ordinary client sends its request in one piece, reads the answer after 50 ms and keeps the
    /// connection for up to two seconds.
    fn act_ordinary(
        &mut self,
        now: Time,
        step: u64,
        id: ClientId,
        actor: &mut Actor,
        closed: &mut Vec<ClientId>,
    ) {
        match actor.step {
            1 => {
                self.result.sent += u64::from(step + 10 < STEPS);
                self.table.set_stage(now, id, Stage::Head, closed);
                self.table.set_stage(now, id, Stage::Body, closed);
                let held = self.table.hold(now, id, ORDINARY_BODY_BYTES, closed);
                self.table.set_stage(now, id, Stage::Handling, closed);
                if held.is_err() {
                    actor.step = 100;
                }
                actor.next = step + 5;
            }
            2 => {
                // A request near the end of the run counts neither as sent nor as served.
                self.result.served += u64::from(step + 5 < STEPS);
                self.table.set_stage(now, id, Stage::Answering, closed);
                self.table.release(id, ORDINARY_BODY_BYTES);
                self.table.set_stage(now, id, Stage::Idle, closed);
                actor.step = 0;
                actor.next = step + self.random.random_range(1..200);
            }
            _ => actor.step = 0,
        }
    }

    fn act_in_crowd(
        &mut self,
        now: Time,
        step: u64,
        id: ClientId,
        kind: Crowd,
        actor: &mut Actor,
        closed: &mut Vec<ClientId>,
    ) {
        match (kind, actor.step) {
            (Crowd::Silent | Crowd::Mixed, _) => actor.next = step + 100,
            (Crowd::SlowHeads, 1) => self.table.set_stage(now, id, Stage::Head, closed),
            (Crowd::SlowHeads, _) => {
                self.table.record_progress(now, id, 1);
                actor.next = step + 80;
            }
            (Crowd::UnreadAnswers, 1) => {
                self.table.set_stage(now, id, Stage::Handling, closed);
                self.table.set_stage(now, id, Stage::Answering, closed);
            }
            (Crowd::UnreadAnswers, _) => actor.next = step + 100,
            (Crowd::StalledBodies | Crowd::SlowBodies | Crowd::LargeBodies, 1) => {
                self.table.set_stage(now, id, Stage::Body, closed);
                let bytes = if matches!(kind, Crowd::SlowBodies) { 100 } else { LARGE_BODY_BYTES };
                self.receive(now, id, bytes, closed);
            }
            (Crowd::SlowBodies, 2..=50) => {
                self.receive(now, id, 5_200, closed);
                actor.next = step + 4;
            }
            (Crowd::LargeBodies, 2) => {
                self.table.set_stage(now, id, Stage::Handling, closed);
                self.table.release(id, LARGE_BODY_BYTES);
                self.table.set_stage(now, id, Stage::Idle, closed);
                actor.step = 0;
                actor.next = step + 4;
            }
            _ => actor.next = step + 50,
        }
    }

    /// Receives a part of a body; a refused client is answered and closed.
    fn receive(&mut self, now: Time, id: ClientId, bytes: u64, closed: &mut Vec<ClientId>) {
        if closed.contains(&id) {
            return;
        }
        self.table.record_progress(now, id, bytes);
        if self.table.hold(now, id, bytes, closed).is_err() {
            closed.push(id);
        }
    }
}
