//! The HTTP interface that entries offer to clients: routes, JSON request bodies and responses.
//!
//! This crate only parses and formats; the daemon runs the HTTP server.

mod body;
mod response;
mod route;

pub use body::{
    BODY_BYTES_MAX, JobBody, RequestBody, Submission, TASKS_MAX, parse_job, parse_request,
};
pub use response::{ApiResponse, VERDICT_HEADER, outcome_response};
pub use route::{Route, parse_route};
