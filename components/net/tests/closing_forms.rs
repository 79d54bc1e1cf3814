//! A server that closes, and requests of every form: in parts, one behind the other, at the limit of
//! connections, on a slow host.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Timer;
use net::{Limits, Phase};

use support::{LIMITS, LONG, REQUEST, answers, client, read_to_end, start, until};

/// hyper takes a connection that has carried a request for idle while a part of the next head has come,
/// and closes it when it is told to.
#[test]
fn the_next_request_whose_head_has_come_in_part_is_answered_after_the_close() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut kept = client(&server);
        kept.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        kept.write_all(&REQUEST[..20]).unwrap();
        until("a part is read", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close_idle();
        Timer::after(Duration::from_millis(50)).await;
        // The connection may be gone.
        let _ = kept.write_all(&REQUEST[20..]);
        let (_, text) = read_to_end(kept).await;
        assert_eq!(answers(&text), 2, "{text}");
    });
}

/// The same with the body still to come.
#[test]
fn the_next_request_whose_body_has_come_in_part_is_answered_after_the_close() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut kept = client(&server);
        kept.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        kept.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        until("a part is read", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close_idle();
        Timer::after(Duration::from_millis(50)).await;
        kept.write_all(&REQUEST[REQUEST.len() - 1..]).unwrap();
        let (_, text) = read_to_end(kept).await;
        assert_eq!(answers(&text), 2, "{text}");
    });
}

/// A request that came in part behind another one is under way, and is not counted as such.
#[test]
fn a_request_that_came_in_part_behind_another_is_busy() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut kept = client(&server);
        let part = &REQUEST[..REQUEST.len() - 1];
        kept.write_all(&[REQUEST, part].concat()).unwrap();
        until("the first is answered", || server.handled.get() == 1).await;
        Timer::after(Duration::from_millis(50)).await;
        assert_eq!(server.connections.active_count(), 1, "{:?}", server.connections.list());
    });
}

/// At the limit of connections more wait to be accepted than else, and were reset with their requests.
#[test]
fn what_waits_at_the_limit_of_connections_when_the_server_closes_is_answered() {
    net::block_on(|tasks| async move {
        let limits = Limits { max_connections: 1, ..LIMITS };
        let server = start(&tasks, Duration::from_millis(100), limits);
        let mut first = client(&server);
        first.write_all(REQUEST).unwrap();
        until("it is handled", || server.handled.get() == 1).await;
        let mut waits = client(&server);
        waits.write_all(REQUEST).unwrap();
        server.connections.close();
        assert_eq!(answers(&read_to_end(first).await.1), 1);
        let (_, text) = read_to_end(waits).await;
        assert_eq!(answers(&text), 1, "it waited to be accepted: {text:?}");
    });
}

/// A pipelining client: bytes that come behind a request whose answer closes the connection must not
/// destroy that answer by a reset.
#[test]
fn an_answer_is_whole_though_more_requests_come_behind_it() {
    net::block_on(|tasks| async move {
        let mut lost = 0;
        for _ in 0..50 {
            let server = start(&tasks, Duration::from_millis(5), LIMITS);
            let mut kept = client(&server);
            kept.write_all(REQUEST).unwrap();
            until("it is handled", || server.handled.get() == 1).await;
            server.connections.close();
            kept.write_all(REQUEST).unwrap();
            Timer::after(Duration::from_millis(1)).await;
            kept.write_all(REQUEST).unwrap();
            Timer::after(Duration::from_millis(20)).await;
            let (_, text) = read_to_end(kept).await;
            lost += usize::from(answers(&text) == 0 || !text.contains("done"));
        }
        assert_eq!(lost, 0, "of 50");
    });
}

/// A client that closes its sending side is taken for one that has gone: most clients that leave show it by
/// nothing else, and their tasks are stopped at once.
#[test]
fn a_client_that_half_closes_is_taken_for_gone() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::from_millis(50), LIMITS);
        let mut half = client(&server);
        half.write_all(REQUEST).unwrap();
        half.shutdown(Shutdown::Write).unwrap();
        let (_, text) = read_to_end(half).await;
        assert_eq!(answers(&text), 0, "{text:?}");
        until("none is open", || server.connections.is_empty()).await;
    });
}

/// A client that stops in the midst of a request does not hold up the end, and is told so where the head
/// has come.
#[test]
fn a_request_that_never_comes_whole_is_given_up() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut body = client(&server);
        body.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        let mut head = client(&server);
        head.write_all(&REQUEST[..20]).unwrap();
        until("both are read", || server.connections.count(Phase::Reading) == 2).await;
        server.connections.close();
        let (_, text) = read_to_end(body).await;
        assert_eq!(
            server.handled.get(),
            1,
            "the handler is told that the body was too slow: {text}"
        );
        until("the other is not counted", || server.connections.active_count() == 0).await;
    });
}

/// A caller stopped in the midst of its body while the entry drained, and saw its connection end: from the moment
/// when the request was given up until its answer was written the connection wasn't counted, so that the entry
/// took itself for done. The caller got the end of the connection in 4 of 24 runs.
#[test]
fn a_request_that_is_given_up_counts_until_its_answer_is_written() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut body = client(&server);
        body.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        until("it is read", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close();
        while server.connections.active_count() > 0 {
            Timer::after(Duration::from_millis(1)).await;
        }
        assert_eq!(server.handled.get(), 1, "the handler answers that the body was too slow");
        assert!(server.connections.is_empty(), "{:?}", server.connections.list());
        let (_, text) = read_to_end(body).await;
        assert!(text.contains("HTTP/1.1 408"), "{text}");
    });
}

/// Expect: 100-continue, HTTP/1.0 and HEAD while the server closes.
#[test]
fn other_forms_of_requests_are_answered_while_the_server_closes() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::from_millis(20), LIMITS);
        let mut expects = client(&server);
        let head =
            b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        expects.write_all(head).unwrap();
        let mut old = client(&server);
        old.write_all(b"POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n\r\nab").unwrap();
        let mut short = client(&server);
        short.write_all(b"HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
        until("two are handled", || server.handled.get() == 2).await;
        until("one reads", || server.connections.count(Phase::Reading) == 1).await;
        server.connections.close();
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(server.connections.active_count(), 1, "{:?}", server.connections.list());
        expects.write_all(b"ab").unwrap();
        let (ended, text) = read_to_end(expects).await;
        assert!(ended && text.contains("100 Continue") && answers(&text) == 1, "{text}");
        let (ended, text) = read_to_end(old).await;
        assert!(ended && text.contains("200 OK") && text.ends_with("done"), "{text}");
        let (ended, text) = read_to_end(short).await;
        assert!(ended && answers(&text) == 1, "{text}");
        until("none is open", || server.connections.is_empty()).await;
    });
}

/// A host on a small share of a core: hundreds of tasks are ready, each takes a millisecond, and the
/// look at the connections comes between them. A stop that went by connections known to carry a request ended
/// before an open one with an unread request had its turn.
#[test]
fn a_request_that_is_unread_on_a_slow_host_is_answered_before_the_end() {
    let (address, asked) = std::sync::mpsc::channel::<SocketAddr>();
    let caller = std::thread::spawn(move || {
        let mut kept = TcpStream::connect(asked.recv().unwrap()).unwrap();
        kept.set_read_timeout(Some(LONG)).unwrap();
        kept.write_all(REQUEST).unwrap();
        kept.read_exact(&mut [0]).unwrap();
        (kept, ())
    });
    let kept = net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        address.send(server.address).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        until("the caller has read", || caller.is_finished()).await;
        let (mut kept, ()) = caller.join().unwrap();
        Timer::after(Duration::from_millis(150)).await;
        for _ in 0..900 {
            tasks.spawn(async { std::thread::sleep(Duration::from_millis(1)) });
        }
        kept.write_all(REQUEST).unwrap();
        server.connections.close_idle();
        // The steps of the entry's stop from here on.
        let poll = Duration::from_millis(20);
        let none_open = || server.connections.active_count() == 0;
        loop {
            Timer::after(poll).await;
            if none_open() && server.connections.time_since_arrival() >= Duration::from_millis(100)
            {
                break;
            }
        }
        server.connections.close();
        let closed = std::time::Instant::now();
        loop {
            Timer::after(poll).await;
            if none_open() && closed.elapsed() >= Duration::from_millis(40) {
                break;
            }
        }
        println!("at the end: {:?}", server.connections.list());
        kept
    });
    let (mut kept, mut text) = (kept, String::new());
    let ended = kept.read_to_string(&mut text);
    assert_eq!(answers(&text), 1, "{ended:?} {text:?}");
}

/// A client that was held up in the midst of a request was told that its body had not come in time, while the
/// server still accepted connections and had the time to wait.
#[test]
fn a_slow_request_is_waited_for_while_the_server_accepts_connections() {
    net::block_on(|tasks| async move {
        let server = start(&tasks, Duration::ZERO, LIMITS);
        let mut body = client(&server);
        body.write_all(&REQUEST[..REQUEST.len() - 1]).unwrap();
        let mut head = client(&server);
        head.write_all(REQUEST).unwrap();
        until("it is idle", || server.connections.count(Phase::Idle) == 1).await;
        head.write_all(&REQUEST[..20]).unwrap();
        until("both are read", || server.connections.count(Phase::Reading) == 2).await;
        server.connections.close_idle();
        until("both have stopped", || server.connections.active_count() == 0).await;
        Timer::after(Duration::from_millis(50)).await;
        body.write_all(&REQUEST[REQUEST.len() - 1..]).unwrap();
        head.write_all(&REQUEST[20..]).unwrap();
        for (stream, expected) in [(body, 1), (head, 2)] {
            let (ended, text) = read_to_end(stream).await;
            assert!(ended && answers(&text) == expected, "{text}");
        }
    });
}
