//! The state machine of an agent: the process on a target's host that alone starts tasks on the
//! target, and that holds claims for entries.
//!
//! The crate does no I/O and reads no clock: [`Agent::handle`] takes the current time and an event
//! and appends the resulting actions.

mod agent;
mod event;
mod sessions;
mod tasks;
mod tokens;

pub use agent::{Agent, Setup};
pub use event::{Action, CallId, Event, LogEvent, Reply, Request};
