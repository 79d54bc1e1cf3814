//! Selects the entries with which an agent keeps sessions.
//!
//! With a session between every entry and every agent, heartbeat and load traffic would grow with
//! the product of their numbers. Each agent therefore serves a subset of the live entries, selected
//! by rendezvous hashing. Agents need no coordination, and the loss of an entry affects only the
//! agents that served it.
//!
//! This crate uses neither clock nor sockets: the caller passes the current time to
//! [`Subset::update_registered`] and [`Subset::select`].

mod debounce;
mod subset;

pub use subset::{Subset, SubsetSizes};
