//! Host membership: which hosts exist, are alive or are leaving.
//!
//! [`HostList`] is the platform's list of the hosts that may exist, with those that are leaving; it
//! may be out of date. [`Detector`] determines which nodes are alive.

mod detector;
mod gossip;
mod host_list;
mod message;

pub use detector::{Detector, Event, Liveness, Timing};
pub use gossip::{Status, Update};
pub use host_list::{Host, HostList, HostState, Role};
pub use message::Message;
