//! An HTTP/1.1 client for one address, with connections kept open between requests.

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

/// Longest answer taken, in bytes.
const ANSWER_BYTES_MAX: usize = 32 * 1024 * 1024;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection: the request was not sent.
    #[error("can't connect: {0}")]
    Connect(#[source] io::Error),
    /// The request could not be made: it was not sent.
    #[error("not a request: {0}")]
    InvalidRequest(String),
    /// The connection broke after the request was sent, in part or whole.
    #[error("broke off: {0}")]
    Disconnected(String),
    /// No whole answer came in time.
    #[error("no answer in time")]
    Timeout,
}

impl ClientError {
    /// Whether nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the other side may have acted on the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::InvalidRequest(_) => Verdict::NotRun,
            Self::Disconnected(_) | Self::Timeout => Verdict::MayHaveRun,
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that waits for the next request.
struct Kept {
    sender: Sender,
    /// When the last answer came over it: it was well then.
    answered: BootInstant,
}

/// A client of one address. It has as many connections as requests at once.
///
/// Open connections may go silent for good while new ones work. So a request without an answer in
/// time takes down, besides its own connection, those that have not answered since it was sent; the
/// next request opens a new one. Which requests are sent again is up to the caller.
pub struct Client {
    address: SocketAddr,
    tasks: Spawner,
    idle: RefCell<Vec<Kept>>,
}

impl Client {
    /// A client without connections yet.
    pub fn new(address: SocketAddr, tasks: Spawner) -> Self {
        Self { address, tasks, idle: RefCell::new(Vec::new()) }
    }

    /// Sends a request and waits for its whole answer.
    ///
    /// A request is never sent twice: one that a kept connection could not take, which hyper
    /// hands back unsent, goes to another connection.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        time: Duration,
    ) -> Result<Reply, ClientError> {
        let request = self.request(method, path, headers, body)?;
        let given_to_kept = Cell::new(None);
        let late = async {
            Timer::after(time).await;
            Err(ClientError::Timeout)
        };
        let answer = self.exchange(request, &given_to_kept).or(late).await;
        if let (Err(ClientError::Timeout), Some(sent)) = (&answer, given_to_kept.get()) {
            self.idle.borrow_mut().retain(|kept| kept.answered >= sent);
        }
        answer
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let bad = |error: String| ClientError::InvalidRequest(error);
        let uri: Uri = path.parse().map_err(|error| bad(format!("{error}")))?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&self.address.to_string())
            .map_err(|error| bad(format!("{error}")))?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }

    /// Sends a request and reads its answer. When it went to a kept connection is noted: one without
    /// an answer on a new connection tells nothing of the others.
    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        given_to_kept: &Cell<Option<BootInstant>>,
    ) -> Result<Reply, ClientError> {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let was_kept = kept.is_some();
            given_to_kept.set(was_kept.then(BootInstant::now));
            let mut sender = match kept {
                Some(kept) => kept.sender,
                None => self.open().await?,
            };
            match sender.try_send_request(request).await {
                Ok(response) => return self.read(sender, response).await,
                Err(mut error) => match error.take_message().filter(|_| was_kept) {
                    Some(unsent) => request = unsent,
                    None => return Err(ClientError::Disconnected(error.into_error().to_string())),
                },
            }
        }
    }

    async fn open(&self) -> Result<Sender, ClientError> {
        let stream = connect(self.address).await.map_err(ClientError::Connect)?;
        let (sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| ClientError::Connect(io::Error::other(error)))?;
        let drive = async move {
            // Its requests see why it ended.
            let _ = connection.await;
        };
        self.tasks.spawn(drive);
        Ok(sender)
    }

    async fn read(
        &self,
        sender: Sender,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<Reply, ClientError> {
        let (head, body) = response.into_parts();
        let whole = Limited::new(body, ANSWER_BYTES_MAX)
            .collect()
            .await
            .map_err(|error| ClientError::Disconnected(error.to_string()))?;
        if sender.is_ready() || !sender.is_closed() {
            self.idle.borrow_mut().push(Kept { sender, answered: BootInstant::now() });
        }
        Ok(Reply { status: head.status.as_u16(), headers: head.headers, body: whole.to_bytes() })
    }
}
