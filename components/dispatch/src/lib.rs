//! An entry's decisions where tasks are placed by the room that targets have.
//!
//! The entry holds a job for as long as its client waits: it places the tasks at agents with free
//! room, collects how they end, and answers once, whole. Nothing is kept: a job dies with its
//! entry, and the agents stop its tasks.
//!
//! No clock, socket or thread in here: [`Dispatcher::handle`] takes a time and an event and gives
//! the actions that follow.

mod agents;
mod answers;
mod cancels;
mod crashes;
mod dispatcher;
mod ends;
mod event;
mod halls;
mod intake;
mod job;
mod notices;
mod place;
mod policy;
mod reports;
mod reserve;
mod returns;
mod servable;
mod stop;
mod waits;

pub use dispatcher::{Dispatcher, DispatcherCounters, Timing};
pub use event::{
    Action, CallId, Event, HallsSource, JobRequest, LogEvent, Outcome, Reason, SessionId,
    TargetSummary, TaskShape,
};
pub use notices::CancelNotices;
pub use policy::Policy;
pub use stop::{PlannedStop, StopStatus, StopStep, StopTiming};
