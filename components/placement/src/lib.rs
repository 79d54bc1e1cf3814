//! Where a task goes and which waiting job is next.
//!
//! Work of one service goes to the targets of that service. [`TargetPool`] ranks the targets for which
//! the entry holds idle slot tokens; [`FairQueue`] orders the waiting jobs: teams by weight, then
//! earliest deadline first.

mod fair;
mod pool;

pub use fair::FairQueue;
pub use pool::{TargetId, TargetPool, TargetProfile};
