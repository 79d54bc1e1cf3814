//! The routes of a fleet: which request belongs to which queue, and what holds for its jobs.

mod error;
mod table;

pub use error::InvalidRouteTable;
pub use table::{HttpLimits, Route, RouteTable, ServiceInfo};
