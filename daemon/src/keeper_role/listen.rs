//! The keeper's listening thread: HTTP from operators, tarpc from nodes.

use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use futures::StreamExt;
use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION};
use hyper::{Request, Response, StatusCode};
use keeper::Reply;
use model::NodeName;
use net::{Body, BodyError, Connections, Limits, Tasks};
use platform::OperatorRequest;
use serde::Serialize;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use wire::{
    ChangeRequest, ChangeResult, DocumentPart, HallCommand, InvalidHallName, KeeperService,
    PartRequest, PeerMessage, PullReply, PullRequest, WatchReply, WatchRequest,
};

use super::decide::{Ask, Input};

/// Limits of operators' connections.
const LIMITS: Limits = Limits {
    header_bytes: net::HEADER_BYTES,
    body_bytes: 4 * 1024 * 1024,
    read_time: Duration::from_secs(10),
    connections: 1_000,
};

/// A connection of a node or another keeper over which nothing was asked for so long is closed: it may
/// have gone silent for good, and its other side have connected anew. Who waits for news asks again
/// after 2 s at most, and whoever has nothing to say for longer connects when there is something.
const ASKS_WITHIN: Duration = Duration::from_secs(5);

/// Once the keeper stops, the deciding thread ends after the batch in hand: some milliseconds, but seconds where
/// its disk stalls. It is not waited for longer, so that operators still hear that they have to ask elsewhere.
const HELD_UP: Duration = Duration::from_millis(200);
/// How long the last answers to operators may take: a thread that has just ended leaves little to do.
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// Where orders for halls are sent: the hall and what becomes of it follow.
const HALLS_PATH: &str = "/v1/halls/";
/// How often it is looked whether they have left.
const LOOK: Duration = Duration::from_millis(10);

/// A problem told to an operator.
#[derive(Serialize)]
struct Problem<'a> {
    code: &'a str,
    message: &'a str,
}

/// What the operators' side needs.
#[derive(Clone)]
pub(crate) struct Operators {
    /// The deciding thread's ring.
    pub ring: Sender<Input>,
    /// Where operators reach this keeper; other keepers have the same port.
    pub address: SocketAddr,
    /// Whether operators speak the users' platform's way.
    pub room: bool,
}

/// Listens until the deciding thread ends.
pub(crate) async fn run(
    tasks: Tasks,
    listener: Async<TcpListener>,
    node_listener: Async<TcpListener>,
    operators: Operators,
) {
    let ring = operators.ring.clone();
    let handler = move |request| {
        let operators = operators.clone();
        async move { answer(&operators, request).await }
    };
    let calls = Rc::new(Connections::default());
    let serve = net::serve_until_closed(listener, tasks.clone(), calls.clone(), || LIMITS, handler);
    let mut serve = pin!(serve);
    let nodes = serve_nodes(node_listener, tasks.clone(), ring.clone());
    future::or(future::or(serve.as_mut(), nodes), ring.closed()).await;
    calls.close();
    // What waits to be accepted is accepted.
    serve.await;
    until_answered(&calls).await;
}

/// Waits until operators' calls are answered, for a while. Once the deciding thread has ended, what it has
/// not answered is told to go to another keeper; a connection that ends instead tells an operator nothing.
async fn until_answered(calls: &Connections) {
    let answered = async {
        while calls.unfinished() > 0 {
            Timer::after(LOOK).await;
        }
    };
    let late = async {
        Timer::after(LAST_ANSWERS).await;
    };
    future::or(answered, late).await;
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
            let silent = async || {
                Timer::after(ASKS_WITHIN).await;
                None
            };
            while let Some(call) = future::or(calls.next(), silent()).await {
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
    async fn peer(self, _: Context, message: PeerMessage) {
        // Lost where the deciding thread has ended.
        let _ = self.ring.send(Input::Peer(message.from, message.message)).await;
    }

    async fn pull(self, _: Context, request: PullRequest) -> PullReply {
        match ask(&self.ring, Ask::Pull(request)).await {
            Some(Reply::Pull(reply)) => reply,
            Some(Reply::NotLeader(leader)) => PullReply::Unsure { leader },
            _ => PullReply::Unsure { leader: None },
        }
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        match ask(&self.ring, Ask::Watch(request)).await {
            Some(Reply::Watch(reply)) => reply,
            // The keeper is ending; the connection ends with it.
            _ => WatchReply { version: 0, nodes: None, halls: None, peers: 0, keepers: None },
        }
    }

    async fn document(self, _: Context, request: PartRequest) -> Option<DocumentPart> {
        match ask(&self.ring, Ask::Part(request)).await {
            Some(Reply::Part(part)) => part,
            // The keeper is ending; another has it.
            _ => None,
        }
    }
}

/// Asks the deciding thread; `None` where it has ended, or is about to and is held up.
async fn ask(ring: &Sender<Input>, what: Ask) -> Option<Reply> {
    let (reply, answer) = async_channel::bounded(1);
    let answered = async {
        ring.send(Input::Ask(what, reply)).await.ok()?;
        answer.recv().await.ok()
    };
    let given_up = async {
        ring.closed().await;
        Timer::after(HELD_UP).await;
        None
    };
    future::or(answered, given_up).await
}

async fn answer(
    operators: &Operators,
    request: Request<Result<Bytes, BodyError>>,
) -> Response<Body> {
    let ring = &operators.ring;
    let (head, body) = request.into_parts();
    if operators.room
        && let Some(call) = OperatorRequest::parse(&head.method, head.uri.path())
    {
        return platform_call(operators, call, head.uri.path(), body).await;
    }
    match (head.method.as_str(), head.uri.path()) {
        ("GET", "/v1/settings") => respond(ask(ring, Ask::Read).await),
        ("GET", "/v1/history") => respond(ask(ring, Ask::History).await),
        ("GET", "/v1/status") => own_status(ring).await,
        ("GET", "/v1/halls") => respond(ask(ring, Ask::ReadHalls).await),
        ("POST", path) if path.starts_with(HALLS_PATH) => order_hall(operators, path).await,
        ("POST", "/v1/changes") => match body {
            Ok(body) => change(ring, &body).await,
            Err(error) => problem(400, "bad-body", &error.to_string()),
        },
        _ => problem(404, "no-such-path", "see the operators' pages"),
    }
}

/// An order of the product's own interface for a hall.
async fn order_hall(operators: &Operators, path: &str) -> Response<Body> {
    let Some((hall, what)) = path.strip_prefix(HALLS_PATH).and_then(|rest| rest.split_once('/'))
    else {
        return problem(404, "no-such-path", "see the operators' pages");
    };
    let takes_work = match what {
        "empty" => false,
        "refill" => true,
        _ => return problem(404, "no-such-path", "a hall is emptied or refilled"),
    };
    if !operators.room {
        let message = "halls are emptied by order only where nodes schedule by room";
        return problem(409, "not-supported", message);
    }
    match hall.parse() {
        Ok(hall) => {
            respond(ask(&operators.ring, Ask::OrderHall(HallCommand { hall, takes_work })).await)
        }
        Err(error) => bad_hall(error),
    }
}

fn bad_hall(error: InvalidHallName) -> Response<Body> {
    problem(400, "bad-hall", &error.to_string())
}

/// A call of the platform's operators; one that only the leader can answer is sent on to it.
async fn platform_call(
    operators: &Operators,
    call: OperatorRequest,
    path: &str,
    body: Result<Bytes, BodyError>,
) -> Response<Body> {
    let asked = match (call, body) {
        (OperatorRequest::FetchConfig, _) => Ask::Fetch,
        (OperatorRequest::CommandHall(Ok(order)), _) => Ask::OrderHall(order),
        (OperatorRequest::CommandHall(Err(error)), _) => return bad_hall(error),
        (OperatorRequest::ReplaceConfig, Ok(body)) => match platform::parse_document(&body) {
            Ok(document) => Ask::Replace(document),
            Err(error) => return problem(400, "invalid", &error.to_string()),
        },
        (OperatorRequest::ReplaceConfig, Err(error)) => {
            let status = if error == BodyError::TooLong { 413 } else { 400 };
            return problem(status, "bad-body", &error.to_string());
        }
    };
    match ask(&operators.ring, asked).await {
        Some(Reply::Replaced | Reply::Halls(_)) => json(200, &serde_json::json!({})),
        Some(Reply::Document(Some(document))) => whole(&document.body),
        Some(Reply::Document(None)) => problem(503, "no-document", "there never was one"),
        Some(Reply::NotLeader(Some(leader))) => send_on(operators.address, &leader, path),
        _ => unsure(None),
    }
}

/// The document as it was sent.
fn whole(body: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_owned()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Sends a caller on to the leader.
fn send_on(own: SocketAddr, leader: &NodeName, path: &str) -> Response<Body> {
    let address = leader.as_str().parse::<SocketAddr>().ok();
    let Some(address) = address.filter(|address| address.ip() != own.ip()) else {
        return unsure(None);
    };
    let place = format!("http://{}{path}", SocketAddr::new(address.ip(), own.port()));
    let mut response = problem(307, "not-leader", "ask the leader");
    match HeaderValue::from_str(&place) {
        Ok(place) => {
            response.headers_mut().insert(LOCATION, place);
            response
        }
        Err(_) => unsure(None),
    }
}

fn respond(reply: Option<Reply>) -> Response<Body> {
    match reply {
        Some(Reply::Tree(tree)) => json(200, &tree),
        Some(Reply::History(versions)) => json(200, &versions),
        Some(Reply::Change(result)) => json(status(&result), &result),
        Some(Reply::Halls(halls)) => json(200, &halls),
        Some(Reply::NotLeader(leader)) => unsure(leader),
        Some(
            Reply::Pull(_)
            | Reply::Replaced
            | Reply::Document(_)
            | Reply::Watch(_)
            | Reply::Part(_),
        )
        | None => problem(503, "not-ready", "the keeper is stopping"),
    }
}

fn unsure(leader: Option<model::NodeName>) -> Response<Body> {
    let message = match leader {
        Some(leader) => format!("ask {leader}, which may lead"),
        None => "no leader is known".to_owned(),
    };
    problem(503, "not-leader", &message)
}

async fn own_status(ring: &Sender<Input>) -> Response<Body> {
    let (reply, answer) = async_channel::bounded(1);
    let sent = ring.send(Input::Status(reply)).await.is_ok();
    match answer.recv().await {
        Ok(status) if sent => json(200, &status),
        _ => problem(503, "not-ready", "the keeper is stopping"),
    }
}

async fn change(ring: &Sender<Input>, body: &[u8]) -> Response<Body> {
    match serde_json::from_slice::<ChangeRequest>(body) {
        Ok(request) => respond(ask(ring, Ask::Change(request)).await),
        Err(error) => problem(400, "bad-body", &error.to_string()),
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
