//! A client of the caller interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::{JobBody, RequestBody, VERDICT_HEADER};
use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use model::{SubmissionId, Verdict};
use net::{Client, ClientError, Reply, Spawner};
use serde::Deserialize;
use thiserror::Error;

/// What an entry said of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task's answer, in task order.
    Complete(Vec<Arc<str>>),
    /// There is no answer.
    Failed {
        /// The HTTP status.
        status: u16,
        /// The stable code.
        code: String,
        /// What is known of the work.
        verdict: Verdict,
        /// A sentence for a person.
        message: String,
        /// When to come back.
        retry_after: Option<Duration>,
    },
}

/// Why nothing is known from an entry.
#[derive(Debug, Error)]
pub enum RequestError {
    /// No answer.
    #[error(transparent)]
    Http(#[from] ClientError),
    /// An answer that makes no sense.
    #[error("the entry's answer makes no sense: {0}")]
    InvalidResponse(String),
}

#[derive(Deserialize)]
struct CompleteBody {
    answers: Vec<Arc<str>>,
}

#[derive(Deserialize)]
struct FailedBody {
    code: String,
    verdict: Verdict,
    message: String,
    retry_after_ms: Option<u64>,
}

/// A client of one entry.
pub struct EntryClient {
    client: Client,
    time: Duration,
}

impl EntryClient {
    /// A client that waits so long for each answer.
    pub fn new(entry: SocketAddr, tasks: Spawner, time: Duration) -> Self {
        Self { client: Client::new(entry, tasks), time }
    }

    /// Submits a job and waits for its outcome.
    pub async fn submit_job(
        &self,
        id: SubmissionId,
        body: &JobBody,
    ) -> Result<Outcome, RequestError> {
        let body = serde_json::to_vec(body).expect("plain structs become JSON");
        self.send(Method::PUT, &format!("/v1/jobs/{id}"), body).await
    }

    /// Submits one piece of work and waits for its outcome.
    pub async fn submit_request(
        &self,
        id: SubmissionId,
        body: &RequestBody,
    ) -> Result<Outcome, RequestError> {
        let body = serde_json::to_vec(body).expect("plain structs become JSON");
        self.send(Method::PUT, &format!("/v1/requests/{id}"), body).await
    }

    /// Asks for the outcome of an earlier submission.
    pub async fn fetch_outcome(&self, id: SubmissionId) -> Result<Outcome, RequestError> {
        self.send(Method::GET, &format!("/v1/jobs/{id}"), Vec::new()).await
    }

    /// Asks for the entry's counters, as JSON.
    pub async fn status(&self) -> Result<serde_json::Value, RequestError> {
        let reply = self.exchange(Method::GET, "/v1/status", Vec::new()).await?;
        parse(&reply)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Reply, ClientError> {
        self.client.send(method, path, HeaderMap::new(), Bytes::from(body), self.time).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Outcome, RequestError> {
        let reply = self.exchange(method, path, body).await?;
        if reply.status == 200 {
            return Ok(Outcome::Complete(parse::<CompleteBody>(&reply)?.answers));
        }
        let failed: FailedBody = parse(&reply)?;
        let header = reply.headers.get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
        if header.and_then(Verdict::parse) != Some(failed.verdict) {
            return Err(RequestError::InvalidResponse(format!("verdict header {header:?}")));
        }
        Ok(Outcome::Failed {
            status: reply.status,
            code: failed.code,
            verdict: failed.verdict,
            message: failed.message,
            retry_after: failed.retry_after_ms.map(Duration::from_millis),
        })
    }
}

pub(crate) fn parse<T: for<'de> Deserialize<'de>>(reply: &Reply) -> Result<T, RequestError> {
    serde_json::from_slice(&reply.body)
        .map_err(|error| RequestError::InvalidResponse(error.to_string()))
}
