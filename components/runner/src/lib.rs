//! An agent's decisions where its target takes work by room, under a lease.
//!
//! The agent alone gives its target orders. It admits tasks of several entries into the target's
//! room, keeps the target's lease alive, hears how tasks end, and stops what it runs for an entry
//! as soon as their session is dead.
//!
//! No clock, socket or thread in here: [`Runner::handle`] takes a time and an event and gives the
//! actions that follow.

mod event;
mod halls;
mod health;
mod hold;
mod hold_times;
mod lives;
mod loads;
mod orders;
mod rate;
mod run;
mod runner;
mod sessions;
mod target;
mod turns;

pub use event::{
    Action, EndReason, Event, HallsSource, HoldCommand, HoldReply, LogEvent, RunKey, SessionId,
    StartCommand, StartRefusal, StartReply, StopCommand, StopReply, TargetEnd, TargetInstance,
    TargetReport, TargetRun,
};
pub use runner::{Runner, RunnerCounters, Timing};
