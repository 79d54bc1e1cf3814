//! The tests' own client while its process is suspended, as by a host that saves or migrates it.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::thread;
use std::time::Duration;

use support::keep_alive::{KeepAliveConnection, job_request};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
/// Timeout for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Suspends this process and resumes it.
fn suspend() {
    let own = std::process::id();
    let script = format!("sleep 0.2; kill -STOP {own}; sleep 0.1; kill -CONT {own}");
    let ended = Command::new("sh").args(["-c", &script]).status().expect("a shell runs");
    assert!(ended.success());
}

/// Guards against a client that takes the `EINTR` of a timed read after a suspension for the end of
/// the connection.
#[test]
fn a_client_suspended_while_waiting_reads_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        suspend();
        stream.write_all(ANSWER).expect("the client is connected");
        // Keeps the connection open until the client has read the answer.
        stream
    });
    let mut connection =
        KeepAliveConnection::open(address).expect("the address accepts connections");
    let answer = connection
        .request(&job_request(1, 1, 20, 20), ANSWER_TIMEOUT)
        .expect("the request is answered");
    assert_eq!((answer.status, answer.body.as_str()), (200, "{}"));
    drop(server.join().expect("the server thread does not panic"));
}
