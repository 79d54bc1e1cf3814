//! A server whose closing is watched, and its clients.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::cell::Cell;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use net::{Body, BodyError, Connections, Limits, Spawner};

/// Limits that no test comes near.
pub const LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 1_000,
    read_timeout: Duration::from_secs(5),
    max_connections: 100,
};
/// A whole request.
pub const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
/// Far longer than anything here takes.
pub const LONG: Duration = Duration::from_secs(5);

/// A server whose answers each take a while.
pub struct Server {
    pub address: SocketAddr,
    pub connections: Rc<Connections>,
    /// Requests that reached the handler.
    pub handled: Rc<Cell<usize>>,
    /// Whether it still accepts connections.
    pub serving: Rc<Cell<bool>>,
}

/// Starts a server.
pub fn start(tasks: &Spawner, work: Duration, limits: Limits) -> Server {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let connections = Rc::new(Connections::default());
    let (handled, serving) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(true)));
    let counted = handled.clone();
    let handler = move |request: Request<Result<Bytes, BodyError>>| {
        counted.set(counted.get() + 1);
        async move {
            Timer::after(work).await;
            let mut response = Response::new(Body::from("done"));
            if request.body().is_err() {
                *response.status_mut() = StatusCode::REQUEST_TIMEOUT;
            }
            response
        }
    };
    let (listed, accepting, ended) = (connections.clone(), tasks.clone(), serving.clone());
    tasks.spawn(async move {
        net::serve_until_closed(listener, accepting, listed, move || limits, handler).await;
        ended.set(false);
    });
    Server { address, connections, handled, serving }
}

/// Waits until something is so.
pub async fn until(what: &str, is_so: impl Fn() -> bool) {
    let wait = async {
        while !is_so() {
            Timer::after(Duration::from_millis(1)).await;
        }
        true
    };
    let late = async {
        Timer::after(LONG).await;
        false
    };
    assert!(future::or(wait, late).await, "not so in time: {what}");
}

/// A client's connection.
pub fn client(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads until the connection ends, beside the server; whether it ended well, and what came.
pub async fn read_to_end(mut stream: TcpStream) -> (bool, String) {
    let read = std::thread::spawn(move || {
        let mut text = String::new();
        let ended = stream.read_to_string(&mut text);
        (ended.is_ok(), text)
    });
    until("the client has read all", || read.is_finished()).await;
    read.join().unwrap()
}

/// How many answers came.
pub fn answers(text: &str) -> usize {
    text.matches("HTTP/1.1 200").count()
}
