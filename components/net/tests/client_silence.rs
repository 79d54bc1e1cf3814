//! Kept connections that go silent for good, without a reset, while new ones work.
//!
//! What users would see: a target takes no work for hundreds of milliseconds, and all that runs there
//! is lost, though the target is well. The order of events: an agent has several connections to its
//! target; some go silent at once; a start goes over one of them and is not answered; it is sent again,
//! over the next silent one, and so on; then so is its stop; while a stop is unanswered the lease is
//! not renewed. The cause: a time-out told the client nothing of the connections that it kept besides.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use async_io::Timer;
use futures::future::join_all;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use net::{Client, ClientError, Reply, Spawner, block_on};

/// Connections that are kept when the silence begins.
const KEPT: usize = 4;
/// How long a request that goes unanswered waits.
const SHORT: Duration = Duration::from_millis(150);
/// How long a request waits that is answered where all is well.
const LONG: Duration = Duration::from_secs(5);
/// Pause between two looks at something that comes about.
const LOOK: Duration = Duration::from_millis(5);

/// What the stand-in and its test share.
struct State {
    /// Connections taken so far.
    accepted: AtomicUsize,
    /// Connections that their client has ended.
    ended: AtomicUsize,
    /// The connections numbered below answer no more.
    silent_below: AtomicUsize,
    /// The first requests are answered together, so that each has a connection of its own.
    together: Barrier,
}

/// A server with answers without a body, whose open connections can go silent.
struct StandIn {
    address: SocketAddr,
    state: Arc<State>,
}

impl StandIn {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            accepted: AtomicUsize::new(0),
            ended: AtomicUsize::new(0),
            silent_below: AtomicUsize::new(0),
            together: Barrier::new(KEPT),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
                let state = shared.clone();
                thread::spawn(move || answer(stream.unwrap(), number, &state));
            }
        });
        Self { address, state }
    }

    fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    fn ended(&self) -> usize {
        self.state.ended.load(Ordering::SeqCst)
    }

    /// From now on nothing is answered over the connections numbered below.
    fn silence_below(&self, number: usize) {
        self.state.silent_below.store(number, Ordering::SeqCst);
    }
}

/// Answers the requests of one connection; reads on without a word once it is silent.
fn answer(mut stream: TcpStream, number: usize, state: &State) {
    let mut head = Vec::new();
    let mut first = number < KEPT;
    let mut byte = [0];
    while stream.read(&mut byte).is_ok_and(|read| read == 1) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        if std::mem::take(&mut first) {
            state.together.wait();
        }
        if number >= state.silent_below.load(Ordering::SeqCst) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        }
    }
    state.ended.fetch_add(1, Ordering::SeqCst);
}

async fn send(client: &Client, time: Duration) -> Result<Reply, ClientError> {
    client.send(Method::GET, "/", HeaderMap::new(), Bytes::new(), time).await
}

/// A client that keeps as many connections as it had requests at once.
async fn client_with_kept(stand_in: &StandIn, tasks: Spawner) -> Client {
    let client = Client::new(stand_in.address, tasks);
    let answers = join_all((0..KEPT).map(|_| send(&client, LONG))).await;
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    assert_eq!(stand_in.accepted(), KEPT);
    client
}

#[test]
fn after_one_time_out_no_other_connection_of_that_age_is_used() {
    let stand_in = StandIn::start();
    block_on(|tasks| async {
        let client = client_with_kept(&stand_in, tasks).await;
        stand_in.silence_below(KEPT);
        let first = send(&client, SHORT).await;
        assert!(matches!(first, Err(ClientError::Timeout)), "{first:?}");
        let second = send(&client, LONG).await;
        assert!(second.is_ok(), "a new connection would have answered: {second:?}");
        assert_eq!(stand_in.accepted(), KEPT + 1);
    });
}

#[test]
fn connections_that_are_given_up_are_closed() {
    let stand_in = StandIn::start();
    block_on(|tasks| async {
        let client = client_with_kept(&stand_in, tasks).await;
        stand_in.silence_below(KEPT);
        let first = send(&client, SHORT).await;
        assert!(matches!(first, Err(ClientError::Timeout)), "{first:?}");
        let mut looks = 0;
        while stand_in.ended() < KEPT {
            looks += 1;
            assert!(looks < 1_000, "{} of {KEPT} connections are closed", stand_in.ended());
            Timer::after(LOOK).await;
        }
    });
}

#[test]
fn a_connection_that_has_answered_since_is_kept() {
    let stand_in = StandIn::start();
    block_on(|tasks| async {
        let client = client_with_kept(&stand_in, tasks).await;
        // The client takes the connection that it got back last.
        stand_in.silence_below(1);
        let mut unanswered = 0;
        for _ in 0..KEPT {
            // Requests at once, as many as there are connections: one of them goes unanswered, the
            // others are answered after it was sent.
            let answers = join_all((0..KEPT).map(|_| send(&client, SHORT))).await;
            unanswered += answers.iter().filter(|answer| answer.is_err()).count();
        }
        assert_eq!(unanswered, 1);
        assert_eq!(stand_in.accepted(), KEPT + 1, "only the silent one was replaced");
    });
}
