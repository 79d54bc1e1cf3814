//! An HTTP/1.1 server that keeps its connections within limits and can shut down gracefully.

use std::convert::Infallible;
use std::future::Future;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use clock::BootInstant;
use futures_lite::{AsyncReadExt, FutureExt, future};
use http_body_util::Full;
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;

use crate::body::RequestBody;
use crate::client_limits::ServerLimits;
use crate::client_progress::{SMALL_BYTES, Stage};
use crate::clients::Clients;
use crate::connections::{ConnectionGuard, ConnectionTracker};
use crate::tracked_stream::TrackedStream;
use crate::turns::{PacedTurns, Turn, Turns};
use crate::{Connections, Phase, Spawner, set_socket_options};

/// Delay before accepting again after an error, to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections accepted in a row before other tasks get their turn.
const MAX_ACCEPTS_IN_A_ROW: usize = 128;
/// Length of the queue of connections that are not accepted yet. A connection beyond it is delayed
/// by seconds, as its first packet is lost.
const LISTEN_QUEUE: i32 = 1_024;
/// Bounds of the interval at which expired connections are closed.
const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a timer beyond which the process counts as paused.
const MAX_OVERSLEEP: Duration = Duration::from_millis(300);
/// Time for the refusal of a request whose connection has to give way.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Answers above this size close the connection, as its write buffer keeps their size.
const MAX_KEPT_ANSWER_BYTES: u64 = 64 * 1024;
/// `Retry-After` in seconds while the memory for clients is used up.
const REFUSED_RETRY_AFTER: u64 = 1;

/// hyper's lower bound for the size of its read buffer, in bytes.
const MIN_HEADER_BYTES: usize = 8_192;
/// Default maximum size of a request's head, in bytes.
pub const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Default size of a connection's socket buffers. Fixed, as buffers that grow by themselves hold
/// many times of what the process holds.
pub const DEFAULT_SOCKET_BUFFER_BYTES: usize = 16 * 1024;

/// A complete response body.
pub type Body = Full<Bytes>;

/// Resource limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Timeout for reading a request's body.
    pub body_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of open connections. At the maximum, connections without a request give way
    /// to new ones.
    pub max_connections: usize,
    /// Size of each connection's receive buffer and of its send buffer, in bytes.
    pub socket_buffer_bytes: usize,
}

/// Requests of clients that send ahead, without waiting for answers, which are handled at a time.
const MAX_REQUESTS_AHEAD: usize = 8;

/// Connections on which the rest of a request is discarded at a time. Further ones are reset, as
/// clients that go on sending would take all of the processor.
const MAX_DISCARDS: usize = 16;

/// What the connections of a server share.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub connections: Rc<Connections>,
    /// Taken to parse a large body.
    pub large_bodies: PacedTurns,
    /// Taken to handle a request that was sent before the last answer was written.
    requests_ahead: Turns,
    /// Taken to discard the rest of a request after its answer.
    discards: Turns,
}

impl Limits {
    fn connection_limits(&self) -> ServerLimits {
        ServerLimits {
            max_connections: self.max_connections,
            head_timeout: self.head_timeout,
            idle_timeout: self.idle_timeout,
        }
    }
}

/// Accepts connections forever and passes each request to `handler`. `limits` is called for each
/// new connection; `clients` are those of the process.
pub async fn serve<L, H, F>(
    listener: Async<TcpListener>,
    spawner: Spawner,
    clients: Clients,
    limits: L,
    handler: H,
) where
    L: Fn() -> Limits,
    H: Fn(Request<RequestBody>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_until_closed(listener, spawner, clients, Rc::default(), limits, handler).await;
}

/// Like [`serve`], but registers open connections in `connections` and returns after
/// [`Connections::close`].
pub async fn serve_until_closed<L, H, F>(
    listener: Async<TcpListener>,
    spawner: Spawner,
    clients: Clients,
    connections: Rc<Connections>,
    limits: L,
    handler: H,
) where
    L: Fn() -> Limits,
    H: Fn(Request<RequestBody>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    set_listener_options(&listener, limits().socket_buffer_bytes);
    let handler = Rc::new(handler);
    let state = Rc::new(ServerState {
        connections: connections.clone(),
        large_bodies: PacedTurns::new(clients.limits().large_body_interval),
        requests_ahead: Turns::new(MAX_REQUESTS_AHEAD),
        discards: Turns::new(MAX_DISCARDS),
    });
    let server = clients.add_server();
    let start_connection = |(stream, peer): (Async<TcpStream>, SocketAddr)| {
        let limits = limits();
        let slot = clients.open(server, limits.connection_limits());
        let guard = connections.register(Some(peer), slot);
        spawner.spawn(serve_connection(stream, guard, state.clone(), limits, handler.clone()));
    };
    let accept_loop = async {
        let mut accepted = 0;
        loop {
            // With a request in each connection, further ones wait in the listen queue.
            let limits = limits().connection_limits();
            if !clients.can_open(server, limits) {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            match listener.accept().await {
                Ok(connection) => start_connection(connection),
                Err(_) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
            accepted += 1;
            // A new connection is read before it may have to give way to newer ones.
            if accepted >= MAX_ACCEPTS_IN_A_ROW.min(limits.max_connections / 4) {
                accepted = 0;
                future::yield_now().await;
            }
        }
    };
    let close_expired = close_expired_connections(&clients, &connections);
    accept_loop.or(close_expired).or(connections.accepting_stopped()).await;
    // Closing the listener resets queued connections, which may already carry a request. Accepts
    // them first, even beyond the limit, since the queue is short.
    while let Some(Ok(connection)) = future::poll_once(listener.accept()).await {
        start_connection(connection);
    }
}

/// Sets the length of a listener's queue, and the size of the buffers of the connections that it
/// accepts.
fn set_listener_options(listener: &Async<TcpListener>, buffer_bytes: usize) {
    let socket = SockRef::from(listener.get_ref());
    // Without these options, the system chooses the sizes.
    let _ = socket.set_recv_buffer_size(buffer_bytes);
    let _ = socket.set_send_buffer_size(buffer_bytes);
    let _ = socket.listen(LISTEN_QUEUE);
}

/// Closes connections whose time is over, while the server has any.
async fn close_expired_connections(clients: &Clients, connections: &Connections) {
    loop {
        connections.wait_until_open().await;
        let next = clients.close_expired().unwrap_or(MAX_EXPIRY_INTERVAL);
        let mut interval = next.clamp(MIN_EXPIRY_INTERVAL, MAX_EXPIRY_INTERVAL);
        while sleeps_too_long(interval).await {
            interval = MIN_EXPIRY_INTERVAL;
        }
    }
}

/// Sleeps; returns whether the process was paused meanwhile. What clients have sent during a pause
/// has to be read before their time is judged.
async fn sleeps_too_long(interval: Duration) -> bool {
    let started = BootInstant::now();
    Timer::after(interval).await;
    started.elapsed() > interval + MAX_OVERSLEEP
}

async fn serve_connection<H, F>(
    stream: Async<TcpStream>,
    guard: ConnectionGuard,
    state: Rc<ServerState>,
    limits: Limits,
    handler: Rc<H>,
) where
    H: Fn(Request<RequestBody>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    set_socket_options(&stream);
    let tracker = guard.tracker.clone();
    let http = async {
        if wait_for_request(&stream, &tracker, &state.connections).await {
            // Allocated only now, as most of a connection's memory is here.
            Box::pin(serve_http(stream, guard, state, limits, handler)).await;
        }
    };
    let has_to_close = async {
        tracker.slot.closed().await;
        if tracker.is_reading_body() || tracker.is_body_unread() {
            // The handler refuses the request.
            Timer::after(REFUSAL_TIMEOUT).await;
        }
    };
    http.or(has_to_close).await;
}

/// Waits for the first byte of a request; returns false if none comes.
async fn wait_for_request(
    stream: &Async<TcpStream>,
    tracker: &ConnectionTracker,
    connections: &Connections,
) -> bool {
    let received = async { matches!(stream.peek(&mut [0]).await, Ok(bytes) if bytes > 0) };
    received.or(shutdown_requested(tracker, connections)).await
}

/// Waits until the server closes idle connections and no request is on its way on this one; returns
/// false. hyper treats a connection with an incomplete head as idle, so it may shut down only then.
async fn shutdown_requested(tracker: &ConnectionTracker, connections: &Connections) -> bool {
    connections.keep_alive_stopped().await;
    tracker.no_request_incoming(connections).await;
    false
}

/// Serves the requests of a connection.
async fn serve_http<H, F>(
    stream: Async<TcpStream>,
    guard: ConnectionGuard,
    state: Rc<ServerState>,
    limits: Limits,
    handler: Rc<H>,
) where
    H: Fn(Request<RequestBody>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let tracker = guard.tracker.clone();
    let connections = state.connections.clone();
    let (service_state, service_tracker) = (state.clone(), tracker.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let (state, tracker) = (service_state.clone(), service_tracker.clone());
        Box::pin(async move {
            let response = answer(request, state, tracker, limits, &*handler).await;
            Ok::<_, Infallible>(response)
        })
    });
    let stream = TrackedStream::new(stream, tracker.clone());
    let mut connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(FuturesIo::new(stream), service);
    let completed = async {
        // An error here affects this client only.
        let _ = future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
        true
    };
    // `or` polls the connection first, so a request already in the socket buffer is read before an
    // idle connection closes; otherwise its client would get no response.
    if !completed.or(shutdown_requested(&tracker, &connections)).await {
        if tracker.is_head_stalled() {
            return;
        }
        Pin::new(&mut connection).graceful_shutdown();
        // An error here affects this client only.
        let _ = future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    }
    drop(guard);
    // Only the stream remains; the buffers of the connection are freed.
    let stream = connection.into_parts().io.into_inner().into_inner();
    if tracker.is_body_unread()
        && let Some(_turn) = state.discards.try_take()
    {
        tracker.slot.set_stage(Stage::Closing);
        discard_rest(stream).await;
    }
}

/// Passes a request to the handler and returns its response.
async fn answer<H, F>(
    request: Request<Incoming>,
    state: Rc<ServerState>,
    tracker: Rc<ConnectionTracker>,
    limits: Limits,
    handler: &H,
) -> Response<Body>
where
    H: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Response<Body>>,
{
    let sent_ahead = tracker.record_head();
    let is_read = request.method() == Method::GET;
    let (head, incoming) = request.into_parts();
    let expects_continue = head.headers.contains_key(EXPECT);
    if incoming.is_end_stream() {
        tracker.set_phase(Phase::Handling);
    }
    if tracker.slot.is_closed() {
        // The connection is dropped; its request must not be passed on.
        return future::pending().await;
    }
    let (body, unread) =
        RequestBody::new(incoming, expects_continue, state.clone(), tracker.clone(), limits);
    let _turn = wait_for_turn(&state, &tracker, sent_ahead).await;
    let mut handling = pin!(handler(Request::from_parts(head, body)));
    let mut response = match future::poll_once(&mut handling).await {
        Some(response) => response,
        None => {
            // A handler that waits for something else doesn't read the body.
            if unread.is_untouched() {
                tracker.set_phase(Phase::Handling);
            }
            handling.await
        }
    };
    let is_reusable = unread.discard().await;
    tracker.set_phase(Phase::Answering);
    let size = response.body().size_hint().exact().unwrap_or(0);
    if size > SMALL_BYTES {
        match tracker.slot.hold(size) {
            Ok(hold) => tracker.hold_answer(hold),
            // The answer to anything else says what was done, so it can't be replaced.
            Err(_) if is_read => response = refusal(),
            Err(_) => {}
        }
    }
    if !is_reusable || state.connections.is_keep_alive_stopped() || size > MAX_KEPT_ANSWER_BYTES {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Waits for the turn of a request that was sent ahead. Clients that wait for their answers have
/// one request at a time, and need no turn.
async fn wait_for_turn(
    state: &ServerState,
    tracker: &ConnectionTracker,
    sent_ahead: bool,
) -> Option<Turn> {
    if !sent_ahead {
        return None;
    }
    tracker.set_phase(Phase::Handling);
    let turn = async { Some(state.requests_ahead.take().await) };
    let stopping = async {
        state.connections.keep_alive_stopped().await;
        None
    };
    turn.or(stopping).await
}

/// The response to a read whose answer there is no memory for.
fn refusal() -> Response<Body> {
    let mut response = Response::new(Body::from("too many clients wait for large answers\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(REFUSED_RETRY_AFTER));
    response
}

/// Ends the answer, and discards what the client still sends until it closes the connection.
/// Closing a socket with unread bytes resets the connection, and the client might lose the answer.
async fn discard_rest(mut stream: Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut buffer = [0; 4_096];
    while matches!(stream.read(&mut buffer).await, Ok(bytes) if bytes > 0) {
        future::yield_now().await;
    }
}
