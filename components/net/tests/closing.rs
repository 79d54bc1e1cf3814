//! A server that is closed: what clients with open connections see.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Timer;
use net::Phase;

use support::{LIMITS, REQUEST, client, read_to_end, start, until};

/// Reads until the connection ends, which it does without a reset.
async fn read_all(stream: TcpStream) -> String {
    let (ended, text) = read_to_end(stream).await;
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
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut kept = client(&server);
        kept.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        // Between these two lines the server has no turn: the request is in the kernel.
        kept.write_all(REQUEST).unwrap();
        server.connections.close();
        let text = read_all(kept).await;
        assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
        assert!(text.contains("connection: close"), "{text}");
        until("it accepts no more", || !server.serving.get()).await;
    });
}

#[test]
fn what_waits_to_be_accepted_when_the_server_closes_is_answered() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::from_millis(20), LIMITS);
        // The server has had no turn yet.
        let mut waiting: Vec<TcpStream> = (0..20).map(|_| client(&server)).collect();
        waiting.iter_mut().for_each(|stream| stream.write_all(REQUEST).unwrap());
        server.connections.close();
        for stream in waiting {
            assert_answered(&read_all(stream).await);
        }
        assert_eq!(server.handled.get(), 20);
        assert!(TcpStream::connect(server.address).is_err(), "nobody listens");
    });
}

#[test]
fn a_client_that_has_just_connected_is_answered() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut new = client(&server);
        until("it is accepted", || server.connections.count(Phase::Fresh) == 1).await;
        server.connections.close();
        assert_eq!(server.connections.active_count(), 1, "its request is to come");
        Timer::after(Duration::from_millis(30)).await;
        new.write_all(REQUEST).unwrap();
        assert_answered(&read_all(new).await);
    });
}

#[test]
fn a_request_that_comes_in_parts_is_answered_after_the_server_has_closed() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::from_millis(20), LIMITS);
        let mut slow = client(&server);
        slow.write_all(&REQUEST[..20]).unwrap();
        until("a part is read", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close();
        Timer::after(Duration::from_millis(400)).await;
        assert_eq!(server.connections.active_count(), 1);
        slow.write_all(&REQUEST[20..]).unwrap();
        assert_answered(&read_all(slow).await);
    });
}

#[test]
fn idle_connections_and_silent_ones_end_and_nothing_is_left() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut idle = client(&server);
        let silent = client(&server);
        idle.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        server.connections.close();
        assert!(read_all(idle).await.ends_with("done"));
        assert_eq!(read_all(silent).await, "");
        until("none is open", || server.connections.is_empty()).await;
        assert_eq!(server.connections.accepted(), 2);
    });
}

#[test]
fn idle_connections_close_while_new_ones_are_still_served() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut idle = client(&server);
        idle.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        server.connections.close_idle();
        assert!(read_all(idle).await.ends_with("done"));
        let mut new = client(&server);
        new.write_all(REQUEST).unwrap();
        assert_answered(&read_all(new).await);
        assert!(server.serving.get());
    });
}
