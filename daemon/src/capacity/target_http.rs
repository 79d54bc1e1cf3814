//! The agent's HTTP server for reports of its target.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use hyper::{Request, Response, StatusCode};
use net::{Body, BodyError, Clients, HeldBody, LimitReason, Limits, RequestBody, Spawner};
use platform::TargetRequest;
use runner::Event;
use serde_json::json;

use super::agent::Agent;
use crate::event_log::Budget;
use crate::text::shortened;

/// Limits for the connections of the target.
const LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 256 * 1024,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(30),
    max_connections: 64,
    socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
};

/// Serves the target until the process ends.
pub(super) fn serve(
    listener: Async<TcpListener>,
    tasks: &Spawner,
    clients: Clients,
    agent: Rc<Agent>,
) {
    let handler = move |request| {
        let agent = agent.clone();
        async move { handle_request(&agent, request).await }
    };
    tasks.spawn(net::serve(listener, tasks.clone(), clients, || LIMITS, handler));
}

async fn handle_request(agent: &Rc<Agent>, request: Request<RequestBody>) -> Response<Body> {
    let (head, body) = request.into_parts();
    match TargetRequest::parse(&head.method, head.uri.path()) {
        Some(TargetRequest::Heartbeat(id)) => match body.read().await {
            Ok(body) => handle_heartbeat(agent, &id, &body),
            Err(error) => {
                let status = if error == BodyError::Refused { 503 } else { 400 };
                build_response(status, json!({"error": error.to_string()}).to_string())
            }
        },
        Some(TargetRequest::Deregister(id)) => {
            // Without a readable body the instance is unknown, as with an empty body.
            let body = body.read().await;
            let body = body.as_deref().unwrap_or_default();
            agent.handle_event(Event::TargetLeft(platform::parse_deregistration(&id, body)));
            build_response(200, "{}".to_owned())
        }
        None => build_response(404, "{}".to_owned()),
    }
}

fn handle_heartbeat(agent: &Rc<Agent>, id: &str, body: &HeldBody) -> Response<Body> {
    if model::has_more_json_values(body, agent.max_body_values) {
        agent.clients.count_refused(LimitReason::BodyValues);
        let error = format!("a heartbeat of more than {} values", agent.max_body_values);
        return build_response(413, json!({"error": error}).to_string());
    }
    match agent.read_report(id, body) {
        Ok(report) => {
            // Responds only after the report is processed. A late report is acknowledged too: an
            // instance that has ended ignores the response, while the current one would count a
            // refusal as a failed report and miss the acknowledgement that it is leaving.
            agent.handle_event(Event::TargetReported(report));
            build_response(200, "{}".to_owned())
        }
        Err(error) => {
            let reason = error.to_string();
            agent.log.line(
                "target-report-refused",
                Budget::Full,
                || json!({"target": id, "reason": reason}),
            );
            build_response(400, json!({"error": shortened(&reason)}).to_string())
        }
    }
}

fn build_response(status: u16, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
