//! The settings tree as keepers keep it: versions, changes remembered by id, deltas for nodes.

mod state;

pub use state::{Command, State, Version};
