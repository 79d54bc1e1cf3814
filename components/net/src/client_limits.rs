//! Limits on clients, and how often they were applied.

use std::collections::BTreeMap;
use std::time::Duration;

/// Limits on all clients of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of bytes held for clients: connections, bodies, jobs and answers.
    pub memory_bytes: u64,
    /// Time without progress after which a body gives way to other clients.
    pub stall_timeout: Duration,
    /// Time without progress after which the connection of an unread answer is closed.
    pub answer_timeout: Duration,
    /// Least time between two large bodies at a server.
    pub large_body_interval: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            memory_bytes: 64 * 1024 * 1024,
            stall_timeout: Duration::from_millis(1_500),
            answer_timeout: Duration::from_secs(10),
            large_body_interval: Duration::from_millis(10),
        }
    }
}

/// Limits on the connections of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

/// Why a connection is closed or a request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitReason {
    /// The server has its maximum number of connections.
    Connections,
    /// The clients' memory is used up.
    Memory,
    /// The share of large bodies, jobs and answers in the clients' memory is used up.
    LargeShare,
    /// Too many large bodies wait for their turn.
    LargeRate,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body did not arrive in time.
    BodyTimeout,
    /// No request arrived in time.
    IdleTimeout,
    /// The answer was not read in time.
    AnswerTimeout,
    /// The body has too many values.
    BodyValues,
    /// The job has too many tasks.
    JobTasks,
}

impl LimitReason {
    /// The name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::LargeShare => "large-share",
            Self::LargeRate => "large-rate",
            Self::HeadTimeout => "head-timeout",
            Self::BodyTimeout => "body-timeout",
            Self::IdleTimeout => "idle-timeout",
            Self::AnswerTimeout => "answer-timeout",
            Self::BodyValues => "body-values",
            Self::JobTasks => "job-tasks",
        }
    }
}

/// How often limits were applied, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitCounters {
    /// Connections closed.
    pub closed: BTreeMap<LimitReason, u64>,
    /// Requests refused before they were handled, or answers replaced by a refusal.
    pub refused: BTreeMap<LimitReason, u64>,
}

/// A request for memory was refused. Holds the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(pub LimitReason);
