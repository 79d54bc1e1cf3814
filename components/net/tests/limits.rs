//! Guards against clients that take more than their part: the limits of a server as its clients see
//! them.

// Measures elapsed time in a test.
#![allow(clippy::disallowed_methods)]

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::Timer;
use net::{ClientLimits, Clients, LimitReason, Limits, Phase, Spawner};

use support::{
    LIMITS, REQUEST, Reading, Server, TEST_TIMEOUT, connect, read_to_end, response_count, start,
    start_with, wait_for,
};

/// Head of a request whose body is far longer than the server allows.
const LONG_REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000000\r\n\r\n";
/// A request after which its client closes the connection.
const LAST_REQUEST: &[u8] =
    b"POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab";
/// Bytes that fill any socket buffer.
const MUCH: usize = 4 << 20;

fn limited(spawner: &Spawner, limits: Limits, clients: ClientLimits) -> (Server, Clients) {
    let clients = Clients::new(clients);
    (start_with(spawner, Duration::ZERO, limits, clients.clone(), Reading::All), clients)
}

fn closed(clients: &Clients, reason: LimitReason) -> u64 {
    clients.counters().closed.get(&reason).copied().unwrap_or(0)
}

fn refused(clients: &Clients, reason: LimitReason) -> u64 {
    clients.counters().refused.get(&reason).copied().unwrap_or(0)
}

/// Writes until the server closes the connection, on another thread.
fn keep_writing(mut stream: TcpStream) {
    std::thread::spawn(move || while stream.write_all(&[b'x'; 4_096]).is_ok() {});
}

#[test]
fn what_the_head_decides_is_answered_before_the_body_has_come() {
    net::block_on(|spawner| async move {
        let server =
            start_with(&spawner, Duration::ZERO, LIMITS, Clients::default(), Reading::Nothing);
        let mut client = connect(&server);
        client.write_all(LONG_REQUEST).unwrap();
        let (ended, text) = read_to_end(client).await;
        assert!(ended && response_count(&text) == 1, "{text}");
        assert!(text.contains("connection: close"), "{text}");
    });
}

/// Guards against a reset that makes the client lose the answer while it is still sending.
#[test]
fn a_refused_client_that_still_sends_gets_the_whole_answer() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        for _ in 0..20 {
            let mut client = connect(&server);
            client.write_all(LONG_REQUEST).unwrap();
            keep_writing(client.try_clone().unwrap());
            let (_, text) = read_to_end(client).await;
            assert!(text.starts_with("HTTP/1.1 408") && text.ends_with("done"), "{text}");
        }
    });
}

/// Guards against a connection that is closed although the client has behaved.
#[test]
fn a_small_body_that_nobody_reads_leaves_the_connection_open() {
    net::block_on(|spawner| async move {
        let server =
            start_with(&spawner, Duration::ZERO, LIMITS, Clients::default(), Reading::Nothing);
        let mut client = connect(&server);
        client.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        wait_for("a request in the handler", || server.handled.get() == 1).await;
        client.write_all(&REQUEST[REQUEST.len() - 1..]).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        client.write_all(REQUEST).unwrap();
        wait_for("a second request", || server.handled.get() == 2).await;
    });
}

#[test]
fn a_head_that_trickles_in_is_closed_after_its_timeout() {
    net::block_on(|spawner| async move {
        let limits = Limits { head_timeout: Duration::from_millis(400), ..LIMITS };
        let (server, clients) = limited(&spawner, limits, ClientLimits::default());
        let mut client = connect(&server);
        // The timeout counts from the first byte of each head, not from the last answer.
        client.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        Timer::after(Duration::from_millis(600)).await;
        assert_eq!(server.connections.len(), 1, "idle within the idle timeout");
        let started = Instant::now();
        for byte in REQUEST.iter().cycle() {
            if server.connections.is_empty() || started.elapsed() > TEST_TIMEOUT {
                break;
            }
            // Fails once the server has closed the connection.
            let _ = client.write_all(&[*byte, b'a'][..1]);
            Timer::after(Duration::from_millis(100)).await;
            if started.elapsed() < Duration::from_millis(300) {
                assert_eq!(server.connections.len(), 1);
            }
        }
        assert!(started.elapsed() < Duration::from_secs(2));
        assert_eq!(closed(&clients, LimitReason::HeadTimeout), 1);
    });
}

#[test]
fn a_connection_without_a_request_is_closed_after_the_idle_timeout() {
    net::block_on(|spawner| async move {
        let limits = Limits { idle_timeout: Duration::from_millis(300), ..LIMITS };
        let (server, clients) = limited(&spawner, limits, ClientLimits::default());
        let silent = connect(&server);
        let mut used = connect(&server);
        used.write_all(REQUEST).unwrap();
        assert_eq!(response_count(&read_to_end(used).await.1), 1);
        assert_eq!(read_to_end(silent).await.1, "");
        assert_eq!(closed(&clients, LimitReason::IdleTimeout), 2);
    });
}

/// Guards against answers that occupy a connection for as long as the client likes.
#[test]
fn an_answer_that_nobody_reads_is_given_up() {
    net::block_on(|spawner| async move {
        let client_limits =
            ClientLimits { answer_timeout: Duration::from_millis(300), ..ClientLimits::default() };
        let clients = Clients::new(client_limits);
        let answer = Reading::AnswerBytes(MUCH);
        let server = start_with(&spawner, Duration::ZERO, LIMITS, clients.clone(), answer);
        let mut unread = connect(&server);
        unread.write_all(REQUEST).unwrap();
        wait_for("an answer", || server.connections.count(Phase::Answering) == 1).await;
        assert!(clients.used_bytes() >= MUCH as u64);
        wait_for("no open connection", || server.connections.is_empty()).await;
        assert_eq!(closed(&clients, LimitReason::AnswerTimeout), 1);
        assert_eq!(clients.used_bytes(), 0);
        // A client that reads gets all of it.
        let mut read = connect(&server);
        read.write_all(REQUEST).unwrap();
        let (ended, text) = read_to_end(read).await;
        assert!(ended && text.len() > MUCH, "{} bytes", text.len());
    });
}

#[test]
fn silent_connections_at_a_full_server_give_way() {
    net::block_on(|spawner| async move {
        let limits = Limits { max_connections: 8, ..LIMITS };
        let (server, clients) = limited(&spawner, limits, ClientLimits::default());
        let mut kept = connect(&server);
        kept.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        let silent: Vec<TcpStream> = (0..30).map(|_| connect(&server)).collect();
        wait_for("30 connections", || server.connections.accepted() == 31).await;
        let mut client = connect(&server);
        client.write_all(REQUEST).unwrap();
        wait_for("a second request", || server.handled.get() == 2).await;
        assert!(server.connections.len() <= 8);
        assert_eq!(closed(&clients, LimitReason::Connections), 31 + 1 - 8);
        kept.write_all(REQUEST).unwrap();
        wait_for("a third request, on the oldest connection", || server.handled.get() == 3).await;
        drop(silent);
    });
}

/// Guards against bodies whose pieces take many times the memory of what was sent.
#[test]
fn a_body_in_chunks_of_one_byte_holds_what_was_sent() {
    net::block_on(|spawner| async move {
        let limits = Limits { max_body_bytes: 64 * 1_024, ..LIMITS };
        let (server, clients) = limited(&spawner, limits, ClientLimits::default());
        let mut client = connect(&server);
        client
            .write_all(b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        wait_for("a partly read request", || server.connections.count(Phase::Reading) == 1).await;
        let before = clients.used_bytes();
        for _ in 0..10 {
            client.write_all(&b"1\r\nx\r\n".repeat(1_000)).unwrap();
            Timer::after(Duration::from_millis(5)).await;
        }
        wait_for("10,000 bytes", || clients.used_bytes() >= before + 10_000).await;
        assert!(clients.used_bytes() <= before + 20_000);
        client.write_all(b"0\r\n\r\n").unwrap();
        wait_for("the request in the handler", || server.handled.get() == 1).await;
    });
}

/// Guards against a server that takes more bodies than the process has memory for, and against
/// refusing small requests with them.
#[test]
fn bodies_beyond_the_memory_are_refused_before_they_are_handled() {
    net::block_on(|spawner| async move {
        let limits = Limits { max_body_bytes: 256 * 1_024, ..LIMITS };
        let memory_bytes = 2 << 20;
        let client_limits = ClientLimits { memory_bytes, ..ClientLimits::default() };
        let (server, clients) = limited(&spawner, limits, client_limits);
        let head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n";
        let mut held = Vec::new();
        for _ in 0..12 {
            let mut client = connect(&server);
            client.set_nonblocking(true).unwrap();
            let part = [&head[..], &[b'x'; 199_999]].concat();
            let mut sent = 0;
            while sent < part.len() && refused(&clients, LimitReason::LargeShare) == 0 {
                match client.write(&part[sent..]) {
                    Ok(bytes) => sent += bytes,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
                Timer::after(Duration::from_millis(1)).await;
            }
            held.push(client);
        }
        wait_for("a refused body", || refused(&clients, LimitReason::LargeShare) > 0).await;
        assert!(clients.used_bytes() <= memory_bytes);
        let mut small = connect(&server);
        small.write_all(REQUEST).unwrap();
        let mut buffer = [0; 12];
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        small.read_exact(&mut buffer).unwrap();
        assert_eq!(&buffer, b"HTTP/1.1 200");
    });
}

/// Guards against clients that send requests ahead and take the turns of those that wait.
#[test]
fn requests_sent_ahead_are_handled_a_few_at_a_time() {
    net::block_on(|spawner| async move {
        let delay = Duration::from_millis(200);
        let server = start_with(&spawner, delay, LIMITS, Clients::default(), Reading::All);
        let ahead: Vec<TcpStream> = (0..20)
            .map(|_| {
                let mut client = connect(&server);
                client.write_all(&REQUEST.repeat(3)).unwrap();
                client
            })
            .collect();
        wait_for("the first requests", || server.handled.get() == 20).await;
        Timer::after(delay + Duration::from_millis(100)).await;
        let handled = server.handled.get();
        assert!((20..=28).contains(&handled), "{handled} handled");
        for mut client in ahead {
            for _ in 0..3 {
                let mut answer = Vec::new();
                while !answer.ends_with(b"done") {
                    let mut byte = [0];
                    let read = async_io::Async::new(client.try_clone().unwrap()).unwrap();
                    futures_lite::AsyncReadExt::read_exact(&mut &read, &mut byte).await.unwrap();
                    answer.push(byte[0]);
                }
            }
            client.flush().unwrap();
        }
        assert_eq!(server.handled.get(), 60);
    });
}

/// Guards against closing a connection whose request was passed on in the moment in which it had to
/// give way.
#[test]
fn a_request_that_was_passed_on_is_answered_although_its_connection_was_to_give_way() {
    net::block_on(|spawner| async move {
        let limits = Limits { max_connections: 1, ..LIMITS };
        let delay = Duration::from_millis(20);
        let (mut passed_on, mut given_up) = (0, 0);
        for _ in 0..40 {
            let server = start_with(&spawner, delay, limits, Clients::default(), Reading::All);
            let mut idle = connect(&server);
            idle.write_all(REQUEST).unwrap();
            wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
            // The server does not run between these lines.
            let mut newer = connect(&server);
            newer.write_all(LAST_REQUEST).unwrap();
            idle.write_all(REQUEST).unwrap();
            let (_, text) = read_to_end(newer).await;
            assert_eq!(response_count(&text), 1, "{text}");
            let (_, text) = read_to_end(idle).await;
            let answers = text.matches("HTTP/1.1").count();
            assert_eq!(answers + 1, server.handled.get(), "{text}");
            passed_on += usize::from(answers == 2);
            given_up += usize::from(answers == 1);
        }
        println!("{passed_on} passed on, {given_up} given up");
    });
}

/// Guards against taking a request that is being handled for one whose body still arrives.
#[test]
fn a_handled_request_keeps_its_connection_at_a_full_server() {
    let empty = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    let ahead = REQUEST.repeat(2);
    net::block_on(|spawner| async move {
        for (requests, count) in [(&empty[..], 1), (REQUEST, 1), (&ahead, 2)] {
            let idle_timeout = Duration::from_millis(200);
            let limits = Limits { max_connections: 1, idle_timeout, ..LIMITS };
            let delay = Duration::from_millis(400);
            let server = start_with(&spawner, delay, limits, Clients::default(), Reading::All);
            let mut client = connect(&server);
            client.write_all(requests).unwrap();
            wait_for("the last request in the handler", || server.handled.get() == count).await;
            Timer::after(Duration::from_millis(50)).await;
            let newer = connect(&server);
            let (_, text) = read_to_end(client).await;
            assert_eq!(response_count(&text), count, "{text}");
            drop(newer);
        }
    });
}
