//! Whether a job can meet its deadline, from measured service times and what waits ahead of it.

mod estimate;
mod service_times;

pub use estimate::{QueueLoad, estimate_completion};
pub use service_times::ServiceTimes;
