//! The entry's listening thread: HTTP from callers, tarpc from other entries.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use api::{ApiResponse, BODY_BYTES_MAX, Route, Submission, VERDICT_HEADER};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures::StreamExt;
use futures::channel::oneshot;
use futures_lite::{FutureExt, future};
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use model::{Code, Failure, SubmissionId, Verdict};
use net::{Body, BodyError, Connections, Limits, Spawner};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use wire::{EntryService, RelayReply, RelayRequest};

use super::decide::{Ask, Input};
use super::{DRAIN_LOOK, Shared};

/// Limits of callers' connections.
const LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: BODY_BYTES_MAX,
    read_timeout: Duration::from_secs(10),
    max_connections: 20_000,
};

/// Listens until told to stop; connections that are open then go on.
pub(crate) async fn run(
    tasks: Spawner,
    listener: Async<TcpListener>,
    peer_listener: Async<TcpListener>,
    ring: Sender<Input>,
    shared: Arc<Shared>,
    stopped: Receiver<()>,
) {
    let server = Server { ring: ring.clone(), shared: shared.clone() };
    let handler = move |request| {
        let server = server.clone();
        async move { server.answer(request).await }
    };
    let callers = Rc::new(Connections::default());
    let serve =
        net::serve_until_closed(listener, tasks.clone(), callers.clone(), || LIMITS, handler);
    let close = async {
        // Ends when the handle is dropped.
        let _ = stopped.recv().await;
        callers.close();
        future::pending().await
    };
    let peers = serve_peers(peer_listener, tasks.clone(), ring.clone());
    serve.or(close).or(peers).await;
    // Requests that have come are answered until the deciding thread ends.
    let count = async {
        loop {
            shared.unfinished.store(callers.active_count() as u64, Ordering::Release);
            shared.closed.store(true, Ordering::Release);
            Timer::after(DRAIN_LOOK).await;
        }
    };
    count.or(ring.closed()).await;
}

async fn serve_peers(listener: Async<TcpListener>, tasks: Spawner, ring: Sender<Input>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        net::set_socket_options(&stream);
        let channel = BaseChannel::with_defaults(net::framed_transport(stream));
        let peer = Peer { ring: ring.clone() };
        let runner = tasks.clone();
        tasks.spawn_rpc(async move {
            let mut calls = std::pin::pin!(channel.execute(peer.serve()));
            while let Some(call) = calls.next().await {
                runner.spawn_rpc(call);
            }
        });
    }
}

/// Asks the deciding thread and waits for the outcome.
async fn ask(ring: &Sender<Input>, ask: Ask, relayed: bool) -> RelayReply {
    let gone = || Failure::new(Code::NotReady, Verdict::MayHaveRun, "the entry is stopping");
    let (reply, outcome) = oneshot::channel();
    // A full ring holds the caller back.
    if ring.send(Input::Call { ask, relayed, reply }).await.is_err() {
        return Err(gone());
    }
    outcome.await.unwrap_or_else(|_| Err(gone()))
}

/// The service for other entries.
#[derive(Clone)]
struct Peer {
    ring: Sender<Input>,
}

impl EntryService for Peer {
    async fn relay(self, _: Context, request: RelayRequest) -> RelayReply {
        ask(&self.ring, Ask::Submit(request), true).await
    }

    async fn fetch(self, _: Context, submission: SubmissionId) -> RelayReply {
        ask(&self.ring, Ask::Fetch(submission), true).await
    }
}

/// The service for callers.
#[derive(Clone)]
struct Server {
    ring: Sender<Input>,
    shared: Arc<Shared>,
}

impl Server {
    async fn answer(&self, request: Request<Result<Bytes, BodyError>>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let route = api::parse_route(head.method.as_str(), head.uri.path());
        match route {
            Err(failure) => failed(None, failure),
            Ok(Route::Ready) => self.ready(),
            Ok(Route::Status) => self.status().await,
            Ok(Route::Fetch(id)) => self.outcome(id, Ask::Fetch(id)).await,
            Ok(Route::SubmitJob(id)) => self.submit(id, body, api::parse_job).await,
            Ok(Route::SubmitRequest(id)) => self.submit(id, body, api::parse_request).await,
        }
    }

    async fn submit(
        &self,
        id: SubmissionId,
        body: Result<Bytes, BodyError>,
        read: fn(&[u8]) -> Result<Submission, Failure>,
    ) -> Response<Body> {
        let work = body.map_err(bad_body).and_then(|body| read(&body));
        match work {
            Err(failure) => failed(Some(id), failure),
            Ok(work) => {
                let request = RelayRequest {
                    submission: id,
                    service: work.service,
                    kind: work.kind,
                    tasks: work.tasks,
                    deadline_ms: work.deadline_ms,
                    repeatable: work.repeatable,
                };
                self.outcome(id, Ask::Submit(request)).await
            }
        }
    }

    async fn outcome(&self, id: SubmissionId, what: Ask) -> Response<Body> {
        let outcome = ask(&self.ring, what, false).await;
        write(api::outcome_response(Some(id), &outcome))
    }

    fn ready(&self) -> Response<Body> {
        let ready = self.shared.ready.load(Ordering::Acquire);
        let (status, body) = if ready { (200, "ready\n") } else { (503, "not ready\n") };
        plain(status, "text/plain", body.to_owned())
    }

    async fn status(&self) -> Response<Body> {
        let (reply, status) = async_channel::bounded(1);
        if self.ring.send(Input::Status(reply)).await.is_err() {
            return plain(503, "text/plain", "stopping\n".to_owned());
        }
        let Ok(status) = status.recv().await else {
            return plain(503, "text/plain", "stopping\n".to_owned());
        };
        let body = serde_json::to_string(&status).expect("plain structs become JSON");
        plain(200, "application/json", body)
    }
}

fn bad_body(error: BodyError) -> Failure {
    let code = match error {
        BodyError::TooLong => Code::TooLarge,
        BodyError::Timeout | BodyError::Disconnected => Code::BadBody,
    };
    Failure::new(code, Verdict::NotRun, error.to_string())
}

fn failed(id: Option<SubmissionId>, failure: Failure) -> Response<Body> {
    write(api::outcome_response(id, &Err(failure)))
}

fn write(answer: ApiResponse) -> Response<Body> {
    let mut response = plain(answer.status, "application/json", answer.body);
    let headers = response.headers_mut();
    if let Some(verdict) = answer.verdict {
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.as_str()));
    }
    if let Some(seconds) = answer.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn plain(status: u16, content_type: &'static str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
