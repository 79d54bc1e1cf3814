//! What an agent knows of the tasks it was asked to start, and who may use its slots.

mod ledger;
mod table;
mod waiters;

pub use ledger::{Ledger, Session, Turn};
pub use table::{Limits, Settled, StartOutcome, StartTable, TaskOutcome};
