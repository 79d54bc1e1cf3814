//! The decisions of an agent: the process beside a target, which alone starts work on it.
//!
//! No clock, socket or thread in here: [`Agent::handle`] takes a time and an event and gives the
//! actions that follow.

mod agent;
mod event;
mod exchange;
mod sessions;
mod tasks;

pub use agent::{Agent, Setup};
pub use event::{Action, CallId, Event, LogEvent, Reply, Request};
