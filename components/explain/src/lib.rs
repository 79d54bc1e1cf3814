//! Follows one request through the logs of several processes, to the decision that ended it.

mod history;
mod line;

pub use history::{Explanation, History};
pub use line::Line;
