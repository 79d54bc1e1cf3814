//! The interface for callers of an entry: HTTP paths, JSON bodies, answers.
//!
//! Only reading and writing of values; sockets are elsewhere. The interface is described for its
//! users in `docs/callers.md`.

mod answer;
mod body;
mod route;

pub use answer::{Answer, VERDICT_HEADER, write_outcome};
pub use body::{BODY_BYTES_MAX, JobBody, RequestBody, TASKS_MAX, Work, read_job, read_request};
pub use route::{Route, read_route};
