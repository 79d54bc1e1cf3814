//! Pooled connections that stop responding without a reset while new ones work. Guards against
//! retries over one dead pooled connection after another.

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

/// Pooled connections when the server stops responding on them.
const POOLED: usize = 4;
/// Timeout of a request that is expected to get no response.
const EXPECTED_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a request that is expected to get a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// State shared by the test server's threads and the test.
struct ServerState {
    /// Connections accepted so far.
    accepted: AtomicUsize,
    /// Connections closed by the client.
    closed: AtomicUsize,
    /// Connections with a lower number get no more responses.
    unresponsive_below: AtomicUsize,
    /// Holds back the first responses until all first requests have arrived, so that each request
    /// uses its own connection.
    first_requests: Barrier,
}

/// An HTTP server with empty responses that can stop responding on open connections.
struct TestServer {
    address: SocketAddr,
    state: Arc<ServerState>,
}

impl TestServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(ServerState {
            accepted: AtomicUsize::new(0),
            closed: AtomicUsize::new(0),
            unresponsive_below: AtomicUsize::new(0),
            first_requests: Barrier::new(POOLED),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
                let state = shared.clone();
                thread::spawn(move || respond(stream.unwrap(), number, &state));
            }
        });
        Self { address, state }
    }

    fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    fn closed(&self) -> usize {
        self.state.closed.load(Ordering::SeqCst)
    }

    /// Stops responding on connections with a number below `number`.
    fn stop_responding_below(&self, number: usize) {
        self.state.unresponsive_below.store(number, Ordering::SeqCst);
    }
}

/// Responds to the requests of one connection; keeps reading after it has stopped responding.
fn respond(mut stream: TcpStream, number: usize, state: &ServerState) {
    let mut head = Vec::new();
    let mut is_first = number < POOLED;
    let mut byte = [0];
    while stream.read(&mut byte).is_ok_and(|read| read == 1) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        if std::mem::take(&mut is_first) {
            state.first_requests.wait();
        }
        if number >= state.unresponsive_below.load(Ordering::SeqCst) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        }
    }
    state.closed.fetch_add(1, Ordering::SeqCst);
}

async fn send(client: &Client, timeout: Duration) -> Result<Reply, ClientError> {
    client.send(Method::GET, "/", HeaderMap::new(), Bytes::new(), timeout).await
}

/// Creates a client with `POOLED` idle connections.
async fn client_with_pool(server: &TestServer, spawner: Spawner) -> Client {
    let client = Client::new(server.address, spawner);
    let results = join_all((0..POOLED).map(|_| send(&client, RESPONSE_TIMEOUT))).await;
    assert!(results.iter().all(Result::is_ok), "{results:?}");
    assert_eq!(server.accepted(), POOLED);
    client
}

#[test]
fn after_a_timeout_older_pooled_connections_are_not_used() {
    let server = TestServer::start();
    block_on(|spawner| async {
        let client = client_with_pool(&server, spawner).await;
        server.stop_responding_below(POOLED);
        let first = send(&client, EXPECTED_TIMEOUT).await;
        assert!(matches!(first, Err(ClientError::Timeout)), "{first:?}");
        let second = send(&client, RESPONSE_TIMEOUT).await;
        assert!(second.is_ok(), "no response over a new connection: {second:?}");
        assert_eq!(server.accepted(), POOLED + 1);
    });
}

#[test]
fn pooled_connections_are_closed_after_a_timeout() {
    let server = TestServer::start();
    block_on(|spawner| async {
        let client = client_with_pool(&server, spawner).await;
        server.stop_responding_below(POOLED);
        let first = send(&client, EXPECTED_TIMEOUT).await;
        assert!(matches!(first, Err(ClientError::Timeout)), "{first:?}");
        let mut checks = 0;
        while server.closed() < POOLED {
            checks += 1;
            assert!(checks < 1_000, "only {} of {POOLED} connections were closed", server.closed());
            Timer::after(CHECK_INTERVAL).await;
        }
    });
}

#[test]
fn a_connection_with_a_response_after_the_timed_out_request_is_kept() {
    let server = TestServer::start();
    block_on(|spawner| async {
        let client = client_with_pool(&server, spawner).await;
        // The client reuses the most recently returned connection first.
        server.stop_responding_below(1);
        let mut timeouts = 0;
        for _ in 0..POOLED {
            // Concurrent requests use all connections: one gets no response, the others get theirs
            // after it was sent.
            let results = join_all((0..POOLED).map(|_| send(&client, EXPECTED_TIMEOUT))).await;
            timeouts += results.iter().filter(|result| result.is_err()).count();
        }
        assert_eq!(timeouts, 1);
        assert_eq!(
            server.accepted(),
            POOLED + 1,
            "more than the unresponsive connection was replaced"
        );
    });
}
