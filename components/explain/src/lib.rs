//! Reconstructs the history of a job from the logs of several processes, and explains its outcome.

mod history;
mod line;

pub use history::{Explanation, History};
pub use line::Line;
