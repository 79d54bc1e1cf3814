//! The keeper's listening thread: HTTP for operators, tarpc for nodes and other keepers.

use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use futures::StreamExt;
use futures_lite::future;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode, Uri};
use keeper::Reply;
use model::NodeName;
use net::{Body, BodyError, Clients, Connections, HeldBody, Limits, RequestBody, Spawner};
use platform::OperatorRequest;
use serde::Serialize;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use wire::{
    ChangeRequest, ChangeResult, DocumentPart, KeeperService, PartRequest, PeerMessage, PullReply,
    PullRequest, WatchReply, WatchRequest,
};

use super::driver::{Input, KeeperRequest};
use super::hall_commands;
use crate::text::shortened;

/// Limits on the connections of operators.
const OPERATOR_LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(10),
    max_connections: 1_000,
    socket_buffer_bytes: OPERATOR_SOCKET_BUFFER_BYTES,
};
/// Size of the socket buffers of an operator's connection, in bytes. A document of the largest size
/// arrives within a second over the distance of two regions.
const OPERATOR_SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// `Retry-After` in seconds while the memory for clients is used up.
const NO_MEMORY_RETRY_AFTER: u64 = 1;

/// Idle time after which a connection of a node or another keeper is closed, as it may be
/// half-open. Longer than the interval of a watching node's requests, which is at most 2 s; others
/// reconnect when they have something to send.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a request waits for its reply while the keeper stops. The last batch may take longer on
/// a stalled disk; the caller is then answered without the result.
const STATE_MACHINE_GRACE: Duration = Duration::from_millis(200);
/// How long the responses to operators that are still outstanding at the stop may take.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(400);
/// How often a stopping keeper checks for outstanding responses.
const RESPONSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    code: &'a str,
    message: &'a str,
}

/// What the HTTP handlers need to answer operators.
#[derive(Clone)]
pub(crate) struct OperatorContext {
    /// Sends inputs to the state machine's thread.
    pub input_sender: Sender<Input>,
    /// The address on which this keeper listens for operators; other keepers use the same port.
    pub address: SocketAddr,
    /// Whether calls of the platform's operators are served, as with capacity scheduling.
    pub capacity_scheduling: bool,
}

/// Accepts connections until the state machine's thread ends.
pub(crate) async fn run(
    tasks: Spawner,
    listener: Async<TcpListener>,
    node_listener: Async<TcpListener>,
    clients: Clients,
    context: OperatorContext,
) {
    let input_sender = context.input_sender.clone();
    let handler = move |request| {
        let context = context.clone();
        async move { handle_request(&context, request).await }
    };
    let connections = Rc::new(Connections::default());
    let serve = net::serve_until_closed(
        listener,
        tasks.clone(),
        clients,
        connections.clone(),
        || OPERATOR_LIMITS,
        handler,
    );
    let mut serve = pin!(serve);
    let nodes = serve_node_connections(node_listener, tasks.clone(), input_sender.clone());
    future::or(future::or(serve.as_mut(), nodes), input_sender.closed()).await;
    connections.close();
    // Accepts the connections that are already in the backlog.
    serve.await;
    wait_for_responses(&connections).await;
}

/// Waits, up to a timeout, until outstanding requests are answered, so that operators get an error
/// response and not only a closed connection.
async fn wait_for_responses(connections: &Connections) {
    let handled = async {
        while connections.active_count() > 0 {
            Timer::after(RESPONSE_POLL_INTERVAL).await;
        }
    };
    let timed_out = async {
        Timer::after(LAST_RESPONSES_TIMEOUT).await;
    };
    future::or(handled, timed_out).await;
}

async fn serve_node_connections(
    listener: Async<TcpListener>,
    tasks: Spawner,
    input_sender: Sender<Input>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        net::set_socket_options(&stream);
        let channel = BaseChannel::with_defaults(net::framed_transport(stream));
        let node = NodeService { input_sender: input_sender.clone() };
        let call_tasks = tasks.clone();
        tasks.spawn_rpc(async move {
            let mut calls = std::pin::pin!(channel.execute(node.serve()));
            let idle_timeout = async || {
                Timer::after(IDLE_TIMEOUT).await;
                None
            };
            while let Some(call) = future::or(calls.next(), idle_timeout()).await {
                call_tasks.spawn_rpc(call);
            }
        });
    }
}

/// The tarpc service for nodes and other keepers.
#[derive(Clone)]
struct NodeService {
    input_sender: Sender<Input>,
}

impl KeeperService for NodeService {
    async fn peer(self, _: Context, message: PeerMessage) {
        // Fails only if the state machine's thread has ended.
        let _ = self.input_sender.send(Input::Peer(message.from, message.message)).await;
    }

    async fn pull(self, _: Context, request: PullRequest) -> PullReply {
        match submit(&self.input_sender, KeeperRequest::Pull(request)).await {
            Some(Reply::Pull(reply)) => reply,
            Some(Reply::NotLeader(leader)) => PullReply::Unsure { leader },
            _ => PullReply::Unsure { leader: None },
        }
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        match submit(&self.input_sender, KeeperRequest::Watch(request)).await {
            Some(Reply::Watch(reply)) => reply,
            // The keeper is stopping, and the connection is closed with it.
            _ => WatchReply { version: 0, nodes: None, halls: None, peers: 0, keepers: None },
        }
    }

    async fn document(self, _: Context, request: PartRequest) -> Option<DocumentPart> {
        match submit(&self.input_sender, KeeperRequest::FetchPart(request)).await {
            Some(Reply::Part(part)) => part,
            // The keeper is stopping; the node fetches the part from another keeper.
            _ => None,
        }
    }
}

/// Sends a request to the state machine and waits for the reply; `None` if its thread has ended, or
/// does not reply in time while it ends.
pub(super) async fn submit(input_sender: &Sender<Input>, request: KeeperRequest) -> Option<Reply> {
    let (reply, replies) = async_channel::bounded(1);
    let handled = async {
        input_sender.send(Input::Request(request, reply)).await.ok()?;
        replies.recv().await.ok()
    };
    let timed_out = async {
        input_sender.closed().await;
        Timer::after(STATE_MACHINE_GRACE).await;
        None
    };
    future::or(handled, timed_out).await
}

async fn handle_request(
    context: &OperatorContext,
    request: Request<RequestBody>,
) -> Response<Body> {
    let input_sender = &context.input_sender;
    let (head, body) = request.into_parts();
    if context.capacity_scheduling
        && let Some(call) = OperatorRequest::parse(&head.method, head.uri.path())
    {
        return handle_platform_call(context, call, &head.uri, body).await;
    }
    match (head.method.as_str(), head.uri.path()) {
        ("GET", "/v1/settings") => {
            reply_response(submit(input_sender, KeeperRequest::ReadTree).await)
        }
        ("GET", "/v1/history") => {
            reply_response(submit(input_sender, KeeperRequest::ReadHistory).await)
        }
        ("GET", "/v1/status") => status_response(input_sender).await,
        ("GET", "/v1/halls") => {
            reply_response(submit(input_sender, KeeperRequest::ReadHalls).await)
        }
        ("POST", path) if path.starts_with(hall_commands::PATH) => {
            hall_commands::handle(context, &head.uri).await
        }
        ("POST", "/v1/changes") => match body.read().await {
            Ok(body) => handle_change(input_sender, body).await,
            Err(error) => body_error_response(error),
        },
        _ => error_response(404, "no-such-path", "see the operators' pages"),
    }
}

/// Handles a call of the platform's operators. Redirects to the leader if only the leader can
/// answer.
async fn handle_platform_call(
    context: &OperatorContext,
    call: OperatorRequest,
    uri: &Uri,
    body: RequestBody,
) -> Response<Body> {
    // The memory of a document's body covers the document until the call is answered.
    let (request, _hold) = match call {
        OperatorRequest::FetchConfig => (KeeperRequest::ReadDocument, None),
        OperatorRequest::CommandHall(command) => match hall_commands::request(command, uri) {
            Ok(request) => (request, None),
            Err(error) => return hall_commands::error_response(error),
        },
        OperatorRequest::ReplaceConfig => {
            let body = match body.read().await {
                Ok(body) => body,
                Err(error) => return body_error_response(error),
            };
            let document = match platform::parse_document(&body) {
                Ok(document) => document,
                Err(error) => return error_response(400, "invalid", &error.to_string()),
            };
            let bytes = document.body.len() as u64;
            (KeeperRequest::ReplaceDocument(document), body.replace(bytes).ok())
        }
    };
    match submit(&context.input_sender, request).await {
        Some(Reply::Replaced | Reply::Halls(_)) => json_response(200, &serde_json::json!({})),
        Some(Reply::Document(Some(document))) => document_response(&document.body),
        Some(Reply::Document(None)) => error_response(503, "no-document", "there never was one"),
        Some(Reply::ConfirmHall(confirmation)) => {
            hall_commands::confirm_response(context, uri, confirmation)
        }
        Some(Reply::NotLeader(Some(leader))) => redirect_to_leader(context.address, &leader, uri),
        _ => not_leader_response(None),
    }
}

/// The response to a request whose body can't be read.
fn body_error_response(error: BodyError) -> Response<Body> {
    let status = match error {
        BodyError::TooLong => 413,
        BodyError::Refused => 503,
        BodyError::Timeout | BodyError::Disconnected => 400,
    };
    let mut response = error_response(status, "bad-body", &error.to_string());
    if error == BodyError::Refused {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(NO_MEMORY_RETRY_AFTER));
    }
    response
}

/// Returns the stored document unchanged.
fn document_response(body: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_owned()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Redirects a caller to the leader's address for operators.
fn redirect_to_leader(own: SocketAddr, leader: &NodeName, uri: &Uri) -> Response<Body> {
    let address = leader.as_str().parse::<SocketAddr>().ok();
    let Some(address) = address.filter(|address| address.ip() != own.ip()) else {
        return not_leader_response(None);
    };
    let leader = SocketAddr::new(address.ip(), own.port());
    let path = uri.path_and_query().map_or(uri.path(), |path| path.as_str());
    redirect_response(leader, path, "not-leader", "ask the leader")
}

/// Redirects a caller to a path of the keeper at an address.
pub(super) fn redirect_response(
    address: SocketAddr,
    path: &str,
    code: &str,
    message: &str,
) -> Response<Body> {
    let mut response = error_response(307, code, message);
    match HeaderValue::from_str(&format!("http://{address}{path}")) {
        Ok(location) => {
            response.headers_mut().insert(LOCATION, location);
            response
        }
        Err(_) => not_leader_response(None),
    }
}

pub(super) fn reply_response(reply: Option<Reply>) -> Response<Body> {
    match reply {
        Some(Reply::Tree(tree)) => json_response(200, &tree),
        Some(Reply::History(versions)) => json_response(200, &versions),
        Some(Reply::Change(result)) => json_response(change_status(&result), &result),
        Some(Reply::Halls(halls)) => json_response(200, &halls),
        Some(Reply::NotLeader(leader)) => not_leader_response(leader),
        Some(
            Reply::Pull(_)
            | Reply::Replaced
            | Reply::ConfirmHall(_)
            | Reply::Document(_)
            | Reply::Watch(_)
            | Reply::Part(_),
        )
        | None => error_response(503, "not-ready", "the keeper is stopping"),
    }
}

fn not_leader_response(leader: Option<model::NodeName>) -> Response<Body> {
    let message = match leader {
        Some(leader) => format!("ask {leader}, which may lead"),
        None => "no leader is known".to_owned(),
    };
    error_response(503, "not-leader", &message)
}

async fn status_response(input_sender: &Sender<Input>) -> Response<Body> {
    let (reply, replies) = async_channel::bounded(1);
    let sent = input_sender.send(Input::Status(reply)).await.is_ok();
    match replies.recv().await {
        Ok(status) if sent => json_response(200, &status),
        _ => error_response(503, "not-ready", "the keeper is stopping"),
    }
}

async fn handle_change(input_sender: &Sender<Input>, body: HeldBody) -> Response<Body> {
    let request = match serde_json::from_slice::<ChangeRequest>(&body) {
        Ok(request) => request,
        Err(error) => return error_response(400, "bad-body", &error.to_string()),
    };
    // The memory of the body covers the change until it is answered.
    let bytes = body.len() as u64;
    let _hold = body.replace(bytes);
    reply_response(submit(input_sender, KeeperRequest::Change(request)).await)
}

fn change_status(result: &ChangeResult) -> u16 {
    match result {
        ChangeResult::Accepted { .. } => 200,
        ChangeResult::Conflict { .. } => 409,
        ChangeResult::Invalid { .. } => 400,
    }
}

pub(super) fn error_response(status: u16, code: &str, message: &str) -> Response<Body> {
    json_response(status, &ErrorBody { code, message: shortened(message) })
}

fn json_response<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    let body = serde_json::to_string(value).expect("response bodies serialize to JSON");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
