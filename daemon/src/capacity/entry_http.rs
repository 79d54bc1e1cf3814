//! The entry's HTTP servers: requests of callers and readiness checks of the load balancer.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use dispatch::Outcome;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use net::{Body, BodyError, Limits, Spawner};
use platform::{ClientRequest, InvalidJob, InvalidRequest, Reply};
use routing::{HttpLimits, Route};
use serde_json::json;

use super::entry::Entry;
use crate::event_log::Budget;

/// Max open connections of callers.
const MAX_CONNECTIONS: usize = 3_000;
/// Limits for the connections of the load balancer.
const READY_LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 4_096,
    read_timeout: Duration::from_secs(30),
    max_connections: 64,
};
/// `Retry-After` while a configuration is still being fetched.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves callers until the entry closes its intake.
pub(super) fn serve_callers(listener: Async<TcpListener>, tasks: &Spawner, entry: Rc<Entry>) {
    let limits_source = entry.clone();
    let connections = entry.stop.connections.clone();
    let limits = move || {
        let limits =
            limits_source.route_table().map_or_else(HttpLimits::default, |table| table.limits);
        Limits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            // The server starts the header timeout at the previous response, so it has to cover the
            // idle time.
            read_timeout: limits.idle_timeout.max(limits.header_timeout),
            max_connections: MAX_CONNECTIONS,
        }
    };
    let handler = move |request| {
        let entry = entry.clone();
        async move { handle_request(&entry, request).await }
    };
    tasks.spawn(net::serve_until_closed(listener, tasks.clone(), connections, limits, handler));
}

/// Answers readiness checks until the process ends.
pub(super) fn serve_ready(listener: Async<TcpListener>, tasks: &Spawner, entry: Rc<Entry>) {
    let handler = move |_: Request<Result<Bytes, BodyError>>| {
        let status = if entry.is_ready() { 200 } else { 503 };
        entry.stop.record_readiness_check(entry.now());
        async move { plain_response(status, "") }
    };
    tasks.spawn(net::serve(listener, tasks.clone(), || READY_LIMITS, handler));
}

async fn handle_request(
    entry: &Rc<Entry>,
    request: Request<Result<Bytes, BodyError>>,
) -> Response<Body> {
    let mut response = route_request(entry, request).await;
    if entry.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    entry.record_response(response.status().as_u16());
    response
}

async fn route_request(
    entry: &Rc<Entry>,
    request: Request<Result<Bytes, BodyError>>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Some(table) = entry.route_table() else {
        let reply = error_reply(503, "no configuration yet");
        return json_response(&Reply { retry_after: Some(CONFIGURATION_RETRY_AFTER), ..reply });
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
        return json_response(&queue_not_found(entry));
    };
    let call = match ClientRequest::parse(route, &head.method, path) {
        Ok(call) => call,
        Err(error) => {
            let status = if error == InvalidRequest::UnsupportedMethod { 405 } else { 400 };
            return json_response(&reject(entry, path, status, &error.to_string()));
        }
    };
    match (call, body) {
        (ClientRequest::Submit(id), Ok(body)) => {
            match platform::parse_job(route, id, &head.headers, &body) {
                Ok(job) => submit(entry, job).await,
                Err(error) => json_response(&reject(
                    entry,
                    path,
                    job_error_status(&error),
                    &error.to_string(),
                )),
            }
        }
        (ClientRequest::Submit(_), Err(error)) => {
            let status = match error {
                BodyError::TooLong => 413,
                BodyError::Timeout => 408,
                BodyError::Disconnected => 400,
            };
            json_response(&reject(entry, path, status, &error.to_string()))
        }
        (ClientRequest::Get(id), _) => json_response(&platform::state_reply(entry.has_job(&id))),
        (ClientRequest::Cancel(id), _) => cancel(entry, id),
        (ClientRequest::CountWaiting, _) => json_response(&queue_count(entry, route)),
    }
}

fn job_error_status(error: &InvalidJob) -> u16 {
    match error {
        InvalidJob::Unsupported(_) => 503,
        _ => 400,
    }
}

fn queue_count(entry: &Entry, route: &Route) -> Reply {
    platform::count_reply(entry.waiting_jobs(&route.name))
}

async fn submit(entry: &Rc<Entry>, job: dispatch::JobRequest) -> Response<Body> {
    log_late_request(entry, &job);
    let (receiver, _guard) = entry.submit(job);
    // The sender is dropped without an outcome only when the entry ends.
    let outcome = receiver.recv().await;
    let outcome = outcome.unwrap_or(Outcome::MayHaveRun(dispatch::Reason::Draining));
    json_response(&platform::outcome_reply(outcome))
}

/// Logs a job that arrives after the load balancer has noticed the planned stop.
fn log_late_request(entry: &Entry, job: &dispatch::JobRequest) {
    let Some(time_left) = entry.stop.time_left(entry.now()) else { return };
    entry.log.line("late-request", Budget::Full, || {
        json!({"job": job.id.as_str(), "left_ms": time_left.as_millis() as u64,
            "objective_ms": job.objective.as_millis() as u64,
            "deadline_ms": job.deadline.as_millis() as u64})
    });
}

/// Cancels a job, also if another entry has it.
fn cancel(entry: &Entry, id: model::JobId) -> Response<Body> {
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
    Reply { status, retry_after: None, body: json!({"error": reason}).to_string() }
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
