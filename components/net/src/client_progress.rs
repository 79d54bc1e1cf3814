//! What the progress of one connection says about its client, without I/O.

use std::time::Duration;

use model::Time;

use crate::client_limits::{ClientLimits, LimitReason, ServerLimits};
use crate::client_table::ServerId;

/// The progress of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing was received yet.
    New,
    /// A part of a request's head was received.
    Head,
    /// The head was received, and the body is being read.
    Body,
    /// The request is being handled.
    Handling,
    /// The answer is being written.
    Answering,
    /// The last answer was written.
    Idle,
    /// The last answer was written, and what the client still sends is discarded.
    Closing,
}

/// Memory of a connection without any received bytes: its task and its socket's entry.
const NEW_CONNECTION_BYTES: u64 = 4 * 1024;
/// Memory of a connection between two requests: the state of HTTP and a small read buffer.
const IDLE_CONNECTION_BYTES: u64 = 16 * 1024;
/// Memory of a connection within a request: also a full read buffer and what waits in the socket.
const BUSY_CONNECTION_BYTES: u64 = 40 * 1024;
/// Up to this size, the body, job or answer of a connection may use all of the clients' memory.
pub const SMALL_BYTES: u64 = 16 * 1024;
/// A connection gives way to others if its client has not sent the head of a request, or not read
/// an answer, for this time. Longer than the round trips of an ordinary client.
const CLIENT_PATIENCE: Duration = Duration::from_millis(300);
/// A body that arrives more slowly counts as slow, in bytes per second.
const SLOW_BODY_RATE: f64 = 16.0 * 1024.0;
/// How long the rest of an unread request is discarded.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(1);

/// What speaks for closing a connection, the weakest evidence first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Evidence {
    /// It is kept open between requests.
    Idle,
    /// The rest of its request may still be on the way.
    RequestExpected,
    /// Its body is large. This counts only against small requests.
    Large,
    /// Its body is small and takes longer than that of an ordinary client.
    LongBody,
    /// Its body arrives slowly.
    SlowBody,
    /// Its request has not arrived although an ordinary client would have sent it.
    RequestMissing,
    /// Its body has stopped arriving.
    StalledBody,
    /// Its answer is not read.
    UnreadAnswer,
    /// Its last answer was written.
    Closing,
}

/// The connections of a server that may have to give way, by what the server waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Queue {
    Head,
    Body,
    Answer,
    Idle,
    Closing,
}

/// A connection and what is held for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Client {
    pub server: ServerId,
    pub limits: ServerLimits,
    pub stage: Stage,
    pub stage_since: Time,
    pub last_progress: Time,
    /// Bytes of the body received so far.
    pub body_bytes: u64,
    /// Bytes held for the body, the job or the answer.
    pub held_bytes: u64,
    /// Whether the connection is being closed. It holds nothing that counts.
    pub leaving: bool,
}

impl Client {
    /// Memory of the connection itself, in bytes.
    pub fn connection_bytes(&self) -> u64 {
        match self.stage {
            Stage::New => NEW_CONNECTION_BYTES,
            Stage::Idle | Stage::Closing => IDLE_CONNECTION_BYTES,
            Stage::Head | Stage::Body | Stage::Handling | Stage::Answering => BUSY_CONNECTION_BYTES,
        }
    }

    /// The queue of the connection and its place there: the time since which nothing has happened
    /// that counts in its favour.
    pub fn place(&self) -> Option<(Queue, Time)> {
        match self.stage {
            _ if self.leaving => None,
            Stage::New | Stage::Head => Some((Queue::Head, self.stage_since)),
            Stage::Body => Some((Queue::Body, self.last_progress)),
            Stage::Handling => None,
            Stage::Answering => Some((Queue::Answer, self.last_progress)),
            Stage::Idle => Some((Queue::Idle, self.stage_since)),
            Stage::Closing => Some((Queue::Closing, self.stage_since)),
        }
    }

    /// What is held, if it is large, in bytes.
    pub fn large_bytes(&self) -> u64 {
        if self.held_bytes > SMALL_BYTES { self.held_bytes } else { 0 }
    }

    /// What speaks for closing this connection, and how strongly among its like.
    pub fn evidence(&self, now: Time, limits: &ClientLimits) -> Option<(Evidence, Duration)> {
        let (age, silent) = (now.since(self.stage_since), now.since(self.last_progress));
        let is_stalled = silent >= limits.stall_timeout;
        match self.stage {
            Stage::Closing => Some((Evidence::Closing, age)),
            Stage::Answering if silent >= CLIENT_PATIENCE => Some((Evidence::UnreadAnswer, silent)),
            Stage::Body if is_stalled => Some((Evidence::StalledBody, silent)),
            Stage::New | Stage::Head if age >= CLIENT_PATIENCE => {
                Some((Evidence::RequestMissing, age))
            }
            Stage::Body if age >= limits.stall_timeout && self.is_slow(age) => {
                Some((Evidence::SlowBody, age))
            }
            Stage::Body if self.large_bytes() > 0 => Some((Evidence::Large, age)),
            Stage::Body if age >= CLIENT_PATIENCE => Some((Evidence::LongBody, age)),
            Stage::New | Stage::Head | Stage::Body => Some((Evidence::RequestExpected, age)),
            Stage::Idle => Some((Evidence::Idle, age)),
            Stage::Handling | Stage::Answering => None,
        }
    }

    fn is_slow(&self, age: Duration) -> bool {
        (self.body_bytes as f64) < SLOW_BODY_RATE * age.as_secs_f64()
    }

    /// When the connection is closed if nothing happens until then, and why.
    pub fn expiry(&self, limits: &ClientLimits) -> Option<(Time, LimitReason)> {
        let (since, timeout, reason) = match self.stage {
            Stage::New | Stage::Idle => {
                (self.stage_since, self.limits.idle_timeout, LimitReason::IdleTimeout)
            }
            Stage::Head => (self.stage_since, self.limits.head_timeout, LimitReason::HeadTimeout),
            Stage::Answering => {
                (self.last_progress, limits.answer_timeout, LimitReason::AnswerTimeout)
            }
            Stage::Closing => (self.stage_since, CLOSING_TIMEOUT, LimitReason::BodyTimeout),
            // The server bounds the time of a body, and the handler its own.
            Stage::Body | Stage::Handling => return None,
        };
        Some((since + timeout, reason))
    }
}
