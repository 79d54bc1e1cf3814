//! Routes: request methods and paths.

use model::{Code, Failure, SubmissionId, Verdict};

/// A recognized request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// `PUT /v1/jobs/{submission}`: submit a job and wait for its answer.
    SubmitJob(SubmissionId),
    /// `PUT /v1/requests/{submission}`: submit a single task and wait for its answer.
    SubmitRequest(SubmissionId),
    /// `GET /v1/jobs/{submission}` or `/v1/requests/{submission}`: fetch the outcome of a
    /// submission.
    Fetch(SubmissionId),
    /// `GET /ready`: whether the load balancer may send requests to this entry.
    Ready,
    /// `GET /v1/status`: the entry's status and counters, as JSON.
    Status,
}

/// Parses a request's method and path.
///
/// Fails with [`Code::NoSuchPath`] or [`Code::BadId`].
pub fn parse_route(method: &str, path: &str) -> Result<Route, Failure> {
    match (method, path) {
        ("GET", "/ready") => return Ok(Route::Ready),
        ("GET", "/v1/status") => return Ok(Route::Status),
        _ => {}
    }
    if let Some(id) = path.strip_prefix("/v1/jobs/") {
        return match method {
            "PUT" => Ok(Route::SubmitJob(parse_id(id)?)),
            "GET" => Ok(Route::Fetch(parse_id(id)?)),
            _ => no_such_path(method, path),
        };
    }
    if let Some(id) = path.strip_prefix("/v1/requests/") {
        return match method {
            "PUT" => Ok(Route::SubmitRequest(parse_id(id)?)),
            "GET" => Ok(Route::Fetch(parse_id(id)?)),
            _ => no_such_path(method, path),
        };
    }
    no_such_path(method, path)
}

fn parse_id(text: &str) -> Result<SubmissionId, Failure> {
    text.parse().map_err(|error| Failure::new(Code::BadId, Verdict::NotRun, format!("{error}")))
}

fn no_such_path(method: &str, path: &str) -> Result<Route, Failure> {
    let path: String = path.chars().take(100).collect();
    let message = format!("nothing answers {method} {path}");
    Err(Failure::new(Code::NoSuchPath, Verdict::NotRun, message))
}
