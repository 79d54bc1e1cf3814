//! An entry's decisions where tasks are placed by the room that targets have.
//!
//! The entry holds a job for as long as its client waits: it places the tasks at agents with free
//! room, collects how they end, and answers once, whole. Nothing is kept: a job dies with its
//! entry, and the agents stop its tasks.
//!
//! No clock, socket or thread in here: [`Dispatcher::handle`] takes a time and an event and gives
//! the actions that follow.

mod admission;
mod agents;
mod answers;
mod bulk_end;
mod cancel_notices;
mod cancels;
mod crashes;
mod dispatcher;
mod event;
mod feasibility;
mod halls;
mod job;
mod placement;
mod planned_stop;
mod policy;
mod retry_schedule;
mod task_reports;
mod timeouts;
mod urgent_reserve;

pub use cancel_notices::CancelNotices;
pub use dispatcher::{Dispatcher, DispatcherCounters, Timing};
pub use event::{
    Action, CallId, Event, HallsSource, JobRequest, LogEvent, Outcome, Reason, SessionId,
    TargetSummary, TaskShape,
};
pub use planned_stop::{PlannedStop, StopStatus, StopStep, StopTiming};
pub use policy::Policy;
