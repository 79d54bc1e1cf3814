//! Guards against clients that take connections or memory from others: the decisions of the client
//! table, in virtual time.

mod table_simulation;

use std::time::Duration;

use model::Time;
use net::{ClientId, ClientLimits, ClientTable, LimitReason, ServerId, ServerLimits, Stage};

use table_simulation::{Crowd, Simulation};

const KB: u64 = 1_024;
const MB: u64 = 1_024 * KB;
/// The clients' memory at an entry of 160 MB.
const LIMITS: ClientLimits = ClientLimits {
    memory_bytes: 96 * MB,
    stall_timeout: Duration::from_millis(1_500),
    answer_timeout: Duration::from_secs(10),
    large_body_interval: Duration::from_millis(10),
};
const SERVER: ServerLimits = ServerLimits {
    max_connections: 3_000,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// A body of the largest size.
const LARGE: u64 = 256 * KB;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A table with one server.
struct Fixture {
    table: ClientTable,
    server: ServerId,
    limits: ServerLimits,
    closed: Vec<ClientId>,
}

impl Fixture {
    fn new(limits: ServerLimits) -> Self {
        let mut table = ClientTable::new(LIMITS);
        let server = table.add_server();
        Self { table, server, limits, closed: Vec::new() }
    }

    fn open(&mut self, now: Time) -> ClientId {
        self.table.open(now, self.server, self.limits, &mut self.closed)
    }

    /// Opens a connection and moves it to a stage.
    fn open_in(&mut self, now: Time, stage: Stage) -> ClientId {
        let id = self.open(now);
        self.table.set_stage(now, id, stage, &mut self.closed);
        id
    }

    fn hold(&mut self, now: Time, id: ClientId, bytes: u64) -> Result<(), LimitReason> {
        self.table.hold(now, id, bytes, &mut self.closed).map_err(|refused| refused.0)
    }

    fn expire(&mut self, now: Time) {
        self.table.close_expired(now, &mut self.closed);
    }
}

#[test]
fn a_full_server_closes_the_connection_that_waits_longest_for_its_request() {
    let mut fixture = Fixture::new(ServerLimits { max_connections: 4, ..SERVER });
    let idle = fixture.open_in(at(0), Stage::Idle);
    let silent = fixture.open(at(100));
    let partial = fixture.open_in(at(200), Stage::Head);
    let handled = fixture.open_in(at(300), Stage::Handling);
    let later: Vec<ClientId> = (0..3).map(|step| fixture.open(at(1_000 + step))).collect();
    assert_eq!(fixture.closed, [silent, partial, later[0]], "the idle one is the last");
    fixture.table.set_stage(at(1_010), later[1], Stage::Handling, &mut fixture.closed);
    fixture.table.set_stage(at(1_010), later[2], Stage::Handling, &mut fixture.closed);
    let last = fixture.open(at(1_020));
    assert_eq!(fixture.closed.last(), Some(&idle));
    fixture.table.set_stage(at(1_030), last, Stage::Handling, &mut fixture.closed);
    assert!(!fixture.table.can_open(at(60_000), fixture.server, fixture.limits));
    assert!(!fixture.closed.contains(&handled));
}

/// Guards against new connections of one server that close those of another.
#[test]
fn a_full_server_leaves_the_connections_of_other_servers_open() {
    let mut fixture = Fixture::new(ServerLimits { max_connections: 1, ..SERVER });
    let other = fixture.table.add_server();
    let elsewhere = fixture.table.open(at(0), other, fixture.limits, &mut fixture.closed);
    let first = fixture.open(at(1_000));
    fixture.open(at(1_001));
    assert_eq!(fixture.closed, [first]);
    assert_ne!(first, elsewhere);
}

#[test]
fn a_connection_that_handles_a_request_is_never_closed() {
    let mut fixture = Fixture::new(ServerLimits { max_connections: 10_000, ..SERVER });
    let handled: Vec<ClientId> =
        (0..5_000).map(|_| fixture.open_in(at(0), Stage::Handling)).collect();
    assert!(fixture.table.used_bytes() > LIMITS.memory_bytes);
    fixture.expire(at(3_600_000));
    fixture.open(at(3_600_000));
    assert!(handled.iter().all(|id| !fixture.closed.contains(id)));
}

#[test]
fn large_bodies_leave_half_of_the_memory_to_others() {
    let mut fixture = Fixture::new(SERVER);
    let mut granted = 0;
    for _ in 0..1_200 {
        let id = fixture.open_in(at(0), Stage::Body);
        granted += u64::from(fixture.hold(at(0), id, LARGE).is_ok());
    }
    assert_eq!(granted, LIMITS.memory_bytes / 2 / LARGE);
    assert_eq!(fixture.table.counters().refused[&LimitReason::LargeShare], 1_200 - granted);
}

/// Guards against bodies that are held back and keep others out for as long as they like.
#[test]
fn a_stalled_large_body_gives_way_to_another() {
    let mut fixture = Fixture::new(SERVER);
    let full = LIMITS.memory_bytes / 2 / LARGE;
    let held: Vec<ClientId> = (0..full).map(|_| fixture.open_in(at(0), Stage::Body)).collect();
    held.iter().for_each(|id| fixture.hold(at(0), *id, LARGE).unwrap());
    for (number, id) in held.iter().enumerate().skip(1) {
        fixture.table.record_progress(at(1_000), *id, 100 * KB + number as u64);
    }
    let next = fixture.open_in(at(1_400), Stage::Body);
    assert_eq!(fixture.hold(at(1_400), next, LARGE), Err(LimitReason::LargeShare));
    assert!(fixture.closed.is_empty(), "none has stalled");
    assert_eq!(fixture.hold(at(1_600), next, LARGE), Ok(()));
    assert_eq!(fixture.closed, [held[0]], "only the stalled one gives way");
}

#[test]
fn a_small_request_is_admitted_beside_large_ones_that_use_all_memory() {
    let mut fixture = Fixture::new(ServerLimits { max_connections: 20_000, ..SERVER });
    let large: Vec<ClientId> =
        (0..LIMITS.memory_bytes / 2 / LARGE).map(|_| fixture.open_in(at(0), Stage::Body)).collect();
    large.iter().for_each(|id| fixture.hold(at(0), *id, LARGE).unwrap());
    while fixture.table.used_bytes() + 60 * KB < LIMITS.memory_bytes {
        let id = fixture.open_in(at(0), Stage::Handling);
        fixture.hold(at(0), id, 4 * KB).unwrap();
    }
    let ordinary = fixture.open_in(at(10), Stage::Body);
    assert_eq!(fixture.hold(at(10), ordinary, 16 * KB), Ok(()));
    assert!(!fixture.closed.is_empty() && fixture.closed.iter().all(|id| large.contains(id)));
    assert!(fixture.table.used_bytes() <= LIMITS.memory_bytes);
}

/// Guards against a job whose memory is counted by its body alone.
#[test]
fn what_a_connection_holds_counts_until_it_is_released() {
    let mut fixture = Fixture::new(SERVER);
    let id = fixture.open_in(at(0), Stage::Handling);
    let before = fixture.table.used_bytes();
    fixture.hold(at(0), id, LARGE).unwrap();
    assert_eq!(fixture.table.used_bytes(), before + LARGE);
    fixture.table.release(id, LARGE - KB);
    assert_eq!(fixture.table.used_bytes(), before + KB);
    fixture.table.remove(id);
    assert_eq!((fixture.table.used_bytes(), fixture.table.len()), (0, 0));
}

#[test]
fn timeouts_close_by_stage() {
    let mut fixture = Fixture::new(SERVER);
    let silent = fixture.open(at(0));
    let head = fixture.open_in(at(0), Stage::Head);
    let idle = fixture.open_in(at(500), Stage::Idle);
    let unread = fixture.open_in(at(0), Stage::Answering);
    let body = fixture.open_in(at(0), Stage::Body);
    for second in 1..=9 {
        // Bytes of a head don't extend its time; those of an answer do.
        fixture.table.record_progress(at(second * 1_000), head, 1);
        fixture.table.record_progress(at(second * 1_000), unread, 1);
    }
    assert_eq!(fixture.table.next_expiry(), Some(at(3_000)));
    fixture.expire(at(2_999));
    assert!(fixture.closed.is_empty());
    fixture.expire(at(3_000));
    assert_eq!(fixture.closed, [head]);
    fixture.expire(at(15_000));
    assert_eq!(fixture.closed, [head, silent]);
    fixture.expire(at(15_500));
    assert_eq!(fixture.closed, [head, silent, idle]);
    fixture.expire(at(19_000));
    assert_eq!(fixture.closed, [head, silent, idle, unread]);
    assert!(!fixture.closed.contains(&body), "its reader has a timeout of its own");
    let closed = &fixture.table.counters().closed;
    let of = |reason| closed.get(&reason).copied().unwrap_or(0);
    assert_eq!(of(LimitReason::HeadTimeout), 1);
    assert_eq!(of(LimitReason::IdleTimeout), 2);
    assert_eq!(of(LimitReason::AnswerTimeout), 1);
}

#[test]
fn a_connection_that_has_to_close_gets_no_more_memory() {
    let mut fixture = Fixture::new(SERVER);
    let id = fixture.open_in(at(0), Stage::Head);
    fixture.expire(at(3_000));
    assert_eq!(fixture.closed, [id]);
    assert_eq!(fixture.hold(at(3_001), id, 1), Err(LimitReason::Memory));
    fixture.expire(at(60_000));
    assert_eq!(fixture.closed, [id], "it is closed once");
}

/// Guards against crowds that take the place of clients which behave.
#[test]
fn ordinary_clients_are_served_beside_every_kind_of_crowd() {
    for crowd in Crowd::ALL {
        for seed in 0..1 {
            let result = Simulation::new(LIMITS, SERVER, seed).run(crowd, 3_300);
            let context = format!("{crowd:?}, seed {seed}: {result:?}");
            println!("{context}");
            assert!(result.peak_bytes <= LIMITS.memory_bytes, "{context}");
            assert!(result.sent > 400, "{context}");
            assert_eq!(result.served, result.sent, "{context}");
            assert_eq!(result.closed, 0, "{context}");
        }
    }
}

/// Guards against sums that drift from what connections hold.
#[test]
fn random_clients_leave_nothing_behind() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(LIMITS, SERVER, seed);
        simulation.run(Crowd::Mixed, 1_000);
        assert_eq!(simulation.close_all(), 0, "seed {seed}");
    }
}
