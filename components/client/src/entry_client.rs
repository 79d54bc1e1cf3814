//! A client of an entry's HTTP interface.

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

/// The outcome of a submission, as reported by an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answers of all tasks, in task order.
    Complete(Vec<Arc<str>>),
    /// The submission failed.
    Failed {
        /// The HTTP status.
        status: u16,
        /// The failure code.
        code: String,
        /// Whether the work ran.
        verdict: Verdict,
        /// A human-readable description of the failure.
        message: String,
        /// The delay before a retry, if the entry suggests one.
        retry_after: Option<Duration>,
    },
}

/// Error of a request without a valid response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// No response was received.
    #[error(transparent)]
    Http(#[from] ClientError),
    /// The response's status, headers or body are not as expected.
    #[error("invalid response: {0}")]
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

/// A client of one entry with a fixed timeout.
pub struct EntryClient {
    client: Client,
    timeout: Duration,
}

impl EntryClient {
    /// Creates a client that waits up to `timeout` for each response.
    pub fn new(entry: SocketAddr, spawner: Spawner, timeout: Duration) -> Self {
        Self { client: Client::new(entry, spawner), timeout }
    }

    /// Submits a job and waits for its outcome.
    pub async fn submit_job(
        &self,
        id: SubmissionId,
        body: &JobBody,
    ) -> Result<Outcome, RequestError> {
        let body = serde_json::to_vec(body).expect("the body types always serialize");
        self.send(Method::PUT, &format!("/v1/jobs/{id}"), body).await
    }

    /// Submits a single task and waits for its outcome.
    pub async fn submit_request(
        &self,
        id: SubmissionId,
        body: &RequestBody,
    ) -> Result<Outcome, RequestError> {
        let body = serde_json::to_vec(body).expect("the body types always serialize");
        self.send(Method::PUT, &format!("/v1/requests/{id}"), body).await
    }

    /// Fetches the outcome of an earlier submission.
    pub async fn fetch_outcome(&self, id: SubmissionId) -> Result<Outcome, RequestError> {
        self.send(Method::GET, &format!("/v1/jobs/{id}"), Vec::new()).await
    }

    /// Fetches the entry's status and counters, as JSON.
    pub async fn status(&self) -> Result<serde_json::Value, RequestError> {
        let reply = self.exchange(Method::GET, "/v1/status", Vec::new()).await?;
        parse_body(&reply)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Reply, ClientError> {
        self.client.send(method, path, HeaderMap::new(), Bytes::from(body), self.timeout).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Outcome, RequestError> {
        let reply = self.exchange(method, path, body).await?;
        if reply.status == 200 {
            return Ok(Outcome::Complete(parse_body::<CompleteBody>(&reply)?.answers));
        }
        let failed: FailedBody = parse_body(&reply)?;
        let header = reply.headers.get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
        if header.and_then(Verdict::parse) != Some(failed.verdict) {
            return Err(RequestError::InvalidResponse(format!(
                "the verdict header {header:?} differs from the body"
            )));
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

pub(crate) fn parse_body<T: for<'de> Deserialize<'de>>(reply: &Reply) -> Result<T, RequestError> {
    serde_json::from_slice(&reply.body)
        .map_err(|error| RequestError::InvalidResponse(error.to_string()))
}
