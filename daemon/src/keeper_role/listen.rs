//! The keeper's listening thread: HTTP from operators, tarpc from nodes.

use std::net::TcpListener;
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;
use futures::StreamExt;
use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use net::{Body, BodyError, Limits, Tasks};
use serde::Serialize;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use wire::{ChangeRequest, ChangeResult, KeeperService, PullReply, PullRequest};

use super::decide::Input;

/// Limits of operators' connections.
const LIMITS: Limits =
    Limits { body_bytes: 4 * 1024 * 1024, read_time: Duration::from_secs(10), connections: 1_000 };

/// A problem told to an operator.
#[derive(Serialize)]
struct Problem<'a> {
    code: &'a str,
    message: &'a str,
}

/// Listens until the deciding thread ends.
pub(crate) async fn run(
    tasks: Tasks,
    listener: Async<TcpListener>,
    node_listener: Async<TcpListener>,
    ring: Sender<Input>,
) {
    let calls = ring.clone();
    let handler = move |request| {
        let ring = calls.clone();
        async move { answer(&ring, request).await }
    };
    let operators = net::serve(listener, tasks.clone(), LIMITS, handler);
    let nodes = serve_nodes(node_listener, tasks.clone(), ring.clone());
    let stop = ring.closed();
    future::or(future::or(operators, nodes), stop).await;
}

async fn serve_nodes(listener: Async<TcpListener>, tasks: Tasks, ring: Sender<Input>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        net::tune(&stream);
        let channel = BaseChannel::with_defaults(net::frames(stream));
        let node = Node { ring: ring.clone() };
        let runner = tasks.clone();
        tasks.spawn_rpc(async move {
            let mut calls = std::pin::pin!(channel.execute(node.serve()));
            while let Some(call) = calls.next().await {
                runner.spawn_rpc(call);
            }
        });
    }
}

/// The service for nodes.
#[derive(Clone)]
struct Node {
    ring: Sender<Input>,
}

impl KeeperService for Node {
    async fn pull(self, _: Context, request: PullRequest) -> PullReply {
        let (reply, answer) = async_channel::bounded(1);
        let unsure = PullReply::Unsure { leader: None };
        if self.ring.send(Input::Pull(request, reply)).await.is_err() {
            return unsure;
        }
        answer.recv().await.unwrap_or(unsure)
    }
}

async fn answer(
    ring: &Sender<Input>,
    request: Request<Result<Bytes, BodyError>>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    match (head.method.as_str(), head.uri.path()) {
        ("GET", "/v1/settings") => read(ring, Input::Read).await,
        ("GET", "/v1/history") => read(ring, Input::History).await,
        ("POST", "/v1/changes") => match body {
            Ok(body) => change(ring, &body).await,
            Err(error) => problem(400, "bad-body", &error.to_string()),
        },
        _ => problem(404, "no-such-path", "see the operators' pages"),
    }
}

/// Answers with what the deciding thread says to a question.
async fn read<T: Serialize>(
    ring: &Sender<Input>,
    question: impl FnOnce(Sender<T>) -> Input,
) -> Response<Body> {
    let (reply, answer) = async_channel::bounded(1);
    let sent = ring.send(question(reply)).await.is_ok();
    match answer.recv().await {
        Ok(document) if sent => json(200, &document),
        _ => problem(503, "not-ready", "the keeper is stopping"),
    }
}

async fn change(ring: &Sender<Input>, body: &[u8]) -> Response<Body> {
    let request: ChangeRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return problem(400, "bad-body", &error.to_string()),
    };
    let (reply, answer) = async_channel::bounded(1);
    let sent = ring.send(Input::Change(request, reply)).await.is_ok();
    match answer.recv().await {
        Ok(result) if sent => json(status(&result), &result),
        _ => problem(504, "unknown", "the change's outcome is unknown: send it again"),
    }
}

fn status(result: &ChangeResult) -> u16 {
    match result {
        ChangeResult::Accepted { .. } => 200,
        ChangeResult::Conflict { .. } => 409,
        ChangeResult::Invalid { .. } => 400,
    }
}

fn problem(status: u16, code: &str, message: &str) -> Response<Body> {
    json(status, &Problem { code, message })
}

fn json<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    let body = serde_json::to_string(value).expect("plain structs become JSON");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
