//! Task placement and job queueing.
//!
//! Tasks of a service run on the targets of that service. With slots, [`TargetPool`] ranks the
//! targets for which the entry holds idle slot tokens, and [`FairQueue`] orders the waiting jobs:
//! weighted fair between teams, earliest deadline first within a team. With capacity,
//! [`TargetSearch`] chooses a task's target by when the task would end there, [`LabelDemand`]
//! counts the tasks that name a label, so that others leave its targets to them, and
//! [`CapacityShares`] offers a target's scarce capacity to the entries that compete for it.

mod capacity_shares;
mod fair_queue;
mod label_demand;
mod target_pool;
mod target_search;

pub use capacity_shares::{CapacityShares, Offer, OfferCounts, WaitingWork};
pub use fair_queue::FairQueue;
pub use label_demand::{DataChoice, DataDecision, Demand, LabelDemand};
pub use target_pool::{TargetId, TargetPool, TargetProfile};
pub use target_search::{Candidate, SearchOptions, SearchResult, TargetSearch, TaskNeeds};
