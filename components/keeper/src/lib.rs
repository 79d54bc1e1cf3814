//! The settings tree as keepers keep it: a replicated log of changes, versions, deltas for nodes.
//!
//! Beside the tree they keep one document, which operators replace as a whole, and a list of the
//! nodes that are registered, which is not replicated.
//!
//! No clock, socket or disk in here: [`Keeper::handle`] takes a time and an event and gives the
//! actions that follow.

mod committed;
mod event;
mod fetch;
mod full_disk;
mod keeper;
mod registry;
mod roster;
mod state;
mod waits;

pub use event::{Action, Event, News, Reply, Ticket, TreeReply};
pub use fetch::{DocumentFetch, DocumentSource, FetchStep, PART_WITHIN};
pub use keeper::{Keeper, KeeperError, initial_records};
pub use roster::{RememberedNode, Roster, RosterWork};
pub use state::{Command, LogCommand, State, Version};
