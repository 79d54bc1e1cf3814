//! The entry's HTTP servers: requests of callers and readiness checks of the load balancer.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use dispatch::{JobRequest, Outcome};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use model::JobId;
use net::{Body, BodyError, HeldBody, LimitReason, Limits, RequestBody, Spawner};
use platform::{ClientRequest, InvalidJob, InvalidRequest, Reply};
use routing::{HttpLimits, Route, RouteTable};
use serde_json::json;

use super::entry::Entry;
use crate::event_log::Budget;
use crate::text::shortened;

/// Max open connections of callers.
const MAX_CONNECTIONS: usize = 3_000;
/// Limits for the connections of the load balancer.
const READY_LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 4_096,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(30),
    max_connections: 64,
    socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
};
/// `Retry-After` while the memory for clients is used up.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` while a configuration is still being fetched.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves callers until the entry closes its intake.
pub(super) fn serve_callers(listener: Async<TcpListener>, tasks: &Spawner, entry: Rc<Entry>) {
    let limits_source = entry.clone();
    let (connections, clients) = (entry.stop.connections.clone(), entry.clients.clone());
    let limits = move || {
        let limits =
            limits_source.route_table().map_or_else(HttpLimits::default, |table| table.limits);
        Limits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            head_timeout: limits.header_timeout,
            body_timeout: limits.idle_timeout.max(limits.header_timeout),
            idle_timeout: limits.idle_timeout,
            max_connections: MAX_CONNECTIONS,
            socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
        }
    };
    let handler = move |request| {
        let entry = entry.clone();
        async move { handle_request(&entry, request).await }
    };
    tasks.spawn(net::serve_until_closed(
        listener,
        tasks.clone(),
        clients,
        connections,
        limits,
        handler,
    ));
}

/// Answers readiness checks until the process ends.
pub(super) fn serve_ready(listener: Async<TcpListener>, tasks: &Spawner, entry: Rc<Entry>) {
    let clients = entry.clients.clone();
    let handler = move |_: Request<RequestBody>| {
        let status = if entry.is_ready() { 200 } else { 503 };
        entry.stop.record_readiness_check(entry.now());
        async move { plain_response(status, "") }
    };
    tasks.spawn(net::serve(listener, tasks.clone(), clients, || READY_LIMITS, handler));
}

async fn handle_request(entry: &Rc<Entry>, request: Request<RequestBody>) -> Response<Body> {
    let mut response = route_request(entry, request).await;
    if entry.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    entry.record_response(response.status().as_u16());
    response
}

/// Answers a request. What the head decides is answered without reading the body.
async fn route_request(entry: &Rc<Entry>, request: Request<RequestBody>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let table = entry.route_table();
    let (route, call) = match find_route(entry, table.as_deref(), &head) {
        Ok(found) => found,
        Err(reply) => return json_response(&reply),
    };
    match call {
        ClientRequest::Submit(id) => match body.read().await {
            Ok(body) => submit_body(entry, id, &head, body).await,
            Err(error) => json_response(&body_error_reply(entry, &head, error)),
        },
        ClientRequest::Get(id) => json_response(&platform::state_reply(entry.has_job(&id))),
        ClientRequest::Cancel(id) => cancel(entry, id),
        ClientRequest::CountWaiting => json_response(&queue_count(entry, route)),
    }
}

/// Finds the route of a request and parses what it asks for; fails with the reply to the client.
fn find_route<'t>(
    entry: &Entry,
    table: Option<&'t RouteTable>,
    head: &Parts,
) -> Result<(&'t Route, ClientRequest), Reply> {
    let Some(table) = table else {
        let reply = error_reply(503, "no configuration yet");
        return Err(Reply { retry_after: Some(CONFIGURATION_RETRY_AFTER), ..reply });
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = head.uri.host().unwrap_or(host);
    let path = head.uri.path();
    let Some(route) = table.find(host, path) else {
        let version = table.version;
        entry.log.line("no-queue", Budget::Full, || {
            json!({"host": host, "path": path, "version": version,
                "behind": entry.is_behind()})
        });
        return Err(queue_not_found(entry));
    };
    match ClientRequest::parse(route, &head.method, path) {
        Ok(call) => Ok((route, call)),
        Err(error) => {
            let status = if error == InvalidRequest::UnsupportedMethod { 405 } else { 400 };
            Err(reject(entry, path, status, &error.to_string()))
        }
    }
}

fn body_error_reply(entry: &Entry, head: &Parts, error: BodyError) -> Reply {
    let status = match error {
        BodyError::TooLong => 413,
        BodyError::Timeout => 408,
        BodyError::Disconnected => 400,
        BodyError::Refused => return no_memory(),
    };
    reject(entry, head.uri.path(), status, &error.to_string())
}

/// Submits the job in a body, unless it is invalid or too large.
async fn submit_body(entry: &Rc<Entry>, id: JobId, head: &Parts, body: HeldBody) -> Response<Body> {
    if model::has_more_json_values(&body, entry.max_body_values) {
        entry.clients.count_refused(LimitReason::BodyValues);
        let reason = format!("not taken: more than {} values", entry.max_body_values);
        return json_response(&error_reply(413, &reason));
    }
    // The routes may have changed while the body was read.
    let table = entry.route_table();
    let route = match find_route(entry, table.as_deref(), head) {
        Ok((route, _)) => route,
        Err(reply) => return json_response(&reply),
    };
    let job = match platform::parse_job(route, id, &head.headers, &body) {
        Ok(job) => job,
        Err(error) => {
            let status = job_error_status(&error);
            let reply = reject(entry, head.uri.path(), status, &error.to_string());
            return json_response(&reply);
        }
    };
    if job.shape.count > entry.max_job_tasks {
        entry.clients.count_refused(LimitReason::JobTasks);
        let reason = format!("not taken: more than {} tasks", entry.max_job_tasks);
        return json_response(&error_reply(413, &reason));
    }
    // Held until the job is answered.
    match body.replace(job.memory_bytes()) {
        Ok(_hold) => submit(entry, job).await,
        Err(_) => json_response(&no_memory()),
    }
}

fn job_error_status(error: &InvalidJob) -> u16 {
    match error {
        InvalidJob::Unsupported(_) => 503,
        _ => 400,
    }
}

/// Refuses a request for lack of memory. Nothing of it has run.
fn no_memory() -> Reply {
    let reply = error_reply(503, "not run: too many clients send large requests");
    Reply { retry_after: Some(NO_MEMORY_RETRY_AFTER), ..reply }
}

fn queue_count(entry: &Entry, route: &Route) -> Reply {
    platform::count_reply(entry.waiting_jobs(&route.name))
}

async fn submit(entry: &Rc<Entry>, job: JobRequest) -> Response<Body> {
    log_late_request(entry, &job);
    let (receiver, _guard) = entry.submit(job);
    // The sender is dropped without an outcome only when the entry ends.
    let outcome = receiver.recv().await;
    let outcome = outcome.unwrap_or(Outcome::MayHaveRun(dispatch::Reason::Draining));
    json_response(&platform::outcome_reply(outcome))
}

/// Logs a job that arrives after the load balancer has noticed the planned stop.
fn log_late_request(entry: &Entry, job: &JobRequest) {
    let Some(time_left) = entry.stop.time_left(entry.now()) else { return };
    entry.log.line("late-request", Budget::Full, || {
        json!({"job": job.id.as_str(), "left_ms": time_left.as_millis() as u64,
            "objective_ms": job.objective.as_millis() as u64,
            "deadline_ms": job.deadline.as_millis() as u64})
    });
}

/// Cancels a job, also if another entry has it.
fn cancel(entry: &Entry, id: JobId) -> Response<Body> {
    let known = entry.has_job(&id);
    entry.log.line("cancel", Budget::Full, || json!({"job": id.as_str(), "here": known}));
    entry.handle_event(dispatch::Event::Cancel(id));
    json_response(&match known {
        true => Reply { status: 200, retry_after: None, body: "{}".to_owned() },
        false => platform::state_reply(false),
    })
}

/// Rejects a request whose queue is not in the routing table. Clients take 404 as final, so they
/// are told to retry while a newer configuration, which may have the queue, is still being fetched.
fn queue_not_found(entry: &Entry) -> Reply {
    if !entry.is_behind() {
        return error_reply(404, "no such queue");
    }
    let reply = error_reply(503, "a newer configuration is on its way");
    Reply { retry_after: Some(CONFIGURATION_RETRY_AFTER), ..reply }
}

/// Logs and rejects an invalid request.
fn reject(entry: &Entry, path: &str, status: u16, reason: &str) -> Reply {
    entry.log.line(
        "malformed",
        Budget::Full,
        || json!({"path": path, "status": status, "reason": reason}),
    );
    error_reply(status, reason)
}

fn error_reply(status: u16, reason: &str) -> Reply {
    Reply { status, retry_after: None, body: json!({"error": shortened(reason)}).to_string() }
}

fn json_response(reply: &Reply) -> Response<Body> {
    let mut response = plain_response(reply.status, &reply.body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = reply.retry_after {
        // `Retry-After` takes whole seconds; zero would ask for an immediate retry.
        let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn plain_response(status: u16, body: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_owned()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
