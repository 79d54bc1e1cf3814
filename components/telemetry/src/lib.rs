//! What the roles report of themselves: counters, message accounts, breaches and decisions.
//!
//! All of it is plain data that the decision libraries fill; writing it to logs is the daemon's.

mod breach;
mod counters;
mod decision;
mod latency;
mod messages;

pub use breach::Breach;
pub use counters::{AgentCounters, EntryCounters};
pub use decision::{Decision, DecisionKind};
pub use latency::LatencyHistogram;
pub use messages::{MessageCounts, MessageKind};
