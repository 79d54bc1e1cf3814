//! Clients of the HTTP interfaces of entries and keepers.

mod entry_client;
mod operator_client;
mod submission_id;

pub use entry_client::{EntryClient, Outcome, RequestError};
pub use operator_client::{ChangeOutcome, HallOutcome, OperatorClient, OperatorError, TreeVersion};
pub use submission_id::{new_submission_id, submission_id_at};
