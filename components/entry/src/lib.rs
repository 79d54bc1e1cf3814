//! The state machine of an entry: admits or refuses requests, claims submissions, places tasks
//! on targets and gathers their answers.
//!
//! The crate does no I/O and reads no clock: [`Entry::handle`] takes the current time and an event
//! and appends the resulting actions.

mod claim_rounds;
mod entry;
mod event;
mod gather;
mod intake;
mod job;
mod kinds;
mod owner_lookup;
mod placing;
mod service;
mod settle;
mod table;
mod targets;
mod tokens;

pub use entry::{Entry, Setup};
pub use event::{Action, Answers, CallId, Connection, Event, LogEvent, OwnerCall};
