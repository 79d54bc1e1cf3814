//! Task placement and job queueing.
//!
//! Tasks of a service run on the targets of that service. [`TargetPool`] ranks the targets for
//! which the entry holds idle slot tokens. [`FairQueue`] orders the waiting jobs: weighted fair
//! between teams, earliest deadline first within a team.

mod fair_queue;
mod target_pool;

pub use fair_queue::FairQueue;
pub use target_pool::{TargetId, TargetPool, TargetProfile};
