//! The settings store of the keepers: a replicated log of changes with versions and deltas.
//!
//! Besides the settings tree it holds the configuration document, which operators replace as a
//! whole, the emptied halls, and a list of registered nodes, which is not replicated. The crate
//! does no I/O and reads no clock: [`Keeper::handle`] takes the current time and an event and
//! appends the resulting actions.

mod apply;
mod event;
mod fetch;
mod full_disk;
mod hall_history;
mod keeper;
mod pending_calls;
mod registry;
mod roster;
mod state;

pub use event::{Action, CallId, Confirmation, Event, LogEvent, Reply, TreeReply};
pub use fetch::{DocumentFetch, DocumentSource, FetchStep, PART_TIMEOUT};
pub use keeper::{Keeper, KeeperError, initial_records};
pub use roster::{Roster, RosterWork, StoredNode};
pub use state::{LogCommand, SettingsChange, State, TreeVersion};
