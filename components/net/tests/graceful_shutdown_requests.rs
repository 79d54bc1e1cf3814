//! Graceful shutdown during partial, pipelined and queued requests, at the connection limit and on
//! a slow host.

// Measures elapsed time in a test.
#![allow(clippy::disallowed_methods)]

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Timer;
use net::{Limits, Phase};

use support::{
    LIMITS, REQUEST, TEST_TIMEOUT, connect, read_to_end, response_count, start, wait_for,
};

/// hyper treats a reused connection with an incomplete head as idle and would close it on shutdown.
#[test]
fn a_further_request_with_a_partial_head_is_answered_after_close_idle() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut reused = connect(&server);
        reused.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        reused.write_all(&REQUEST[..20]).unwrap();
        wait_for("a partly read request", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close_idle();
        Timer::after(Duration::from_millis(50)).await;
        // The write fails if the server has closed the connection; the check below reports it.
        let _ = reused.write_all(&REQUEST[20..]);
        let (_, text) = read_to_end(reused).await;
        assert_eq!(response_count(&text), 2, "{text}");
    });
}

/// Guards against closing a reused connection while a request's body is incomplete.
#[test]
fn a_further_request_with_a_partial_body_is_answered_after_close_idle() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut reused = connect(&server);
        reused.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        reused.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        wait_for("a partly read request", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close_idle();
        Timer::after(Duration::from_millis(50)).await;
        reused.write_all(&REQUEST[REQUEST.len() - 1..]).unwrap();
        let (_, text) = read_to_end(reused).await;
        assert_eq!(response_count(&text), 2, "{text}");
    });
}

/// Guards against counting a connection as idle while a pipelined request is partly received.
#[test]
fn a_partial_pipelined_request_counts_as_active() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut reused = connect(&server);
        let part = &REQUEST[..REQUEST.len() - 1];
        reused.write_all(&[REQUEST, part].concat()).unwrap();
        wait_for("the first request in the handler", || server.handled.get() == 1).await;
        Timer::after(Duration::from_millis(50)).await;
        assert_eq!(server.connections.active_count(), 1, "{:?}", server.connections.list());
    });
}

/// At the connection limit, connections stay in the listen queue; closing must not reset them.
#[test]
fn a_connection_queued_at_the_limit_is_answered_after_close() {
    net::block_on(|spawner| async move {
        let limits = Limits { max_connections: 1, ..LIMITS };
        let server = start(&spawner, Duration::from_millis(100), limits);
        let mut first = connect(&server);
        first.write_all(REQUEST).unwrap();
        wait_for("a request in the handler", || server.handled.get() == 1).await;
        let mut queued = connect(&server);
        queued.write_all(REQUEST).unwrap();
        server.connections.close();
        assert_eq!(response_count(&read_to_end(first).await.1), 1);
        let (_, text) = read_to_end(queued).await;
        assert_eq!(response_count(&text), 1, "no response on the queued connection: {text:?}");
    });
}

/// Bytes of pipelined requests that the server doesn't read must not reset the connection before
/// the client has read the response.
#[test]
fn a_response_is_complete_despite_further_pipelined_requests() {
    net::block_on(|spawner| async move {
        let mut incomplete = 0;
        for _ in 0..50 {
            let server = start(&spawner, Duration::from_millis(5), LIMITS);
            let mut reused = connect(&server);
            reused.write_all(REQUEST).unwrap();
            wait_for("a request in the handler", || server.handled.get() == 1).await;
            server.connections.close();
            reused.write_all(REQUEST).unwrap();
            Timer::after(Duration::from_millis(1)).await;
            reused.write_all(REQUEST).unwrap();
            Timer::after(Duration::from_millis(20)).await;
            let (_, text) = read_to_end(reused).await;
            incomplete += usize::from(response_count(&text) == 0 || !text.contains("done"));
        }
        assert_eq!(incomplete, 0, "incomplete responses of 50");
    });
}

/// Guards against running on the tasks of clients that have disconnected.
#[test]
fn a_half_closed_connection_counts_as_disconnected() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::from_millis(50), LIMITS);
        let mut half_closed = connect(&server);
        half_closed.write_all(REQUEST).unwrap();
        half_closed.shutdown(Shutdown::Write).unwrap();
        let (_, text) = read_to_end(half_closed).await;
        assert_eq!(response_count(&text), 0, "{text:?}");
        wait_for("no open connection", || server.connections.is_empty()).await;
    });
}

/// A client that stops sending within a request doesn't delay the shutdown. It gets a response if
/// the head was complete.
#[test]
fn a_stalled_request_is_given_up_after_close() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut partial_body = connect(&server);
        partial_body.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        let mut partial_head = connect(&server);
        partial_head.write_all(&REQUEST[..20]).unwrap();
        wait_for("two partly read requests", || server.connections.count(Phase::Reading) == 2)
            .await;
        server.connections.close();
        let (_, text) = read_to_end(partial_body).await;
        assert_eq!(server.handled.get(), 1, "the handler got no body timeout: {text}");
        wait_for("no active connection", || server.connections.active_count() == 0).await;
    });
}

/// Guards against a shutdown that ends between giving up a stalled request and writing its
/// response.
#[test]
fn a_stalled_request_counts_as_active_until_its_response_is_written() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut partial_body = connect(&server);
        partial_body.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        wait_for("a partly read request", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close();
        while server.connections.active_count() > 0 {
            Timer::after(Duration::from_millis(1)).await;
        }
        assert_eq!(server.handled.get(), 1, "the handler got no body timeout");
        assert!(server.connections.is_empty(), "{:?}", server.connections.list());
        let (_, text) = read_to_end(partial_body).await;
        assert!(text.contains("HTTP/1.1 408"), "{text}");
    });
}

#[test]
fn expect_continue_http_1_0_and_head_requests_are_answered_after_close() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::from_millis(20), LIMITS);
        let mut expect_continue = connect(&server);
        let head =
            b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        expect_continue.write_all(head).unwrap();
        let mut http_1_0 = connect(&server);
        http_1_0.write_all(b"POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n\r\nab").unwrap();
        let mut head_request = connect(&server);
        head_request.write_all(b"HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
        wait_for("two requests in the handler", || server.handled.get() == 2).await;
        wait_for("a partly read request", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close();
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(server.connections.active_count(), 1, "{:?}", server.connections.list());
        expect_continue.write_all(b"ab").unwrap();
        let (ended, text) = read_to_end(expect_continue).await;
        assert!(ended && text.contains("100 Continue") && response_count(&text) == 1, "{text}");
        let (ended, text) = read_to_end(http_1_0).await;
        assert!(ended && text.contains("200 OK") && text.ends_with("done"), "{text}");
        let (ended, text) = read_to_end(head_request).await;
        assert!(ended && response_count(&text) == 1, "{text}");
        wait_for("no open connection", || server.connections.is_empty()).await;
    });
}

/// Guards against a stop that completes before a busy executor has polled a connection with an
/// unread request.
#[test]
fn an_unread_request_is_answered_before_the_stop_on_a_slow_host() {
    let (address_sender, address_receiver) = std::sync::mpsc::channel::<SocketAddr>();
    let client = std::thread::spawn(move || {
        let mut reused = TcpStream::connect(address_receiver.recv().unwrap()).unwrap();
        reused.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        reused.write_all(REQUEST).unwrap();
        reused.read_exact(&mut [0]).unwrap();
        (reused, ())
    });
    let reused = net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        address_sender.send(server.address).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        wait_for("the client's first response", || client.is_finished()).await;
        let (mut reused, ()) = client.join().unwrap();
        Timer::after(Duration::from_millis(150)).await;
        for _ in 0..900 {
            spawner.spawn(async { std::thread::sleep(Duration::from_millis(1)) });
        }
        reused.write_all(REQUEST).unwrap();
        server.connections.close_idle();
        // The same steps as in an entry's stop.
        let poll_interval = Duration::from_millis(20);
        let no_active_connections = || server.connections.active_count() == 0;
        loop {
            Timer::after(poll_interval).await;
            if no_active_connections()
                && server.connections.time_since_arrival() >= Duration::from_millis(100)
            {
                break;
            }
        }
        server.connections.close();
        let closed = std::time::Instant::now();
        loop {
            Timer::after(poll_interval).await;
            if no_active_connections() && closed.elapsed() >= Duration::from_millis(40) {
                break;
            }
        }
        println!("open connections at the end: {:?}", server.connections.list());
        reused
    });
    let (mut reused, mut text) = (reused, String::new());
    let ended = reused.read_to_string(&mut text);
    assert_eq!(response_count(&text), 1, "{ended:?} {text:?}");
}

/// Guards against giving up a slow request while the server still accepts connections.
#[test]
fn a_slow_request_is_answered_after_close_idle() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut partial_body = connect(&server);
        partial_body.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        let mut partial_head = connect(&server);
        partial_head.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        partial_head.write_all(&REQUEST[..20]).unwrap();
        wait_for("two partly read requests", || server.connections.count(Phase::Reading) == 2)
            .await;
        server.connections.close_idle();
        wait_for("two stalled requests", || server.connections.active_count() == 0).await;
        Timer::after(Duration::from_millis(50)).await;
        partial_body.write_all(&REQUEST[REQUEST.len() - 1..]).unwrap();
        partial_head.write_all(&REQUEST[20..]).unwrap();
        for (stream, expected) in [(partial_body, 1), (partial_head, 2)] {
            let (ended, text) = read_to_end(stream).await;
            assert!(ended && response_count(&text) == expected, "{text}");
        }
    });
}
