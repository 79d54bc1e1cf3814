//! Reads request bodies into one buffer, within the limits of the server and of the process.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use thiserror::Error;

use crate::Limits;
use crate::client_limits::{LimitReason, Refused};
use crate::client_progress::SMALL_BYTES;
use crate::clients::Hold;
use crate::connections::ConnectionTracker;
use crate::server::ServerState;
use crate::turns::Turn;

/// Capacity of the buffer for the first bytes of a body of unknown length.
const INITIAL_CAPACITY: usize = 1_024;
/// How long the rest of a small body is awaited that the handler has not read, so that the
/// connection can be used again.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Error while reading a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body exceeds [`Limits::max_body_bytes`].
    #[error("the body is too long")]
    TooLong,
    /// The body was not complete within [`Limits::body_timeout`], or the client stopped sending
    /// while the server was shutting down.
    #[error("the body did not come in time")]
    Timeout,
    /// The connection failed or the body was malformed.
    #[error("the body broke off")]
    Disconnected,
    /// The process has no memory left for the body, or needs it for other clients.
    #[error("too many clients send large requests")]
    Refused,
}

impl From<Refused> for BodyError {
    fn from(_: Refused) -> Self {
        Self::Refused
    }
}

/// A complete body. Its bytes count as held for the client until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Vec<u8>,
    hold: Hold,
    /// The turn in which a large body is parsed.
    turn: Option<Turn>,
}

impl HeldBody {
    /// Replaces the body with what was made of it, which holds this many bytes.
    ///
    /// # Errors
    ///
    /// Fails if the memory for clients doesn't suffice.
    pub fn replace(self, bytes: u64) -> Result<Hold, Refused> {
        let Self { bytes: body, mut hold, turn: _turn } = self;
        drop(body);
        hold.resize(bytes)?;
        Ok(hold)
    }
}

impl Deref for HeldBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of a request. Nothing of it is read before [`Self::read`], so that a request whose head
/// decides the answer costs no memory.
#[derive(Debug)]
pub struct RequestBody {
    /// Taken by the first reader; shared with the server, which discards what nobody reads.
    incoming: Rc<RefCell<Option<Incoming>>>,
    server: Rc<ServerState>,
    tracker: Rc<ConnectionTracker>,
    limits: Limits,
}

/// The server's access to the body of a request that it has passed to the handler.
pub(crate) struct UnreadBody {
    incoming: Rc<RefCell<Option<Incoming>>>,
    tracker: Rc<ConnectionTracker>,
    expects_continue: bool,
}

impl RequestBody {
    pub(crate) fn new(
        incoming: Incoming,
        expects_continue: bool,
        server: Rc<ServerState>,
        tracker: Rc<ConnectionTracker>,
        limits: Limits,
    ) -> (Self, UnreadBody) {
        let incoming = Rc::new(RefCell::new(Some(incoming)));
        let unread =
            UnreadBody { incoming: incoming.clone(), tracker: tracker.clone(), expects_continue };
        (Self { incoming, server, tracker, limits }, unread)
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, doesn't arrive in time, breaks off, or if the process has no
    /// memory left for it. After an error the connection closes with the answer.
    pub async fn read(self) -> Result<HeldBody, BodyError> {
        // Only the server takes it otherwise, after the handler has ended.
        let Some(mut incoming) = self.incoming.borrow_mut().take() else {
            return Err(BodyError::Disconnected);
        };
        self.tracker.start_body();
        let limits = self.limits;
        let timed_out = async {
            Timer::after(limits.body_timeout).await;
            self.tracker.slot.count_refused(LimitReason::BodyTimeout);
            Err(BodyError::Timeout)
        };
        let client_stalled = async {
            self.server.connections.accepting_stopped().await;
            self.tracker.client_stalled().await;
            Err(BodyError::Timeout)
        };
        let gave_way = async {
            self.tracker.slot.closed().await;
            Err(BodyError::Refused)
        };
        let read = read_within(&mut incoming, limits.max_body_bytes, &self.tracker);
        let mut result = read.or(timed_out).or(client_stalled).or(gave_way).await;
        self.tracker.end_body();
        if self.tracker.slot.is_closed() {
            // The connection closes soon; its request must not be passed on.
            result = Err(BodyError::Refused);
        }
        if result.is_err() {
            self.tracker.set_body_unread();
        }
        let mut body = result?;
        if body.bytes.len() as u64 > SMALL_BYTES {
            // Parsing large bodies takes time, so other requests get their turn between two of them.
            body.turn = self.server.large_bodies.take().await;
            if body.turn.is_none() {
                self.tracker.slot.count_refused(LimitReason::LargeRate);
                return Err(BodyError::Refused);
            }
        }
        Ok(body)
    }
}

/// Copies the body into a buffer that grows as bytes arrive. The pieces of a body can't be kept:
/// each refers to a read buffer that is far larger than a short chunk.
async fn read_within(
    incoming: &mut Incoming,
    max_bytes: usize,
    tracker: &ConnectionTracker,
) -> Result<HeldBody, BodyError> {
    let size = incoming.size_hint();
    let announced = usize::try_from(size.exact().unwrap_or(0)).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(BodyError::TooLong);
    }
    let mut body = HeldBody { bytes: Vec::new(), hold: tracker.slot.hold(0)?, turn: None };
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Disconnected)?.into_data() else { continue };
        let length = body.bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if length > body.bytes.capacity() {
            let capacity = (2 * body.bytes.capacity()).max(length).max(INITIAL_CAPACITY);
            let capacity = if announced > 0 { capacity.min(announced) } else { capacity };
            let capacity = capacity.min(max_bytes);
            body.hold.resize(capacity as u64)?;
            body.bytes.reserve_exact(capacity - body.bytes.len());
        }
        body.bytes.extend_from_slice(&data);
    }
    Ok(body)
}

impl UnreadBody {
    /// Whether the handler has not begun to read the body.
    pub fn is_untouched(&self) -> bool {
        self.incoming.borrow().is_some()
    }

    /// Discards a small body that the handler has not read. Returns whether the connection can be
    /// used again.
    pub async fn discard(self) -> bool {
        // Without the body, the handler's read has failed or succeeded.
        let Some(mut incoming) = self.incoming.borrow_mut().take() else {
            return !self.tracker.is_body_unread();
        };
        if incoming.is_end_stream() {
            return true;
        }
        let is_small = incoming.size_hint().exact().is_some_and(|bytes| bytes <= SMALL_BYTES);
        let discarded = async {
            while let Some(frame) = incoming.frame().await {
                if frame.is_err() {
                    return false;
                }
            }
            true
        };
        let timed_out = async {
            Timer::after(DISCARD_TIMEOUT).await;
            false
        };
        let complete = is_small && !self.expects_continue && discarded.or(timed_out).await;
        if !complete {
            self.tracker.set_body_unread();
        }
        complete
    }
}
