//! Graceful shutdown of a server, as its connected clients see it.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Timer;
use net::Phase;

use support::{LIMITS, REQUEST, connect, read_to_end, start, wait_for};

/// Reads until the connection ends; panics if it is reset.
async fn read_without_reset(stream: TcpStream) -> String {
    let (ended, text) = read_to_end(stream).await;
    assert!(ended, "the connection was reset after: {text}");
    text
}

fn assert_answered(text: &str) {
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("done"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

#[test]
fn an_unread_request_is_answered_after_close() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut reused = connect(&server);
        reused.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        // The server does not run between the next two lines, so the request is in the socket
        // buffer.
        reused.write_all(REQUEST).unwrap();
        server.connections.close();
        let text = read_without_reset(reused).await;
        assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
        assert!(text.contains("connection: close"), "{text}");
        wait_for("the end of accepting", || !server.serving.get()).await;
    });
}

#[test]
fn queued_connections_are_answered_after_close() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::from_millis(20), LIMITS);
        // The server has not run yet, so the connections stay in the listen queue.
        let mut waiting: Vec<TcpStream> = (0..20).map(|_| connect(&server)).collect();
        waiting.iter_mut().for_each(|stream| stream.write_all(REQUEST).unwrap());
        server.connections.close();
        for stream in waiting {
            assert_answered(&read_without_reset(stream).await);
        }
        assert_eq!(server.handled.get(), 20);
        assert!(TcpStream::connect(server.address).is_err(), "the listener is still open");
    });
}

#[test]
fn the_first_request_on_a_new_connection_is_answered_after_close() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut fresh = connect(&server);
        wait_for("the accepted connection", || server.connections.count(Phase::Fresh) == 1).await;
        server.connections.close();
        assert_eq!(server.connections.active_count(), 1, "the first request is still expected");
        Timer::after(Duration::from_millis(30)).await;
        fresh.write_all(REQUEST).unwrap();
        assert_answered(&read_without_reset(fresh).await);
    });
}

#[test]
fn a_partly_received_request_is_answered_after_close() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::from_millis(20), LIMITS);
        let mut slow = connect(&server);
        slow.write_all(&REQUEST[..20]).unwrap();
        wait_for("a partly read request", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close();
        Timer::after(Duration::from_millis(400)).await;
        assert_eq!(server.connections.active_count(), 1);
        slow.write_all(&REQUEST[20..]).unwrap();
        assert_answered(&read_without_reset(slow).await);
    });
}

#[test]
fn close_ends_idle_and_unused_connections() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut idle = connect(&server);
        let unused = connect(&server);
        idle.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        server.connections.close();
        assert!(read_without_reset(idle).await.ends_with("done"));
        assert_eq!(read_without_reset(unused).await, "");
        wait_for("no open connection", || server.connections.is_empty()).await;
        assert_eq!(server.connections.accepted(), 2);
    });
}

#[test]
fn close_idle_closes_idle_connections_and_serves_new_ones() {
    net::block_on(|spawner| async move {
        let server = start(&spawner, Duration::ZERO, LIMITS);
        let mut idle = connect(&server);
        idle.write_all(REQUEST).unwrap();
        wait_for("an idle connection", || server.connections.count(Phase::Idle) == 1).await;
        server.connections.close_idle();
        assert!(read_without_reset(idle).await.ends_with("done"));
        let mut fresh = connect(&server);
        fresh.write_all(REQUEST).unwrap();
        assert_answered(&read_without_reset(fresh).await);
        assert!(server.serving.get());
    });
}
