//! Follows one request through the logs of several processes, to the decision that ended it.

mod history;
mod line;

pub use history::{History, Verdict};
pub use line::Line;
