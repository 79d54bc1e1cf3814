//! A replicated log for a few replicas, after Raft: terms, pre-vote, a leader lease, snapshots.
//!
//! No clock, socket, disk or thread in here: [`Replica::handle`] takes a time and an event and
//! gives the actions that follow. What it gives to be stored has to be synced before anything
//! given after it is done. (Ongaro, Ousterhout: In Search of an Understandable Consensus
//! Algorithm, USENIX ATC 2014. What differs stands in `docs/design/settings.md`.)

mod election;
mod event;
mod leader;
mod log;
mod message;
mod record;
mod replica;
mod replication;

pub use event::{Action, Event, News, ProposalId, Violation};
pub use log::{Entry, Index, Payload, Term};
pub use message::Message;
pub use record::{Record, RecoverError, Snapshot, initial_records};
pub use replica::{Replica, Timing};
