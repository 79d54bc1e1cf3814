//! An agent's start table, which starts every task at most once, and its ledger of slot tokens.

mod ledger;
mod table;
mod waiters;

pub use ledger::{Ledger, Session, TokenChange};
pub use table::{Limits, Settled, StartOutcome, StartTable, TaskOutcome};
