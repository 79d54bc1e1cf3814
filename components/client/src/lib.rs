//! Clients of dockpass's two HTTP interfaces: for callers and for operators.

mod caller;
mod id;
mod operator;

pub use caller::{Caller, CallerError, Outcome};
pub use id::{new_submission, submission_at};
pub use operator::{ChangeOutcome, HallOutcome, Operator, OperatorError, TreeVersion};
