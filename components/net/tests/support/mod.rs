//! A test server whose shutdown can be observed, and its clients.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::cell::Cell;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use hyper::{Request, Response, StatusCode};
use net::{Body, Clients, Connections, Limits, RequestBody, Spawner};

/// Limits that no test reaches.
pub const LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 1_000,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    max_connections: 100,
    socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
};
/// A complete request.
pub const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
/// Timeout that only a failing test reaches.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A server whose handler responds after a delay.
pub struct Server {
    pub address: SocketAddr,
    pub connections: Rc<Connections>,
    /// Number of requests passed to the handler.
    pub handled: Rc<Cell<usize>>,
    /// Whether the server still accepts connections.
    pub serving: Rc<Cell<bool>>,
}

/// What the handler of a test server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Reads the body and answers with a word.
    All,
    /// Answers with a word without reading the body.
    Nothing,
    /// Reads the body and answers with this many bytes.
    AnswerBytes(usize),
}

/// Starts a server whose handler responds after `handler_delay`.
pub fn start(spawner: &Spawner, handler_delay: Duration, limits: Limits) -> Server {
    start_with(spawner, handler_delay, limits, Clients::default(), Reading::All)
}

/// Starts a server for the given clients.
pub fn start_with(
    spawner: &Spawner,
    handler_delay: Duration,
    limits: Limits,
    clients: Clients,
    reading: Reading,
) -> Server {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let connections = Rc::new(Connections::default());
    let (handled, serving) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(true)));
    let handled_count = handled.clone();
    let handler = move |request: Request<RequestBody>| {
        let handled_count = handled_count.clone();
        async move {
            let body_failed = match reading {
                Reading::Nothing => false,
                _ => request.into_body().read().await.is_err(),
            };
            handled_count.set(handled_count.get() + 1);
            Timer::after(handler_delay).await;
            let mut response = Response::new(match reading {
                Reading::AnswerBytes(bytes) => Body::from("x".repeat(bytes)),
                _ => Body::from("done"),
            });
            if body_failed {
                *response.status_mut() = StatusCode::REQUEST_TIMEOUT;
            }
            response
        }
    };
    let (registered, server_spawner, ended) =
        (connections.clone(), spawner.clone(), serving.clone());
    spawner.spawn(async move {
        let limits = move || limits;
        net::serve_until_closed(listener, server_spawner, clients, registered, limits, handler)
            .await;
        ended.set(false);
    });
    Server { address, connections, handled, serving }
}

/// Waits until `is_met` returns true; panics with `condition` after a timeout.
pub async fn wait_for(condition: &str, is_met: impl Fn() -> bool) {
    let wait = async {
        while !is_met() {
            Timer::after(Duration::from_millis(1)).await;
        }
        true
    };
    let timed_out = async {
        Timer::after(TEST_TIMEOUT).await;
        false
    };
    assert!(future::or(wait, timed_out).await, "timed out waiting for: {condition}");
}

/// Connects to the server with a blocking socket.
pub fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads until the connection ends, on another thread. Returns whether it ended without an error
/// and the received text.
pub async fn read_to_end(mut stream: TcpStream) -> (bool, String) {
    let read = std::thread::spawn(move || {
        let mut text = String::new();
        let ended = stream.read_to_string(&mut text);
        (ended.is_ok(), text)
    });
    wait_for("end of the connection", || read.is_finished()).await;
    read.join().unwrap()
}

/// Counts the successful responses in the received text.
pub fn response_count(text: &str) -> usize {
    text.matches("HTTP/1.1 200").count()
}
