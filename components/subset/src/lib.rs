//! Selects the entries with which an agent keeps sessions.
//!
//! If every agent had a session with every entry, heartbeat and load traffic would grow with the
//! product of their numbers. Each agent therefore serves a subset of the registered entries, chosen
//! without coordination by rendezvous hashing, so that the loss of an entry affects only the agents
//! that served it. The crate uses neither clock nor sockets: the caller passes the current time.

mod debounce;
mod subset;

pub use subset::{Subset, SubsetSizes};
