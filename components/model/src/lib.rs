//! Data types shared by all roles: identifiers, time, resources, failures and verdicts.

mod cancelled;
mod digest;
mod expiry;
mod failure;
mod id;
mod interner;
mod job;
mod json;
mod map;
mod resources;
mod time;
mod verdict;

pub use cancelled::CancelledJobs;
pub use digest::Digest;
pub use expiry::Expiry;
pub use failure::{Code, Failure};
pub use id::{Incarnation, InvalidSubmissionId, NodeName, NodeRef, SubmissionId, TaskKey};
pub use interner::{Interned, Interner};
pub use job::{JobId, TaskId};
pub use json::has_more_json_values;
pub use map::Map;
pub use resources::Resources;
pub use time::Time;
pub use verdict::Verdict;
