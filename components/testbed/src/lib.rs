//! A complete dockpass cluster in one process on loopback: keepers, entries, agents and fake
//! targets, each with its own threads and sockets.

// `Instant` only measures how long a test waits.
#![allow(clippy::disallowed_methods)]

mod cluster;
mod jobs;

pub use cluster::{Cluster, ClusterError, ClusterOptions};
pub use jobs::{JobFile, JobFileError, JobSpec};
