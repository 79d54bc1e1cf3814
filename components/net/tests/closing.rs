//! A server that is closed: what clients with open connections see.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use hyper::body::Bytes;
use hyper::{Request, Response};
use net::{Body, BodyError, Connections, Limits, Phase, Tasks};

const LIMITS: Limits = Limits {
    header_bytes: net::HEADER_BYTES,
    body_bytes: 1_000,
    read_time: Duration::from_secs(5),
    connections: 100,
};
const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(5);

/// A server whose answers each take a while.
struct Server {
    address: SocketAddr,
    connections: Rc<Connections>,
    handled: Rc<Cell<usize>>,
    serving: Rc<Cell<bool>>,
}

fn start(tasks: &Tasks, work: Duration) -> Server {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let connections = Rc::new(Connections::default());
    let (handled, serving) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(true)));
    let counted = handled.clone();
    let handler = move |_: Request<Result<Bytes, BodyError>>| {
        counted.set(counted.get() + 1);
        async move {
            Timer::after(work).await;
            Response::new(Body::from("done"))
        }
    };
    let (listed, ended) = (connections.clone(), serving.clone());
    let accepting = tasks.clone();
    tasks.spawn(async move {
        net::serve_listed(listener, accepting, listed, || LIMITS, handler).await;
        ended.set(false);
    });
    Server { address, connections, handled, serving }
}

async fn until(what: &str, is_so: impl Fn() -> bool) {
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

fn client(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Reads until the connection ends, beside the server.
async fn read_to_end(mut stream: TcpStream) -> String {
    let read = std::thread::spawn(move || {
        let mut text = String::new();
        let ended = stream.read_to_string(&mut text);
        (ended.is_ok(), text)
    });
    until("the client has read all", || read.is_finished()).await;
    let (ended, text) = read.join().unwrap();
    assert!(ended, "the connection ends, it is not reset: {text}");
    text
}

fn assert_answered(text: &str) {
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("done"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

#[test]
fn a_request_that_is_unread_when_the_server_closes_is_answered() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO);
        let mut kept = client(&server);
        kept.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        // Between these two lines the server has no turn: the request is in the kernel.
        kept.write_all(REQUEST).unwrap();
        server.connections.close();
        let text = read_to_end(kept).await;
        assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
        assert!(text.contains("connection: close"), "{text}");
        until("it accepts no more", || !server.serving.get()).await;
    });
}

#[test]
fn what_waits_to_be_accepted_when_the_server_closes_is_answered() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::from_millis(20));
        // The server has had no turn yet.
        let mut waiting: Vec<TcpStream> = (0..20).map(|_| client(&server)).collect();
        waiting.iter_mut().for_each(|stream| stream.write_all(REQUEST).unwrap());
        server.connections.close();
        for stream in waiting {
            assert_answered(&read_to_end(stream).await);
        }
        assert_eq!(server.handled.get(), 20);
        assert!(TcpStream::connect(server.address).is_err(), "nobody listens");
    });
}

#[test]
fn a_client_that_has_just_connected_is_answered() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO);
        let mut new = client(&server);
        until("it is accepted", || server.connections.count(Phase::Fresh) == 1).await;
        server.connections.close();
        assert_eq!(server.connections.unfinished(), 1, "its request is to come");
        Timer::after(Duration::from_millis(30)).await;
        new.write_all(REQUEST).unwrap();
        assert_answered(&read_to_end(new).await);
    });
}

#[test]
fn a_request_that_comes_in_parts_is_answered_after_the_server_has_closed() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::from_millis(20));
        let mut slow = client(&server);
        slow.write_all(&REQUEST[..20]).unwrap();
        until("a part is read", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close();
        Timer::after(Duration::from_millis(400)).await;
        assert_eq!(server.connections.unfinished(), 1);
        slow.write_all(&REQUEST[20..]).unwrap();
        assert_answered(&read_to_end(slow).await);
    });
}

#[test]
fn idle_connections_and_silent_ones_end_and_nothing_is_left() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO);
        let mut idle = client(&server);
        let silent = client(&server);
        idle.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        server.connections.close();
        assert!(read_to_end(idle).await.ends_with("done"));
        assert_eq!(read_to_end(silent).await, "");
        until("none is open", || server.connections.is_empty()).await;
        assert_eq!(server.connections.accepted(), 2);
    });
}

#[test]
fn idle_connections_close_while_new_ones_are_still_served() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO);
        let mut idle = client(&server);
        idle.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        server.connections.close_idle();
        assert!(read_to_end(idle).await.ends_with("done"));
        let mut new = client(&server);
        new.write_all(REQUEST).unwrap();
        assert_answered(&read_to_end(new).await);
        assert!(server.serving.get());
    });
}
