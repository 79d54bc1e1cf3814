//! A replicated log based on Raft, with pre-vote, leader lease, snapshots and single-server
//! membership changes.
//! (Ongaro, Ousterhout: In Search of an Understandable Consensus Algorithm, USENIX ATC 2014.)
//!
//! Unlike in Raft, a replica may rejoin after it has lost its disk. It is then *blank*: it neither
//! votes nor counts towards a quorum until it has caught up with a leader that holds a valid lease.
//! The crate does no I/O and reads no clock: [`Replica::handle`] takes the current time and an
//! event and appends the resulting actions, which have to be executed in order.

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
pub use record::{INITIAL_INDEX, Record, RecoverError, Snapshot, initial_records};
pub use replica::{Replica, Timing};
