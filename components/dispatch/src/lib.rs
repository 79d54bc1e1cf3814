//! Decisions of an entry that places tasks by the free capacity which targets report.
//!
//! The entry holds a job while its client waits and gives one answer for the whole job. Nothing is
//! stored: if the entry dies, its jobs are lost and the agents stop their tasks. The crate uses no
//! clock, socket or thread: [`Dispatcher::handle`] takes a time and an event and appends the
//! resulting actions.

mod admission;
mod agents;
mod answers;
mod bulk_end;
mod cancel_notices;
mod cancels;
mod crashes;
mod data_demand;
mod demand;
mod dispatcher;
mod event;
mod feasibility;
mod halls;
mod job;
mod placement;
mod planned_stop;
mod policy;
mod retry_schedule;
mod run_times;
mod task_reports;
mod timeouts;
mod timing;
mod urgent_reserve;

pub use cancel_notices::CancelNotices;
pub use dispatcher::{Dispatcher, DispatcherCounters};
pub use event::{
    Action, CallId, DataLocation, Event, HallsSource, JobRequest, LogEvent, Outcome, Reason,
    SessionId, TargetSummary, TaskShape,
};
pub use planned_stop::{PlannedStop, StopStatus, StopStep, StopTiming};
pub use policy::Policy;
pub use timing::Timing;
