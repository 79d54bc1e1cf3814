//! An HTTP/1.1 server that reads complete request bodies within limits and can shut down
//! gracefully.

use std::convert::Infallible;
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use thiserror::Error;

use crate::connections::ConnectionTracker;
use crate::tracked_stream::TrackedStream;
use crate::{Connections, Phase, Spawner, set_socket_options};

/// Delay before accepting again after an error or at the connection limit, to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// hyper's lower bound for the size of its read buffer, in bytes.
const MIN_HEADER_BYTES: usize = 8_192;
/// Default maximum size of a request's head, in bytes.
pub const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;

/// A complete response body.
pub type Body = Full<Bytes>;

/// Error while reading a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body exceeds [`Limits::max_body_bytes`].
    #[error("the body is too long")]
    TooLong,
    /// The body was not complete within [`Limits::read_timeout`], or the client stopped sending
    /// while the server was shutting down.
    #[error("the body did not come in time")]
    Timeout,
    /// The connection failed or the body was malformed.
    #[error("the body broke off")]
    Disconnected,
}

/// Resource limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request's head, and separately for its body.
    pub read_timeout: Duration,
    /// Maximum number of open connections; further ones wait in the listen queue.
    pub max_connections: usize,
}

/// Accepts connections forever and passes each request to `handler`. `limits` is called for each
/// new connection.
pub async fn serve<L, H, F>(listener: Async<TcpListener>, spawner: Spawner, limits: L, handler: H)
where
    L: Fn() -> Limits,
    H: Fn(Request<Result<Bytes, BodyError>>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_until_closed(listener, spawner, Rc::default(), limits, handler).await;
}

/// Like [`serve`], but registers open connections in `connections` and returns after
/// [`Connections::close`].
pub async fn serve_until_closed<L, H, F>(
    listener: Async<TcpListener>,
    spawner: Spawner,
    connections: Rc<Connections>,
    limits: L,
    handler: H,
) where
    L: Fn() -> Limits,
    H: Fn(Request<Result<Bytes, BodyError>>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let start_connection = |(stream, peer), limits| {
        let guard = connections.register(Some(peer));
        let (connections, handler) = (connections.clone(), handler.clone());
        spawner.spawn(async move {
            serve_connection(stream, &guard.tracker, &connections, limits, handler).await;
        });
    };
    let accept_loop = async {
        loop {
            let limits = limits();
            if connections.len() >= limits.max_connections {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            match listener.accept().await {
                Ok(connection) => start_connection(connection, limits),
                Err(_) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    accept_loop.or(connections.accepting_stopped()).await;
    // Closing the listener resets queued connections, which may already carry a request. Accepts
    // them first, even beyond the limit, since the queue is short.
    while let Some(Ok(connection)) = future::poll_once(listener.accept()).await {
        start_connection(connection, limits());
    }
}

async fn serve_connection<H, F>(
    stream: Async<TcpStream>,
    tracker: &Rc<ConnectionTracker>,
    connections: &Rc<Connections>,
    limits: Limits,
    handler: H,
) where
    H: Fn(Request<Result<Bytes, BodyError>>) -> F + Clone,
    F: Future<Output = Response<Body>>,
{
    set_socket_options(&stream);
    let stream = TrackedStream::new(stream, tracker.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let tracker = tracker.clone();
        async move {
            let (head, body) = request.into_parts();
            let client_stalled = async {
                connections.accepting_stopped().await;
                tracker.client_stalled().await;
                Err(BodyError::Timeout)
            };
            let body = read_body(body, limits).or(client_stalled).await;
            tracker.set_phase(Phase::Handling);
            let body_failed = body.is_err();
            let mut response = handler(Request::from_parts(head, body)).await;
            tracker.set_phase(Phase::Answering);
            // A connection with an unread rest of a body can't be reused.
            if body_failed || connections.is_keep_alive_stopped() {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BYTES))
        .timer(SmolTimer::new())
        .header_read_timeout(limits.read_timeout)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let completed = async {
        // An error here affects this client only.
        let _ = connection.as_mut().await;
        true
    };
    let shutdown_requested = async {
        connections.keep_alive_stopped().await;
        // hyper treats a connection with an incomplete head as idle, so it may only shut down
        // afterwards.
        tracker.no_request_incoming(connections).await;
        false
    };
    // `or` polls the connection first, so a request already in the socket buffer is read before an
    // idle connection closes; otherwise its client would get no response.
    if !completed.or(shutdown_requested).await {
        connection.as_mut().graceful_shutdown();
        // An error here affects this client only.
        let _ = connection.await;
    }
}

async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, BodyError> {
    let read = async {
        match Limited::new(body, limits.max_body_bytes).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
            Err(_) => Err(BodyError::Disconnected),
        }
    };
    let timed_out = async {
        Timer::after(limits.read_timeout).await;
        Err(BodyError::Timeout)
    };
    read.or(timed_out).await
}
