//! Which hosts exist, live and leave.
//!
//! The platform's list ([`HostList`]) names who may exist and who is leaving, and lags. Who lives
//! is found out by [`Detector`], after direct signs such as answers and broken connections.

mod detector;
mod gossip;
mod list;
mod probe;

pub use detector::{Detector, Event, Liveness, Timing};
pub use gossip::{Status, Update};
pub use list::{Host, HostList, HostState, Role};
pub use probe::Message;
