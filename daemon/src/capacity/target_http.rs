//! The agent's HTTP server for reports of its target.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use net::{Body, BodyError, Limits, Spawner};
use platform::TargetRequest;
use runner::Event;
use serde_json::json;

use super::agent::Agent;
use crate::event_log::Budget;

/// Limits for the connections of the target.
const LIMITS: Limits = Limits {
    max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 256 * 1024,
    read_timeout: Duration::from_secs(30),
    max_connections: 64,
};

/// Serves the target until the process ends.
pub(super) fn serve(listener: Async<TcpListener>, tasks: &Spawner, agent: Rc<Agent>) {
    let handler = move |request| {
        let agent = agent.clone();
        async move { handle_request(&agent, request) }
    };
    tasks.spawn(net::serve(listener, tasks.clone(), || LIMITS, handler));
}

fn handle_request(agent: &Rc<Agent>, request: Request<Result<Bytes, BodyError>>) -> Response<Body> {
    let (head, body) = request.into_parts();
    match (TargetRequest::parse(&head.method, head.uri.path()), body) {
        (Some(TargetRequest::Heartbeat(id)), Ok(body)) => match agent.read_report(&id, &body) {
            Ok(report) => {
                // Responds only after the report is processed. A late report is acknowledged too:
                // an instance that has ended ignores the response, while the current one would
                // count a refusal as a failed report and miss the acknowledgement that it is
                // leaving.
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
                build_response(400, json!({"error": reason}).to_string())
            }
        },
        (Some(TargetRequest::Deregister(id)), body) => {
            // Without a readable body the instance is unknown, as with an empty body.
            let body = body.unwrap_or_default();
            agent.handle_event(Event::TargetLeft(platform::parse_deregistration(&id, &body)));
            build_response(200, "{}".to_owned())
        }
        (Some(TargetRequest::Heartbeat(_)), Err(error)) => {
            build_response(400, json!({"error": error.to_string()}).to_string())
        }
        (None, _) => build_response(404, "{}".to_owned()),
    }
}

fn build_response(status: u16, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
