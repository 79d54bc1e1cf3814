//! Clients of dockpass's two HTTP interfaces: for callers and for operators.

mod caller;
mod id;
mod operator;

pub use caller::{EntryClient, Outcome, RequestError};
pub use id::{new_submission_id, submission_id_at};
pub use operator::{ChangeOutcome, HallOutcome, OperatorClient, OperatorError, TreeVersion};
