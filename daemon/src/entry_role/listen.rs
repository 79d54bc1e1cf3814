//! The entry's listening thread: HTTP for callers, tarpc for other entries.

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
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use model::{Code, Failure, SubmissionId, Verdict};
use net::{Body, BodyError, Clients, Connections, Limits, RequestBody, Spawner};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use wire::{EntryService, RelayReply, RelayRequest};

use super::driver::{EntryRequest, Input};
use super::{DRAIN_POLL_INTERVAL, SharedState};

/// Limits on the connections of callers.
const CALLER_LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: BODY_BYTES_MAX,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(10),
    max_connections: 20_000,
    socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
};

/// Delay after which a client should retry whose body there was no memory for, in milliseconds.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// Accepts connections until the other side of `stopped` is dropped, then counts the callers that
/// still wait for a response until the state machine's thread ends.
pub(crate) async fn run(
    tasks: Spawner,
    listener: Async<TcpListener>,
    peer_listener: Async<TcpListener>,
    clients: Clients,
    input_sender: Sender<Input>,
    shared: Arc<SharedState>,
    stopped: Receiver<()>,
) {
    let server = CallerService { input_sender: input_sender.clone(), shared: shared.clone() };
    let handler = move |request| {
        let server = server.clone();
        async move { server.handle(request).await }
    };
    let callers = Rc::new(Connections::default());
    let serve = net::serve_until_closed(
        listener,
        tasks.clone(),
        clients,
        callers.clone(),
        || CALLER_LIMITS,
        handler,
    );
    let close = async {
        // Fails once the handle drops the sender.
        let _ = stopped.recv().await;
        callers.close();
        future::pending().await
    };
    let peers = serve_peers(peer_listener, tasks.clone(), input_sender.clone());
    serve.or(close).or(peers).await;
    // Received requests are answered until the state machine's thread ends.
    let count_unfinished = async {
        loop {
            shared.unfinished.store(callers.active_count() as u64, Ordering::Release);
            shared.closed.store(true, Ordering::Release);
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    };
    count_unfinished.or(input_sender.closed()).await;
}

async fn serve_peers(listener: Async<TcpListener>, tasks: Spawner, input_sender: Sender<Input>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        net::set_socket_options(&stream);
        let channel = BaseChannel::with_defaults(net::framed_transport(stream));
        let peer = PeerService { input_sender: input_sender.clone() };
        let call_tasks = tasks.clone();
        tasks.spawn_rpc(async move {
            let mut calls = std::pin::pin!(channel.execute(peer.serve()));
            while let Some(call) = calls.next().await {
                call_tasks.spawn_rpc(call);
            }
        });
    }
}

/// Sends a request to the state machine and waits for the outcome.
async fn request_outcome(
    input_sender: &Sender<Input>,
    request: EntryRequest,
    relayed: bool,
) -> RelayReply {
    let stopping = || Failure::new(Code::NotReady, Verdict::MayHaveRun, "the entry is stopping");
    let (reply, outcome) = oneshot::channel();
    // A full channel applies back-pressure to the caller.
    if input_sender.send(Input::Call { request, relayed, reply }).await.is_err() {
        return Err(stopping());
    }
    outcome.await.unwrap_or_else(|_| Err(stopping()))
}

/// The tarpc service for other entries.
#[derive(Clone)]
struct PeerService {
    input_sender: Sender<Input>,
}

impl EntryService for PeerService {
    async fn relay(self, _: Context, request: RelayRequest) -> RelayReply {
        request_outcome(&self.input_sender, EntryRequest::Submit(request), true).await
    }

    async fn fetch(self, _: Context, submission: SubmissionId) -> RelayReply {
        request_outcome(&self.input_sender, EntryRequest::Fetch(submission), true).await
    }
}

/// The HTTP service for callers.
#[derive(Clone)]
struct CallerService {
    input_sender: Sender<Input>,
    shared: Arc<SharedState>,
}

impl CallerService {
    async fn handle(&self, request: Request<RequestBody>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let route = api::parse_route(head.method.as_str(), head.uri.path());
        match route {
            Err(failure) => failure_response(None, failure),
            Ok(Route::Ready) => self.ready(),
            Ok(Route::Status) => self.status().await,
            Ok(Route::Fetch(id)) => self.outcome_response(id, EntryRequest::Fetch(id)).await,
            Ok(Route::SubmitJob(id)) => self.submit(id, body, api::parse_job).await,
            Ok(Route::SubmitRequest(id)) => self.submit(id, body, api::parse_request).await,
        }
    }

    async fn submit(
        &self,
        id: SubmissionId,
        body: RequestBody,
        read: fn(&[u8]) -> Result<Submission, Failure>,
    ) -> Response<Body> {
        let parsed = body.read().await.map_err(body_failure).and_then(|body| {
            let parsed = read(&body)?;
            let bytes = body.len() as u64;
            Ok((parsed, body.replace(bytes).map_err(|refused| body_failure(refused.into()))?))
        });
        match parsed {
            Err(failure) => failure_response(Some(id), failure),
            // The memory of the body covers its tasks until they are answered.
            Ok((parsed, _hold)) => {
                let request = RelayRequest {
                    submission: id,
                    service: parsed.service,
                    kind: parsed.kind,
                    tasks: parsed.tasks,
                    deadline_ms: parsed.deadline_ms,
                    repeatable: parsed.repeatable,
                };
                self.outcome_response(id, EntryRequest::Submit(request)).await
            }
        }
    }

    async fn outcome_response(&self, id: SubmissionId, request: EntryRequest) -> Response<Body> {
        let outcome = request_outcome(&self.input_sender, request, false).await;
        answer_response(api::outcome_response(Some(id), &outcome))
    }

    fn ready(&self) -> Response<Body> {
        let ready = self.shared.ready.load(Ordering::Acquire);
        let (status, body) = if ready { (200, "ready\n") } else { (503, "not ready\n") };
        text_response(status, "text/plain", body.to_owned())
    }

    async fn status(&self) -> Response<Body> {
        let (reply, status) = async_channel::bounded(1);
        if self.input_sender.send(Input::Status(reply)).await.is_err() {
            return text_response(503, "text/plain", "stopping\n".to_owned());
        }
        let Ok(status) = status.recv().await else {
            return text_response(503, "text/plain", "stopping\n".to_owned());
        };
        let body = serde_json::to_string(&status).expect("the status serializes to JSON");
        text_response(200, "application/json", body)
    }
}

fn body_failure(error: BodyError) -> Failure {
    let code = match error {
        BodyError::TooLong => Code::TooLarge,
        BodyError::Timeout | BodyError::Disconnected => Code::BadBody,
        BodyError::Refused => return no_memory(),
    };
    Failure::new(code, Verdict::NotRun, error.to_string())
}

/// Refuses a request for lack of memory. Its submission may run elsewhere since an earlier request.
fn no_memory() -> Failure {
    let message = BodyError::Refused.to_string();
    Failure::new(Code::NotReady, Verdict::MayHaveRun, message).retry_after(NO_MEMORY_RETRY_AFTER_MS)
}

fn failure_response(id: Option<SubmissionId>, failure: Failure) -> Response<Body> {
    answer_response(api::outcome_response(id, &Err(failure)))
}

fn answer_response(answer: ApiResponse) -> Response<Body> {
    let mut response = text_response(answer.status, "application/json", answer.body);
    let headers = response.headers_mut();
    if let Some(verdict) = answer.verdict {
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.as_str()));
    }
    if let Some(seconds) = answer.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn text_response(status: u16, content_type: &'static str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
