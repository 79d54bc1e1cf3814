//! A whole dockpass in one process on loopback: keeper, entries, agents and stand-in targets,
//! each role with its own threads and sockets.

// How long a test waits.
#![allow(clippy::disallowed_methods)]

mod cluster;
mod jobs;

pub use cluster::{Cluster, ClusterError, ClusterOptions};
pub use jobs::{JobFile, JobFileError, JobSpec};
