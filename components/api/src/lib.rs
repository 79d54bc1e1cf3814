//! The interface for callers of an entry: HTTP paths, JSON bodies, answers.
//!
//! Only reading and writing of values; sockets are elsewhere. The interface is described for its
//! users in `docs/callers.md`.

mod answer;
mod body;
mod route;

pub use answer::{ApiResponse, VERDICT_HEADER, outcome_response};
pub use body::{
    BODY_BYTES_MAX, JobBody, RequestBody, Submission, TASKS_MAX, parse_job, parse_request,
};
pub use route::{Route, parse_route};
