//! An HTTP/1.1 server that reads whole bodies within limits.

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

use crate::connections::Tracker;
use crate::tracked::Tracked;
use crate::{Connections, Phase, Spawner, set_socket_options};

/// Pause after an accept failed, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The shortest limit of a head that can be set.
const MIN_HEADER_BYTES: usize = 8_192;
/// Longest head where no limit is set.
pub const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;

/// A whole body.
pub type Body = Full<Bytes>;

/// Why a request's body could not be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than the limit.
    #[error("the body is too long")]
    TooLong,
    /// It did not come in time.
    #[error("the body did not come in time")]
    Timeout,
    /// The connection broke.
    #[error("the body broke off")]
    Disconnected,
}

/// What a client may take of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request's head, and again for its body.
    pub read_timeout: Duration,
    /// Most open connections; more wait to be accepted.
    pub max_connections: usize,
}

/// Accepts connections for ever and answers each request by `handler`. The limits are asked for at
/// each connection.
pub async fn serve<L, H, F>(listener: Async<TcpListener>, tasks: Spawner, limits: L, handler: H)
where
    L: Fn() -> Limits,
    H: Fn(Request<Result<Bytes, BodyError>>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_until_closed(listener, tasks, Rc::default(), limits, handler).await;
}

/// The same, with a list of the open connections, until it is closed by them.
pub async fn serve_until_closed<L, H, F>(
    listener: Async<TcpListener>,
    tasks: Spawner,
    connections: Rc<Connections>,
    limits: L,
    handler: H,
) where
    L: Fn() -> Limits,
    H: Fn(Request<Result<Bytes, BodyError>>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let take = |(stream, peer), limits| {
        let listed = connections.open(Some(peer));
        let (connections, handler) = (connections.clone(), handler.clone());
        tasks.spawn(async move {
            serve_connection(stream, &listed.tracker, &connections, limits, handler).await;
        });
    };
    let accept = async {
        loop {
            let limits = limits();
            if connections.len() >= limits.max_connections {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
            match listener.accept().await {
                Ok(accepted) => take(accepted, limits),
                Err(_) => {
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    accept.or(connections.no_more_accepted()).await;
    // What waits to be accepted is reset when the listener closes, with a request in it perhaps. The queue
    // is short, so the limit may be exceeded by it.
    while let Some(Ok(accepted)) = future::poll_once(listener.accept()).await {
        take(accepted, limits());
    }
}

async fn serve_connection<H, F>(
    stream: Async<TcpStream>,
    tracker: &Rc<Tracker>,
    connections: &Rc<Connections>,
    limits: Limits,
    handler: H,
) where
    H: Fn(Request<Result<Bytes, BodyError>>) -> F + Clone,
    F: Future<Output = Response<Body>>,
{
    set_socket_options(&stream);
    let stream = Tracked::new(stream, tracker.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let tracker = tracker.clone();
        async move {
            let (head, body) = request.into_parts();
            let stopped = async {
                connections.no_more_accepted().await;
                tracker.stalled().await;
                Err(BodyError::Timeout)
            };
            let body = read_body(body, limits).or(stopped).await;
            tracker.enter(Phase::Handling);
            let broken = body.is_err();
            let mut response = handler(Request::from_parts(head, body)).await;
            tracker.enter(Phase::Answering);
            // With the rest of a body unread the connection can't be used again.
            if broken || connections.keeps_none() {
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
    let over = async {
        // A client that goes away is no concern of the others.
        let _ = connection.as_mut().await;
        true
    };
    let closes = async {
        connections.no_more_kept().await;
        // hyper takes a connection with a part of a head for an idle one.
        tracker.nothing_comes(connections).await;
        false
    };
    // `or` asks the connection first: a request that has reached the host is read before an idle
    // connection is closed, which would leave its client without an answer.
    if !over.or(closes).await {
        connection.as_mut().graceful_shutdown();
        // As above.
        let _ = connection.await;
    }
}

async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, BodyError> {
    let read = async {
        match Limited::new(body, limits.max_body_bytes).collect().await {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
            Err(_) => Err(BodyError::Disconnected),
        }
    };
    let late = async {
        Timer::after(limits.read_timeout).await;
        Err(BodyError::Timeout)
    };
    read.or(late).await
}
