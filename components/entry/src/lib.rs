//! The decisions of an entry: admits or refuses requests, places tasks, gathers answers.
//!
//! No clock, socket or thread in here: [`Entry::handle`] takes a time and an event and gives the
//! actions that follow.

mod claiming;
mod entry;
mod event;
mod exchange;
mod gather;
mod inquiry;
mod intake;
mod job;
mod kinds;
mod place;
mod service;
mod settle;
mod table;
mod targets;

pub use entry::{Entry, Setup};
pub use event::{Action, Answers, CallId, Connection, Event, LogEvent, OwnerCall};
