//! A replicated log for a small cluster, based on Raft, with pre-vote, leader lease, snapshots and
//! single-server membership changes.
//!
//! The crate does no I/O and reads no clock: [`Replica::handle`] takes the current time and an
//! event and returns the actions to execute. Records in a store action have to be synced before any
//! later action is executed.
//!
//! Ongaro, Ousterhout: In Search of an Understandable Consensus Algorithm, USENIX ATC 2014. Unlike
//! in Raft, a replica may rejoin after it has lost its disk. It is then *blank*: it neither votes
//! nor counts towards a quorum until it has caught up with a leader that holds a valid lease.

mod election;
mod event;
mod leader;
mod log;
mod message;
mod record;
mod replica;
mod replication;

pub use event::{Action, Event, LogEvent, ProposalId, Violation};
pub use log::{Entry, Index, Payload, Term};
pub use message::Message;
pub use record::{Record, RecoverError, Snapshot, initial_records};
pub use replica::{Replica, Timing};
