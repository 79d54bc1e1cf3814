//! The agent's decision logic for a target that accepts work by capacity under a lease.
//!
//! The agent is the only process that sends commands to its target, and stops the runs of an entry
//! as soon as their session is lost. It renews the lease by a *hold*: a long-poll request that the
//! target answers when a run ends or its wait is over. The crate has no clock, sockets or threads:
//! [`Runner::handle`] takes a time and an event and appends the resulting actions.

mod commands;
mod crash_evidence;
mod crashed_tasks;
mod event;
mod halls;
mod health;
mod hold;
mod hold_timing;
mod instances;
mod load_reports;
mod run;
mod runner;
mod sessions;
mod start_rate;
mod target;
mod timing;

pub use event::{
    Action, EndEvidence, EndReason, Event, HallsSource, HoldCommand, HoldReply, LogEvent, RunKey,
    SessionId, SessionOffers, StartCommand, StartRefusal, StartReply, StopCommand, StopReply,
    TargetEnd, TargetInstance, TargetReport, TargetRun,
};
pub use load_reports::MAX_LOGGED_OFFERS;
pub use runner::{Runner, RunnerCounters};
pub use timing::Timing;
