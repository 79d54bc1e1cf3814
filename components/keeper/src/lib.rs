//! The settings tree as keepers keep it: a replicated log of changes, versions, deltas for nodes.
//!
//! No clock, socket or disk in here: [`Keeper::handle`] takes a time and an event and gives the
//! actions that follow.

mod event;
mod keeper;
mod state;

pub use event::{Action, Event, News, Reply, Ticket, TreeReply};
pub use keeper::{Keeper, KeeperError, initial_records};
pub use state::{Command, State, Version};
