//! An HTTP/1.1 client for one address, with a pool of keep-alive connections.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use clock::BootInstant;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use model::Verdict;
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use crate::{Spawner, connect};

/// Maximum size of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 32 * 1024 * 1024;

/// Error of a request that got no complete response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// Connecting or the HTTP handshake failed; the request was not sent.
    #[error("can't connect: {0}")]
    Connect(#[source] io::Error),
    /// The path or the host header is invalid; the request was not sent.
    #[error("not a request: {0}")]
    InvalidRequest(String),
    /// The connection failed after at least a part of the request was sent, or the response was
    /// invalid or too long.
    #[error("broke off: {0}")]
    Disconnected(String),
    /// No complete response arrived within the timeout.
    #[error("no answer in time")]
    Timeout,
}

impl ClientError {
    /// Whether the connection was refused: nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the server may have processed the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::InvalidRequest(_) => Verdict::NotRun,
            Self::Disconnected(_) | Self::Timeout => Verdict::MayHaveRun,
        }
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// An idle keep-alive connection.
struct IdleConnection {
    sender: Sender,
    /// When its last response was complete.
    last_response_at: BootInstant,
}

/// A client of one address, with one connection for each concurrent request.
///
/// Open connections may stop responding for good while new ones work. When a request over a pooled
/// connection times out, the client therefore also closes every idle connection that has completed
/// no response since that request was sent. It never retries a request that was sent.
pub struct Client {
    address: SocketAddr,
    spawner: Spawner,
    idle: RefCell<Vec<IdleConnection>>,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub fn new(address: SocketAddr, spawner: Spawner) -> Self {
        Self { address, spawner, idle: RefCell::new(Vec::new()) }
    }

    /// Sends a request and waits up to `timeout` for its complete response.
    ///
    /// A request is never sent twice. If a pooled connection has closed and hyper returns the
    /// request unsent, it goes to another connection.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, ClientError> {
        let request = self.build_request(method, path, headers, body)?;
        let pooled_send_time = Cell::new(None);
        let timed_out = async {
            Timer::after(timeout).await;
            Err(ClientError::Timeout)
        };
        let result = self.exchange(request, &pooled_send_time).or(timed_out).await;
        if let (Err(ClientError::Timeout), Some(sent_at)) = (&result, pooled_send_time.get()) {
            self.idle.borrow_mut().retain(|idle| idle.last_response_at >= sent_at);
        }
        result
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let invalid = |error: String| ClientError::InvalidRequest(error);
        let uri: Uri = path.parse().map_err(|error| invalid(format!("{error}")))?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&self.address.to_string())
            .map_err(|error| invalid(format!("{error}")))?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }

    /// Sends a request and reads its response. `pooled_send_time` is set to the time of sending if
    /// the connection came from the pool: a timeout on a new connection says nothing about pooled
    /// ones.
    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        pooled_send_time: &Cell<Option<BootInstant>>,
    ) -> Result<Reply, ClientError> {
        loop {
            let idle_connection = self.idle.borrow_mut().pop();
            let is_pooled = idle_connection.is_some();
            pooled_send_time.set(is_pooled.then(BootInstant::now));
            let mut sender = match idle_connection {
                Some(idle_connection) => idle_connection.sender,
                None => self.open_connection().await?,
            };
            match sender.try_send_request(request).await {
                Ok(response) => return self.read_response(sender, response).await,
                Err(mut error) => match error.take_message().filter(|_| is_pooled) {
                    Some(unsent_request) => request = unsent_request,
                    None => return Err(ClientError::Disconnected(error.into_error().to_string())),
                },
            }
        }
    }

    async fn open_connection(&self) -> Result<Sender, ClientError> {
        let stream = connect(self.address).await.map_err(ClientError::Connect)?;
        let (sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| ClientError::Connect(io::Error::other(error)))?;
        let connection_task = async move {
            // Errors reach the requests on the connection.
            let _ = connection.await;
        };
        self.spawner.spawn(connection_task);
        Ok(sender)
    }

    async fn read_response(
        &self,
        sender: Sender,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<Reply, ClientError> {
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, RESPONSE_BYTES_MAX)
            .collect()
            .await
            .map_err(|error| ClientError::Disconnected(error.to_string()))?;
        if sender.is_ready() || !sender.is_closed() {
            self.idle
                .borrow_mut()
                .push(IdleConnection { sender, last_response_at: BootInstant::now() });
        }
        Ok(Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            body: collected.to_bytes(),
        })
    }
}
