//! Telemetry of the roles: counters, message counts, latency histograms, invariant violations and
//! scheduling decisions.
//!
//! The types are plain data without I/O; the daemon exports them to logs and metrics.

mod breach;
mod counters;
mod decision;
mod latency;
mod messages;
mod queue_table;

pub use breach::Breach;
pub use counters::{AgentCounters, EntryCounters};
pub use decision::{Decision, DecisionKind};
pub use latency::LatencyHistogram;
pub use messages::{MessageCounts, MessageKind};
pub use queue_table::QueueTable;
