//! Admission control: estimates whether a job can meet its deadline from measured service times and
//! the tasks queued ahead of it.

mod estimate;
mod prediction_errors;
mod queue_map;
mod run_times;
mod service_times;
mod target_speed;
mod windows;

pub use estimate::{QueueLoad, estimate_completion};
pub use prediction_errors::{PredictionError, PredictionErrors};
pub use run_times::RunTimes;
pub use service_times::ServiceTimes;
pub use target_speed::TargetSpeed;
