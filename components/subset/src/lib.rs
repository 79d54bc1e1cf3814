//! Which entries an agent keeps sessions with.
//!
//! With a session between each entry and each agent, heartbeats and loads grow with entries times
//! agents. So each agent serves only some entries, chosen by rendezvous hashing over the entries that
//! live: every agent chooses for itself, needs to know no other agent, and the loss of an entry moves
//! only the agents that served it.
//!
//! No clock or socket in here: [`Subset::update_registered`] and [`Subset::select`] take a time.

mod steady;
mod subset;

pub use subset::{Subset, SubsetSizes};
