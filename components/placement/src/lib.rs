//! Task placement and job queueing.
//!
//! Tasks of a service run on the targets of that service. [`TargetPool`] ranks the targets for
//! which the entry holds idle slot tokens. [`FairQueue`] orders the waiting jobs: weighted fair
//! between teams, earliest deadline first within a team. [`CapacityShares`] offers a target's scarce
//! capacity to the entries that compete for it.

mod capacity_shares;
mod fair_queue;
mod target_pool;

pub use capacity_shares::{CapacityShares, Offer, OfferCounts, WaitingWork};
pub use fair_queue::FairQueue;
pub use target_pool::{TargetId, TargetPool, TargetProfile};
